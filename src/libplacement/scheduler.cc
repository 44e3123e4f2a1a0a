#include "libplacement/scheduler.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

// A new leader waits this long for workers to show themselves before it calls
// a task impossible.
constexpr Milliseconds kParkDelay{5000};
// Workers with room that are compared for one task.
constexpr std::size_t kMostCompared = 48;
// Cost of a full worker, where a service that passes its target costs one.
constexpr double kCrowdingWeight = 0.05;
// Wait before a failed task is tried again, doubled with each failure in a
// row up to this often, and forgotten after a time without one.
constexpr Milliseconds kFirstRetry{200};
constexpr int kMostDoublings = 7;
constexpr Milliseconds kForgetFailures{60'000};
// Wait before more room is made for the same urgent task.
constexpr Milliseconds kRoomRetry{1500};

Resources Difference(Resources a, const Resources& b) {
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
      live(options.watch, led_since),
      relief(options.relief),
      park_start(led_since + kParkDelay) {}

std::vector<wire::Command> Scheduler::OnHeartbeat(
    const ControlState& state,
    const wire::WorkerHeartbeat& heartbeat,
    std::uint64_t incarnation,
    TimePoint now) {
  const std::string& id = heartbeat.worker().id();
  std::vector<wire::Command> commands;
  this->live.OnHeartbeat(heartbeat, incarnation,
                         this->MayGrantLease(state, id, incarnation), now);
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
    const bool current = task != nullptr && HoldsWorker(task->state()) &&
                         task->worker() == id &&
                         task->epoch() == report.epoch();
    const bool news = report.state() != wire::TASK_RUNNING ||
                      (current && report.checkpoint() != task->checkpoint());
    const bool late = task != nullptr && IsLateNews(*task, report);
    if (current)
      this->NoteEnd(*task, report.state(), now);
    if ((current && news) || late)
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

// A task that fails, or a monitor that ends, is tried again after a wait that
// doubles, so that one that can never run does not fill the log.
void Scheduler::NoteEnd(const wire::TaskRecord& task,
                        wire::TaskRunState end,
                        TimePoint now) {
  const bool failed = end == wire::TASK_FAILED ||
                      (end == wire::TASK_FINISHED && task.spec().monitor());
  if (!failed)
    return;
  Backoff& backoff = this->backoffs[task.id()];
  if (now < backoff.next_try)
    return;  // the same end, reported again
  if (now > backoff.next_try + kForgetFailures)
    backoff.failures = 0;
  const int doublings = std::min(backoff.failures, kMostDoublings);
  backoff.next_try = now + kFirstRetry * (1 << doublings);
  backoff.failures += 1;
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
  this->LoseSilentWorkers(state, now, commands);
  for (wire::Command& command : this->relief.Decide(state, this->live, now))
    commands.push_back(std::move(command));
  this->AssignPending(state, now, commands);
  return commands;
}

std::string Scheduler::WhyPending(const std::string& task) const {
  const auto found = this->why_pending.find(task);
  return found == this->why_pending.end() ? "" : found->second;
}

void Scheduler::LoseSilentWorkers(const ControlState& state,
                                  TimePoint now,
                                  std::vector<wire::Command>& commands) {
  for (const auto& [id, worker] : state.workers()) {
    if (worker.record.lost() || !this->live.IsLost(id, now))
      continue;
    wire::LoseWorker* command = commands.emplace_back().mutable_lose_worker();
    command->set_worker(id);
    command->set_incarnation(worker.record.incarnation());
    this->live.Remove(id);
  }
}

void Scheduler::AssignPending(const ControlState& state,
                              TimePoint now,
                              std::vector<wire::Command>& commands) {
  this->why_pending.clear();
  if (state.pending().empty()) {
    this->room_deadlines.clear();
    return;
  }
  Round round;
  round.candidates = this->LiveCandidates(state, now);
  for (const TeamSpec& team : state.estate().estate().teams)
    round.quotas[team.name] = team.quota;
  std::size_t looked_at = 0;
  for (const PendingKey& key : state.pending()) {
    if (++looked_at > this->options.most_pending_looked_at ||
        static_cast<std::size_t>(round.assign.assignments_size()) >=
            this->options.most_assignments)
      break;
    this->Place(state, *state.FindTask(key.task), now, round, commands);
  }
  if (round.assign.assignments_size() > 0)
    *commands.emplace_back().mutable_assign_tasks() = std::move(round.assign);
}

void Scheduler::Place(const ControlState& state,
                      const wire::TaskRecord& task,
                      TimePoint now,
                      Round& round,
                      std::vector<wire::Command>& commands) {
  std::string& why = this->why_pending[task.id()];
  why = this->WhyNotReady(state, task, now);
  if (!why.empty())
    return;
  const std::string& team = task.spec().team();
  Resources use = state.TeamUse(team);
  use += round.given[team];
  use += ResourcesOf(task.spec());
  if (!use.FitsIn(round.quotas[team])) {
    why = "the quota of team " + team + " is used up";
    return;
  }
  Candidate* chosen = this->ChooseWorker(state, task, round);
  if (chosen == nullptr) {
    why = "no live worker has room for it";
    this->ParkIfImpossible(state, task, now, commands);
    if (task.spec().urgent() && this->options.use_preemption)
      this->MakeRoom(state, task, now, round, commands);
    return;
  }
  this->why_pending.erase(task.id());
  chosen->free = Difference(chosen->free, ResourcesOf(task.spec()));
  chosen->pressure[ClassOf(task.spec())] += task.spec().processors();
  round.given[team] += ResourcesOf(task.spec());
  wire::Assignment* assignment = round.assign.add_assignments();
  assignment->set_task(task.id());
  assignment->set_epoch(task.epoch() + 1);
  assignment->set_worker(chosen->worker->record.description().id());
  assignment->set_worker_incarnation(chosen->worker->record.incarnation());
  assignment->set_why(this->options.first_fit
                          ? "it was the first worker with room"
                          : "it cost services and other tasks the least there");
}

std::string Scheduler::WhyNotReady(const ControlState& state,
                                   const wire::TaskRecord& task,
                                   TimePoint now) const {
  const auto backoff = this->backoffs.find(task.id());
  if (backoff != this->backoffs.end() && now < backoff->second.next_try) {
    return "it failed " + std::to_string(backoff->second.failures) +
           " times in a row and is tried again in " +
           std::to_string(
               RemainingTime(now, backoff->second.next_try).count()) +
           " ms";
  }
  for (const std::string& name : task.spec().depends_on()) {
    if (!this->IsUp(state, name, now))
      return "it waits for " + name;
  }
  return "";
}

bool Scheduler::IsUp(const ControlState& state,
                     const std::string& name,
                     TimePoint now) const {
  const wire::TaskRecord* task = state.FindTask(name);
  if (task == nullptr)
    return this->live.IsServed(name, now);
  if (!task->spec().monitor())
    return task->state() == wire::TASK_STATE_FINISHED;
  return task->state() == wire::TASK_STATE_ASSIGNED &&
         this->live.IsRunning(task->worker(), name, task->epoch());
}

std::vector<Scheduler::Candidate> Scheduler::LiveCandidates(
    const ControlState& state,
    TimePoint now) const {
  std::vector<Candidate> candidates;
  for (const auto& [id, worker] : state.workers()) {
    const LiveWorker* seen = this->live.Find(id);
    const bool usable = seen != nullptr && now < seen->lease_bound &&
                        !seen->leaving &&
                        seen->incarnation == worker.record.incarnation() &&
                        !worker.record.lost() && !worker.record.draining() &&
                        !worker.record.leaving() &&
                        !(worker.record.quarantined() && !worker.tasks.empty());
    if (!usable)
      continue;
    Candidate candidate{.worker = &worker,
                        .live = seen,
                        .free = Difference(worker.capacity, worker.committed),
                        .pressure = PressureOn(worker, state)};
    double used = 0;
    for (const auto& [task, usage] : seen->usage)
      used += usage.processors();
    if (worker.capacity.processors > 0)
      candidate.used_share = used / worker.capacity.processors;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

// Looks at a limited number of workers with room, from a place that moves on,
// so that a decision costs the same in a large estate.
Scheduler::Candidate* Scheduler::ChooseWorker(const ControlState& state,
                                              const wire::TaskRecord& task,
                                              Round& round) {
  const Resources need = ResourcesOf(task.spec());
  const std::size_t count = round.candidates.size();
  Candidate* best = nullptr;
  double best_cost = 0;
  std::size_t compared = 0;
  const std::size_t start =
      this->options.first_fit || count == 0 ? 0 : this->next_candidate % count;
  for (std::size_t step = 0; step < count; ++step) {
    Candidate& candidate = round.candidates[(start + step) % count];
    if (!need.FitsIn(candidate.free))
      continue;
    const std::string& id = candidate.worker->record.description().id();
    const bool failed_here = std::ranges::find(task.failed_workers(), id) !=
                             task.failed_workers().end();
    if (failed_here && !task.spec().monitor())
      continue;
    if (this->options.first_fit)
      return &candidate;
    const double cost = this->CostOf(state, task, candidate);
    if (best == nullptr || cost < best_cost) {
      best = &candidate;
      best_cost = cost;
    }
    if (++compared >= kMostCompared)
      break;
  }
  this->next_candidate += compared;
  return best;
}

// What the task would cost there: how much later the services on that VM are
// expected to be, and, to a lesser degree, how full it is already. A service
// that is late anyway loses little more, so that noise beyond what the estate
// can spread gathers on few VMs.
double Scheduler::CostOf(const ControlState& state,
                         const wire::TaskRecord& task,
                         const Candidate& candidate) const {
  const double processors = std::max(1U, candidate.worker->capacity.processors);
  const double free_share = candidate.free.processors / processors;
  double cost = kCrowdingWeight * (1 - free_share);
  if (this->options.use_measured_use) {
    const double over = candidate.used_share - (1 - free_share);
    cost += std::max(0.0, over);
  }
  if (!this->options.use_interference || candidate.live->serving.empty())
    return cost;
  Pressure after = candidate.pressure;
  after[ClassOf(task.spec())] += task.spec().processors();
  const Estate& estate = state.estate().estate();
  for (const ServiceSpec& service : estate.services) {
    if (!candidate.live->serving.contains(service.name))
      continue;
    const double now =
        this->relief.model().RelativeLatency(service, candidate.pressure);
    const double then = this->relief.model().RelativeLatency(service, after);
    cost += LatenessCost(then) - LatenessCost(now);
  }
  return cost;
}

// An urgent task that finds no room takes that of one task that is neither
// urgent nor a monitor: the smallest whose going makes room.
void Scheduler::MakeRoom(const ControlState& state,
                         const wire::TaskRecord& task,
                         TimePoint now,
                         const Round& round,
                         std::vector<wire::Command>& commands) {
  TimePoint& deadline = this->room_deadlines[task.id()];
  if (now < deadline)
    return;
  const Resources need = ResourcesOf(task.spec());
  const wire::TaskRecord* victim = nullptr;
  for (const Candidate& candidate : round.candidates) {
    for (const std::string& id : candidate.worker->tasks) {
      const wire::TaskRecord& other = *state.FindTask(id);
      Resources freed = candidate.free;
      freed += ResourcesOf(other.spec());
      const bool suits = other.state() == wire::TASK_STATE_ASSIGNED &&
                         !other.spec().urgent() && !other.spec().monitor() &&
                         need.FitsIn(freed);
      if (suits && (victim == nullptr ||
                    other.spec().processors() < victim->spec().processors()))
        victim = &other;
    }
  }
  if (victim == nullptr)
    return;
  deadline = now + kRoomRetry;
  wire::StopTasks* command = commands.emplace_back().mutable_stop_tasks();
  command->add_tasks(victim->id());
  command->set_cause(wire::STOP_CAUSE_EVICTED);
  command->set_why("it makes room for urgent " + task.id());
}

void Scheduler::ParkIfImpossible(const ControlState& state,
                                 const wire::TaskRecord& task,
                                 TimePoint now,
                                 std::vector<wire::Command>& commands) {
  if (now < this->park_start || state.workers().empty())
    return;
  const Resources need = ResourcesOf(task.spec());
  const bool fits_one = std::ranges::any_of(
      state.workers(),
      [&need](const auto& item) { return need.FitsIn(item.second.capacity); });
  if (fits_one)
    return;
  wire::ParkTask* command = commands.emplace_back().mutable_park_task();
  command->set_task(task.id());
  command->set_why("it is larger than every known worker");
}

}  // namespace savoryring
