#include "librouting/router.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

constexpr std::size_t kMostAttempts = 4;
constexpr Milliseconds kClaimRetry{50};
// Less time than this is not worth another attempt.
constexpr Milliseconds kLeastRemaining{5};
// Load of a zone's endpoints up to which requests stay in the zone.
constexpr double kZoneLoadLimit = 1.0;
constexpr int kHedgeTailMultiple = 2;
constexpr double kHedgeLoadLimit = 1.3;
// Lists longer than this are sampled, down to this many usable endpoints.
constexpr std::size_t kSampledAbove = 24;
constexpr std::size_t kSample = 6;

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
    this->effects.emplace_back(AnswerResult{
        .request = request.id, .code = ResultCode::kUnknownService});
    return;
  }
  this->budget.OnRequest();
  OpenRequest& open = this->requests[request.id];
  open.request = request;
  open.next_check = request.deadline;
  this->checks.insert({.deadline = open.next_check, .request = request.id});
  const bool needs_claim = !request.key.empty() && !request.repeatable &&
                           !this->options.mutations.skip_claims;
  if (!needs_claim) {
    this->BeginAttempts(open, now);
    return;
  }
  open.claiming = true;
  this->effects.emplace_back(
      AskClaim{.request = request.id, .key = request.key});
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
      this->BeginAttempts(open, now);
      return;
    case wire::CLAIM_DONE:
      this->Close(request, wire::CLAIM_UNKNOWN,
                  PassRecorded{.request = request});
      return;
    case wire::CLAIM_LOST:
      this->Close(request, wire::CLAIM_UNKNOWN,
                  AnswerResult{.request = request,
                               .code = ResultCode::kOutcomeUnknown});
      return;
    case wire::CLAIM_MISMATCHED:
      this->Close(
          request, wire::CLAIM_UNKNOWN,
          AnswerResult{.request = request, .code = ResultCode::kClaimMismatch});
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

void Router::OnNews(const AttemptNews& news, TimePoint now) {
  OpenRequest* open = nullptr;
  OpenAttempt* attempt = this->FindAttempt(news.key, &open);
  if (attempt == nullptr)
    return;  // Late news of a request that has its answer.
  switch (news.state) {
    case wire::ATTEMPT_QUEUED:
    case wire::ATTEMPT_STARTED:
      if (attempt->phase == AttemptPhase::kSent ||
          attempt->phase == AttemptPhase::kBarring)
        attempt->phase = AttemptPhase::kAcknowledged;
      this->ScheduleCheck(*open);
      return;
    case wire::ATTEMPT_ANSWERED:
      this->scores.OnAnswered(attempt->endpoint, open->request.service,
                              now - attempt->sent);
      this->Close(open->request.id, wire::CLAIM_DONE,
                  PassAnswer{.request = open->request.id, .key = news.key});
      return;
    case wire::ATTEMPT_REFUSED:
    case wire::ATTEMPT_BARRED:
      attempt->phase = AttemptPhase::kNotRun;
      this->TryElsewhere(*open, news.code, now);
      return;
    case wire::ATTEMPT_FAILED:
      this->NoteFailure(attempt->endpoint, now);
      attempt->phase = AttemptPhase::kDoubtful;
      this->TryElsewhere(*open, ResultCode::kEndpointFailed, now);
      return;
    case wire::ATTEMPT_FOREIGN:
      attempt->phase = AttemptPhase::kDoubtful;
      this->TryElsewhere(*open, ResultCode::kOutcomeUnknown, now);
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
  this->endpoints.RemoveSilent(now);
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

void Router::BeginAttempts(OpenRequest& open, TimePoint now) {
  if (!this->StartAttempt(open, now))
    this->Finish(open, ResultCode::kNoEndpoint);
}

bool Router::StartAttempt(OpenRequest& open, TimePoint now) {
  const EndpointRecord* endpoint = this->Choose(open, now);
  if (endpoint == nullptr)
    return false;
  this->StartAttemptAt(open, *endpoint, now);
  return true;
}

// A hedge only helps where it need not wait long: on busy endpoints it would
// take the place of another request.
void Router::Hedge(OpenRequest& open, TimePoint now) {
  if (!this->MayRetry(open, now))
    return;
  const EndpointRecord* endpoint = this->Choose(open, now);
  const bool worth_it =
      endpoint != nullptr &&
      this->scores.Load(*endpoint, open.request.service) < kHedgeLoadLimit &&
      this->budget.SpendForHedge();
  if (!worth_it)
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
      now + std::min(this->options.acknowledge, remaining / 2);
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

// Two random candidates, of which the cheaper one is taken: that keeps load
// even without every entry running to the same idle endpoint. Candidates are
// those of the own zone as long as one of them has a free slot.
const EndpointRecord* Router::Choose(const OpenRequest& open, TimePoint now) {
  const std::string& service = open.request.service;
  const auto& all = this->endpoints.Of(service, "");
  if (this->options.use_random_choice)
    return this->Pick(this->Usable(open, all, now), service);
  const auto& near =
      this->endpoints.Of(service, this->options.availability_zone);
  const auto near_usable = this->Usable(open, near, now);
  const bool near_has_room =
      std::ranges::any_of(near_usable, [&](const EndpointRecord* record) {
        return this->scores.Load(*record, service) < kZoneLoadLimit;
      });
  if (near_has_room)
    return this->Pick(near_usable, service);
  return this->Pick(this->Usable(open, all, now), service);
}

// The endpoints of a list that may take the request; of a long list a random
// sample, so that a choice costs the same in a large estate. Ejected ones only
// where there is no other.
std::vector<const EndpointRecord*> Router::Usable(
    const OpenRequest& open,
    const std::vector<const EndpointRecord*>& list,
    TimePoint now) {
  std::vector<const EndpointRecord*> usable;
  std::vector<const EndpointRecord*> ejected;
  const bool sample = list.size() > kSampledAbove;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const EndpointRecord* record =
        sample ? list[this->Below(list.size())] : list[i];
    const bool tried =
        std::ranges::find(open.attempts, record->id, &OpenAttempt::endpoint) !=
        open.attempts.end();
    if (tried || !record->Serves(open.request.service, now))
      continue;
    if (this->scores.IsEjected(record->id, now))
      ejected.push_back(record);
    else
      usable.push_back(record);
    if (sample && usable.size() >= kSample)
      break;
  }
  return usable.empty() ? ejected : usable;
}

const EndpointRecord* Router::Pick(
    const std::vector<const EndpointRecord*>& candidates,
    const std::string& service) {
  if (candidates.empty())
    return nullptr;
  const EndpointRecord* first = candidates[this->Below(candidates.size())];
  if (this->options.use_random_choice)
    return first;
  const EndpointRecord* second = candidates[this->Below(candidates.size())];
  return this->scores.Cost(*first, service) <=
                 this->scores.Cost(*second, service)
             ? first
             : second;
}

std::size_t Router::Below(std::size_t limit) {
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
        AskClaim{.request = id, .key = open.request.key});
  }
  const std::size_t count = open.attempts.size();
  for (std::size_t i = 0; i < count; ++i)
    this->CheckAttempt(open, open.attempts[i], now);
  if (now >= open.hedge_deadline) {
    open.hedge_deadline = kNever;
    this->Hedge(open, now);
  }
  this->ScheduleCheck(open);
}

// No acknowledgement in time: the connection may carry nothing any more, so a
// fresh one takes a bar. A repeatable request also goes elsewhere at once.
void Router::CheckAttempt(OpenRequest& open,
                          OpenAttempt& attempt,
                          TimePoint now) {
  const bool waiting = attempt.phase == AttemptPhase::kSent ||
                       attempt.phase == AttemptPhase::kBarring;
  if (!waiting || now < attempt.check_deadline)
    return;
  const bool first = attempt.phase == AttemptPhase::kSent;
  attempt.phase = AttemptPhase::kBarring;
  attempt.check_deadline = now + this->options.acknowledge;
  this->NoteFailure(attempt.endpoint, now);
  if (!this->options.mutations.keep_silent_links)
    this->effects.emplace_back(ReplaceConnection{.link = attempt.link});
  this->effects.emplace_back(
      SendBar{.key = attempt.key,
              .link = attempt.link,
              .endpoint_incarnation = attempt.endpoint_incarnation});
  const bool go_on =
      open.request.repeatable || this->options.mutations.retry_in_doubt;
  if (first && go_on && this->MayRetry(open, now) &&
      (!this->options.use_retry_budget || this->budget.Spend())) {
    // May move `attempt`: it is not used after this line.
    if (this->StartAttempt(open, now))
      this->retry_count += 1;
  }
}

void Router::TryElsewhere(OpenRequest& open,
                          ResultCode refusal,
                          TimePoint now) {
  open.last_refusal = refusal;
  const bool others_open =
      std::ranges::any_of(open.attempts, [](const OpenAttempt& attempt) {
        return attempt.phase == AttemptPhase::kSent ||
               attempt.phase == AttemptPhase::kAcknowledged ||
               attempt.phase == AttemptPhase::kBarring;
      });
  if (others_open)
    return;
  const bool in_doubt =
      std::ranges::any_of(open.attempts, [](const OpenAttempt& attempt) {
        return attempt.phase == AttemptPhase::kDoubtful;
      });
  const bool allowed = !in_doubt || open.request.repeatable ||
                       this->options.mutations.retry_in_doubt;
  // A refusal costs the endpoints next to nothing, so trying another one is
  // only limited in number; what may have run counts against the budget.
  const bool free = !in_doubt || !this->options.use_retry_budget;
  const bool retry =
      allowed && this->MayRetry(open, now) && (free || this->budget.Spend());
  if (retry && this->StartAttempt(open, now)) {
    this->retry_count += 1;
    return;
  }
  this->Finish(open, refusal);
}

// Gives the system's own answer. Where any attempt may have run, the answer
// must not claim that the request did not.
void Router::Finish(OpenRequest& open, ResultCode code) {
  const bool certain =
      std::ranges::all_of(open.attempts, [](const OpenAttempt& attempt) {
        return attempt.phase == AttemptPhase::kNotRun;
      });
  const bool failed = code == ResultCode::kEndpointFailed;
  if (!certain && !failed && !this->options.mutations.doubt_is_not_run)
    code = ResultCode::kOutcomeUnknown;
  if (certain && open.claiming && code == ResultCode::kNotStartedInTime)
    code = ResultCode::kClaimUnavailable;
  wire::ClaimState claim = wire::CLAIM_UNKNOWN;
  if (!open.claiming)
    claim = certain ? wire::CLAIM_RELEASED : wire::CLAIM_LOST;
  const std::uint64_t id = open.request.id;
  this->Close(id, claim, AnswerResult{.request = id, .code = code});
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
    this->MarkEnded(attempt);
    const bool waiting = attempt.phase == AttemptPhase::kSent ||
                         attempt.phase == AttemptPhase::kAcknowledged;
    const auto* pass = std::get_if<PassAnswer>(&answer);
    const bool answered = pass != nullptr && pass->key == attempt.key;
    // The loser of a hedge need not run if it has not begun.
    if (waiting && !answered) {
      this->effects.emplace_back(
          SendBar{.key = attempt.key,
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
        attempt.phase == AttemptPhase::kBarring)
      next = std::min(next, attempt.check_deadline);
  }
  open.next_check = next;
  this->checks.insert({.deadline = next, .request = id});
}

void Router::MarkEnded(const OpenAttempt& attempt) {
  this->scores.OnEnded(attempt.endpoint);
  this->request_of_attempt.erase(attempt.key.counter);
}

void Router::NoteFailure(const std::string& endpoint, TimePoint now) {
  if (this->scores.OnFailure(endpoint, now))
    this->effects.emplace_back(EndpointEjected{.endpoint = endpoint});
}

bool Router::MayRetry(const OpenRequest& open, TimePoint now) const {
  return open.attempts.size() < kMostAttempts &&
         RemainingTime(now, open.request.deadline) > kLeastRemaining;
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
