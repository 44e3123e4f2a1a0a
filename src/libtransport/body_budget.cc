#include "libtransport/body_budget.h"

namespace savoryring {
namespace {

// Share of the memory that is kept for small bodies: 1 / kSmallShare.
constexpr std::uint64_t kSmallShare = 4;
// A handler makes up to four copies of a body: the call, its copy for
// repetitions, the envelope and the message in the socket's queue. Complete
// large bodies may therefore take only 1 / kHandledShare of the pool.
constexpr std::uint64_t kHandledShare = 3;
// Large responses that clients do not read take memory beside that of bodies,
// of 1 / kResponseShare of its size.
constexpr std::uint64_t kResponseShare = 4;
// Bytes that count as progress. A client that sends single bytes makes none for
// a long time.
constexpr std::uint64_t kProgressBytes = 1024;

}  // namespace

BodyBudget::BodyBudget(std::uint64_t limit_bytes)
    : response_limit(limit_bytes / kResponseShare) {
  this->small.limit = limit_bytes / kSmallShare;
  this->large.limit = limit_bytes - this->small.limit;
}

BodyDecision BodyBudget::OnReceived(BodyId id,
                                    std::uint64_t received_bytes,
                                    std::uint64_t reserved_bytes,
                                    TimePoint now) {
  const auto found = this->bodies.find(id);
  const bool is_known = found != this->bodies.end();
  Body body = is_known ? found->second : Body{.progress = now};
  if (is_known)
    this->Remove(id, body);
  if (received_bytes >= body.received_at_progress + kProgressBytes) {
    body.received_at_progress = received_bytes;
    body.progress = now;
  }
  const Body before = body;
  body.reserved = reserved_bytes;
  Pool& pool = this->PoolOf(reserved_bytes);
  std::uint64_t freed = 0;
  BodyAdmitted admitted;
  for (const auto& [progress, other] : pool.incomplete) {
    const bool fits = pool.reserved - freed + reserved_bytes <= pool.limit;
    if (fits || progress > body.progress)
      break;
    freed += this->bodies.at(other).reserved;
    admitted.aborted.push_back(other);
  }
  if (pool.reserved - freed + reserved_bytes > pool.limit) {
    if (is_known)
      this->Add(id, before);
    return BodyRefused{};
  }
  for (const BodyId other : admitted.aborted)
    this->Release(other);
  this->Add(id, body);
  return admitted;
}

bool BodyBudget::OnComplete(BodyId id) {
  const auto found = this->bodies.find(id);
  if (found == this->bodies.end())
    return true;
  Body body = found->second;
  Pool& pool = this->PoolOf(body.reserved);
  const bool fits = pool.handled == 0 || pool.handled + body.reserved <=
                                             this->large.limit / kHandledShare;
  if (!IsSmall(body.reserved) && !fits)
    return false;
  this->Remove(id, body);
  body.complete = true;
  this->Add(id, body);
  return true;
}

bool BodyBudget::OnResponse(BodyId id, std::uint64_t bytes) {
  this->Release(id);
  if (IsSmall(bytes))
    return true;
  if (!this->responses.empty() &&
      this->response_bytes + bytes > this->response_limit)
    return false;
  this->responses[id] = bytes;
  this->response_bytes += bytes;
  return true;
}

void BodyBudget::Release(BodyId id) {
  const auto response = this->responses.find(id);
  if (response != this->responses.end()) {
    this->response_bytes -= response->second;
    this->responses.erase(response);
  }
  const auto found = this->bodies.find(id);
  if (found == this->bodies.end())
    return;
  this->Remove(id, Body(found->second));
}

std::uint64_t BodyBudget::max_body_bytes() const {
  return this->large.limit;
}

std::uint64_t BodyBudget::reserved_bytes() const {
  return this->small.reserved + this->large.reserved + this->response_bytes;
}

BodyBudget::Pool& BodyBudget::PoolOf(std::uint64_t bytes) {
  return IsSmall(bytes) ? this->small : this->large;
}

void BodyBudget::Add(BodyId id, const Body& body) {
  Pool& pool = this->PoolOf(body.reserved);
  pool.reserved += body.reserved;
  if (body.complete)
    pool.handled += body.reserved;
  else
    pool.incomplete.insert({body.progress, id});
  this->bodies[id] = body;
}

void BodyBudget::Remove(BodyId id, const Body& body) {
  Pool& pool = this->PoolOf(body.reserved);
  pool.reserved -= body.reserved;
  if (body.complete)
    pool.handled -= body.reserved;
  pool.incomplete.erase({body.progress, id});
  this->bodies.erase(id);
}

}  // namespace savoryring
