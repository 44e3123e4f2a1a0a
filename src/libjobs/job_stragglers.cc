// Moves runs from workers that have become slow, so that their steps end
// sooner. See StragglerOutlook for the decision about one run.

#include <algorithm>

#include "libjobs/job_scheduler.h"

namespace savoryring {
namespace {

constexpr double kFullPercent = 100;
// Interval between two searches. Reports come twice a second.
constexpr Milliseconds kCheckInterval{200};
// Limits the moves of one check: the learned speeds may be wrong, and each move
// takes up capacity.
constexpr std::size_t kMaxMovesPerCheck = 6;
// A task is moved no more often than this for being slow.
constexpr std::uint32_t kMaxMovesPerTask = 2;
// Only workers of at least this speed are worth a move.
constexpr double kMinTargetSpeed = 0.75;
// A best-effort run is moved only to where it adds at least this fraction of
// its CPU request to the best-effort throughput. See job_moves.cc.
constexpr double kMinBestEffortGain = 0.8;

}  // namespace

// Median of the known rates of the step's runs on workers that are not slow; 1
// if there are none.
double JobScheduler::UsualRateOf(const JobTable& table,
                                 const StepKey& key) const {
  std::vector<double> rates;
  const StepState& state = table.State(key);
  for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
    const JobTask& task = state.tasks[index];
    const auto rate = this->worker_speed.RateOf(
        task.agent, {.step = key, .index = index}, task.run);
    if (rate && !this->worker_speed.IsSlow(task.agent))
      rates.push_back(*rate);
  }
  if (rates.empty())
    return 1;
  const auto middle =
      rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
  std::ranges::nth_element(rates, middle);
  return *middle;
}

// Time until the tasks of the step that are not on slow workers have ended, as
// far as is known. Those on slow workers may be moved as well.
double JobScheduler::RestOfStepMs(const JobTable& table,
                                  const StepKey& key,
                                  TimePoint now) const {
  const double estimated_ms = table.Step(key).estimated_ms();
  const double usual_rate = this->UsualRateOf(table, key);
  double rest_ms = 0;
  const StepState& state = table.State(key);
  for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
    const JobTask& task = state.tasks[index];
    if (task.state == JobTaskState::kDone ||
        this->worker_speed.IsSlow(task.agent))
      continue;
    if (task.state == JobTaskState::kWaiting) {
      rest_ms = std::max(rest_ms, estimated_ms / usual_rate);
      continue;
    }
    const TaskKey task_key{.step = key, .index = index};
    const auto agent = this->agents.find(task.agent);
    if (agent == this->agents.end())
      continue;
    const auto run = agent->second.runs.find(task_key);
    if (run == agent->second.runs.end())
      continue;
    const std::optional<double> rate =
        this->worker_speed.RateOf(task.agent, task_key, task.run);
    const double elapsed_ms = static_cast<double>(
        RemainingTime(run->second.last_progress, now).count());
    const double left_ms = estimated_ms *
                               (1 - run->second.percent / kFullPercent) /
                               rate.value_or(usual_rate) -
                           elapsed_ms;
    rest_ms = std::max(rest_ms, left_ms);
  }
  return rest_ms;
}

std::vector<JobScheduler::Straggler> JobScheduler::FindStragglers(
    const JobTable& table,
    TimePoint now) {
  std::vector<Straggler> stragglers;
  std::map<StepKey, double> rest_ms;
  for (const auto& [agent, worker] : table.workers()) {
    if (!this->worker_speed.IsSlow(agent))
      continue;
    const double speed = this->worker_speed.SpeedOf(agent);
    std::map<TaskKey, TrackedRun>& runs = this->agents[agent].runs;
    for (const TaskKey& key : worker.runs) {
      const auto found = runs.find(key);
      if (found == runs.end())
        continue;
      TrackedRun& run = found->second;
      const wire::JobStep& step = table.Step(key.step);
      const auto moved = this->straggler_moves.find(key);
      const bool may_move = !step.lasting() && !step.gang() &&
                            !table.suspects().contains(key) && run.reported &&
                            run.begun && !run.moving && !run.end_reported &&
                            (moved == this->straggler_moves.end() ||
                             moved->second < kMaxMovesPerTask);
      if (!may_move)
        continue;
      // What the run does per ms, and would do on a usual worker.
      const double rate =
          this->worker_speed.RateOf(agent, key, run.run).value_or(speed);
      const double usual_rate = rate / speed;
      const double done = run.percent / kFullPercent;
      const double saved =
          step.checkpoints() && !run.checkpoint.empty()
              ? std::min(run.saved_percent, run.percent) / kFullPercent
              : 0;
      const auto rest = rest_ms.try_emplace(key.step, -1).first;
      if (rest->second < 0)
        rest->second = this->RestOfStepMs(table, key.step, now);
      stragglers.push_back(
          {.key = key,
           .agent = agent,
           .run = &run,
           .outlook = {
               .left_ms = step.estimated_ms() * (1 - done) / usual_rate,
               .lost_ms = step.estimated_ms() * (done - saved) / usual_rate,
               .restores = saved > 0,
               .speed = speed,
               .slow_for_ms = static_cast<double>(
                   this->worker_speed.SlowFor(agent, now).count()),
               .rest_of_step_ms = rest->second}});
    }
  }
  return stragglers;
}

// The fastest worker with room, or null. Of equal ones, that with the least
// free processors.
JobScheduler::FreeCapacity* JobScheduler::FindFasterWorker(
    const JobTable& table,
    const Straggler& straggler,
    std::map<std::string, FreeCapacity>& capacities,
    double& speed) const {
  const StepKey& key = straggler.key.step;
  const wire::JobStep& step = table.Step(key);
  FreeCapacity* best = nullptr;
  std::int64_t best_cost = 0;
  for (auto& [agent, capacity] : capacities) {
    if (agent == straggler.agent || capacity.slow || capacity.on_probation ||
        capacity.speed < kMinTargetSpeed)
      continue;
    const auto cost = this->PlacementCost(table, key, capacity, false);
    if (!cost || (best != nullptr && *cost >= best_cost))
      continue;
    const double gain = step.fills() ? this->BestEffortGain(capacity, step) : 1;
    if (gain < kMinBestEffortGain)
      continue;
    best = &capacity;
    best_cost = *cost;
    speed = std::min(1.0, capacity.speed) * gain;
  }
  return best;
}

void JobScheduler::MoveStragglers(const JobTable& table, TimePoint now) {
  if (!this->options.features.worker_speeds || now < this->next_straggler_check)
    return;
  this->next_straggler_check = now + kCheckInterval;
  std::erase_if(this->straggler_moves, [&table](const auto& item) {
    const Job* job = table.FindSequence(item.first.step.sequence);
    return job == nullptr || !job->IsOpen();
  });
  if (this->worker_speed.CountSlow() == 0)
    return;
  std::vector<Straggler> stragglers = this->FindStragglers(table, now);
  // The candidates for a move, those first that delay their step most.
  std::erase_if(stragglers, [](const Straggler& straggler) {
    return !MoveGainMs(straggler.outlook, 1);
  });
  std::ranges::sort(
      stragglers, std::ranges::greater(), [](const Straggler& straggler) {
        return StayMs(straggler.outlook) - straggler.outlook.rest_of_step_ms;
      });
  if (stragglers.empty())
    return;
  std::map<std::string, FreeCapacity> capacities =
      this->FreeCapacities(table, now);
  std::size_t moves = 0;
  for (const Straggler& straggler : stragglers) {
    if (moves >= kMaxMovesPerCheck)
      return;
    const wire::JobStep& step = table.Step(straggler.key.step);
    double speed = 1;
    FreeCapacity* target =
        this->FindFasterWorker(table, straggler, capacities, speed);
    if (target == nullptr || !MoveGainMs(straggler.outlook, speed))
      continue;
    this->TakeCapacity(straggler.key.step, step, *target);
    straggler.run->moving = true;
    this->straggler_moves[straggler.key] += 1;
    this->moved_runs.push_back(
        {.task = TaskNameText(table.NameOf(straggler.key)),
         .agent = std::string(straggler.agent),
         .why = "behind the rest of its step on a slow worker",
         .stop_now = true});
    moves += 1;
  }
}

}  // namespace savoryring
