#include "libjobs/best_effort_throttler.h"

#include <algorithm>
#include <cmath>

namespace savoryring {
namespace {

constexpr std::uint32_t kFullPercent = 100;
constexpr double kMilli = 1000;
// An agent's model covers a single worker, under this name.
constexpr const char* kWorker = "here";

}  // namespace

std::vector<ColocatedRun> ToColocatedRuns(
    const std::vector<MeasuredRun>& runs) {
  std::vector<ColocatedRun> colocated;
  for (const MeasuredRun& run : runs) {
    ColocatedRun item{
        .task = run.task,
        .image = run.image,
        .best_effort = run.best_effort,
        .tail_target_ms = static_cast<double>(run.tail_target_ms)};
    if (run.best_effort) {
      item.cpus_used = run.measured / kMilli;
      item.cpus_requested = run.cpu_milli / kMilli;
    } else if (run.tail_target_ms > 0) {
      item.tail_latency_ms = run.measured;
    }
    colocated.push_back(std::move(item));
  }
  return colocated;
}

bool BestEffortThrottler::IsOverTargetTooLong(
    const std::vector<MeasuredRun>& runs,
    TimePoint now) {
  const bool over_target =
      std::ranges::any_of(runs, [](const MeasuredRun& run) {
        return run.tail_target_ms > 0 && run.measured > run.tail_target_ms;
      });
  if (!over_target)
    this->over_target_since = kNever;
  else
    this->over_target_since = std::min(this->over_target_since, now);
  return over_target &&
         now >= this->over_target_since + this->options.max_time_over_target;
}

std::uint32_t BestEffortThrottler::NextSpeedPercent(
    const MeasuredRun& run,
    double speed,
    std::uint32_t max_increase) const {
  const std::uint32_t granularity = this->options.speed_granularity_percent;
  const auto target =
      static_cast<std::uint32_t>(speed * kFullPercent / granularity) *
      granularity;
  const auto found = this->requested.find(run.task);
  if (found == this->requested.end() || found->second.run != run.run)
    return target;
  return std::min(target, found->second.percent + max_increase);
}

std::vector<SpeedChange> BestEffortThrottler::OnRunsListed(
    const std::vector<MeasuredRun>& runs,
    TimePoint now) {
  if (now < this->next_update)
    return {};
  this->next_update = now + this->options.measurement_interval;
  this->model.Learn(kWorker, ToColocatedRuns(runs));
  return this->ComputeChanges(runs, true, now);
}

std::vector<SpeedChange> BestEffortThrottler::OnBestEffortRunAdded(
    const std::vector<MeasuredRun>& runs,
    TimePoint now) {
  return this->ComputeChanges(runs, false, now);
}

std::vector<SpeedChange> BestEffortThrottler::ComputeChanges(
    const std::vector<MeasuredRun>& runs,
    bool may_increase,
    TimePoint now) {
  const std::vector<double> speeds =
      this->model.AllowedSpeeds(ToColocatedRuns(runs), false);
  const bool stop = this->IsOverTargetTooLong(runs, now);
  const std::uint32_t max_increase =
      may_increase ? this->options.max_increase_percent : 0;
  std::vector<SpeedChange> changes;
  this->lowest = kFullPercent;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const MeasuredRun& run = runs[i];
    if (!run.best_effort)
      continue;
    const SpeedChange change{.task = run.task,
                             .run = run.run,
                             .percent = this->NextSpeedPercent(
                                 run, stop ? 0 : speeds[i], max_increase)};
    const auto found = this->requested.find(run.task);
    const bool unchanged = found != this->requested.end() &&
                           found->second.run == run.run &&
                           found->second.percent == change.percent;
    if (!unchanged)
      changes.push_back(change);
    this->requested[run.task] = change;
    this->lowest = std::min(this->lowest, change.percent);
  }
  return changes;
}

void BestEffortThrottler::OnRunStarted(const std::string& task,
                                       std::uint32_t run) {
  this->requested[task] = {.task = task, .run = run, .percent = kFullPercent};
}

void BestEffortThrottler::OnRunEnded(const std::string& task) {
  this->requested.erase(task);
}

void BestEffortThrottler::OnSpeedChangeFailed(const std::string& task) {
  this->requested.erase(task);
}

}  // namespace savoryring
