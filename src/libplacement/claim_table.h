/// Claims of idempotency keys: part of the control group's state machine.
#ifndef SAVORYRING_LIBPLACEMENT_CLAIM_TABLE_H_
#define SAVORYRING_LIBPLACEMENT_CLAIM_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "librouting/routing.pb.h"

namespace savoryring {

/// A key belongs to the first request that claims it. Claims are kept up to a
/// limit; beyond it the oldest is dropped.
class ClaimTable {
 public:
  /// Claims the key and returns the state of its claim: granted if `claim`
  /// comes from the holder, otherwise the progress or outcome of the holder's
  /// request.
  wire::ClaimRecord Claim(const wire::ClaimRecord& claim);
  /// Records the outcome of the holder's request. A released key is free again.
  void Settle(const wire::ClaimRecord& outcome);

  void Restore(const wire::ClaimRecord& claim);
  const std::map<std::string, wire::ClaimRecord>& claims() const {
    return this->records;
  }
  void Clear();

 private:
  void Store(wire::ClaimRecord claim);

  std::map<std::string, wire::ClaimRecord> records;
  std::map<std::uint64_t, std::string> key_by_sequence;
  std::uint64_t next_sequence = 1;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBPLACEMENT_CLAIM_TABLE_H_
