#include "libjobs/job_admission.h"

#include <algorithm>

#include "libjobs/job_objectives.h"

namespace savoryring {
namespace {

// Copies of a refused call arrive within the default deadline of callers. A
// caller that comes back as told, after at least a second, is not held longer.
constexpr Milliseconds kMaxRefusalHold{3000};
// Bounds the memory of refusals; the oldest ids in sort order go first.
constexpr std::size_t kMaxRefusals = 10'000;
constexpr double kFullPercent = 100;

}  // namespace

void JobAdmission::OnProgress(const std::string& service,
                              const wire::JobStep& step,
                              std::uint32_t from_percent,
                              std::uint32_t to_percent,
                              std::chrono::nanoseconds elapsed,
                              TimePoint now) {
  if (step.lasting())
    return;
  const double share = to_percent > from_percent
                           ? (to_percent - from_percent) / kFullPercent
                           : 0;
  this->meters[service].AddProgress(
      {.work_class = WorkClassOf(step),
       .work = share * WorkOfTask(step),
       .progress_ms = share * step.estimated_ms(),
       .elapsed_ms =
           std::chrono::duration<double, std::milli>(elapsed).count()},
      now);
}

void JobAdmission::SetBacklogs(
    const std::map<std::string, std::array<bool, kWorkClasses>>& backlogs,
    TimePoint now) {
  for (const auto& [service, unused] : backlogs)
    this->meters.try_emplace(service);
  for (auto& [service, meter] : this->meters) {
    const auto found = backlogs.find(service);
    for (const WorkClass work_class :
         {WorkClass::kReserving, WorkClass::kBestEffort}) {
      const bool backlog = found != backlogs.end() &&
                           found->second[static_cast<std::size_t>(work_class)];
      meter.SetBacklog(work_class, backlog, now);
    }
  }
}

bool JobAdmission::HasBacklog(const std::string& service,
                              WorkClass work_class) const {
  const auto found = this->meters.find(service);
  return found != this->meters.end() && found->second.HasBacklog(work_class);
}

double JobAdmission::TypicalSpeed(const std::string& service,
                                  TimePoint now) const {
  const auto found = this->meters.find(service);
  return found == this->meters.end() ? 1 : found->second.TypicalSpeed(now);
}

WorkRates JobAdmission::Rates(const std::string& service,
                              std::uint32_t priority,
                              TimePoint now) const {
  WorkRates rates;
  const auto found = this->meters.find(service);
  if (found == this->meters.end())
    return rates;
  for (const WorkClass work_class :
       {WorkClass::kReserving, WorkClass::kBestEffort}) {
    const WorkMeter& meter = found->second;
    const std::optional<double> done = meter.Rate(work_class, now);
    if (!meter.HasBacklog(work_class) || !done)
      continue;
    rates[static_cast<std::size_t>(work_class)] = {
        .done = *done,
        .arriving = meter.ArrivalRate(work_class, priority, now)};
  }
  return rates;
}

void JobAdmission::OnProposed(const wire::JobSpec& spec,
                              const OpenJob& job,
                              TimePoint now) {
  for (const WorkClass work_class :
       {WorkClass::kReserving, WorkClass::kBestEffort}) {
    this->meters[spec.service()].AddArrival(
        work_class, spec.priority(),
        job.waiting[static_cast<std::size_t>(work_class)], now);
  }
  this->proposed.insert_or_assign(spec.id(),
                                  Proposed{.service = spec.service(),
                                           .queue = spec.queue(),
                                           .job = job,
                                           .held_bytes = HeldBytesOf(spec)});
}

void JobAdmission::AddProposedMemory(const std::string& queue,
                                     JobMemoryUse& use) const {
  for (const auto& [id, item] : this->proposed) {
    use.held_bytes += item.held_bytes;
    use.queue_held_bytes += item.queue == queue ? item.held_bytes : 0;
  }
}

void JobAdmission::AddProposed(const std::string& service,
                               std::vector<OpenJob>& open_jobs) const {
  for (const auto& [id, item] : this->proposed) {
    if (item.service == service)
      open_jobs.push_back(item.job);
  }
}

void JobAdmission::OnRefused(const std::string& id,
                             const RefuseJob& refusal,
                             TimePoint now) {
  std::erase_if(this->refused, [now](const auto& item) {
    return now >= item.second.held_until;
  });
  if (this->refused.size() >= kMaxRefusals)
    this->refused.erase(this->refused.begin());
  this->refused.insert_or_assign(
      id, Refused{.refusal = refusal,
                  .held_until = now + std::min<Milliseconds>(
                                          refusal.retry_after, kMaxRefusalHold),
                  .retry_time = now + refusal.retry_after});
}

std::optional<RefuseJob> JobAdmission::FindRefusal(const std::string& id,
                                                   TimePoint now) {
  const auto found = this->refused.find(id);
  if (found == this->refused.end() || now >= found->second.held_until)
    return std::nullopt;
  RefuseJob refusal = found->second.refusal;
  refusal.retry_after = std::max(
      std::chrono::seconds(1),
      std::chrono::ceil<std::chrono::seconds>(found->second.retry_time - now));
  return refusal;
}

}  // namespace savoryring
