#include "libplacement/scheduler.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

// A new leader waits this long for workers to show themselves before it calls
// a task impossible.
constexpr Milliseconds kParkDelay{5000};

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
    this->live.Forget(id);
  }
}

void Scheduler::AssignPending(const ControlState& state,
                              TimePoint now,
                              std::vector<wire::Command>& commands) {
  this->why_pending.clear();
  if (state.pending().empty())
    return;
  std::vector<Candidate> candidates = this->LiveCandidates(state, now);
  std::map<std::string, Resources> given;
  std::map<std::string, Resources> quotas;
  for (const TeamSpec& team : state.estate().estate().teams)
    quotas[team.name] = team.quota;
  wire::AssignTasks assign;
  std::size_t looked_at = 0;
  for (const PendingKey& key : state.pending()) {
    if (++looked_at > this->options.most_pending_looked_at ||
        static_cast<std::size_t>(assign.assignments_size()) >=
            this->options.most_assignments)
      break;
    const wire::TaskRecord& task = *state.FindTask(key.task);
    std::string why = this->WhyNotReady(state, task, now);
    if (!why.empty()) {
      this->why_pending[key.task] = std::move(why);
      continue;
    }
    Resources use = state.TeamUse(task.spec().team());
    use += given[task.spec().team()];
    use += ResourcesOf(task.spec());
    if (!use.FitsIn(quotas[task.spec().team()])) {
      this->why_pending[key.task] =
          "the quota of team " + task.spec().team() + " is used up";
      continue;
    }
    Candidate* chosen = this->ChooseWorker(task, candidates);
    if (chosen == nullptr) {
      this->why_pending[key.task] = "no live worker has room for it";
      this->ParkIfImpossible(state, task, now, commands);
      continue;
    }
    chosen->free = Difference(chosen->free, ResourcesOf(task.spec()));
    given[task.spec().team()] += ResourcesOf(task.spec());
    wire::Assignment* assignment = assign.add_assignments();
    assignment->set_task(task.id());
    assignment->set_epoch(task.epoch() + 1);
    assignment->set_worker(chosen->worker->record.description().id());
    assignment->set_worker_incarnation(chosen->worker->record.incarnation());
    assignment->set_why("it had the most room among the live workers");
  }
  if (assign.assignments_size() > 0)
    *commands.emplace_back().mutable_assign_tasks() = std::move(assign);
}

std::string Scheduler::WhyNotReady(const ControlState& state,
                                   const wire::TaskRecord& task,
                                   TimePoint now) const {
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
    if (usable) {
      candidates.push_back(
          {.worker = &worker,
           .free = Difference(worker.capacity, worker.committed)});
    }
  }
  return candidates;
}

Scheduler::Candidate* Scheduler::ChooseWorker(
    const wire::TaskRecord& task,
    std::vector<Candidate>& candidates) {
  const Resources need = ResourcesOf(task.spec());
  Candidate* best = nullptr;
  for (Candidate& candidate : candidates) {
    if (!need.FitsIn(candidate.free))
      continue;
    const std::string& id = candidate.worker->record.description().id();
    const bool failed_here = std::ranges::find(task.failed_workers(), id) !=
                             task.failed_workers().end();
    if (failed_here && !task.spec().monitor())
      continue;
    if (this->options.first_fit)
      return &candidate;
    if (best == nullptr || candidate.free.processors > best->free.processors)
      best = &candidate;
  }
  return best;
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
