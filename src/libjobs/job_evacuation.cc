// Empties the workers of evacuated zones: withdraws what has not begun there
// and moves lasting runs to other workers. Other runs continue to their end.

#include <algorithm>
#include <utility>

#include "libjobs/job_scheduler.h"

namespace savoryring {
namespace {

constexpr std::uint32_t kFullPercent = 100;
// An agent reports every 500 ms. What it has not reported for longer than this
// may have ended.
constexpr Milliseconds kMaxReportAge{800};
// A stop and the placement that follows take well below this. Afterwards the
// room is free for others, and the task is placed like others.
constexpr Milliseconds kPromiseTime{10'000};

}  // namespace

void JobScheduler::SetEvacuatedZones(std::set<std::string> zones) {
  this->evacuation.SetZones(std::move(zones));
}

bool JobScheduler::IsEvacuated(const JobWorker& worker) const {
  return this->evacuation.Contains(worker.description.availability_zone());
}

// As long as the agent has no list, it is not known what has begun; the agent
// then starts nothing either way.
void JobScheduler::WithdrawFromEvacuatedZone(const JobTable& table,
                                             const JobWorker& worker,
                                             AgentState& agent_state) {
  if (!this->IsEvacuated(worker) || !agent_state.has_list)
    return;
  for (const TaskKey& key : worker.runs) {
    TrackedRun& run = agent_state.runs[key];
    if (run.begun || run.end_reported || std::exchange(run.moving, true))
      continue;
    this->moved_runs.push_back(
        {.task = TaskNameText(table.NameOf(key)),
         .agent = worker.description.agent(),
         .why = "its zone is evacuated and it has not begun"});
  }
}

// Whether the run is fully started, as its agent has just reported.
bool JobScheduler::IsAvailable(const TaskKey& key,
                               const JobTask& task,
                               TimePoint now) const {
  const auto agent = this->agents.find(task.agent);
  if (task.state != JobTaskState::kAssigned || agent == this->agents.end())
    return false;
  const AgentState& agent_state = agent->second;
  const auto found = agent_state.runs.find(key);
  return found != agent_state.runs.end() && found->second.run == task.run &&
         found->second.reported && !found->second.moving &&
         !found->second.end_reported && found->second.percent == kFullPercent &&
         !agent_state.worker_gone && agent_state.list_is_current &&
         now < agent_state.last_report + kMaxReportAge;
}

// Needs no memory of earlier moves, so that a new leader decides alike: any
// task that has left an evacuated zone, or runs for the second time and is not
// available yet, may be one that is being moved. One that fails time and again
// before it is available does not hold up the others.
LastingTaskPlace JobScheduler::PlaceOf(const JobTable& table,
                                       const TaskKey& key,
                                       TimePoint now) const {
  const JobTask& task = table.Task(key);
  const JobWorker* worker = table.FindWorker(task.agent);
  const bool in_zone = worker != nullptr && this->IsEvacuated(*worker);
  if (this->IsAvailable(key, task, now))
    return in_zone ? LastingTaskPlace::kMustMove : LastingTaskPlace::kStays;
  if (this->lasting_retries.contains(key))
    return LastingTaskPlace::kAway;
  if (task.state == JobTaskState::kWaiting)
    return in_zone ? LastingTaskPlace::kMoving : LastingTaskPlace::kAway;
  const auto agent = this->agents.find(task.agent);
  const bool stopping = agent != this->agents.end() &&
                        agent->second.runs.contains(key) &&
                        agent->second.runs.at(key).moving;
  const bool starting_again = !in_zone && task.run > 1;
  return stopping || starting_again ? LastingTaskPlace::kMoving
                                    : LastingTaskPlace::kAway;
}

std::set<StepKey> JobScheduler::LastingStepsToMove(
    const JobTable& table) const {
  std::set<StepKey> steps;
  for (const auto& [agent, worker] : table.workers()) {
    if (worker.lost || !this->IsEvacuated(worker))
      continue;
    for (const TaskKey& key : worker.runs) {
      const wire::JobStep& step = table.Step(key.step);
      const bool open = table.FindSequence(key.step.sequence)->IsOpen();
      // A gang that loses one member loses all of them.
      if (open && step.lasting() && !step.gang())
        steps.insert(key.step);
    }
  }
  return steps;
}

JobScheduler::FreeCapacity* JobScheduler::FindRoomOutside(
    const JobTable& table,
    const StepKey& key,
    std::map<std::string, FreeCapacity>& capacities) const {
  const std::string& job = table.FindSequence(key.sequence)->spec.id();
  FreeCapacity* best = nullptr;
  std::int64_t best_cost = 0;
  for (auto& [agent, capacity] : capacities) {
    if (capacity.on_probation ||
        this->failure_attribution.HasFailedOn(job, agent))
      continue;
    const auto cost = this->PlacementCost(table, key, capacity, false);
    if (!cost || (best != nullptr && *cost >= best_cost))
      continue;
    best = &capacity;
    best_cost = *cost;
  }
  return best;
}

// `command` holds the starts of this decision, which take rooms as well.
void JobScheduler::MoveLastingRuns(const JobTable& table,
                                   TimePoint now,
                                   const wire::JobCommand& command) {
  if (this->evacuation.zones().empty() || now < this->next_evacuation_check)
    return;
  this->next_evacuation_check = now + this->options.evacuation_check_interval;
  const std::set<StepKey> steps = this->LastingStepsToMove(table);
  if (steps.empty())
    return;
  std::map<std::string, FreeCapacity> capacities =
      this->FreeCapacities(table, now);
  for (const wire::TaskStart& start : command.starts()) {
    const auto found = capacities.find(start.agent());
    const StepKey key = table.KeyOf(start.task()).step;
    if (found != capacities.end())
      found->second.Take(key, table.Step(key));
  }
  for (const StepKey& key : steps) {
    std::vector<LastingTaskPlace> places;
    const auto count =
        static_cast<std::uint32_t>(table.State(key).tasks.size());
    for (std::uint32_t index = 0; index < count; ++index)
      places.push_back(
          this->PlaceOf(table, {.step = key, .index = index}, now));
    // A suspect is placed under conditions of its own.
    for (std::uint32_t index = 0; index < count; ++index) {
      if (places[index] == LastingTaskPlace::kMustMove &&
          table.suspects().contains({.step = key, .index = index}))
        places[index] = LastingTaskPlace::kStays;
    }
    const wire::JobStep& step = table.Step(key);
    const auto next = NextTaskToMove(places, step.disruption_budget());
    FreeCapacity* target =
        next ? this->FindRoomOutside(table, key, capacities) : nullptr;
    if (target == nullptr)
      continue;
    target->Take(key, step);
    this->MoveLastingRun(table, {.step = key, .index = *next},
                         target->worker->description.agent(), now);
  }
}

void JobScheduler::MoveLastingRun(const JobTable& table,
                                  const TaskKey& key,
                                  const std::string& target,
                                  TimePoint now) {
  const std::string& agent = table.Task(key).agent;
  this->agents.at(agent).runs.at(key).moving = true;
  this->evacuation.AddPromise(key, target, now + kPromiseTime);
  this->moved_runs.push_back({.task = TaskNameText(table.NameOf(key)),
                              .agent = agent,
                              .why = "its zone is evacuated",
                              .stop_now = true});
}

void JobScheduler::DropObsoletePromises(const JobTable& table, TimePoint now) {
  this->evacuation.DropPromisesIf(
      [&](const TaskKey& key, const ZoneEvacuation::Promise& promise) {
        const Job* job = table.FindSequence(key.step.sequence);
        const JobWorker* target = table.FindWorker(promise.agent);
        if (now >= promise.deadline || job == nullptr || !job->IsOpen() ||
            target == nullptr ||
            this->UnavailabilityOf(*target, now) != Unavailability::kNone)
          return true;
        const JobTask& task = table.Task(key);
        if (task.state == JobTaskState::kWaiting)
          return this->MustBeTested(key, task);
        const auto agent = this->agents.find(task.agent);
        const bool stopping = task.state == JobTaskState::kAssigned &&
                              agent != this->agents.end() &&
                              agent->second.runs.contains(key) &&
                              agent->second.runs.at(key).run == task.run &&
                              agent->second.runs.at(key).moving;
        return !stopping;
      });
}

// Tasks that were stopped for a move get the rooms that were kept for them.
void JobScheduler::PlacePromised(
    const JobTable& table,
    std::map<std::string, FreeCapacity>& capacities,
    wire::JobCommand& command) {
  std::vector<TaskKey> broken;
  for (const auto& [key, promise] : this->evacuation.promises()) {
    const bool is_due = table.Task(key).state == JobTaskState::kWaiting &&
                        table.ready_steps().contains(key.step) &&
                        !this->IsRetryDelayed(key);
    const auto found = capacities.find(promise.agent);
    if (!is_due)
      continue;
    if (found == capacities.end()) {
      broken.push_back(key);
      continue;
    }
    FreeCapacity& capacity = found->second;
    capacity.Return(key.step, table.Step(key.step));
    if (this->PlacementCost(table, key.step, capacity, false))
      this->AssignTask(table, key, capacity, command);
    else
      broken.push_back(key);
  }
  for (const TaskKey& key : broken)
    this->evacuation.DropPromise(key);
}

// The room is taken until the task is assigned to it.
void JobScheduler::TakePromisedRooms(
    const JobTable& table,
    std::map<std::string, FreeCapacity>& capacities) const {
  for (const auto& [key, promise] : this->evacuation.promises()) {
    const auto found = capacities.find(promise.agent);
    const Job* job = table.FindSequence(key.step.sequence);
    const bool is_open = job != nullptr && job->IsOpen();
    if (found == capacities.end() || !is_open)
      continue;
    const JobTask& task = table.Task(key);
    const bool arrived =
        task.state == JobTaskState::kAssigned && task.agent == promise.agent;
    if (!arrived)
      found->second.Take(key.step, table.Step(key.step));
  }
}

// Only what decides whether another task fits.
void JobScheduler::FreeCapacity::Take(const StepKey& key,
                                      const wire::JobStep& step) {
  this->cpu_milli -= step.fills() ? 0 : std::int64_t{step.cpu_milli()};
  this->memory_mb -= static_cast<std::int64_t>(step.memory_mb());
  this->accelerators -= std::int64_t{step.accelerators()};
  this->requested_best_effort_cpu_milli +=
      step.fills() ? std::int64_t{step.cpu_milli()} : 0;
  this->tasks_by_step[key] += 1;
}

void JobScheduler::FreeCapacity::Return(const StepKey& key,
                                        const wire::JobStep& step) {
  this->cpu_milli += step.fills() ? 0 : std::int64_t{step.cpu_milli()};
  this->memory_mb += static_cast<std::int64_t>(step.memory_mb());
  this->accelerators += std::int64_t{step.accelerators()};
  this->requested_best_effort_cpu_milli -=
      step.fills() ? std::int64_t{step.cpu_milli()} : 0;
  this->tasks_by_step[key] -= 1;
}

}  // namespace savoryring
