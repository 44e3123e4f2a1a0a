/// Unique key of one attempt at a request; never reused.
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

AttemptKey AttemptKeyOf(const wire::AttemptId& id);
void FillAttemptId(const AttemptKey& key, wire::AttemptId* id);
/// Formats the key as "ENTRY-INCARNATION-COUNTER", the value of the
/// Savoryring-Attempt header.
std::string ToString(const AttemptKey& key);

}  // namespace savoryring

#endif  // SAVORYRING_LIBROUTING_ATTEMPT_KEY_H_
