// Connects the overload policy to the job table and to the agents' reports.

#include <algorithm>
#include <utility>

#include "libjobs/job_objectives.h"
#include "libjobs/job_scheduler.h"

namespace savoryring {
namespace {

// Short compared with the time that the policy needs for a measurement.
constexpr Milliseconds kBacklogCheckInterval{100};
constexpr double kFullPercent = 100;
constexpr double kMilli = 1000;

bool IsOfWorker(const JobWorker& worker,
                const std::string& service,
                const wire::JobStep& step) {
  const auto& labels = worker.description.labels();
  return worker.description.service() == service &&
         (step.required_label().empty() ||
          std::ranges::find(labels, step.required_label()) != labels.end());
}

// Whether an idle worker of this size could run a task of the step.
bool FitsWhenIdle(const JobWorker& worker, const wire::JobStep& step) {
  return (step.fills() || worker.description.cpu_milli() >= step.cpu_milli()) &&
         worker.description.memory_mb() >= step.memory_mb() &&
         worker.description.accelerators() >= step.accelerators();
}

// A job whose end does not depend on the work ahead of it, or can't be told.
bool HasNoEstimate(const wire::JobSpec& spec) {
  return spec.repeat_count() > 0 || LatencyObjectiveMs(spec) == 0 ||
         TotalWork(spec) == 0 ||
         std::ranges::any_of(spec.steps(), &wire::JobStep::lasting);
}

}  // namespace

// The progress since the last report, or until the end.
void JobScheduler::RecordProgress(const JobTable& table,
                                  const TaskKey& key,
                                  TrackedRun& run,
                                  std::uint32_t percent,
                                  TimePoint now) {
  if (!this->options.features.admission)
    return;
  const wire::JobStep* step = FindStep(table, key.step);
  if (step == nullptr || run.end_reported)
    return;
  // The time from the assignment to the start counts, as jobs wait for it too.
  // What an earlier run has done and saved is not done now.
  if (!std::exchange(run.counts, true))
    run.counted_percent = table.Task(key).checkpoint.empty() ? 0 : percent;
  this->admission.OnProgress(
      table.FindSequence(key.step.sequence)->spec.service(), *step,
      run.counted_percent, percent, now - run.counted_until, now);
  run.counted_percent = percent;
  run.counted_until = now;
}

std::optional<double> JobScheduler::TypicalSpeed(const std::string& service,
                                                 TimePoint now) const {
  if (!this->options.features.admission)
    return std::nullopt;
  return this->admission.TypicalSpeed(service, now);
}

// Whether a worker has room for a task of the step. Without a job there are no
// tasks on any worker that limit its spread.
bool JobScheduler::HasRoomFor(const std::string& service,
                              const wire::JobStep& step,
                              const FreeCapacity& capacity) const {
  return IsOfWorker(*capacity.worker, service, step) &&
         !capacity.on_probation && capacity.job_under_test == 0 &&
         capacity.memory_mb >= static_cast<std::int64_t>(step.memory_mb()) &&
         capacity.accelerators >= std::int64_t{step.accelerators()} &&
         (step.fills() ? this->BestEffortCost(capacity, step).has_value()
                       : capacity.cpu_milli >= std::int64_t{step.cpu_milli()});
}

// A step has a backlog if capacity is all that its tasks lack. Called after a
// decision that placed nothing: what waits now found no worker.
void JobScheduler::MeasureBacklog(const JobTable& table, TimePoint now) {
  if (!this->options.features.admission || now < this->next_backlog_check)
    return;
  this->next_backlog_check = now + kBacklogCheckInterval;
  const std::map<std::string, FreeCapacity> capacities =
      this->FreeCapacities(table, now);
  std::map<std::string, std::array<bool, kWorkClasses>> backlogs;
  double waiting_work = 0;
  for (const StepKey& key : this->waiting_queue.examined()) {
    const wire::JobStep& step = table.Step(key);
    const std::string& service =
        table.FindSequence(key.sequence)->spec.service();
    bool& backlog =
        backlogs[service][static_cast<std::size_t>(WorkClassOf(step))];
    waiting_work += table.State(key).waiting * WorkOfTask(step);
    if (step.lasting() || backlog)
      continue;
    bool lacks_capacity = false;
    bool has_room = false;
    for (const auto& [agent, capacity] : capacities) {
      const bool matches = IsOfWorker(*capacity.worker, service, step) &&
                           FitsWhenIdle(*capacity.worker, step);
      if (!matches)
        continue;
      const bool room = this->HasRoomFor(service, step, capacity);
      has_room = has_room || room;
      lacks_capacity = lacks_capacity || !room;
    }
    backlog = lacks_capacity && !has_room;
  }
  this->backlog_work = waiting_work / kMilli;
  this->admission.SetBacklogs(backlogs, now);
}

std::vector<OpenJob> JobScheduler::OpenJobsOf(const JobTable& table,
                                              const std::string& service,
                                              double typical_speed) const {
  std::map<std::uint64_t, WorkAmounts> progress;  // of running tasks, by job
  for (const auto& [agent, agent_state] : this->agents) {
    for (const auto& [key, run] : agent_state.runs) {
      const wire::JobStep* step = FindStep(table, key.step);
      if (step == nullptr || run.percent == 0)
        continue;
      progress[key.step.sequence]
              [static_cast<std::size_t>(WorkClassOf(*step))] +=
          WorkOfTask(*step) * std::min(run.percent / kFullPercent, 1.0);
    }
  }
  std::vector<OpenJob> open_jobs;
  for (const auto& [sequence, job] : table.jobs()) {
    if (!job.IsOpen() || job.spec.service() != service)
      continue;
    OpenJob& open = open_jobs.emplace_back(
        ToOpenJob(job, typical_speed, this->critical_paths));
    const auto found = progress.find(sequence);
    if (found == progress.end())
      continue;
    for (std::size_t i = 0; i < kWorkClasses; ++i)
      open.running[i] = std::max(0.0, open.running[i] - found->second[i]);
  }
  this->admission.AddProposed(service, open_jobs);
  return open_jobs;
}

// Reserving tasks are slowed by nobody: what lasting tasks leave of the
// workers' processors is an upper bound of their rate, and all of it is used
// for them where best-effort tasks merely hold memory at the moment.
double JobScheduler::ReservableRate(const JobTable& table,
                                    const std::string& service,
                                    TimePoint now) const {
  std::int64_t cpu_milli = 0;
  for (const auto& [agent, worker] : table.workers()) {
    const bool usable =
        worker.description.service() == service &&
        this->UnavailabilityOf(worker, now) == Unavailability::kNone;
    if (!usable)
      continue;
    cpu_milli += worker.description.cpu_milli();
    for (const TaskKey& key : worker.runs) {
      const wire::JobStep& step = table.Step(key.step);
      cpu_milli -= step.lasting() && !step.fills() ? step.cpu_milli() : 0;
    }
  }
  return std::max<double>(0, static_cast<double>(cpu_milli));
}

ArrivalDecision JobScheduler::DecideJobArrival(const JobTable& table,
                                               const wire::JobSpec& spec,
                                               std::uint64_t group_time_ms,
                                               TimePoint now) const {
  constexpr auto kReserving = static_cast<std::size_t>(WorkClass::kReserving);
  const std::string& service = spec.service();
  WorkRates rates = this->admission.Rates(service, spec.priority(), now);
  const double typical_speed = this->admission.TypicalSpeed(service, now);
  const OpenJob arriving = ToOpenJob(spec, group_time_ms, typical_speed);
  bool has_rate = false;
  for (std::size_t i = 0; i < kWorkClasses; ++i)
    has_rate = has_rate || (rates[i] && arriving.waiting[i] > 0);
  if (!has_rate || HasNoEstimate(spec))
    return PlaceJob();
  const std::map<std::string, FreeCapacity> capacities =
      this->FreeCapacities(table, now);
  constexpr int kMaxTriedSteps = 64;
  int tried_steps = 0;
  for (const wire::JobStep& step : spec.steps()) {
    if (!step.after().empty())
      continue;
    if (tried_steps++ == kMaxTriedSteps)
      break;
    const bool has_room =
        std::ranges::any_of(capacities, [&](const auto& item) {
          return this->HasRoomFor(service, step, item.second);
        });
    if (has_room)
      return PlaceJob();
  }
  if (rates[kReserving]) {
    rates[kReserving]->done = std::max(
        rates[kReserving]->done, this->ReservableRate(table, service, now));
  }
  return DecideArrival(arriving,
                       this->OpenJobsOf(table, service, typical_speed), rates,
                       group_time_ms);
}

std::optional<JobMemoryShortage> JobScheduler::FindMemoryShortage(
    const JobTable& table,
    const wire::JobSpec& spec) const {
  JobMemoryUse use{.held_bytes = table.held_bytes()};
  const auto queue = table.held_bytes_by_queue().find(spec.queue());
  if (queue != table.held_bytes_by_queue().end())
    use.queue_held_bytes = queue->second;
  this->admission.AddProposedMemory(spec.queue(), use);
  const std::uint64_t expiry_ms = table.NextExpiryMs();
  if (expiry_ms > 0) {
    use.next_expiry =
        Milliseconds(expiry_ms - std::min(expiry_ms, table.group_time_ms()));
  }
  return FindJobMemoryShortage(this->options.memory, use, HeldBytesOf(spec));
}

ArrivalDecision JobScheduler::DecideNewJob(const JobTable& table,
                                           const wire::JobSpec& spec,
                                           std::uint64_t group_time_ms,
                                           TimePoint now) const {
  if (const auto shortage = this->FindMemoryShortage(table, spec))
    return RefuseJob{.retry_after = shortage->retry_after,
                     .lacks_memory = true};
  if (!this->options.features.admission)
    return PlaceJob();
  return this->DecideJobArrival(table, spec, group_time_ms, now);
}

ArrivalDecision JobScheduler::AdmitJob(const JobTable& table,
                                       const wire::JobSpec& spec,
                                       bool may_refuse,
                                       std::uint64_t group_time_ms,
                                       TimePoint now) {
  if (table.Find(spec.id()) != nullptr || this->admission.IsProposed(spec.id()))
    return PlaceJob();
  if (const auto refusal = this->admission.FindRefusal(spec.id(), now))
    return *refusal;
  ArrivalDecision decision =
      may_refuse ? this->DecideNewJob(table, spec, group_time_ms, now)
                 : ArrivalDecision(PlaceJob());
  if (const auto* refusal = std::get_if<RefuseJob>(&decision))
    this->admission.OnRefused(spec.id(), *refusal, now);
  return decision;
}

void JobScheduler::OnJobProposed(const JobTable& table,
                                 const wire::JobSpec& spec,
                                 std::uint64_t group_time_ms,
                                 TimePoint now) {
  if (table.Find(spec.id()) != nullptr || this->admission.IsProposed(spec.id()))
    return;
  this->admission.OnProposed(
      spec,
      ToOpenJob(spec, group_time_ms,
                this->admission.TypicalSpeed(spec.service(), now)),
      now);
}

// Under overload, a best-effort job that starts with a few tasks holds their
// room until the last one has found a worker, and ends late together with the
// jobs that wait for that room.
bool JobScheduler::MustStartWhole(
    const JobTable& table,
    const StepKey& key,
    const std::map<std::string, FreeCapacity>& capacities) const {
  const Job& job = *table.FindSequence(key.sequence);
  const wire::JobStep& step = table.Step(key);
  const bool applies =
      this->options.features.admission && step.fills() && !step.lasting() &&
      job.assigned == 0 && !this->HasStarted(job) && !this->force_placement &&
      this->admission.HasBacklog(job.spec.service(), WorkClass::kBestEffort);
  if (!applies)
    return false;
  // Room that is kept free is lost meanwhile: long runs may free it slowly.
  constexpr Milliseconds kMaxWholeWait{2000};
  const auto waiting = this->waiting_since.find(key);
  if (waiting != this->waiting_since.end() &&
      this->decision_time > waiting->second + kMaxWholeWait)
    return false;
  // A step that takes a large part of the workers would wait for too long.
  constexpr std::size_t kMaxShareOfRuns = 3;
  std::size_t runs = 0;
  for (const auto& [agent, capacity] : capacities) {
    if (!IsOfWorker(*capacity.worker, job.spec.service(), step))
      continue;
    runs += static_cast<std::size_t>(std::ranges::count_if(
        capacity.runs,
        [](const ColocatedRun& run) { return run.best_effort; }));
  }
  return table.State(key).waiting * kMaxShareOfRuns <= runs;
}

bool JobScheduler::PlaceWhole(const JobTable& table,
                              const StepKey& key,
                              std::map<std::string, FreeCapacity>& capacities,
                              wire::JobCommand& command) {
  std::map<std::string, FreeCapacity> capacities_left = capacities;
  wire::JobCommand placed;
  this->PlaceStep(table, key, capacities_left, placed);
  if (std::cmp_less(placed.starts_size(), table.State(key).waiting))
    return false;
  capacities = std::move(capacities_left);
  for (const wire::TaskStart& start : placed.starts())
    *command.add_starts() = start;
  return true;
}

}  // namespace savoryring
