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

bool BestEffortThrottler::AreTargetsKept(
    const std::vector<MeasuredRun>& runs) const {
  return std::ranges::none_of(runs, [this](const MeasuredRun& run) {
    return run.measured >
           this->options.trial_target_fraction * run.tail_target_ms;
  });
}

// A run of which a pair with a serving task is new gets what the upper end of
// the estimate allows. One such run gets more, up to what is likely to do no
// harm: held lower, it would teach nothing.
std::vector<double> BestEffortThrottler::AllowedSpeeds(
    const std::vector<MeasuredRun>& runs,
    bool may_increase) const {
  const std::vector<ColocatedRun> colocated = ToColocatedRuns(runs);
  std::vector<double> speeds = this->model.AllowedSpeeds(colocated, false);
  if (!this->options.coupling_estimates)
    return speeds;
  const std::vector<double> cautious =
      this->model.AllowedSpeeds(colocated, false, CouplingKind::kCautious);
  const auto has_new_pair = [&](const ColocatedRun& run) {
    return std::ranges::any_of(colocated, [&](const ColocatedRun& serving) {
      return serving.tail_target_ms > 0 &&
             this->model.IsNewPair(serving.image, run.image);
    });
  };
  bool may_try = this->AreTargetsKept(runs);
  for (std::size_t i = 0; i < runs.size(); ++i) {
    if (!runs[i].best_effort || !has_new_pair(colocated[i]))
      continue;
    const double likely = speeds[i];
    speeds[i] = std::min(likely, cautious[i]);
    const bool try_higher = may_try && speeds[i] < likely;
    if (!try_higher)
      continue;
    may_try = false;
    const double step =
        this->options.trial_cpus / std::max(colocated[i].cpus_requested, 0.1);
    const auto found = this->requested.find(runs[i].task);
    const bool is_slowed = found != this->requested.end() &&
                           found->second.run == runs[i].run &&
                           this->slowed.contains(runs[i].task);
    const double before = is_slowed ? found->second.percent / 100.0 : 0;
    const double tried = before + (may_increase || !is_slowed ? step : 0);
    speeds[i] = std::max(speeds[i], std::min(likely, tried));
  }
  return speeds;
}

std::vector<SpeedChange> BestEffortThrottler::ComputeChanges(
    const std::vector<MeasuredRun>& runs,
    bool may_increase,
    TimePoint now) {
  const std::vector<double> speeds = this->AllowedSpeeds(runs, may_increase);
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
    this->slowed.insert(run.task);
    this->lowest = std::min(this->lowest, change.percent);
  }
  return changes;
}

void BestEffortThrottler::OnRunStarted(const std::string& task,
                                       std::uint32_t run) {
  this->requested[task] = {.task = task, .run = run, .percent = kFullPercent};
  this->slowed.erase(task);
}

void BestEffortThrottler::OnRunEnded(const std::string& task) {
  this->requested.erase(task);
  this->slowed.erase(task);
}

void BestEffortThrottler::OnWorkerReplaced() {
  if (!this->options.coupling_estimates) {
    *this = BestEffortThrottler(this->options);
    return;
  }
  this->model.ForgetRuns();
  this->requested.clear();
  this->slowed.clear();
  this->lowest = kFullPercent;
  this->next_update = TimePoint();
  this->over_target_since = kNever;
}

void BestEffortThrottler::OnSpeedChangeFailed(const std::string& task) {
  this->requested.erase(task);
}

}  // namespace savoryring
