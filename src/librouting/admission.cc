#include "librouting/admission.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

// How long an ended attempt is recorded if its entry never reports it closed.
// Exceeds every request deadline and the restart time of an entry.
constexpr Milliseconds kEndedAttemptRetention{120'000};
constexpr Milliseconds kExpiryCheckInterval{1000};
// The newest run has a weight of 1 / kMeanRunTimeDivisor in the mean run time.
constexpr int kMeanRunTimeDivisor = 8;

bool IsUnfinished(wire::AttemptState state) {
  return state == wire::ATTEMPT_QUEUED || state == wire::ATTEMPT_STARTED;
}

}  // namespace

Admission::Admission(AdmissionOptions options) : options(std::move(options)) {}

void Admission::OnLocalEndpoint(const LocalEndpoint& endpoint, TimePoint now) {
  Service& service = this->services[endpoint.service];
  service.endpoint = endpoint;
  this->StartQueued(service, now);
}

void Admission::OnAttempt(const AttemptArrival& arrival, TimePoint now) {
  const auto known = this->attempts.find(arrival.key);
  if (known != this->attempts.end()) {
    this->ReportState(arrival.key, known->second);
    return;
  }
  if (arrival.endpoint_incarnation != this->options.incarnation) {
    // Addressed to an earlier endpoint process, which may have run it.
    this->effects.emplace_back(
        ReportAttempt{.key = arrival.key, .state = wire::ATTEMPT_FOREIGN});
    return;
  }
  // The entry closed this attempt before it arrived: no request waits for it,
  // and the caller may have been told that it did not run.
  if (!this->options.mutations.run_closed_attempts &&
      this->IsClosed(arrival.key))
    return;
  this->DiscardClosed(arrival);
  AttemptRecord& record = this->attempts[arrival.key];
  record.service = arrival.service;
  record.deadline = arrival.deadline;
  const auto found = this->services.find(arrival.service);
  if (found == this->services.end()) {
    this->Refuse(arrival.key, ResultCode::kNoEndpoint, now);
    return;
  }
  Service& service = found->second;
  const ResultCode code = this->CheckAdmission(service, arrival, now);
  if (code != ResultCode::kOk) {
    this->Refuse(arrival.key, code, now);
    return;
  }
  if (service.running < service.endpoint.slots) {
    this->Start(service, arrival.key, now);
    return;
  }
  service.queue.insert({.deadline = arrival.deadline, .key = arrival.key});
  record.state = wire::ATTEMPT_QUEUED;
  this->ReportState(arrival.key, record);
}

ResultCode Admission::CheckAdmission(const Service& service,
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
  // Attempts with an earlier deadline run first, spread evenly over the slots.
  const auto ahead = static_cast<std::int64_t>(
      std::distance(service.queue.begin(),
                    service.queue.lower_bound(
                        {.deadline = arrival.deadline, .key = arrival.key})));
  const auto slots = static_cast<std::int64_t>(service.endpoint.slots);
  const auto rounds = ahead / slots + 1;
  const TimePoint expected_end = now + service.mean_run_time * (rounds + 1);
  return expected_end > arrival.deadline ? ResultCode::kDeadlineTooShort
                                         : ResultCode::kOk;
}

void Admission::OnRevocation(const AttemptKey& key,
                             std::uint64_t endpoint_incarnation,
                             TimePoint now) {
  const auto known = this->attempts.find(key);
  if (known == this->attempts.end()) {
    if (endpoint_incarnation != this->options.incarnation) {
      this->effects.emplace_back(
          ReportAttempt{.key = key, .state = wire::ATTEMPT_FOREIGN});
      return;
    }
    AttemptRecord record;
    record.state = wire::ATTEMPT_BARRED;
    record.code = ResultCode::kNotStartedInTime;
    // The attempt may still be in transit, for an unbounded time: it stays
    // revoked, without a discard deadline, until its entry closes it.
    this->ReportState(key, record);
    if (!this->options.mutations.ignore_revocations)
      this->attempts[key] = std::move(record);
    return;
  }
  AttemptRecord& record = known->second;
  if (record.state == wire::ATTEMPT_QUEUED) {
    Service& service = this->services[record.service];
    if (!this->options.mutations.ignore_revocations)
      service.queue.erase({.deadline = record.deadline, .key = key});
    record.state = wire::ATTEMPT_BARRED;
    record.code = ResultCode::kNotStartedInTime;
    record.discard_deadline = now + kEndedAttemptRetention;
  }
  this->ReportState(key, record);
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
  service.mean_run_time +=
      (now - record.run_start - service.mean_run_time) / kMeanRunTimeDivisor;
  record.state = answered ? wire::ATTEMPT_ANSWERED : wire::ATTEMPT_FAILED;
  record.code = answered ? ResultCode::kOk : ResultCode::kEndpointFailed;
  record.discard_deadline = now + kEndedAttemptRetention;
  this->ReportState(key, record);
  this->StartQueued(service, now);
}

void Admission::OnTick(TimePoint now) {
  for (auto& [name, service] : this->services)
    this->StartQueued(service, now);
  if (now < this->expiry_check_deadline)
    return;
  this->expiry_check_deadline = now + kExpiryCheckInterval;
  this->DiscardExpired(now);
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
  record.discard_deadline = now + kEndedAttemptRetention;
  this->ReportState(key, record);
  this->effects.emplace_back(DiscardAttempt{.key = key});
}

void Admission::Start(Service& service, const AttemptKey& key, TimePoint now) {
  AttemptRecord& record = this->attempts[key];
  record.state = wire::ATTEMPT_STARTED;
  record.run_start = now;
  service.running += 1;
  this->ReportState(key, record);
  this->effects.emplace_back(RunAttempt{.key = key});
}

// Refuses a queued attempt whose deadline has passed, so that its entry can
// report with certainty that it did not run.
void Admission::StartQueued(Service& service, TimePoint now) {
  while (!service.queue.empty()) {
    const QueuedAttempt first = *service.queue.begin();
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

void Admission::ReportState(const AttemptKey& key,
                            const AttemptRecord& record) {
  this->effects.emplace_back(
      ReportAttempt{.key = key, .state = record.state, .code = record.code});
}

bool Admission::IsClosed(const AttemptKey& key) const {
  const auto found = this->entries.find(key.entry);
  if (found == this->entries.end())
    return false;
  const EntryProgress& progress = found->second;
  // Incarnations increase: an older one belongs to a process that has ended,
  // so no caller waits for its attempts any more.
  if (key.entry_incarnation != progress.incarnation)
    return key.entry_incarnation < progress.incarnation;
  return key.counter < progress.oldest_open;
}

void Admission::DiscardClosed(const AttemptArrival& arrival) {
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
  auto it = this->attempts.lower_bound(from);
  while (it != this->attempts.end() && it->first < to) {
    if (IsUnfinished(it->second.state)) {
      ++it;
      continue;
    }
    this->effects.emplace_back(DiscardAttempt{.key = it->first});
    it = this->attempts.erase(it);
  }
}

void Admission::DiscardExpired(TimePoint now) {
  for (auto it = this->attempts.begin(); it != this->attempts.end();) {
    if (now < it->second.discard_deadline) {
      ++it;
      continue;
    }
    this->effects.emplace_back(DiscardAttempt{.key = it->first});
    it = this->attempts.erase(it);
  }
}

bool Admission::IsServing(const Service& service, TimePoint now) const {
  return service.endpoint.serving && now < service.endpoint.valid_until;
}

}  // namespace savoryring
