/// Throttles the best-effort tasks on one worker so that its serving tasks stay
/// below their latency targets. The interference between tasks on a machine
/// changes within seconds, whereas measurements arrive twice a second and with
/// a delay.
#ifndef SAVORYRING_LIBJOBS_BEST_EFFORT_THROTTLER_H_
#define SAVORYRING_LIBJOBS_BEST_EFFORT_THROTTLER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libjobs/colocation_model.h"
#include "savoryring/time.h"

namespace savoryring {

struct BestEffortThrottlerOptions {
  /// Time that a measurement covers.
  Milliseconds measurement_interval{450};
  /// When a serving task has exceeded its target for this long, every
  /// best-effort task on the worker is stopped, whatever the model predicts.
  Milliseconds max_time_over_target{1800};
  /// Largest increase of a speed per measurement, in percent of full speed.
  std::uint32_t max_increase_percent = 100;
  /// Speeds are rounded down to multiples of this, to save calls.
  std::uint32_t speed_granularity_percent = 5;
  /// Estimates couplings without measurements; see ColocationModelOptions. A
  /// run beside a serving task whose pair is new then starts slowly.
  bool coupling_estimates = false;
  /// By how many processors such a run starts, and is raised per measurement.
  /// Exceeds ColocationModelOptions::min_cpu_change, so that each raise teaches
  /// something.
  double trial_cpus = 0.9;
  /// It is raised while every serving task is below this fraction of its
  /// target. Less than max_target_fraction of the model by the effect of a
  /// usual raise.
  double trial_target_fraction = 0.85;
};

/// A run as the worker lists it.
struct MeasuredRun {
  std::string task;
  std::uint32_t run = 0;
  std::string image;
  bool best_effort = false;
  std::uint32_t cpu_milli = 0;       ///< CPU request of a best-effort task.
  std::uint32_t tail_target_ms = 0;  ///< 0 for a task that is not serving.
  /// Tail latency in ms of a serving task, otherwise CPU use in thousandths of
  /// a processor.
  std::uint32_t measured = 0;
};

struct SpeedChange {
  std::string task;
  std::uint32_t run = 0;
  std::uint32_t percent = 100;
};

class BestEffortThrottler {
 public:
  explicit BestEffortThrottler(BestEffortThrottlerOptions options = {})
      : options(options), model({.estimates = options.coupling_estimates}) {}

  /// Processes a complete list of the worker's runs and returns the speeds that
  /// must change.
  std::vector<SpeedChange> OnRunsListed(const std::vector<MeasuredRun>& runs,
                                        TimePoint now);
  /// Makes room for a best-effort run that has just started, by the couplings
  /// learned so far; raises no speed. `runs` is the last list plus the new run.
  std::vector<SpeedChange> OnBestEffortRunAdded(
      const std::vector<MeasuredRun>& runs,
      TimePoint now);
  /// Merges what the leader has learned from all workers.
  void MergeLearned(const wire::LearnedImage& learned) {
    this->model.MergeLearned(learned);
  }
  /// Another worker has taken the place of this one. Couplings of images stay
  /// valid; without estimates they are forgotten as well.
  void OnWorkerReplaced();
  const ColocationModel& colocation_model() const { return this->model; }
  /// A run has started at full speed. The speed of any other run is unknown.
  void OnRunStarted(const std::string& task, std::uint32_t run);
  void OnRunEnded(const std::string& task);
  /// The last speed change was not carried out and must be requested again.
  void OnSpeedChangeFailed(const std::string& task);
  /// The lowest speed of a best-effort task, in percent of full speed.
  std::uint32_t lowest_percent() const { return this->lowest; }

 private:
  std::vector<SpeedChange> ComputeChanges(const std::vector<MeasuredRun>& runs,
                                          bool may_increase,
                                          TimePoint now);
  bool IsOverTargetTooLong(const std::vector<MeasuredRun>& runs, TimePoint now);
  std::vector<double> AllowedSpeeds(const std::vector<MeasuredRun>& runs,
                                    bool may_increase) const;
  bool AreTargetsKept(const std::vector<MeasuredRun>& runs) const;
  std::uint32_t NextSpeedPercent(const MeasuredRun& run,
                                 double speed,
                                 std::uint32_t max_increase) const;

  BestEffortThrottlerOptions options;
  ColocationModel model;
  std::uint32_t lowest = 100;
  TimePoint next_update;
  TimePoint over_target_since = kNever;
  std::map<std::string, SpeedChange> requested;
  std::set<std::string> slowed;  // runs whose speed was set at least once
};

/// Converts a worker's runs for the colocation model.
std::vector<ColocatedRun> ToColocatedRuns(const std::vector<MeasuredRun>& runs);

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_BEST_EFFORT_THROTTLER_H_
