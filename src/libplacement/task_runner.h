/// Runs tasks on one worker for the endpoint process. Follows the leader's
/// orders while it holds a lease and stops all tasks before the lease ends.
/// Deterministic: performs no I/O and reads no clock.
#ifndef SAVORYRING_LIBPLACEMENT_TASK_RUNNER_H_
#define SAVORYRING_LIBPLACEMENT_TASK_RUNNER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libmembership/membership.pb.h"
#include "savoryring/time.h"

namespace savoryring {

/// Safety mechanisms that mutation tests disable, to show that the checks
/// detect their absence.
struct TaskRunnerMutations {
  bool ignore_lease = false;  ///< Keep tasks running without a lease.
  /// Start tasks that were assigned to a previous incarnation of this process.
  bool start_predecessor_orders = false;
};

struct TaskRunnerOptions {
  std::uint64_t incarnation = 0;
  Milliseconds lease{3000};
  TaskRunnerMutations mutations;
};

/// One run of a task: its id and epoch.
struct TaskRun {
  std::string task;
  std::uint64_t epoch = 0;
  auto operator<=>(const TaskRun& other) const = default;
};

/// An entry of the worker's own list of tasks.
struct WorkerTask {
  TaskRun run;
  wire::TaskRunState state = wire::TASK_RUN_UNKNOWN;
  std::string checkpoint;
};

struct StartTask {
  wire::TaskOrder order;
  TimePoint lease_end;
};
struct RenewLease {
  TaskRun run;
  TimePoint lease_end;
};
/// The worker takes a checkpoint, then stops the run.
struct StopTask {
  TaskRun run;
};
struct ThrottleRun {
  TaskRun run;
  double share = 1;
};
using TaskRunnerEffect =
    std::variant<StartTask, RenewLease, StopTask, ThrottleRun>;

class TaskRunner {
 public:
  TaskRunner(TaskRunnerOptions options, TimePoint now);

  void OnOrders(const wire::WorkerOrders& orders, TimePoint now);
  /// Processes the worker's complete list, requested at `request_time`.
  void OnWorkerTasks(const std::vector<WorkerTask>& tasks,
                     TimePoint request_time,
                     TimePoint now);
  /// `accepted` is false if the worker refused or did not answer.
  void OnStartResult(const TaskRun& run, bool accepted, TimePoint now);
  /// `stopped` is false if the worker did not answer. The caller requests the
  /// worker's list soon afterwards.
  void OnStopResult(const TaskRun& run,
                    bool stopped,
                    const std::string& checkpoint,
                    TimePoint now);
  void OnTick(TimePoint now);

  std::vector<TaskRunnerEffect> TakeEffects();
  /// Task reports for the next heartbeat.
  std::vector<wire::TaskReport> Reports() const;
  std::uint64_t orders_version() const { return this->version; }
  TimePoint lease_expiry() const { return this->lease_end; }
  bool HasLease(TimePoint now) const;
  bool HasRunning() const;
  /// Returns whether a run has ended since the last call.
  bool TakeRunEnded() { return std::exchange(this->run_ended, false); }

 private:
  enum class Phase {
    kOrdered,
    kStarting,
    kRunning,
    kUnconfirmed,  // not known whether the worker runs it
    kStopping,
    kEnded
  };
  struct LocalRun {
    wire::TaskOrder order;
    bool ordered = true;  // in the leader's current orders
    Phase phase = Phase::kOrdered;
    wire::TaskRunState end_state = wire::TASK_RUN_UNKNOWN;
    std::string checkpoint;
    double applied_share = 1;
    TimePoint start_answer_time;  // lists requested earlier may lack the run
    TimePoint granted_lease_end;  // latest lease end sent to the worker
    TimePoint report_deadline;    // an ended run is reported until then
    TimePoint stop_retry_time;    // when an unanswered stop is sent again
  };

  void ApplyOrder(const wire::TaskOrder& order, TimePoint now);
  void Advance(const TaskRun& run, LocalRun& local, TimePoint now);
  void StartRun(LocalRun& local, TimePoint now);
  void StopRun(const TaskRun& run, LocalRun& local, TimePoint now);
  void MarkEnded(LocalRun& local, wire::TaskRunState end_state);
  void ApplyWorkerTask(const WorkerTask& task, TimePoint now);
  void HandleUnlistedRuns(const std::vector<WorkerTask>& tasks,
                          TimePoint request_time,
                          TimePoint now);
  void RenewLeases(TimePoint now);
  TimePoint StopDeadline() const;

  TaskRunnerOptions options;
  TimePoint start_time;
  TimePoint lease_end;
  TimePoint next_renewal_time;
  bool orders_received = false;
  bool run_ended = false;
  std::uint64_t version = 0;
  std::map<TaskRun, LocalRun> runs;
  std::vector<TaskRunnerEffect> effects;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBPLACEMENT_TASK_RUNNER_H_
