#include "libplacement/scheduler.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

// Time that a new leader gives workers to register before it parks tasks that
// fit no known worker.
constexpr Milliseconds kParkingDelay{5000};
// Upper bound on the workers with enough capacity that are compared for one
// task.
constexpr std::size_t kMaxComparedWorkers = 48;
// Cost of a fully committed worker, on the scale where a service that exceeds
// its latency target costs 1.
constexpr double kUtilizationWeight = 0.05;
// Retry delay after the first failure of a task. It doubles with each
// consecutive failure, up to a limit, and starts over after an interval without
// failures.
constexpr Milliseconds kInitialRetryDelay{200};
constexpr int kMaxBackoffDoublings = 7;
constexpr Milliseconds kFailureResetInterval{60'000};
// A task that takes its worker down does so mostly soon after it starts. One
// whose run has lasted this long is no longer suspected.
constexpr Milliseconds kSoundRunTime{60'000};
// Delay before a suspect is placed again. It doubles with each further loss, so
// that a task that takes down each of its workers costs at most one an hour.
constexpr Milliseconds kInitialLossDelay{5000};
constexpr Milliseconds kMaxLossDelay{3'600'000};
constexpr std::uint32_t kMaxLossDoublings = 10;
// How long a suspect waits for a worker without another one, so that the sound
// ones among them are not lost again with the one at fault. After the loss of
// zones in a row all suspects may be sound and outnumber the workers.
constexpr Milliseconds kMaxApartWait{30'000};
// Minimum time between two preemptions for the same urgent task.
constexpr Milliseconds kPreemptionInterval{1500};

Resources SaturatingDifference(Resources a, const Resources& b) {
  a.processors -= std::min(a.processors, b.processors);
  a.memory_mb -= std::min(a.memory_mb, b.memory_mb);
  a.accelerators -= std::min(a.accelerators, b.accelerators);
  return a;
}

bool SameDescription(const wire::WorkerDescription& a,
                     const wire::WorkerDescription& b) {
  return a.SerializeAsString() == b.SerializeAsString();
}

}  // namespace

Scheduler::Scheduler(SchedulerOptions options, TimePoint led_since)
    : options(options),
      worker_watch(options.watch, led_since),
      mitigator(options.mitigation),
      earliest_parking_time(led_since + kParkingDelay) {}

std::vector<wire::Command> Scheduler::OnHeartbeat(
    const ControlState& state,
    const wire::WorkerHeartbeat& heartbeat,
    std::uint64_t incarnation,
    TimePoint now) {
  const std::string& id = heartbeat.worker().id();
  std::vector<wire::Command> commands;
  this->worker_watch.OnHeartbeat(
      heartbeat, incarnation, this->MayGrantLease(state, id, incarnation), now);
  const WorkerState* worker = state.FindWorker(id);
  const bool registered =
      worker != nullptr && !worker->record.lost() &&
      worker->record.incarnation() == incarnation &&
      SameDescription(worker->record.description(), heartbeat.worker());
  if (!registered) {
    wire::Command& command = commands.emplace_back();
    *command.mutable_register_worker()->mutable_description() =
        heartbeat.worker();
    command.mutable_register_worker()->set_incarnation(incarnation);
    return commands;
  }
  wire::ReportTasks reports;
  for (const wire::TaskReport& report : heartbeat.reports()) {
    const wire::TaskRecord* task = state.FindTask(report.task());
    const bool is_current = task != nullptr && HoldsWorker(task->state()) &&
                            task->worker() == id &&
                            task->epoch() == report.epoch();
    const bool has_change =
        report.state() != wire::TASK_RUNNING ||
        (is_current && report.checkpoint() != task->checkpoint());
    const bool is_late = task != nullptr && IsLateReport(*task, report);
    if (is_current)
      this->UpdateBackoff(*task, report.state(), now);
    if (is_current && report.state() == wire::TASK_RUNNING)
      this->ProveIfSound(*task, now, commands);
    if ((is_current && has_change) || is_late)
      *reports.add_reports() = report;
  }
  if (reports.reports_size() > 0) {
    reports.set_worker(id);
    reports.set_incarnation(incarnation);
    *commands.emplace_back().mutable_report_tasks() = std::move(reports);
  }
  if (heartbeat.leaving() && !worker->record.leaving()) {
    wire::Command& command = commands.emplace_back();
    command.mutable_drain_worker()->set_worker(id);
    command.mutable_drain_worker()->set_leaving(true);
  }
  return commands;
}

// A failed task or an ended monitor is retried with exponential backoff, so
// that one that can never run does not flood the replicated log.
void Scheduler::UpdateBackoff(const wire::TaskRecord& task,
                              wire::TaskRunState run_state,
                              TimePoint now) {
  const bool failed =
      run_state == wire::TASK_FAILED ||
      (run_state == wire::TASK_FINISHED && task.spec().monitor());
  if (!failed)
    return;
  Backoff& backoff = this->backoffs[task.id()];
  if (now < backoff.retry_time)
    return;  // a repeated report of the same end
  if (now > backoff.retry_time + kFailureResetInterval)
    backoff.failures = 0;
  const int doublings = std::min(backoff.failures, kMaxBackoffDoublings);
  backoff.retry_time = now + kInitialRetryDelay * (1 << doublings);
  backoff.failures += 1;
}

void Scheduler::ProveIfSound(const wire::TaskRecord& task,
                             TimePoint now,
                             std::vector<wire::Command>& commands) {
  if (task.lost_runs() == 0)
    return;
  Trial& trial = this->trials[task.id()];
  if (trial.epoch != task.epoch())
    trial = {.epoch = task.epoch(), .proven_time = now + kSoundRunTime};
  if (now < trial.proven_time)
    return;
  wire::ProveTask* command = commands.emplace_back().mutable_prove_task();
  command->set_task(task.id());
  command->set_epoch(task.epoch());
}

void Scheduler::ForgetOldLosses(const ControlState& state) {
  std::erase_if(this->trials, [&state](const auto& item) {
    const wire::TaskRecord* task = state.FindTask(item.first);
    return task == nullptr || task->lost_runs() == 0 ||
           task->epoch() != item.second.epoch;
  });
  std::erase_if(this->loss_delays, [&state](const auto& item) {
    const wire::TaskRecord* task = state.FindTask(item.first);
    return task == nullptr || task->lost_runs() != item.second.lost_runs;
  });
}

// A new leader begins the delay anew, as only the count is replicated.
void Scheduler::UpdateLossDelay(const wire::TaskRecord& task, TimePoint now) {
  if (!IsSuspect(task) || this->loss_delays.contains(task.id()))
    return;
  const std::uint32_t doublings =
      std::min(task.lost_runs() - kMinLossesOfSuspect, kMaxLossDoublings);
  const Milliseconds delay =
      std::min(kInitialLossDelay * (1U << doublings), kMaxLossDelay);
  this->loss_delays[task.id()] = {.lost_runs = task.lost_runs(),
                                  .retry_time = now + delay,
                                  .apart_until = now + delay + kMaxApartWait};
}

bool Scheduler::MustRunApart(const wire::TaskRecord& task,
                             TimePoint now) const {
  const auto found = this->loss_delays.find(task.id());
  return found != this->loss_delays.end() && now < found->second.apart_until;
}

bool Scheduler::MayGrantLease(const ControlState& state,
                              const std::string& worker,
                              std::uint64_t incarnation) const {
  const WorkerState* found = state.FindWorker(worker);
  return found != nullptr && !found->record.lost() &&
         found->record.incarnation() == incarnation;
}

std::vector<wire::Command> Scheduler::Decide(const ControlState& state,
                                             TimePoint now) {
  std::vector<wire::Command> commands;
  this->DeclareLostWorkers(state, now, commands);
  for (wire::Command& command :
       this->mitigator.Decide(state, this->worker_watch, now))
    commands.push_back(std::move(command));
  this->AssignPendingTasks(state, now, commands);
  return commands;
}

std::string Scheduler::PendingReason(const std::string& task) const {
  const auto found = this->pending_reasons.find(task);
  return found == this->pending_reasons.end() ? "" : found->second;
}

void Scheduler::DeclareLostWorkers(const ControlState& state,
                                   TimePoint now,
                                   std::vector<wire::Command>& commands) {
  for (const auto& [id, worker] : state.workers()) {
    if (worker.record.lost() || !this->worker_watch.IsLost(id, now))
      continue;
    wire::LoseWorker* command = commands.emplace_back().mutable_lose_worker();
    command->set_worker(id);
    command->set_incarnation(worker.record.incarnation());
    this->worker_watch.Remove(id);
  }
}

void Scheduler::AssignPendingTasks(const ControlState& state,
                                   TimePoint now,
                                   std::vector<wire::Command>& commands) {
  this->pending_reasons.clear();
  this->ForgetOldLosses(state);
  if (state.pending().empty()) {
    this->next_preemption_times.clear();
    return;
  }
  AssignmentRound round;
  round.candidates = this->CollectCandidates(state, now);
  for (const TeamSpec& team : state.estate().estate().teams)
    round.quota_by_team[team.name] = team.quota;
  std::size_t examined = 0;
  for (const PendingKey& key : state.pending()) {
    if (++examined > this->options.max_pending_examined ||
        static_cast<std::size_t>(round.command.assignments_size()) >=
            this->options.max_assignments_per_command)
      break;
    this->PlaceTask(state, *state.FindTask(key.task), now, round, commands);
  }
  if (round.command.assignments_size() > 0)
    *commands.emplace_back().mutable_assign_tasks() = std::move(round.command);
}

void Scheduler::PlaceTask(const ControlState& state,
                          const wire::TaskRecord& task,
                          TimePoint now,
                          AssignmentRound& round,
                          std::vector<wire::Command>& commands) {
  std::string& reason = this->pending_reasons[task.id()];
  this->UpdateLossDelay(task, now);
  reason = this->NotReadyReason(state, task, now);
  if (!reason.empty())
    return;
  const std::string& team = task.spec().team();
  Resources usage = state.TeamUsage(team);
  usage += round.assigned_by_team[team];
  usage += ResourcesOf(task.spec());
  if (!usage.FitsIn(round.quota_by_team[team])) {
    reason = "the quota of team " + team + " is used up";
    return;
  }
  const bool apart = this->MustRunApart(task, now);
  Candidate* chosen = this->ChooseWorker(state, task, apart, round);
  if (chosen == nullptr && apart) {
    reason = "its workers were lost " + std::to_string(task.lost_runs()) +
             " times in a row; it waits for one with room and without another "
             "such task";
    return;
  }
  if (chosen == nullptr) {
    reason = "no live worker has room for it";
    this->ParkIfUnplaceable(state, task, now, commands);
    if (task.spec().urgent() && this->options.use_preemption)
      this->Preempt(state, task, now, round, commands);
    return;
  }
  this->pending_reasons.erase(task.id());
  chosen->free = SaturatingDifference(chosen->free, ResourcesOf(task.spec()));
  chosen->pressure[InterferenceClassOf(task.spec())] +=
      task.spec().processors();
  chosen->has_suspect = chosen->has_suspect || IsSuspect(task);
  round.assigned_by_team[team] += ResourcesOf(task.spec());
  wire::Assignment* assignment = round.command.add_assignments();
  assignment->set_task(task.id());
  assignment->set_epoch(task.epoch() + 1);
  assignment->set_worker(chosen->worker->record.description().id());
  assignment->set_worker_incarnation(chosen->worker->record.incarnation());
  assignment->set_why(this->options.first_fit
                          ? "it was the first worker with room"
                          : "it cost services and other tasks the least there");
}

std::string Scheduler::NotReadyReason(const ControlState& state,
                                      const wire::TaskRecord& task,
                                      TimePoint now) const {
  const auto backoff = this->backoffs.find(task.id());
  if (backoff != this->backoffs.end() && now < backoff->second.retry_time) {
    return "it failed " + std::to_string(backoff->second.failures) +
           " times in a row and is tried again in " +
           std::to_string(
               RemainingTime(now, backoff->second.retry_time).count()) +
           " ms";
  }
  const auto delay = this->loss_delays.find(task.id());
  if (delay != this->loss_delays.end() && now < delay->second.retry_time) {
    return "its workers were lost " + std::to_string(task.lost_runs()) +
           " times in a row without progress of it; it is tried again in " +
           std::to_string(
               RemainingTime(now, delay->second.retry_time).count()) +
           " ms";
  }
  for (const std::string& dependency : task.spec().depends_on()) {
    if (!this->IsDependencyReady(state, dependency, now))
      return "it waits for " + dependency;
  }
  return "";
}

bool Scheduler::IsDependencyReady(const ControlState& state,
                                  const std::string& dependency,
                                  TimePoint now) const {
  const wire::TaskRecord* task = state.FindTask(dependency);
  if (task == nullptr)
    return this->worker_watch.IsServed(dependency, now);
  if (!task->spec().monitor())
    return task->state() == wire::TASK_STATE_FINISHED;
  return task->state() == wire::TASK_STATE_ASSIGNED &&
         this->worker_watch.IsRunning(task->worker(), dependency,
                                      task->epoch());
}

std::vector<Scheduler::Candidate> Scheduler::CollectCandidates(
    const ControlState& state,
    TimePoint now) const {
  std::vector<Candidate> candidates;
  for (const auto& [id, worker] : state.workers()) {
    const LiveWorker* live = this->worker_watch.Find(id);
    const bool usable =
        live != nullptr && now < live->lease_bound && !live->leaving &&
        live->incarnation == worker.record.incarnation() &&
        !worker.record.lost() && !worker.record.draining() &&
        !worker.record.leaving() && !state.IsEvacuated(worker) &&
        !(worker.record.quarantined() && !worker.tasks.empty());
    if (!usable)
      continue;
    Candidate candidate{
        .worker = &worker,
        .live = live,
        .free = SaturatingDifference(worker.capacity, worker.committed),
        .pressure = PressureOn(worker, state),
        .has_suspect = std::ranges::any_of(
            worker.tasks, [&state](const std::string& task) {
              return IsSuspect(*state.FindTask(task));
            })};
    double used_processors = 0;
    for (const auto& [task, usage] : live->usage)
      used_processors += usage.processors();
    if (worker.capacity.processors > 0)
      candidate.measured_utilization =
          used_processors / worker.capacity.processors;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

// Compares a bounded number of workers with enough capacity, starting at an
// offset that rotates between calls, so that the cost of a decision does not
// grow with the estate.
Scheduler::Candidate* Scheduler::ChooseWorker(const ControlState& state,
                                              const wire::TaskRecord& task,
                                              bool apart_from_suspects,
                                              AssignmentRound& round) {
  const Resources need = ResourcesOf(task.spec());
  const std::size_t count = round.candidates.size();
  Candidate* best = nullptr;
  double best_cost = 0;
  std::size_t compared = 0;
  const std::size_t start = this->options.first_fit || count == 0
                                ? 0
                                : this->candidate_offset % count;
  for (std::size_t step = 0; step < count; ++step) {
    Candidate& candidate = round.candidates[(start + step) % count];
    if (!need.FitsIn(candidate.free) ||
        (apart_from_suspects && candidate.has_suspect))
      continue;
    const std::string& id = candidate.worker->record.description().id();
    const bool failed_on_worker =
        std::ranges::find(task.failed_workers(), id) !=
        task.failed_workers().end();
    if (failed_on_worker && !task.spec().monitor())
      continue;
    if (this->options.first_fit)
      return &candidate;
    const double cost = this->PlacementCost(state, task, candidate);
    if (best == nullptr || cost < best_cost) {
      best = &candidate;
      best_cost = cost;
    }
    if (++compared >= kMaxComparedWorkers)
      break;
  }
  this->candidate_offset += compared;
  return best;
}

// Cost of placing the task on the candidate: the expected increase in latency
// cost of the services on that VM and, with a smaller weight, how full the
// worker already is. A service far above its target adds little further cost,
// so that interference that the estate cannot spread out concentrates on few
// VMs.
double Scheduler::PlacementCost(const ControlState& state,
                                const wire::TaskRecord& task,
                                const Candidate& candidate) const {
  const double processors = std::max(1U, candidate.worker->capacity.processors);
  const double free_share = candidate.free.processors / processors;
  double cost = kUtilizationWeight * (1 - free_share);
  if (this->options.use_measured_usage) {
    const double uncommitted_use =
        candidate.measured_utilization - (1 - free_share);
    cost += std::max(0.0, uncommitted_use);
  }
  if (!this->options.use_interference || candidate.live->serving.empty())
    return cost;
  Pressure pressure_after = candidate.pressure;
  pressure_after[InterferenceClassOf(task.spec())] += task.spec().processors();
  const Estate& estate = state.estate().estate();
  for (const ServiceSpec& service : estate.services) {
    if (!candidate.live->serving.contains(service.name))
      continue;
    const double latency_before =
        this->mitigator.model().RelativeLatency(service, candidate.pressure);
    const double latency_after =
        this->mitigator.model().RelativeLatency(service, pressure_after);
    cost += LatencyCost(latency_after) - LatencyCost(latency_before);
  }
  return cost;
}

// Evicts one task in favour of an urgent task that fits on no worker: the task
// with the fewest processors, neither urgent nor a monitor, whose eviction
// frees enough resources.
void Scheduler::Preempt(const ControlState& state,
                        const wire::TaskRecord& task,
                        TimePoint now,
                        const AssignmentRound& round,
                        std::vector<wire::Command>& commands) {
  TimePoint& next_preemption = this->next_preemption_times[task.id()];
  if (now < next_preemption)
    return;
  const Resources need = ResourcesOf(task.spec());
  const wire::TaskRecord* victim = nullptr;
  for (const Candidate& candidate : round.candidates) {
    for (const std::string& id : candidate.worker->tasks) {
      const wire::TaskRecord& other = *state.FindTask(id);
      Resources freed = candidate.free;
      freed += ResourcesOf(other.spec());
      const bool eligible = other.state() == wire::TASK_STATE_ASSIGNED &&
                            !other.spec().urgent() && !other.spec().monitor() &&
                            need.FitsIn(freed);
      if (eligible && (victim == nullptr ||
                       other.spec().processors() < victim->spec().processors()))
        victim = &other;
    }
  }
  if (victim == nullptr)
    return;
  next_preemption = now + kPreemptionInterval;
  wire::StopTasks* command = commands.emplace_back().mutable_stop_tasks();
  command->add_tasks(victim->id());
  command->set_cause(wire::STOP_CAUSE_EVICTED);
  command->set_why("it makes room for urgent " + task.id());
}

void Scheduler::ParkIfUnplaceable(const ControlState& state,
                                  const wire::TaskRecord& task,
                                  TimePoint now,
                                  std::vector<wire::Command>& commands) {
  if (now < this->earliest_parking_time || state.workers().empty())
    return;
  const Resources need = ResourcesOf(task.spec());
  const bool fits_any_worker = std::ranges::any_of(
      state.workers(),
      [&need](const auto& item) { return need.FitsIn(item.second.capacity); });
  if (fits_any_worker)
    return;
  wire::ParkTask* command = commands.emplace_back().mutable_park_task();
  command->set_task(task.id());
  command->set_why("it is larger than every known worker");
}

}  // namespace savoryring
