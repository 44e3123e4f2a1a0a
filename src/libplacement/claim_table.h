/// Claims of idempotency keys: part of the control group's state machine.
#ifndef SAVORYRING_LIBPLACEMENT_CLAIM_TABLE_H_
#define SAVORYRING_LIBPLACEMENT_CLAIM_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "librouting/routing.pb.h"

namespace savoryring {

/// A key belongs to the first request that claims it. Settled claims are kept
/// up to a number, then the oldest go.
class ClaimTable {
 public:
  /// The claim that now stands for the key: granted where `claim` is the
  /// holder, otherwise how the holder's request stands.
  wire::ClaimRecord Claim(const wire::ClaimRecord& claim);
  /// Records how the holder's request ended. A released key is free again.
  void Settle(const wire::ClaimRecord& outcome);

  void Restore(const wire::ClaimRecord& claim);
  const std::map<std::string, wire::ClaimRecord>& claims() const {
    return this->records;
  }
  void Clear();

 private:
  void Store(wire::ClaimRecord claim);

  std::map<std::string, wire::ClaimRecord> records;
  std::map<std::uint64_t, std::string> by_age;
  std::uint64_t next_sequence = 1;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBPLACEMENT_CLAIM_TABLE_H_
