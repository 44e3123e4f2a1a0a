#include "librouting/router.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

constexpr std::size_t kMaxAttempts = 4;
constexpr Milliseconds kClaimRetry{50};
// No further attempt is started with less time than this to the deadline.
constexpr Milliseconds kMinRemainingTime{5};
// Requests stay in the entry's availability zone while one of its endpoints is
// below this load, that is, has a free slot.
constexpr double kZoneLoadLimit = 1.0;
// A hedge is sent after this multiple of the service's tail latency.
constexpr int kHedgeTailMultiple = 2;
// An endpoint at or above this load gets no hedges.
constexpr double kHedgeLoadLimit = 1.3;
// A list with more than kSamplingThreshold endpoints is sampled until
// kSampleSize usable ones are found.
constexpr std::size_t kSamplingThreshold = 24;
constexpr std::size_t kSampleSize = 6;

}  // namespace

Router::Router(RouterOptions options)
    : options(std::move(options)), random(this->options.seed) {}

void Router::OnEstate(const Estate& estate) {
  this->services.clear();
  for (const ServiceSpec& service : estate.services)
    this->services[service.name] = service;
}

void Router::OnAnnouncement(const std::string& sender,
                            std::uint64_t incarnation,
                            const wire::EndpointAnnouncement& announcement,
                            TimePoint now) {
  const DirectoryChange change =
      this->endpoints.Apply(sender, incarnation, announcement, now);
  if (change == DirectoryChange::kReplaced)
    this->scores.OnReplaced(sender);
}

void Router::OnRequest(const CallerRequest& request, TimePoint now) {
  if (!this->KnowsService(request.service)) {
    this->effects.emplace_back(AnswerWithCode{
        .request = request.id, .code = ResultCode::kUnknownService});
    return;
  }
  this->budget.OnRequest();
  OpenRequest& open = this->requests[request.id];
  open.request = request;
  open.request.deadline = std::min(request.deadline, this->latest_deadline);
  open.next_check = open.request.deadline;
  this->checks.insert({.deadline = open.next_check, .request = request.id});
  const bool needs_claim = !request.key.empty() && !request.repeatable &&
                           !this->options.mutations.skip_claims;
  if (!needs_claim) {
    this->StartFirstAttempt(open, now);
    return;
  }
  open.claiming = true;
  this->effects.emplace_back(
      RequestClaim{.request = request.id, .key = request.key});
}

void Router::LimitDeadlines(TimePoint latest) {
  this->latest_deadline = latest;
  for (auto& [id, open] : this->requests) {
    open.request.deadline = std::min(open.request.deadline, latest);
    this->ScheduleCheck(open);
  }
}

void Router::OnClaim(std::uint64_t request,
                     wire::ClaimState state,
                     TimePoint now) {
  const auto found = this->requests.find(request);
  if (found == this->requests.end() || !found->second.claiming)
    return;
  OpenRequest& open = found->second;
  switch (state) {
    case wire::CLAIM_GRANTED:
      open.claiming = false;
      this->StartFirstAttempt(open, now);
      return;
    case wire::CLAIM_DONE:
      this->Close(request, wire::CLAIM_UNKNOWN,
                  ForwardRecordedAnswer{.request = request});
      return;
    case wire::CLAIM_LOST:
      this->Close(request, wire::CLAIM_UNKNOWN,
                  AnswerWithCode{.request = request,
                                 .code = ResultCode::kOutcomeUnknown});
      return;
    case wire::CLAIM_MISMATCHED:
      this->Close(request, wire::CLAIM_UNKNOWN,
                  AnswerWithCode{.request = request,
                                 .code = ResultCode::kClaimMismatch});
      return;
    case wire::CLAIM_IN_PROGRESS:
      open.last_refusal = ResultCode::kClaimHeld;
      break;
    default:
      break;
  }
  open.claim_deadline = now + kClaimRetry;
  this->ScheduleCheck(open);
}

void Router::OnAttemptStatus(const AttemptStatus& status, TimePoint now) {
  OpenRequest* open = nullptr;
  OpenAttempt* attempt = this->FindAttempt(status.key, &open);
  if (attempt == nullptr)
    return;  // The request has been answered already.
  switch (status.state) {
    case wire::ATTEMPT_QUEUED:
    case wire::ATTEMPT_STARTED:
      if (attempt->phase == AttemptPhase::kSent ||
          attempt->phase == AttemptPhase::kRevoking)
        attempt->phase = AttemptPhase::kAcknowledged;
      this->ScheduleCheck(*open);
      return;
    case wire::ATTEMPT_ANSWERED:
      this->scores.OnAnswered(attempt->endpoint, open->request.service,
                              now - attempt->sent);
      this->Close(
          open->request.id, wire::CLAIM_DONE,
          ForwardAnswer{.request = open->request.id, .key = status.key});
      return;
    case wire::ATTEMPT_REFUSED:
    case wire::ATTEMPT_BARRED:
      attempt->phase = AttemptPhase::kNotRun;
      this->RetryOrFinish(*open, status.code, now);
      return;
    case wire::ATTEMPT_FAILED:
      this->RecordFailure(attempt->endpoint, now);
      attempt->phase = AttemptPhase::kOutcomeUnknown;
      this->RetryOrFinish(*open, ResultCode::kEndpointFailed, now);
      return;
    case wire::ATTEMPT_FOREIGN:
      attempt->phase = AttemptPhase::kOutcomeUnknown;
      this->RetryOrFinish(*open, ResultCode::kOutcomeUnknown, now);
      return;
    default:
      return;
  }
}

void Router::OnTick(TimePoint now) {
  while (!this->checks.empty() && this->checks.begin()->deadline <= now) {
    const std::uint64_t request = this->checks.begin()->request;
    this->checks.erase(this->checks.begin());
    this->CheckRequest(request, now);
  }
  this->endpoints.RemoveExpired(now);
}

std::vector<RouterEffect> Router::TakeEffects() {
  return std::exchange(this->effects, {});
}

Milliseconds Router::DefaultTimeout(const std::string& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? kDefaultServiceTimeout
                                       : found->second.timeout;
}

bool Router::KnowsService(const std::string& service) const {
  return this->services.contains(service);
}

void Router::StartFirstAttempt(OpenRequest& open, TimePoint now) {
  if (!this->StartAttempt(open, now))
    this->Finish(open, ResultCode::kNoEndpoint);
}

bool Router::StartAttempt(OpenRequest& open, TimePoint now) {
  const EndpointRecord* endpoint = this->ChooseEndpoint(open, now);
  if (endpoint == nullptr)
    return false;
  this->StartAttemptAt(open, *endpoint, now);
  return true;
}

// Sends a hedge only to an endpoint where it does not wait long; at a busy
// endpoint it would displace another request.
void Router::StartHedge(OpenRequest& open, TimePoint now) {
  if (!this->MayRetry(open, now))
    return;
  const EndpointRecord* endpoint = this->ChooseEndpoint(open, now);
  const bool worthwhile =
      endpoint != nullptr &&
      this->scores.Load(*endpoint, open.request.service) < kHedgeLoadLimit &&
      this->budget.SpendForHedge();
  if (!worthwhile)
    return;
  this->StartAttemptAt(open, *endpoint, now);
  this->hedge_count += 1;
}

void Router::StartAttemptAt(OpenRequest& open,
                            const EndpointRecord& endpoint,
                            TimePoint now) {
  const Milliseconds remaining = RemainingTime(now, open.request.deadline);
  OpenAttempt attempt;
  attempt.key = {.entry = this->options.entry,
                 .entry_incarnation = this->options.incarnation,
                 .counter = this->next_counter++};
  attempt.endpoint = endpoint.id;
  attempt.link = endpoint.link;
  attempt.endpoint_incarnation = endpoint.incarnation;
  attempt.sent = now;
  attempt.check_deadline =
      now + std::min(this->options.acknowledge_timeout, remaining / 2);
  this->scores.OnSent(endpoint.id);
  this->request_of_attempt[attempt.key.counter] = open.request.id;
  this->effects.emplace_back(
      SendAttempt{.request = open.request.id,
                  .key = attempt.key,
                  .oldest_open = this->OldestOpen(),
                  .link = attempt.link,
                  .endpoint_incarnation = attempt.endpoint_incarnation,
                  .deadline = open.request.deadline});
  const auto tail = this->scores.TailLatency(open.request.service);
  const bool hedge = this->options.use_hedges && open.request.repeatable &&
                     open.attempts.empty() && tail.count() > 0;
  if (hedge)
    open.hedge_deadline = now + kHedgeTailMultiple * tail;
  open.attempts.push_back(std::move(attempt));
  this->ScheduleCheck(open);
}

// Power of two random choices: takes the cheaper of two random candidates,
// which balances load without all entries converging on the same idle endpoint.
// Candidates are the endpoints of the entry's availability zone as long as one
// of them has a free slot, otherwise those of all zones.
const EndpointRecord* Router::ChooseEndpoint(const OpenRequest& open,
                                             TimePoint now) {
  const std::string& service = open.request.service;
  const auto& all = this->endpoints.EndpointsOf(service, "");
  if (this->options.use_random_choice)
    return this->PickEndpoint(this->UsableEndpoints(open, all, now), service);
  const auto& zone_endpoints =
      this->endpoints.EndpointsOf(service, this->options.availability_zone);
  const auto zone_usable = this->UsableEndpoints(open, zone_endpoints, now);
  const bool zone_has_room =
      std::ranges::any_of(zone_usable, [&](const EndpointRecord* record) {
        return this->scores.Load(*record, service) < kZoneLoadLimit;
      });
  if (zone_has_room)
    return this->PickEndpoint(zone_usable, service);
  return this->PickEndpoint(this->UsableEndpoints(open, all, now), service);
}

// The endpoints of a list that can take the request. A long list is sampled at
// random, so that the cost does not grow with the size of the estate. Returns
// ejected endpoints only if there are no others.
std::vector<const EndpointRecord*> Router::UsableEndpoints(
    const OpenRequest& open,
    const std::vector<const EndpointRecord*>& list,
    TimePoint now) {
  std::vector<const EndpointRecord*> usable;
  std::vector<const EndpointRecord*> ejected;
  const bool sample = list.size() > kSamplingThreshold;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const EndpointRecord* record =
        sample ? list[this->RandomBelow(list.size())] : list[i];
    const bool tried =
        std::ranges::find(open.attempts, record->id, &OpenAttempt::endpoint) !=
        open.attempts.end();
    if (tried || !record->Serves(open.request.service, now))
      continue;
    if (this->scores.IsEjected(record->id, now))
      ejected.push_back(record);
    else
      usable.push_back(record);
    if (sample && usable.size() >= kSampleSize)
      break;
  }
  return usable.empty() ? ejected : usable;
}

const EndpointRecord* Router::PickEndpoint(
    const std::vector<const EndpointRecord*>& candidates,
    const std::string& service) {
  if (candidates.empty())
    return nullptr;
  const EndpointRecord* first =
      candidates[this->RandomBelow(candidates.size())];
  if (this->options.use_random_choice)
    return first;
  const EndpointRecord* second =
      candidates[this->RandomBelow(candidates.size())];
  return this->scores.Cost(*first, service) <=
                 this->scores.Cost(*second, service)
             ? first
             : second;
}

std::size_t Router::RandomBelow(std::size_t limit) {
  return static_cast<std::size_t>(this->random() % limit);
}

void Router::CheckRequest(std::uint64_t id, TimePoint now) {
  const auto found = this->requests.find(id);
  if (found == this->requests.end())
    return;
  OpenRequest& open = found->second;
  if (now >= open.request.deadline) {
    this->Finish(open, open.last_refusal);
    return;
  }
  if (now >= open.claim_deadline) {
    open.claim_deadline = kNever;
    this->effects.emplace_back(
        RequestClaim{.request = id, .key = open.request.key});
  }
  const std::size_t count = open.attempts.size();
  for (std::size_t i = 0; i < count; ++i)
    this->CheckAttempt(open, open.attempts[i], now);
  if (now >= open.hedge_deadline) {
    open.hedge_deadline = kNever;
    this->StartHedge(open, now);
  }
  this->ScheduleCheck(open);
}

// If an attempt is not acknowledged in time, its connection may no longer
// deliver messages, so the attempt is revoked over a new one. A repeatable
// request is also sent to another endpoint at once.
void Router::CheckAttempt(OpenRequest& open,
                          OpenAttempt& attempt,
                          TimePoint now) {
  const bool waiting = attempt.phase == AttemptPhase::kSent ||
                       attempt.phase == AttemptPhase::kRevoking;
  if (!waiting || now < attempt.check_deadline)
    return;
  const bool first = attempt.phase == AttemptPhase::kSent;
  attempt.phase = AttemptPhase::kRevoking;
  attempt.check_deadline = now + this->options.acknowledge_timeout;
  this->RecordFailure(attempt.endpoint, now);
  if (!this->options.mutations.keep_unresponsive_connections)
    this->effects.emplace_back(ReplaceConnection{.link = attempt.link});
  this->effects.emplace_back(
      SendRevocation{.key = attempt.key,
                     .link = attempt.link,
                     .endpoint_incarnation = attempt.endpoint_incarnation});
  const bool may_run_twice =
      open.request.repeatable || this->options.mutations.retry_unknown_outcome;
  if (first && may_run_twice && this->MayRetry(open, now) &&
      (!this->options.use_retry_budget || this->budget.Spend())) {
    // Invalidates `attempt`: it appends to `open.attempts`.
    if (this->StartAttempt(open, now))
      this->retry_count += 1;
  }
}

void Router::RetryOrFinish(OpenRequest& open,
                           ResultCode refusal,
                           TimePoint now) {
  open.last_refusal = refusal;
  const bool others_open =
      std::ranges::any_of(open.attempts, [](const OpenAttempt& attempt) {
        return attempt.phase == AttemptPhase::kSent ||
               attempt.phase == AttemptPhase::kAcknowledged ||
               attempt.phase == AttemptPhase::kRevoking;
      });
  if (others_open)
    return;
  const bool outcome_unknown =
      std::ranges::any_of(open.attempts, [](const OpenAttempt& attempt) {
        return attempt.phase == AttemptPhase::kOutcomeUnknown;
      });
  const bool allowed = !outcome_unknown || open.request.repeatable ||
                       this->options.mutations.retry_unknown_outcome;
  // A refusal costs an endpoint almost nothing, so retries after refusals alone
  // are limited by kMaxAttempts only. A retry of an attempt that may have run
  // takes from the retry budget.
  const bool exempt_from_budget =
      !outcome_unknown || !this->options.use_retry_budget;
  const bool retry = allowed && this->MayRetry(open, now) &&
                     (exempt_from_budget || this->budget.Spend());
  if (retry && this->StartAttempt(open, now)) {
    this->retry_count += 1;
    return;
  }
  this->Finish(open, refusal);
}

// Answers with a result code of the entry. If any attempt may have run, the
// code must not say that the request did not run.
void Router::Finish(OpenRequest& open, ResultCode code) {
  const bool none_ran =
      std::ranges::all_of(open.attempts, [](const OpenAttempt& attempt) {
        return attempt.phase == AttemptPhase::kNotRun;
      });
  const bool failed = code == ResultCode::kEndpointFailed;
  if (!none_ran && !failed &&
      !this->options.mutations.report_unknown_as_not_run)
    code = ResultCode::kOutcomeUnknown;
  if (none_ran && open.claiming && code == ResultCode::kNotStartedInTime)
    code = ResultCode::kClaimUnavailable;
  wire::ClaimState claim = wire::CLAIM_UNKNOWN;
  if (!open.claiming)
    claim = none_ran ? wire::CLAIM_RELEASED : wire::CLAIM_LOST;
  const std::uint64_t id = open.request.id;
  this->Close(id, claim, AnswerWithCode{.request = id, .code = code});
}

void Router::Close(std::uint64_t id,
                   wire::ClaimState claim,
                   RouterEffect answer) {
  const auto found = this->requests.find(id);
  OpenRequest& open = found->second;
  const bool claimed = !open.request.key.empty() && !open.request.repeatable &&
                       !this->options.mutations.skip_claims;
  if (claimed && claim != wire::CLAIM_UNKNOWN) {
    this->effects.emplace_back(
        SettleClaim{.request = id, .key = open.request.key, .state = claim});
  }
  for (const OpenAttempt& attempt : open.attempts) {
    this->CloseAttempt(attempt);
    const bool waiting = attempt.phase == AttemptPhase::kSent ||
                         attempt.phase == AttemptPhase::kAcknowledged;
    const auto* pass = std::get_if<ForwardAnswer>(&answer);
    const bool answered = pass != nullptr && pass->key == attempt.key;
    // Revokes the other attempts of a hedged request if they have not started.
    if (waiting && !answered) {
      this->effects.emplace_back(
          SendRevocation{.key = attempt.key,
                         .link = attempt.link,
                         .endpoint_incarnation = attempt.endpoint_incarnation});
    }
  }
  this->checks.erase({.deadline = open.next_check, .request = id});
  this->effects.push_back(std::move(answer));
  this->requests.erase(found);
}

void Router::ScheduleCheck(OpenRequest& open) {
  const std::uint64_t id = open.request.id;
  this->checks.erase({.deadline = open.next_check, .request = id});
  TimePoint next = std::min(
      {open.request.deadline, open.claim_deadline, open.hedge_deadline});
  for (const OpenAttempt& attempt : open.attempts) {
    if (attempt.phase == AttemptPhase::kSent ||
        attempt.phase == AttemptPhase::kRevoking)
      next = std::min(next, attempt.check_deadline);
  }
  open.next_check = next;
  this->checks.insert({.deadline = next, .request = id});
}

void Router::CloseAttempt(const OpenAttempt& attempt) {
  this->scores.OnEnded(attempt.endpoint);
  this->request_of_attempt.erase(attempt.key.counter);
}

void Router::RecordFailure(const std::string& endpoint, TimePoint now) {
  if (this->scores.OnFailure(endpoint, now))
    this->effects.emplace_back(EndpointEjected{.endpoint = endpoint});
}

bool Router::MayRetry(const OpenRequest& open, TimePoint now) const {
  return open.attempts.size() < kMaxAttempts &&
         RemainingTime(now, open.request.deadline) > kMinRemainingTime;
}

Router::OpenAttempt* Router::FindAttempt(const AttemptKey& key,
                                         OpenRequest** open) {
  if (key.entry != this->options.entry ||
      key.entry_incarnation != this->options.incarnation)
    return nullptr;
  const auto request = this->request_of_attempt.find(key.counter);
  if (request == this->request_of_attempt.end())
    return nullptr;
  *open = &this->requests.at(request->second);
  const auto found =
      std::ranges::find((*open)->attempts, key, &OpenAttempt::key);
  return found == (*open)->attempts.end() ? nullptr : &*found;
}

std::uint64_t Router::OldestOpen() const {
  return this->request_of_attempt.empty()
             ? this->next_counter - 1
             : this->request_of_attempt.begin()->first;
}

}  // namespace savoryring
