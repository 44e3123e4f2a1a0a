#include "libplacement/claim_table.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

constexpr std::size_t kMaxClaims = 100'000;

bool SameHolder(const wire::AttemptId& a, const wire::AttemptId& b) {
  return a.entry() == b.entry() &&
         a.entry_incarnation() == b.entry_incarnation() &&
         a.counter() == b.counter();
}

}  // namespace

wire::ClaimRecord ClaimTable::Claim(const wire::ClaimRecord& claim) {
  const auto found = this->records.find(claim.key());
  if (found == this->records.end()) {
    wire::ClaimRecord granted = claim;
    granted.set_state(wire::CLAIM_GRANTED);
    granted.set_sequence(this->next_sequence);
    this->Store(granted);
    return granted;
  }
  wire::ClaimRecord current = found->second;
  if (current.request_checksum() != claim.request_checksum())
    current.set_state(wire::CLAIM_MISMATCHED);
  else if (current.state() == wire::CLAIM_GRANTED &&
           !SameHolder(current.holder(), claim.holder()))
    current.set_state(wire::CLAIM_IN_PROGRESS);
  return current;
}

void ClaimTable::Settle(const wire::ClaimRecord& outcome) {
  const auto found = this->records.find(outcome.key());
  if (found == this->records.end() ||
      found->second.state() != wire::CLAIM_GRANTED ||
      !SameHolder(found->second.holder(), outcome.holder()))
    return;
  if (outcome.state() == wire::CLAIM_RELEASED) {
    this->key_by_sequence.erase(found->second.sequence());
    this->records.erase(found);
    return;
  }
  wire::ClaimRecord& record = found->second;
  record.set_state(outcome.state());
  record.set_status(outcome.status());
  *record.mutable_headers() = outcome.headers();
  record.set_body(outcome.body());
}

void ClaimTable::Restore(const wire::ClaimRecord& claim) {
  this->Store(claim);
}

void ClaimTable::Clear() {
  this->records.clear();
  this->key_by_sequence.clear();
  this->next_sequence = 1;
}

void ClaimTable::Store(wire::ClaimRecord claim) {
  this->next_sequence = std::max(this->next_sequence, claim.sequence() + 1);
  this->key_by_sequence[claim.sequence()] = claim.key();
  const std::string key = claim.key();
  this->records[key] = std::move(claim);
  if (this->records.size() <= kMaxClaims)
    return;
  this->records.erase(this->key_by_sequence.begin()->second);
  this->key_by_sequence.erase(this->key_by_sequence.begin());
}

}  // namespace savoryring
