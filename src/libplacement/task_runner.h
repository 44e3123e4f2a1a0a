/// Tasks on one worker: a deterministic core of the endpoint process. It
/// follows the leader's orders under a lease, and stops everything before the
/// lease ends.
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

struct TaskRunnerMutations {
  bool ignore_lease = false;     ///< Tasks go on without a lease.
  bool restart_unknown = false;  ///< Starts again what the worker lost.
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

/// A line of the worker's own list of tasks.
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
/// Take a checkpoint, then stop.
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
  /// The worker's whole list, as asked for at `asked`.
  void OnWorkerTasks(const std::vector<WorkerTask>& tasks,
                     TimePoint asked,
                     TimePoint now);
  /// `accepted` is false where the worker refused or did not answer.
  void OnStartResult(const TaskRun& run, bool accepted, TimePoint now);
  /// `stopped` is false where the worker did not answer. The shell asks for
  /// the worker's list soon after.
  void OnStopResult(const TaskRun& run,
                    bool stopped,
                    const std::string& checkpoint,
                    TimePoint now);
  void OnTick(TimePoint now);

  std::vector<TaskRunnerEffect> TakeEffects();
  /// What the next heartbeat tells of the tasks.
  std::vector<wire::TaskReport> Reports() const;
  std::uint64_t orders_version() const { return this->version; }
  TimePoint lease_until() const { return this->lease_end; }
  bool HasLease(TimePoint now) const;
  bool HasRunning() const;
  /// Whether a run has ended since the last call.
  bool HasNews() { return std::exchange(this->news, false); }

 private:
  enum class Phase {
    kOrdered,
    kStarting,
    kRunning,
    kMissing,
    kStopping,
    kEnded
  };
  struct LocalRun {
    wire::TaskOrder order;
    bool ordered = true;  // still in the leader's orders
    Phase phase = Phase::kOrdered;
    wire::TaskRunState end = wire::TASK_RUN_UNKNOWN;
    std::string checkpoint;
    double applied_share = 1;
    TimePoint start_answered;   // lists asked for before this don't count
    TimePoint lease_given;      // latest lease end that the worker was given
    TimePoint forget_deadline;  // until then an ended run is told on
    TimePoint retry_deadline;   // when an unanswered stop is sent again
  };

  void TakeOrder(const wire::TaskOrder& order, TimePoint now);
  void Advance(const TaskRun& run, LocalRun& local, TimePoint now);
  void Start(LocalRun& local, TimePoint now);
  void Stop(const TaskRun& run, LocalRun& local, TimePoint now);
  void End(LocalRun& local, wire::TaskRunState state);
  void TakeWorkerTask(const WorkerTask& task, TimePoint now);
  void MarkMissing(const std::vector<WorkerTask>& tasks,
                   TimePoint asked,
                   TimePoint now);
  void Renew(TimePoint now);
  TimePoint StopTime() const;

  TaskRunnerOptions options;
  TimePoint started;
  TimePoint lease_end;
  TimePoint renew_deadline;
  bool has_orders = false;
  bool news = false;
  std::uint64_t version = 0;
  std::map<TaskRun, LocalRun> runs;
  std::vector<TaskRunnerEffect> effects;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBPLACEMENT_TASK_RUNNER_H_
