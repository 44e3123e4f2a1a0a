/// Decides whether a run on a slow worker is stopped so that its task continues
/// on another one. Answers slow phases that begin while runs are under way: a
/// step ends only with its last task. A deterministic core without state.
#ifndef SAVORYRING_LIBJOBS_STRAGGLER_POLICY_H_
#define SAVORYRING_LIBJOBS_STRAGGLER_POLICY_H_

#include <optional>

namespace savoryring {

struct StragglerOptions {
  /// From the decision until the task runs elsewhere: the stop, its end in the
  /// log, and the start.
  double move_ms = 500;
  /// Time in which a task restores its work.
  double restore_ms = 100;
  /// How long a slow phase lasts, and the least that is expected to be left of
  /// it however long it has been.
  double slow_phase_ms = 7000;
  double min_slow_left_ms = 2000;
  /// A move must let the task end within this fraction of the time that it
  /// would take where it is, and the step this much earlier. Estimates of
  /// single runs are wrong by 30%.
  double max_time_fraction = 0.7;
  double min_gain_ms = 400;
};

/// What is expected of a run. Times in ms.
struct StragglerOutlook {
  double left_ms = 0;      ///< Time that the rest takes on a usual worker.
  double lost_ms = 0;      ///< Time for what a stop loses, on a usual worker.
  bool restores = false;   ///< Whether the next run has work to restore.
  double speed = 1;        ///< Of the worker.
  double slow_for_ms = 0;  ///< Since when the worker is known to be slow.
  double rest_of_step_ms = 0;  ///< Until the rest of the step has ended.
};

/// Time until the run ends where it is.
double StayMs(const StragglerOutlook& outlook,
              const StragglerOptions& options = {});

/// By how much the step ends earlier if the run is moved to a worker of speed
/// `other_speed`. None if the run should stay.
std::optional<double> MoveGainMs(const StragglerOutlook& outlook,
                                 double other_speed,
                                 const StragglerOptions& options = {});

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_STRAGGLER_POLICY_H_
