// Placement: assigns ready tasks to workers.

#include <algorithm>
#include <tuple>
#include <utility>

#include "libjobs/job_objectives.h"
#include "libjobs/job_scheduler.h"

namespace savoryring {
namespace {

// Keeps the log entry of a decision below 64 KB. The next decision starts the
// remaining tasks.
constexpr int kMaxStartsPerDecision = 400;
// Weight in a placement cost of one serving task on the worker, or of a data
// rack that doesn't match, in thousandths of a free processor.
constexpr std::int64_t kAffinityWeightMilli = 8000;
// While less than this percentage of the workers' CPU is assigned, a job
// without running tasks may place one best-effort task on a worker without room
// for it.
constexpr std::uint64_t kLightLoadPercent = 60;
// Assumed CPU use of serving tasks, relative to their request.
constexpr std::int64_t kServingCpuUsePercent = 60;
// Best-effort tasks may request slightly more CPU than is free, as they rarely
// use all that they request.
constexpr std::int64_t kBestEffortOvercommitPercent = 110;
// Ranks workers without room for best-effort tasks after all workers with room.
constexpr std::int64_t kForcedPlacementCost = 10'000'000;
// Ranks cold workers after all others.
constexpr std::int64_t kColdPlacementCost = 100'000'000;
constexpr double kMilli = 1000;
// Coupling, per processor, at which the costs with estimates equal those
// without them.
constexpr double kTypicalCoupling = 0.08;
// Ranks slow workers after all others and before those without room for
// best-effort tasks.
constexpr std::int64_t kSlowWorkerCost = 5'000'000;
// Workers above this speed are equal: tasks of one step differ by more.
constexpr double kUsualSpeed = 0.85;
// Weight of a reserving task that takes twice as long as on a usual worker, in
// thousandths of a free processor. That of two affinities, as a step ends with
// its last task.
constexpr double kTwiceAsLongWeightMilli = 16'000;

}  // namespace

namespace {

bool HasSuspects(const JobTable& table, const StepKey& key) {
  const auto found = table.suspects().lower_bound({.step = key});
  return found != table.suspects().end() && found->step == key;
}

// Whether a large part of the workers' CPU is unassigned.
bool IsLightlyLoaded(const JobTable& table) {
  std::uint64_t used_milli = 0;
  std::uint64_t total_milli = 0;
  for (const auto& [agent, worker] : table.workers()) {
    used_milli += worker.lost ? 0 : worker.used_cpu_milli;
    total_milli += worker.lost ? 0 : worker.description.cpu_milli();
  }
  return used_milli * 100 < total_milli * kLightLoadPercent;
}

}  // namespace

void JobScheduler::PlaceReadySteps(const JobTable& table,
                                   TimePoint now,
                                   wire::JobCommand& command) {
  this->ForgetPlacedSteps(table);
  this->waiting_queue.Begin(table.ready_steps(), [&](std::uint64_t sequence,
                                                     std::uint32_t occurrence) {
    return this->RankOf(table, sequence, occurrence, now);
  });
  this->critical_paths.DropUnused();
  this->fits_nowhere.clear();
  if (table.ready_steps().empty())
    return;
  std::map<std::string, FreeCapacity> capacities =
      this->FreeCapacities(table, now);
  this->PlacePromised(table, capacities, command);
  const bool lightly_loaded = IsLightlyLoaded(table);
  // Services where best-effort tasks wait for a job that starts as a whole.
  std::set<std::string> held_services;
  const auto place = [&](const StepKey& key, bool suspects_only,
                         bool on_time = false) {
    if (command.starts_size() >= kMaxStartsPerDecision)
      return;
    const Job& job = *table.FindSequence(key.sequence);
    this->waiting_since.try_emplace(key, now);
    const bool idle =
        job.assigned == 0 &&
        now > this->waiting_since[key] + this->options.max_idle_job_wait;
    this->force_placement = lightly_loaded && idle;
    const bool gang = table.Step(key).gang();
    if (gang && HasSuspects(table, key) == suspects_only)
      this->PlaceGang(table, key, capacities, command);
    if (!gang && suspects_only)
      this->PlaceSuspects(table, key, capacities, command);
    if (gang || suspects_only)
      return;
    const std::string& service = job.spec.service();
    if (table.Step(key).fills() && held_services.contains(service))
      return;
    if (!on_time || !this->MustStartWhole(table, key, capacities))
      this->PlaceStep(table, key, capacities, command);
    else if (!this->PlaceWhole(table, key, capacities, command))
      held_services.insert(service);
  };
  // Suspects come first, as a worker that others fill can't test them.
  for (const StepKey& key : this->StepsWithSuspects(table))
    place(key, true);
  while (command.starts_size() < kMaxStartsPerDecision) {
    const auto step = this->waiting_queue.Next(table.ready_steps());
    if (!step)
      break;
    place(step->key, false, step->timeliness == Timeliness::kOnTime);
  }
  command.set_whole_gangs(command.starts_size() > 0);
  for (const wire::TaskStart& start : command.starts()) {
    this->crash_isolation.OnRunAssigned(
        start.agent(), table.KeyOf(start.task()).step.sequence, now);
  }
}

// Serving tasks use less CPU than they request; best-effort tasks may request
// the rest.
std::int64_t JobScheduler::FreeCapacity::BestEffortCpuMilli() const {
  const std::int64_t unused_milli =
      this->serving_cpu_milli * (100 - kServingCpuUsePercent) / 100;
  return (this->cpu_milli + unused_milli) * kBestEffortOvercommitPercent / 100 -
         this->requested_best_effort_cpu_milli;
}

namespace {

// Processors that the best-effort tasks among `runs` get in total.
double BestEffortThroughput(const ColocationModel& model,
                            const std::vector<ColocatedRun>& runs) {
  const std::vector<double> speeds =
      model.AllowedSpeeds(runs, true, CouplingKind::kCautious);
  double sum = 0;
  for (std::size_t i = 0; i < runs.size(); ++i)
    sum += runs[i].cpus_requested * speeds[i];
  return sum;
}

}  // namespace

// How much a best-effort task of `step` would add to the total best-effort
// throughput of the worker, relative to the task's CPU request.
double JobScheduler::BestEffortGain(const FreeCapacity& capacity,
                                    const wire::JobStep& step) const {
  if (capacity.BestEffortCpuMilli() < step.cpu_milli())
    return 0;
  std::vector<ColocatedRun> runs = capacity.runs;
  const double before = BestEffortThroughput(this->colocation_model, runs);
  runs.push_back(ToColocatedRun("", step, 0));
  const double gain =
      BestEffortThroughput(this->colocation_model, runs) - before;
  return gain * kMilli / std::max(1U, step.cpu_milli());
}

// How much a task of `step` and the tasks of the other kind on the worker would
// disturb each other, relative to as many of a typical coupling. A task on the
// worker counts by its processors if it is best-effort, otherwise as 1.
double JobScheduler::Disturbance(const FreeCapacity& capacity,
                                 const wire::JobStep& step) const {
  double sum = 0;
  for (const ColocatedRun& run : capacity.runs) {
    if (run.best_effort == step.fills())
      continue;
    const double coupling =
        step.fills() ? this->colocation_model.Coupling(run.image, step.image(),
                                                       CouplingKind::kCautious)
                     : run.cpus_requested * this->colocation_model.Coupling(
                                                step.image(), run.image,
                                                CouplingKind::kCautious);
    sum += coupling / kTypicalCoupling;
  }
  return sum;
}

// The most sensitive serving task on a worker limits all best-effort tasks
// there. A worker is rated by how much more sensitive it would become, so that
// sensitive images share workers and others stay free.
std::int64_t JobScheduler::ServingCost(const FreeCapacity& capacity,
                                       const wire::JobStep& step) const {
  if (!this->options.features.coupling_estimates) {
    return (2 * capacity.requested_best_effort_cpu_milli) -
           (capacity.serving_tasks > 0 ? kAffinityWeightMilli : 0);
  }
  double sensitivity = 0;
  for (const ColocatedRun& run : capacity.runs) {
    if (!run.best_effort) {
      sensitivity =
          std::max(sensitivity, this->colocation_model.Sensitivity(run.image));
    }
  }
  const double growth = std::max(
      0.0, this->colocation_model.Sensitivity(step.image()) - sensitivity);
  return static_cast<std::int64_t>(
      (2 * kMilli * this->Disturbance(capacity, step)) +
      (growth * static_cast<double>(kAffinityWeightMilli)));
}

// Returns no cost if the task would run mostly at the expense of the
// best-effort tasks already there, which would delay all of them.
std::optional<std::int64_t> JobScheduler::BestEffortCost(
    const FreeCapacity& capacity,
    const wire::JobStep& step) const {
  const double gain = this->BestEffortGain(capacity, step);
  if (gain < this->options.min_best_effort_gain)
    return std::nullopt;
  const double serving_tasks =
      this->options.features.coupling_estimates
          ? this->Disturbance(capacity, step)
          : static_cast<double>(capacity.serving_tasks);
  return static_cast<std::int64_t>((1 - gain) * kMilli * kMilli) +
         static_cast<std::int64_t>(serving_tasks *
                                   static_cast<double>(kAffinityWeightMilli)) -
         capacity.BestEffortCpuMilli();
}

JobScheduler::Unavailability JobScheduler::UnavailabilityOf(
    const JobWorker& worker,
    TimePoint now) const {
  const auto found = this->agents.find(worker.description.agent());
  if (worker.lost || found == this->agents.end() || found->second.worker_gone)
    return Unavailability::kLost;
  const AgentState& agent_state = found->second;
  if (worker.description.draining())
    return Unavailability::kDraining;
  const bool reachable =
      agent_state.born_ms == worker.description.born_ms() &&
      agent_state.last_report != TimePoint() && agent_state.has_list &&
      now < agent_state.last_report + this->options.unreachable_after;
  if (!reachable)
    return Unavailability::kUnreachable;
  if (this->IsEvacuated(worker))
    return Unavailability::kEvacuated;
  // The failures may turn out to be the fault of the jobs.
  const bool suspended = now < agent_state.suspended_until &&
                         this->IsOnProbation(worker.description.agent(), now);
  return suspended ? Unavailability::kSuspended : Unavailability::kNone;
}

std::map<std::string, JobScheduler::FreeCapacity> JobScheduler::FreeCapacities(
    const JobTable& table,
    TimePoint now) const {
  std::map<std::string, FreeCapacity> capacities;
  for (const auto& [agent, worker] : table.workers()) {
    if (this->UnavailabilityOf(worker, now) != Unavailability::kNone)
      continue;
    const AgentState& agent_state = this->agents.at(agent);
    FreeCapacity& capacity = capacities[agent];
    const wire::JobWorkerDescription& description = worker.description;
    capacity.worker = &worker;
    const Room room = RoomOn(table, worker, agent_state, description);
    capacity.cpu_milli = room.cpu_milli;
    capacity.memory_mb = room.memory_mb;
    capacity.accelerators = room.accelerators;
    capacity.requested_best_effort_cpu_milli =
        static_cast<std::int64_t>(worker.best_effort_cpu_milli);
    capacity.on_probation = this->IsOnProbation(agent, now);
    capacity.cold = now < agent_state.cold_until;
    capacity.run_count = worker.runs.size();
    capacity.job_under_test = this->crash_isolation.JobUnderTest(agent, now);
    capacity.has_probe = capacity.on_probation && now < agent_state.next_probe;
    capacity.speed = this->worker_speed.SpeedOf(agent);
    capacity.slow = this->worker_speed.IsSlow(agent);
    capacity.needs_speed_probe = this->worker_speed.NeedsProbe(agent, now);
    for (const TaskKey& key : worker.runs) {
      const wire::JobStep& step = table.Step(key.step);
      if (step.fills() || step.tail_target_ms() > 0) {
        capacity.runs.push_back(
            ToColocatedRun(TaskNameText(table.NameOf(key)), step, 0));
      }
      if (step.tail_target_ms() > 0) {
        capacity.serving_tasks += 1;
        capacity.serving_cpu_milli += step.cpu_milli();
      }
      capacity.tasks_by_step[key.step] += 1;
    }
  }
  this->TakePromisedRooms(table, capacities);
  return capacities;
}

namespace {

bool HasLabel(const JobWorker& worker, const std::string& label) {
  const auto& labels = worker.description.labels();
  return label.empty() || std::ranges::find(labels, label) != labels.end();
}

// CPU that a task of the step reserves on its worker; none for best-effort
// tasks.
std::int64_t ReservedCpuMilli(const wire::JobStep& step) {
  return step.fills() ? 0 : std::int64_t{step.cpu_milli()};
}

}  // namespace

JobScheduler::UnmetConstraint JobScheduler::FindUnmetConstraint(
    const JobTable& table,
    const StepKey& key,
    const FreeCapacity& capacity) {
  const wire::JobStep& step = table.Step(key);
  const Job& job = *table.FindSequence(key.sequence);
  const auto counted = capacity.tasks_by_step.find(key);
  const std::size_t tasks_of_step =
      counted == capacity.tasks_by_step.end() ? 0 : counted->second;
  if (capacity.worker->description.service() != job.spec.service())
    return UnmetConstraint::kService;
  if (!HasLabel(*capacity.worker, step.required_label()))
    return UnmetConstraint::kLabel;
  if (capacity.job_under_test != 0 && capacity.job_under_test != key.sequence)
    return UnmetConstraint::kCrashTest;
  if (capacity.has_probe)
    return UnmetConstraint::kProbation;
  if (step.spread_limit() > 0 && tasks_of_step >= step.spread_limit())
    return UnmetConstraint::kSpread;
  if (capacity.cpu_milli < ReservedCpuMilli(step))
    return UnmetConstraint::kProcessors;
  if (capacity.memory_mb < static_cast<std::int64_t>(step.memory_mb()))
    return UnmetConstraint::kMemory;
  if (capacity.accelerators < std::int64_t{step.accelerators()})
    return UnmetConstraint::kAccelerators;
  return UnmetConstraint::kNone;
}

// The task's expected duration beyond the usual one. A worker that needs a
// probe comes first for a task whose job is of no less value if the worker is
// still slow.
std::int64_t JobScheduler::SlownessCost(const JobTable& table,
                                        const StepKey& key,
                                        const FreeCapacity& capacity) const {
  const wire::JobStep& step = table.Step(key);
  const bool usual = capacity.speed >= kUsualSpeed && !capacity.slow;
  if (usual || step.lasting())
    return 0;
  const double delay = std::max(0.0, 1 / capacity.speed - 1);
  if (capacity.needs_speed_probe && !step.gang()) {
    const Job& job = *table.FindSequence(key.sequence);
    const auto delay_ms =
        static_cast<std::uint64_t>(delay * step.estimated_ms());
    const bool harmless =
        TimelinessOf(job, key.occurrence, this->group_time_ms + delay_ms,
                     std::nullopt, this->critical_paths) ==
        TimelinessOf(job, key.occurrence, this->group_time_ms, std::nullopt,
                     this->critical_paths);
    if (harmless)
      return -kSlowWorkerCost;
  }
  const double cost = step.fills() ? (1 - capacity.speed) * kMilli * kMilli
                                   : delay * kTwiceAsLongWeightMilli;
  return static_cast<std::int64_t>(cost) +
         (capacity.slow ? kSlowWorkerCost : 0);
}

// Returns no cost if the worker can't run the task. With `forced`, best-effort
// tasks are accepted without room for them.
std::optional<std::int64_t> JobScheduler::PlacementCost(
    const JobTable& table,
    const StepKey& key,
    const FreeCapacity& capacity,
    bool forced) const {
  if (FindUnmetConstraint(table, key, capacity) != UnmetConstraint::kNone)
    return std::nullopt;
  const wire::JobStep& step = table.Step(key);
  std::int64_t cost = 0;
  if (step.fills()) {
    const auto best_effort_cost = this->BestEffortCost(capacity, step);
    if (!best_effort_cost && !forced)
      return std::nullopt;
    cost = best_effort_cost.value_or(kForcedPlacementCost -
                                     capacity.BestEffortCpuMilli());
  } else {
    // Best fit keeps large gaps free for large tasks. Serving tasks are packed
    // together, away from workers with best-effort tasks.
    cost = capacity.cpu_milli - ReservedCpuMilli(step);
    if (step.tail_target_ms() > 0)
      cost += this->ServingCost(capacity, step);
  }
  if (!step.data_rack().empty() &&
      !HasLabel(*capacity.worker, step.data_rack()))
    cost += kAffinityWeightMilli;
  if (capacity.cold)
    cost += kColdPlacementCost;
  return cost + this->SlownessCost(table, key, capacity);
}

JobScheduler::Candidates JobScheduler::FindCandidates(
    const JobTable& table,
    const StepKey& key,
    std::map<std::string, FreeCapacity>& capacities,
    bool forced) const {
  Candidates candidates;
  for (auto& [agent, capacity] : capacities) {
    if (const auto cost = this->PlacementCost(table, key, capacity, forced))
      candidates.insert({.cost = *cost, .agent = agent, .capacity = &capacity});
  }
  return candidates;
}

// All tasks of a step have the same requirements: they share one list of
// candidates, in which a start changes the cost of one worker only. A gang is
// not limited to the starts of one decision, and all of it or nothing of it is
// forced.
void JobScheduler::PlaceStep(const JobTable& table,
                             const StepKey& key,
                             std::map<std::string, FreeCapacity>& capacities,
                             wire::JobCommand& command,
                             bool force_gang) {
  const StepState& state = table.State(key);
  const std::string& job = table.FindSequence(key.sequence)->spec.id();
  const bool gang = table.Step(key).gang();
  Candidates candidates;
  if (gang || !this->IsKnownToFitNowhere(table, key)) {
    this->waiting_queue.AddCost(capacities.size());
    candidates = this->FindCandidates(table, key, capacities, force_gang);
    if (!gang && candidates.empty())
      this->RecordFitsNowhere(table, key);
  }
  const bool force_one = !gang && candidates.empty() && this->force_placement;
  if (force_one) {
    this->waiting_queue.AddCost(capacities.size());
    candidates = this->FindCandidates(table, key, capacities, true);
  }
  for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
    const TaskKey task_key{.step = key, .index = index};
    const JobTask& task = state.tasks[index];
    if (task.state != JobTaskState::kWaiting ||
        this->MustBeTested(task_key, task) || this->IsRetryDelayed(task_key) ||
        this->evacuation.HasPromise(task_key))
      continue;
    const bool full = !gang && command.starts_size() >= kMaxStartsPerDecision;
    if (candidates.empty() || full)
      return;
    const auto best = this->BestCandidate(candidates, job, task);
    const Candidate chosen = *best;
    candidates.erase(best);
    this->waiting_queue.AddCost(1);
    this->AssignTask(table, task_key, *chosen.capacity, command);
    if (force_one)
      return;
    if (const auto cost =
            this->PlacementCost(table, key, *chosen.capacity, force_gang)) {
      candidates.insert(
          {.cost = *cost, .agent = chosen.agent, .capacity = chosen.capacity});
    }
  }
}

// A worker on which the task's job has failed is chosen only if there is no
// other; of these, the one on which the task last failed or was slow comes
// last. Among the others, workers with fewer failed runs come first: jobs with
// few attempts would otherwise use them up on the same faulty workers. Slow
// workers come after those.
JobScheduler::Candidates::iterator JobScheduler::BestCandidate(
    Candidates& candidates,
    const std::string& job,
    const JobTask& task) const {
  if (task.run == 0)
    return candidates.begin();
  auto best = candidates.end();
  std::tuple<bool, bool, bool, std::size_t> best_rank;
  for (auto it = candidates.begin(); it != candidates.end(); ++it) {
    const std::string agent(it->agent);
    const std::tuple rank(
        agent == task.agent, this->failure_attribution.HasFailedOn(job, agent),
        it->capacity->slow, this->failure_attribution.CountFailedRuns(agent));
    if (best != candidates.end() && rank >= best_rank)
      continue;
    best = it;
    best_rank = rank;
  }
  return best;
}

void JobScheduler::TakeCapacity(const StepKey& key,
                                const wire::JobStep& step,
                                FreeCapacity& capacity) const {
  capacity.cpu_milli -= ReservedCpuMilli(step);
  capacity.memory_mb -= static_cast<std::int64_t>(step.memory_mb());
  capacity.accelerators -= step.accelerators();
  capacity.tasks_by_step[key] += 1;
  capacity.run_count += 1;
  if (step.fills()) {
    capacity.requested_best_effort_cpu_milli += step.cpu_milli();
    capacity.runs.push_back(ToColocatedRun("", step, 0));
  }
  if (step.tail_target_ms() > 0) {
    capacity.serving_tasks += 1;
    if (this->options.features.coupling_estimates) {
      capacity.serving_cpu_milli += step.cpu_milli();
      capacity.runs.push_back(ToColocatedRun("", step, 0));
    }
  }
}

void JobScheduler::AssignTask(const JobTable& table,
                              const TaskKey& key,
                              FreeCapacity& capacity,
                              wire::JobCommand& command) {
  const wire::JobStep& step = table.Step(key.step);
  const wire::JobWorkerDescription& worker = capacity.worker->description;
  this->TakeCapacity(key.step, step, capacity);
  if (capacity.on_probation) {
    capacity.has_probe = true;
    this->agents[worker.agent()].next_probe =
        this->decision_time + this->options.probe_interval;
  }
  if (capacity.needs_speed_probe && !step.lasting()) {
    capacity.needs_speed_probe = false;
    this->worker_speed.OnProbe(worker.agent(), this->decision_time);
  }
  wire::TaskStart* start = command.add_starts();
  *start->mutable_task() = table.NameOf(key);
  start->set_run(table.NextRun(key));
  start->set_agent(worker.agent());
  start->set_born_ms(worker.born_ms());
}

// The least loaded worker that may test the task, or null. Keeps the least
// loaded one that has room free of new runs if none may test it yet.
JobScheduler::FreeCapacity* JobScheduler::FindTestWorker(
    const JobTable& table,
    const TaskKey& key,
    std::map<std::string, FreeCapacity>& capacities) {
  const std::uint64_t job = key.step.sequence;
  const auto least_loaded = [](FreeCapacity* a, FreeCapacity* b) {
    return a == nullptr || b->run_count < a->run_count ? b : a;
  };
  FreeCapacity* tester = nullptr;
  FreeCapacity* reservable = nullptr;
  for (auto& [agent, capacity] : capacities) {
    const bool crashed_lately =
        agent == table.Task(key).agent &&
        this->decision_time <
            this->agents.at(agent).up_since + this->options.min_uptime_to_test;
    if (crashed_lately ||
        !this->PlacementCost(table, key.step, capacity, this->force_placement))
      continue;
    // The suspects of a job are tested together.
    if (capacity.tests_in_decision)
      return &capacity;
    if (this->crash_isolation.MayTest(agent, job, capacities.size(),
                                      this->decision_time))
      tester = least_loaded(tester, &capacity);
    else
      reservable = least_loaded(reservable, &capacity);
  }
  if (tester != nullptr || reservable == nullptr)
    return tester;
  const bool reserved = this->crash_isolation.Reserve(
      reservable->worker->description.agent(), job, capacities.size(),
      this->decision_time);
  if (reserved)
    reservable->job_under_test = job;
  return nullptr;
}

void JobScheduler::PlaceSuspects(
    const JobTable& table,
    const StepKey& key,
    std::map<std::string, FreeCapacity>& capacities,
    wire::JobCommand& command) {
  const auto first = table.suspects().lower_bound({.step = key});
  const auto last =
      table.suspects().upper_bound({.step = key, .index = UINT32_MAX});
  const bool gang = table.Step(key).gang();
  for (auto it = first; it != last; ++it) {
    const JobTask& task = table.Task(*it);
    if (task.state != JobTaskState::kWaiting || this->IsRetryDelayed(*it) ||
        this->MustBeGivenUp(task) || !this->MustBeTested(*it, task))
      continue;
    FreeCapacity* tester = this->FindTestWorker(table, *it, capacities);
    const bool full = !gang && command.starts_size() >= kMaxStartsPerDecision;
    if (tester == nullptr || full)
      return;
    tester->job_under_test = key.sequence;
    tester->tests_in_decision = true;
    this->crash_isolation.StartTest(tester->worker->description.agent(),
                                    key.sequence, this->decision_time);
    this->AssignTask(table, *it, *tester, command);
  }
}

// The tasks of a gang are placed all together or not at all.
void JobScheduler::PlaceGang(const JobTable& table,
                             const StepKey& key,
                             std::map<std::string, FreeCapacity>& capacities,
                             wire::JobCommand& command) {
  const StepState& state = table.State(key);
  if (state.waiting != state.tasks.size())
    return;
  const auto place = [&](bool forced) {
    std::map<std::string, FreeCapacity> capacities_left = capacities;
    wire::JobCommand placed;
    this->PlaceSuspects(table, key, capacities_left, placed);
    this->PlaceStep(table, key, capacities_left, placed, forced);
    if (static_cast<std::size_t>(placed.starts_size()) != state.tasks.size())
      return false;
    capacities = std::move(capacities_left);
    for (const wire::TaskStart& start : placed.starts())
      *command.add_starts() = start;
    return true;
  };
  // Suspects have been reserved for tests by the first attempt.
  const bool may_force = this->force_placement && !HasSuspects(table, key);
  if (!place(false) && may_force)
    place(true);
}

}  // namespace savoryring
