// Moves slow best-effort runs from workers whose serving tasks have become busy
// to workers with free CPU. A single slow task delays its whole step.

#include <algorithm>

#include "libjobs/job_scheduler.h"

namespace savoryring {
namespace {

// A best-effort run is slow when it gets less than this fraction of its CPU
// request.
constexpr double kSlowSpeed = 0.4;
// A slow run is moved only to a worker where it adds at least this fraction of
// its CPU request to the best-effort throughput. That is twice kSlowSpeed,
// which makes up for the stop and the start even when half of the work is done.
constexpr double kMinMoveGain = 0.8;
// Limits the moves of one check: the learned couplings may be wrong, and each
// move takes up capacity.
constexpr std::size_t kMaxMovesPerCheck = 6;
// A task with this many runs is not moved again.
constexpr std::uint32_t kMaxRunsOfMovedTask = 6;

}  // namespace

std::vector<JobScheduler::SlowRun> JobScheduler::FindSlowRuns(
    const JobTable& table,
    TimePoint now) {
  std::vector<SlowRun> slow_runs;
  for (const auto& [agent, worker] : table.workers()) {
    std::map<TaskKey, TrackedRun>& runs = this->agents[agent].runs;
    for (const TaskKey& key : worker.runs) {
      const auto found = runs.find(key);
      if (found == runs.end())
        continue;
      TrackedRun& run = found->second;
      const wire::JobStep& step = table.Step(key.step);
      const bool may_move = step.fills() && step.checkpoints() &&
                            run.reported && !run.moving && !run.end_reported &&
                            run.run < kMaxRunsOfMovedTask;
      if (!may_move || run.speed >= kSlowSpeed ||
          now < run.started + this->options.min_age_to_move)
        continue;
      slow_runs.push_back(
          {.speed = run.speed, .key = key, .agent = agent, .run = &run});
    }
  }
  std::ranges::sort(slow_runs, {}, &SlowRun::speed);
  return slow_runs;
}

void JobScheduler::MoveSlowRuns(const JobTable& table, TimePoint now) {
  if (now < this->next_slow_run_check)
    return;
  this->next_slow_run_check = now + this->options.slow_run_check_interval;
  std::erase_if(this->started_jobs, [&table](std::uint64_t sequence) {
    return table.FindSequence(sequence) == nullptr;
  });
  const std::vector<SlowRun> slow_runs = this->FindSlowRuns(table, now);
  if (slow_runs.empty())
    return;
  std::map<std::string, FreeCapacity> capacities =
      this->FreeCapacities(table, now);
  std::size_t moves = 0;
  for (const SlowRun& slow_run : slow_runs) {
    const StepKey& step_key = slow_run.key.step;
    const wire::JobStep& step = table.Step(step_key);
    FreeCapacity* best = nullptr;
    double best_gain = kMinMoveGain;
    for (auto& [agent, capacity] : capacities) {
      if (agent == slow_run.agent || capacity.on_probation || capacity.cold ||
          capacity.slow ||
          FindUnmetConstraint(table, step_key, capacity) !=
              UnmetConstraint::kNone)
        continue;
      const double gain = this->BestEffortGain(capacity, step);
      if (gain < best_gain)
        continue;
      best = &capacity;
      best_gain = gain;
    }
    if (best == nullptr)
      continue;
    slow_run.run->moving = true;
    best->memory_mb -= static_cast<std::int64_t>(step.memory_mb());
    best->requested_best_effort_cpu_milli += step.cpu_milli();
    best->runs.push_back(ToColocatedRun("", step, 0));
    this->moved_runs.push_back(
        {.task = TaskNameText(table.NameOf(slow_run.key)),
         .agent = std::string(slow_run.agent),
         .why = "slowed by serving tasks on its worker"});
    moves += 1;
    if (moves >= kMaxMovesPerCheck)
      return;
  }
}

}  // namespace savoryring
