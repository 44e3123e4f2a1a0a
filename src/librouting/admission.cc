#include "librouting/admission.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

// How long an ended attempt is remembered when its entry never says that it
// is closed; longer than any request's deadline and any entry's restart.
constexpr Milliseconds kRememberEnded{120'000};
constexpr Milliseconds kForgetCheckInterval{1000};
// Weight of the newest run in the mean run time.
constexpr int kMeanRunDivisor = 8;

bool IsUnfinished(wire::AttemptState state) {
  return state == wire::ATTEMPT_QUEUED || state == wire::ATTEMPT_STARTED;
}

}  // namespace

Admission::Admission(AdmissionOptions options) : options(std::move(options)) {}

void Admission::OnLocalEndpoint(const LocalEndpoint& endpoint, TimePoint now) {
  Service& service = this->services[endpoint.service];
  service.endpoint = endpoint;
  this->FillSlots(service, now);
}

void Admission::OnAttempt(const AttemptArrival& arrival, TimePoint now) {
  const auto known = this->attempts.find(arrival.key);
  if (known != this->attempts.end()) {
    this->Tell(arrival.key, known->second);
    return;
  }
  if (arrival.endpoint_incarnation != this->options.incarnation) {
    // Meant for the process that was here before: it may have run there.
    this->effects.emplace_back(
        TellAttempt{.key = arrival.key, .state = wire::ATTEMPT_FOREIGN});
    return;
  }
  // The entry has closed this attempt before it came: nobody waits for it,
  // and it may have been told to the caller as not run.
  if (!this->options.mutations.forget_attempts && this->IsClosed(arrival.key))
    return;
  this->ForgetClosed(arrival);
  AttemptRecord& record = this->attempts[arrival.key];
  record.service = arrival.service;
  record.deadline = arrival.deadline;
  const auto found = this->services.find(arrival.service);
  if (found == this->services.end()) {
    this->Refuse(arrival.key, ResultCode::kNoEndpoint, now);
    return;
  }
  Service& service = found->second;
  const ResultCode verdict = this->JudgeArrival(service, arrival, now);
  if (verdict != ResultCode::kOk) {
    this->Refuse(arrival.key, verdict, now);
    return;
  }
  if (service.running < service.endpoint.slots) {
    this->Start(service, arrival.key, now);
    return;
  }
  service.queue.insert({.deadline = arrival.deadline, .key = arrival.key});
  record.state = wire::ATTEMPT_QUEUED;
  this->Tell(arrival.key, record);
}

ResultCode Admission::JudgeArrival(const Service& service,
                                   const AttemptArrival& arrival,
                                   TimePoint now) const {
  if (this->leaving && !this->options.mutations.accept_while_leaving)
    return ResultCode::kLeaving;
  if (!this->IsServing(service, now))
    return ResultCode::kLeaving;
  if (arrival.deadline <= now)
    return ResultCode::kDeadlineTooShort;
  if (service.running < service.endpoint.slots)
    return ResultCode::kOk;
  const std::size_t limit =
      std::size_t{service.endpoint.slots} * this->options.queue_per_slot;
  if (service.queue.size() >= limit)
    return ResultCode::kOverloaded;
  // Those with an earlier deadline go first; each slot serves its share.
  const auto ahead = static_cast<std::int64_t>(
      std::distance(service.queue.begin(),
                    service.queue.lower_bound(
                        {.deadline = arrival.deadline, .key = arrival.key})));
  const auto slots = static_cast<std::int64_t>(service.endpoint.slots);
  const auto turns = ahead / slots + 1;
  const TimePoint expected_end = now + service.mean_run * (turns + 1);
  return expected_end > arrival.deadline ? ResultCode::kDeadlineTooShort
                                         : ResultCode::kOk;
}

void Admission::OnBar(const AttemptKey& key,
                      std::uint64_t endpoint_incarnation,
                      TimePoint now) {
  const auto known = this->attempts.find(key);
  if (known == this->attempts.end()) {
    if (endpoint_incarnation != this->options.incarnation) {
      this->effects.emplace_back(
          TellAttempt{.key = key, .state = wire::ATTEMPT_FOREIGN});
      return;
    }
    AttemptRecord record;
    record.state = wire::ATTEMPT_BARRED;
    record.code = ResultCode::kNotStartedInTime;
    // The attempt itself may still be on its way, for as long as it likes: it
    // stays barred until its entry closes it.
    this->Tell(key, record);
    if (!this->options.mutations.ignore_bars)
      this->attempts[key] = std::move(record);
    return;
  }
  AttemptRecord& record = known->second;
  if (record.state == wire::ATTEMPT_QUEUED) {
    Service& service = this->services[record.service];
    if (!this->options.mutations.ignore_bars)
      service.queue.erase({.deadline = record.deadline, .key = key});
    record.state = wire::ATTEMPT_BARRED;
    record.code = ResultCode::kNotStartedInTime;
    record.forget_deadline = now + kRememberEnded;
  }
  this->Tell(key, record);
}

void Admission::OnRunEnded(const AttemptKey& key,
                           bool answered,
                           TimePoint now) {
  const auto known = this->attempts.find(key);
  if (known == this->attempts.end())
    return;
  AttemptRecord& record = known->second;
  Service& service = this->services[record.service];
  service.running -= 1;
  service.mean_run +=
      (now - record.run_start - service.mean_run) / kMeanRunDivisor;
  record.state = answered ? wire::ATTEMPT_ANSWERED : wire::ATTEMPT_FAILED;
  record.code = answered ? ResultCode::kOk : ResultCode::kEndpointFailed;
  record.forget_deadline = now + kRememberEnded;
  this->Tell(key, record);
  this->FillSlots(service, now);
}

void Admission::OnTick(TimePoint now) {
  for (auto& [name, service] : this->services)
    this->FillSlots(service, now);
  if (now < this->forget_check_deadline)
    return;
  this->forget_check_deadline = now + kForgetCheckInterval;
  this->ForgetExpired(now);
}

void Admission::Leave(TimePoint now) {
  this->leaving = true;
  this->OnTick(now);
}

std::vector<AdmissionEffect> Admission::TakeEffects() {
  return std::exchange(this->effects, {});
}

std::vector<Admission::ServiceState> Admission::Services(TimePoint now) const {
  std::vector<ServiceState> states;
  for (const auto& [name, service] : this->services) {
    states.push_back(
        {.endpoint = service.endpoint,
         .running = service.running,
         .queued = static_cast<std::uint32_t>(service.queue.size()),
         .serving = !this->leaving && this->IsServing(service, now)});
  }
  return states;
}

const LocalEndpoint* Admission::FindEndpoint(const std::string& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? nullptr : &found->second.endpoint;
}

bool Admission::IsIdle() const {
  return std::ranges::all_of(this->services, [](const auto& item) {
    return item.second.running == 0 && item.second.queue.empty();
  });
}

void Admission::Refuse(const AttemptKey& key, ResultCode code, TimePoint now) {
  AttemptRecord& record = this->attempts[key];
  record.state = wire::ATTEMPT_REFUSED;
  record.code = code;
  record.forget_deadline = now + kRememberEnded;
  this->Tell(key, record);
  this->effects.emplace_back(ForgetAttempt{.key = key});
}

void Admission::Start(Service& service, const AttemptKey& key, TimePoint now) {
  AttemptRecord& record = this->attempts[key];
  record.state = wire::ATTEMPT_STARTED;
  record.run_start = now;
  service.running += 1;
  this->Tell(key, record);
  this->effects.emplace_back(RunAttempt{.key = key});
}

// A waiting attempt whose deadline has passed is refused, not run: its entry
// can then say so for certain.
void Admission::FillSlots(Service& service, TimePoint now) {
  while (!service.queue.empty()) {
    const Waiting first = *service.queue.begin();
    if (first.deadline <= now) {
      service.queue.erase(service.queue.begin());
      this->Refuse(first.key, ResultCode::kNotStartedInTime, now);
      continue;
    }
    if (service.running >= service.endpoint.slots)
      return;
    service.queue.erase(service.queue.begin());
    this->Start(service, first.key, now);
  }
}

void Admission::Tell(const AttemptKey& key, const AttemptRecord& record) {
  this->effects.emplace_back(
      TellAttempt{.key = key, .state = record.state, .code = record.code});
}

bool Admission::IsClosed(const AttemptKey& key) const {
  const auto found = this->entries.find(key.entry);
  if (found == this->entries.end())
    return false;
  const EntryProgress& progress = found->second;
  // Incarnations grow: an older one is a process that is gone, and with it
  // everybody who waited for its answers.
  if (key.entry_incarnation != progress.incarnation)
    return key.entry_incarnation < progress.incarnation;
  return key.counter < progress.oldest_open;
}

void Admission::ForgetClosed(const AttemptArrival& arrival) {
  EntryProgress& progress = this->entries[arrival.key.entry];
  std::uint64_t oldest = progress.oldest_open;
  if (progress.incarnation != arrival.key.entry_incarnation) {
    progress = {.incarnation = arrival.key.entry_incarnation};
    oldest = 0;
  }
  if (arrival.oldest_open <= oldest)
    return;
  progress.oldest_open = arrival.oldest_open;
  AttemptKey from = arrival.key;
  from.counter = oldest;
  AttemptKey to = arrival.key;
  to.counter = arrival.oldest_open;
  auto place = this->attempts.lower_bound(from);
  while (place != this->attempts.end() && place->first < to) {
    if (IsUnfinished(place->second.state)) {
      ++place;
      continue;
    }
    this->effects.emplace_back(ForgetAttempt{.key = place->first});
    place = this->attempts.erase(place);
  }
}

void Admission::ForgetExpired(TimePoint now) {
  for (auto place = this->attempts.begin(); place != this->attempts.end();) {
    if (now < place->second.forget_deadline) {
      ++place;
      continue;
    }
    this->effects.emplace_back(ForgetAttempt{.key = place->first});
    place = this->attempts.erase(place);
  }
}

bool Admission::IsServing(const Service& service, TimePoint now) const {
  return service.endpoint.serving && now < service.endpoint.valid_until;
}

}  // namespace savoryring
