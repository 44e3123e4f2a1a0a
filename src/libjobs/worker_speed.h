/// Learns how fast each worker is, relative to the others, from the progress of
/// its runs. Answers workers that become four to five times slower for some
/// 5 to 10 s without notice, beside estimates that are wrong by step and image
/// and single tasks that take several times as long as the rest of their step.
/// A deterministic core; soft state of the leader.
///
/// The rate of a run is the work it does by its estimate per time elapsed. The
/// rates of one step on one worker form a group. A group is compared with the
/// step's groups on other workers, and with those of the same image and of the
/// same kind while few of its step are known, so that wrong estimates cancel
/// out. As quick checks are often packed on one worker, it is also compared
/// with the usual rate of its image and kind in the last minute. The speed of a
/// worker is the mean of its posterior distribution over a few speeds, given
/// its groups. A group may be slow since its task is long, so that one task of
/// unusual length marks no worker.
#ifndef SAVORYRING_LIBJOBS_WORKER_SPEED_H_
#define SAVORYRING_LIBJOBS_WORKER_SPEED_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libjobs/job_table.h"
#include "savoryring/time.h"

namespace savoryring {

struct WorkerSpeedOptions {
  /// Slow below this speed ...
  double slow_speed = 0.5;
  /// ... and until it exceeds this one, so that a worker between them does not
  /// change its state with every report.
  double recovered_speed = 0.6;
  /// Runs make uneven progress while they start.
  Milliseconds start_time{300};
  /// Time constant of a run's rate: two to three reports.
  Milliseconds rate_time{600};
  /// Time constant with which evidence loses its weight beside newer evidence
  /// on the same worker. The speed of a worker changes at once.
  Milliseconds superseded_time{500};
  /// Time constant with which the newest evidence on a worker loses its weight.
  /// With slow phases of 5 to 10 s, a worker without runs counts as slow for
  /// some 5 s.
  Milliseconds evidence_time{4000};
  /// Rates that were not confirmed for this long are dropped.
  Milliseconds memory{7000};
  /// A run that shows no progress for this long stands still; neither this nor
  /// its next step forward says anything about the worker.
  Milliseconds standstill_time{1500};
  /// Time constant of the usual rates of images. Exceeds slow phases by far.
  std::chrono::seconds history{60};
  /// Most images whose usual rates are kept.
  std::size_t max_images = 256;
  /// Interval between two evaluations.
  Milliseconds evaluation_interval{200};
  /// A slow worker of which nothing was observed for this long is tried with
  /// one task per interval.
  Milliseconds probe_interval{1500};
  /// Most runs of one worker whose rates are kept; the oldest are dropped.
  std::size_t max_runs_per_worker = 64;
};

/// The progress of a run as its worker lists it.
struct RunProgress {
  std::string worker;
  TaskKey task;
  std::uint32_t run = 0;
  std::string image;               ///< May be empty.
  bool best_effort = false;        ///< May be throttled on purpose.
  double cpu_fraction = 1;         ///< CPU use of a best-effort run / request.
  std::uint32_t estimated_ms = 0;  ///< For the whole task.
  std::uint32_t percent = 0;
  bool resumed = false;  ///< From a checkpoint: progress did not begin at 0.
  TimePoint started;
};

/// A worker was found slow, or has recovered.
struct WorkerSpeedChange {
  std::string worker;
  bool slow = false;
  double speed = 1;
};

class WorkerSpeed {
 public:
  explicit WorkerSpeed(WorkerSpeedOptions options = {}) : options(options) {}

  /// Repeated calls with the same progress are ignored: a report may repeat an
  /// earlier list of the worker.
  void OnProgress(const RunProgress& progress, TimePoint now);
  /// The run was completed.
  void OnDone(const RunProgress& progress, TimePoint now);
  /// Another incarnation took the place of the worker, or it was lost.
  void Forget(const std::string& worker) { this->workers.erase(worker); }
  /// Computes the speeds if the last evaluation is long enough ago.
  void Evaluate(TimePoint now);
  /// Changes since the last call.
  std::vector<WorkerSpeedChange> TakeChanges();

  /// Relative to the usual speed, which is 1; also 1 without observations.
  double SpeedOf(const std::string& worker) const;
  bool IsSlow(const std::string& worker) const;
  std::size_t CountSlow() const;
  /// For how long a slow worker has been known to be slow.
  Milliseconds SlowFor(const std::string& worker, TimePoint now) const;
  /// Work in ms, by the estimate, that the run does per ms. None if it is not
  /// known of the last `memory`.
  std::optional<double> RateOf(const std::string& worker,
                               const TaskKey& task,
                               std::uint32_t run) const;
  /// Whether a slow worker is to be tried with one task.
  bool NeedsProbe(const std::string& worker, TimePoint now) const;
  void OnProbe(const std::string& worker, TimePoint now);
  /// Number of rates kept.
  std::size_t CountRates() const;

 private:
  struct RunRate {
    std::uint32_t run = 0;
    std::string image;
    bool best_effort = false;
    double weight = 1;   // of a full observation
    double work_ms = 0;  // exponentially decayed sums
    double elapsed_ms = 0;
    double jitter_ms = 0;       // uncertainty of `elapsed_ms`
    double granularity_ms = 0;  // work of one percent
    std::uint32_t percent = 0;  // at `anchor`
    TimePoint reported;         // latest progress or end
    TimePoint anchor;           // latest change of the percentage
    TimePoint observed;         // the epoch: only an anchor so far
  };
  struct WorkerState {
    std::map<TaskKey, RunRate> runs;
    double speed = 1;
    bool slow = false;
    TimePoint slow_since;  // when it was last found slow
    TimePoint observed;    // latest observation of any run
    TimePoint next_probe;
  };
  // The runs of one step on one worker.
  struct Group {
    StepKey step;
    const std::string* worker = nullptr;
    const std::string* image = nullptr;
    bool best_effort = false;
    std::size_t runs = 0;
    double log_rate = 0;
    double variance = 0;
    TimePoint observed;
  };
  struct Groups;
  // Usual rate over the last minute, as exponentially decayed sums.
  struct History {
    double log_rates = 0;
    double count = 0;
    TimePoint updated;
  };

  void Add(RunRate& rate,
           double work_ms,
           double elapsed_ms,
           double jitter_ms,
           const RunProgress& progress,
           TimePoint now);
  void AddGroups(const std::string& worker,
                 const WorkerState& state,
                 Groups& groups) const;
  void UpdateState(const std::string& worker,
                   double speed,
                   WorkerState& state,
                   TimePoint now);
  void UpdateHistory(const Groups& groups, TimePoint now);
  double EvidenceOf(const Group& group,
                    const WorkerState& state,
                    TimePoint now) const;
  RunRate& RateFor(const RunProgress& progress, TimePoint now);

  WorkerSpeedOptions options;
  std::map<std::string, WorkerState> workers;
  std::map<std::string, History> image_history;
  std::map<bool, History> kind_history;  // by whether best-effort
  std::vector<WorkerSpeedChange> changes;
  TimePoint last_evaluation;
  TimePoint next_evaluation;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_WORKER_SPEED_H_
