/// Decisions under overload: which arriving jobs are refused because they would
/// end too late, and which runs give way to tasks of more urgent queues. A
/// deterministic core without clock, I/O or randomness.
///
/// The load that it handles: more work than the workers can do, from callers
/// whose jobs differ in priority, in deadline and in amount of work, while the
/// rate of best-effort work depends on the tasks beside it and is known only
/// by measurement.
#ifndef SAVORYRING_LIBJOBS_OVERLOAD_POLICY_H_
#define SAVORYRING_LIBJOBS_OVERLOAD_POLICY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

#include "savoryring/time.h"

namespace savoryring {

/// A job that takes this multiple of its objective is of no value to its owner.
inline constexpr std::uint64_t kWorthlessMultiple = 3;

/// Whether a job can still meet its objective; smaller values are placed first.
enum class Timeliness { kOnTime, kLate, kWorthless };

/// Reserving tasks hold processors for themselves. Best-effort tasks use what
/// others leave, so that their rate has to be measured.
enum class WorkClass : std::uint8_t { kReserving, kBestEffort };
inline constexpr std::size_t kWorkClasses = 2;

/// Amounts by WorkClass. Work is the estimated time of tasks, in ms, times
/// their processors, in thousandths.
using WorkAmounts = std::array<double, kWorkClasses>;

/// A job in the view of the policy.
struct OpenJob {
  std::uint32_t priority = 0;          ///< 0 is the most urgent.
  std::uint64_t accepted_ms = 0;       ///< Group time.
  std::uint64_t objective_ms = 0;      ///< After `accepted_ms`.
  std::uint64_t critical_path_ms = 0;  ///< What is left, at typical speeds.
  /// Whether a task has been placed.
  bool started = false;
  WorkAmounts waiting{};  ///< Of tasks that no worker runs.
  WorkAmounts running{};  ///< What running tasks have left.
};

/// Timeliness at `time_ms` of a job whose critical path is estimated at typical
/// speeds.
Timeliness TimelinessAt(const OpenJob& job, std::uint64_t time_ms);

/// How fast work of a class is done, and how fast it arrives; processors in
/// thousandths.
struct WorkRate {
  double done = 0;
  /// Of jobs that were accepted lately and are as urgent as the arriving one.
  double arriving = 0;
};
/// Unset: not measured or without backlog; nothing waits for such work.
using WorkRates = std::array<std::optional<WorkRate>, kWorkClasses>;

/// When an arriving job is expected to end, and what that follows from.
struct EndEstimate {
  std::uint64_t end_ms = 0;  ///< After its arrival.
  double work_ahead = 0;     ///< Waiting work that is placed before the job.
  double rate = 0;           ///< Of the class that delays it most; 0: none.
};

/// The job is taken and can start at once.
struct PlaceJob {};
/// The job is taken and waits for others.
struct DelayJob {
  EndEstimate estimate;
};
/// The job would end too late. It is to come back after `retry_after`.
struct RefuseJob {
  EndEstimate estimate;
  std::uint64_t objective_ms = 0;
  std::chrono::seconds retry_after{1};
  bool lacks_memory = false;  ///< The reason, in place of the estimate.
};
using ArrivalDecision = std::variant<PlaceJob, DelayJob, RefuseJob>;

/// Decides on a job that arrives at `now_ms` among the open jobs of its
/// service.
ArrivalDecision DecideArrival(const OpenJob& arriving,
                              const std::vector<OpenJob>& open_jobs,
                              const WorkRates& rates,
                              std::uint64_t now_ms);

/// Measures, for one service, how fast work is done while there is more of it
/// than workers take.
class WorkMeter {
 public:
  /// Records that a run did `work` in `elapsed` of running, in which it should
  /// have progressed by as much by its estimate as `progress`.
  struct Progress {
    WorkClass work_class = WorkClass::kReserving;
    double work = 0;
    double progress_ms = 0;
    double elapsed_ms = 0;
  };
  void AddProgress(const Progress& progress, TimePoint now);

  /// Records whether tasks of the class wait for capacity from now on.
  void SetBacklog(WorkClass work_class, bool backlog, TimePoint now);
  bool HasBacklog(WorkClass work_class) const;

  /// Records accepted work.
  void AddArrival(WorkClass work_class,
                  std::uint32_t priority,
                  double work,
                  TimePoint now);
  /// Rate at which work of this or a more urgent priority was accepted lately.
  double ArrivalRate(WorkClass work_class,
                     std::uint32_t priority,
                     TimePoint now) const;

  /// Processors, in thousandths, that did the work of the class while it had a
  /// backlog. Unset where the backlog is too new.
  std::optional<double> Rate(WorkClass work_class, TimePoint now) const;

  /// Progress of best-effort runs relative to their estimates, at most 1; 1
  /// without measurements.
  double TypicalSpeed(TimePoint now) const;

 private:
  struct ClassTotals {
    double work = 0;         // done during a backlog
    double backlog_ms = 0;   // how long there was one
    double progress_ms = 0;  // also without backlog
    double elapsed_ms = 0;
  };
  struct Slice {
    std::int64_t number = 0;  // time divided by the length of a slice
    std::array<ClassTotals, kWorkClasses> totals;
  };
  Slice& SliceAt(TimePoint now);
  ClassTotals TotalsOver(WorkClass work_class,
                         std::int64_t slice_count,
                         TimePoint now) const;

  struct Arrival {
    TimePoint time;
    WorkClass work_class = WorkClass::kReserving;
    std::uint32_t priority = 0;
    double work = 0;
  };
  std::deque<Slice> slices;
  std::deque<Arrival> arrivals;
  std::array<bool, kWorkClasses> backlogs{};
  std::array<TimePoint, kWorkClasses> backlog_updates{};
};

// --- Preemption ---

/// Resources of a worker or a task that its runs hold for themselves.
struct HeldResources {
  std::int64_t cpu_milli = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool Covers(const HeldResources& need) const;
};
HeldResources operator+(const HeldResources& a, const HeldResources& b);
HeldResources operator-(const HeldResources& a, const HeldResources& b);

/// A run that may be preempted: its step saves checkpoints, is neither
/// long-running nor a gang, and the run is not being stopped.
struct PreemptableRun {
  std::uint32_t priority = 0;
  /// Work done since the last checkpoint; see WorkAmounts.
  double unsaved_work = 0;
  /// Work left of the job, relative to the whole.
  double job_share_left = 1;
  std::uint32_t preemptions = 0;  ///< Of the task, before.
  HeldResources held;
};

/// A worker on which a task may run, apart from the resources that it lacks.
struct PreemptionSite {
  /// Free, or held by runs that are being stopped.
  HeldResources free;
  std::vector<PreemptableRun> runs;
};

/// Which runs give way to a task.
struct PreemptRuns {
  std::size_t site = 0;
  std::vector<std::size_t> runs;  ///< Of that site; empty: the task fits.
};

/// At most this many runs are preempted in one decision: a decision is based on
/// reports that do not show the effect of the previous one.
inline constexpr std::size_t kMaxPreemptionsPerDecision = 4;

/// Chooses the site where a waiting task costs the least unsaved work. Nothing
/// is preempted if the task fits somewhere. Returns no value if the task finds
/// no room by at most `max_runs` preemptions.
std::optional<PreemptRuns> ChoosePreemption(
    std::uint32_t priority,
    const HeldResources& need,
    const std::vector<PreemptionSite>& sites,
    std::size_t max_runs);

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_OVERLOAD_POLICY_H_
