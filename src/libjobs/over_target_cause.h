/// Finds out why serving tasks are over their latency target. A deterministic
/// core of the agent.
///
/// Load: a worker whose lists arrive twice a second, with some ten serving and
/// best-effort runs that start, end and change their load within seconds.
#ifndef SAVORYRING_LIBJOBS_OVER_TARGET_CAUSE_H_
#define SAVORYRING_LIBJOBS_OVER_TARGET_CAUSE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libjobs/best_effort_throttler.h"
#include "savoryring/time.h"

namespace savoryring {

enum class OverTargetCause {
  kLateMeasurement,  ///< None of the others: best-effort runs were too fast.
  kLoadSwing,        ///< The load of the serving task itself has grown.
  kUnknownPair,      ///< A best-effort image beside it is hardly measured.
  kFullSpeedStart,   ///< A best-effort run has started, at full speed.
  kMove,             ///< The serving task has just started here.
};
inline constexpr std::size_t kOverTargetCauses = 5;

/// As in logs and in names of metrics, for example "load_swing".
const char* NameOf(OverTargetCause cause);

/// Time during which a serving task was over its target.
struct OverTargetSpan {
  std::string task;
  std::string image;
  OverTargetCause cause = OverTargetCause::kLateMeasurement;
  Milliseconds duration{0};
  /// Spans that were not returned before this one as there were too many.
  std::uint32_t omitted = 0;
};

struct OverTargetOptions {
  /// A task is new on the worker for this long; its first measurements arrive,
  /// and the speeds settle, within 3 s.
  Milliseconds move_time{3000};
  /// A best-effort run was at full speed in the measurements of this time after
  /// it was first listed: half a second, and the moving average of the next.
  Milliseconds start_time{1000};
  /// Growth of the own load over its average that counts as a swing. Half of
  /// the room that max_target_fraction and the rounding of speeds leave.
  double min_load_growth = 0.1;
  /// Best-effort runs that use fewer processors in total disturb nobody.
  double min_best_effort_cpus = 0.1;
  /// Longer spans are reported in parts.
  Milliseconds max_span{10'000};
  /// At most this many spans are returned per `max_span`.
  std::uint32_t max_spans = 5;
};

class OverTargetMonitor {
 public:
  explicit OverTargetMonitor(OverTargetOptions options = {})
      : options(options) {}

  /// Processes a list of the worker's runs, after `model` has learned from it.
  void OnRunsListed(const std::vector<MeasuredRun>& runs,
                    const ColocationModel& model,
                    TimePoint now);
  /// Ends all spans: the runs are gone.
  void OnWorkerReplaced();
  /// The spans that have ended since the last call of this function.
  std::vector<OverTargetSpan> TakeSpans();
  /// Task-milliseconds over target since the start of this process.
  std::uint64_t TotalMs(OverTargetCause cause) const {
    return this->total_ms.at(static_cast<std::size_t>(cause));
  }

 private:
  struct SeenRun {
    std::uint32_t run = 0;
    TimePoint first_seen;  // the epoch: before this process listed anything
  };

  OverTargetCause CauseOf(const MeasuredRun& serving,
                          const std::vector<MeasuredRun>& runs,
                          const ColocationModel& model,
                          TimePoint now) const;
  bool IsYoungerThan(const MeasuredRun& run,
                     Milliseconds age,
                     TimePoint now) const;
  void UpdateSeen(const std::vector<MeasuredRun>& runs, TimePoint now);
  void EndSpan(OverTargetSpan span, TimePoint now);

  OverTargetOptions options;
  std::map<std::string, SeenRun> seen;          // by task
  std::map<std::string, OverTargetSpan> spans;  // open ones, by task
  std::vector<OverTargetSpan> ended;
  std::array<std::uint64_t, kOverTargetCauses> total_ms{};
  TimePoint last_list;  // the epoch: none of this worker
  TimePoint next_period;
  std::uint32_t returned_in_period = 0;
  std::uint32_t omitted = 0;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_OVER_TARGET_CAUSE_H_
