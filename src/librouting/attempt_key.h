/// Name of one attempt at a request; never used twice.
#ifndef SAVORYRING_LIBROUTING_ATTEMPT_KEY_H_
#define SAVORYRING_LIBROUTING_ATTEMPT_KEY_H_

#include <cstdint>
#include <string>

#include "librouting/routing.pb.h"

namespace savoryring {

struct AttemptKey {
  std::string entry;
  std::uint64_t entry_incarnation = 0;
  std::uint64_t counter = 0;

  auto operator<=>(const AttemptKey& other) const = default;
};

AttemptKey KeyOf(const wire::AttemptId& id);
void FillAttemptId(const AttemptKey& key, wire::AttemptId* id);
/// "ENTRY-INCARNATION-COUNTER", as the Savoryring-Attempt header carries it.
std::string ToString(const AttemptKey& key);

}  // namespace savoryring

#endif  // SAVORYRING_LIBROUTING_ATTEMPT_KEY_H_
