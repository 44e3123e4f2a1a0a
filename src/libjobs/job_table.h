/// Replicated state machine for jobs: steps of identical tasks, the workers
/// that run them, and the outcome of each run. Applying the same commands in
/// the same order produces the same table on every replica.
#ifndef SAVORYRING_LIBJOBS_JOB_TABLE_H_
#define SAVORYRING_LIBJOBS_JOB_TABLE_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "libjobs/jobs.pb.h"
#include "libjobs/overload_policy.h"
#include "savoryring/result.h"

namespace savoryring {

/// Identifies a step in one occurrence of a job by the job's sequence number.
struct StepKey {
  std::uint64_t sequence = 0;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  auto operator<=>(const StepKey& other) const = default;
};

struct TaskKey {
  StepKey step;
  std::uint32_t index = 0;
  auto operator<=>(const TaskKey& other) const = default;
};

/// The numeric values are stored in snapshots.
enum class JobTaskState : std::uint8_t { kWaiting, kAssigned, kDone };

struct JobTask {
  JobTaskState state = JobTaskState::kWaiting;
  std::uint32_t run = 0;       ///< Number of the latest run; 0: never started.
  std::uint32_t failures = 0;  ///< Runs that ended with RUN_END_FAILED.
  std::string agent;           ///< Agent of the current or latest run.
  std::string checkpoint;
  /// Workers that crashed just after they may have begun a run of this task.
  std::uint32_t crashes = 0;
  /// Those of them that had begun runs of no other job.
  std::uint32_t sole_crashes = 0;
};

struct StepState {
  std::vector<JobTask> tasks;
  std::uint32_t done = 0;
  std::uint32_t waiting = 0;
  std::uint32_t failed_run = 0;   ///< Gangs: number of the latest failed run.
  std::uint32_t highest_run = 0;  ///< Of all tasks.
  /// Entries of the step's `after` that name a step which is not done.
  std::uint32_t unmet_dependencies = 0;

  bool IsDone() const { return this->done == this->tasks.size(); }
};

/// One execution of a job's steps. All but the steps themselves is derived from
/// them, and updated with each change, so that decisions do not walk the steps.
struct JobOccurrence {
  std::vector<StepState> steps;
  std::uint32_t done_steps = 0;
  WorkAmounts waiting{};  ///< Estimated work of the tasks that wait.
  WorkAmounts running{};  ///< The same of assigned tasks, from their beginning.

  bool IsDone() const { return this->done_steps == this->steps.size(); }
};

/// What follows from the spec of a job.
struct JobFigures {
  std::uint64_t tasks = 0;  ///< Of one occurrence.
  std::uint64_t objective_ms = 0;
  std::uint64_t total_work = 0;  ///< Of one occurrence.
  bool has_lasting_steps = false;
  bool has_finite_steps = false;
  /// For each step, those that wait for it: once for each entry in `after`.
  std::vector<std::vector<std::uint32_t>> dependents;
};

/// A state change, for logging and for the scheduler's own state. The numeric
/// values of `Kind` are stored in snapshots.
struct JobEvent {
  enum class Kind {
    kAccepted,
    kCancelled,
    kStarted,
    kEnded,
    kJobEnded,
    kWorkerLost,
    kWorkerCrashed,
    kSuspected,
    kCleared
  };
  Kind kind = Kind::kAccepted;
  std::string job;
  std::string task;  ///< JOB.OCCURRENCE.STEP.INDEX; empty without a task.
  std::string agent;
  std::uint32_t run = 0;
  wire::RunEnd run_end = wire::RUN_END_UNSPECIFIED;
  std::string reason;    ///< For kAccepted: the queue.
  TaskKey key;           ///< Default-constructed without a task.
  bool lasting = false;  ///< Whether the task belongs to a lasting step.
  bool job_open = true;  ///< For kEnded: whether the job had not ended before.
  /// For kWorkerCrashed: whether a run that may have caused it is known.
  bool explained = true;
};

/// An event in the history of a job. Stored as wire::StoredMoment.
struct JobHistoryEntry {
  std::uint64_t at_ms = 0;  ///< Group time.
  JobEvent::Kind kind = JobEvent::Kind::kAccepted;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  std::uint32_t run = 0;  ///< 0 for events of the whole job.
  wire::RunEnd run_end = wire::RUN_END_UNSPECIFIED;
  std::string agent;
};

struct Job {
  wire::JobSpec spec;
  JobFigures figures;  ///< Empty once the steps were dropped.
  wire::JobState state = wire::JOB_STATE_PENDING;
  std::uint64_t sequence = 0;
  std::uint64_t accepted_ms = 0;  ///< Group time.
  std::uint64_t ended_ms = 0;     ///< Group time; 0 while the job is open.
  std::uint32_t done_occurrences = 0;
  std::uint32_t assigned = 0;  ///< Runs that occupy a worker.
  bool has_done_tasks = false;
  std::map<std::uint32_t, JobOccurrence> occurrences;
  /// Estimated memory of all of this and of the indexes.
  std::uint64_t held_bytes = 0;
  std::string end_reason;               ///< Empty while the job is open.
  std::deque<JobHistoryEntry> history;  ///< The latest events, oldest first.
  std::uint32_t dropped_history = 0;

  bool IsOpen() const {
    return this->state == wire::JOB_STATE_PENDING ||
           this->state == wire::JOB_STATE_RUNNING;
  }
};

/// The current incarnation of the worker that one agent serves.
struct JobWorker {
  wire::JobWorkerDescription description;
  std::int64_t highest_born_ms = 0;   ///< Of all incarnations so far.
  bool lost = false;                  ///< Its runs were released.
  std::uint64_t acknowledged = 0;     ///< Ends up to this number are committed.
  std::int64_t counted_crash_ms = 0;  ///< `born_ms` of the latest crash.
  std::uint64_t used_cpu_milli = 0;
  std::uint64_t used_memory_mb = 0;
  std::uint64_t used_accelerators = 0;
  /// Requested by best-effort tasks (`fills` in JobStep); not reserved.
  std::uint64_t best_effort_cpu_milli = 0;
  std::set<TaskKey> runs;
};

/// Whether `reported` is later than the known incarnation. Births are readings
/// of a clock that may jump: a lower one counts if the agent has asked the
/// worker since it learned of the known incarnation.
bool IsLaterIncarnation(const JobWorker& known,
                        const wire::JobWorkerDescription& reported);

struct JobApplyResult {
  ResultCode code = ResultCode::kOk;
};

/// Safety mechanisms that mutation tests disable, to show that the checks
/// detect their absence.
struct JobMutations {
  bool skip_capacity_check = false;
  /// The end of an earlier run is applied to the latest run.
  bool ignore_run_numbers = false;
};

class JobTable {
 public:
  explicit JobTable(JobMutations mutations = {}) : mutations(mutations) {}

  JobApplyResult Apply(const wire::JobCommand& command);

  wire::JobSnapshot Save() const;
  void Restore(const wire::JobSnapshot& snapshot);

  const Job* Find(const std::string& id) const;
  const Job* FindSequence(std::uint64_t sequence) const;
  const JobWorker* FindWorker(const std::string& agent) const;
  const std::map<std::string, JobWorker>& workers() const {
    return this->worker_table;
  }
  const std::map<std::uint64_t, Job>& jobs() const { return this->job_table; }
  /// Steps with all dependencies done and with tasks that wait for a worker.
  const std::set<StepKey>& ready_steps() const { return this->ready; }
  /// Tasks of open jobs under which workers have crashed.
  const std::set<TaskKey>& suspects() const { return this->suspect_tasks; }
  /// Open jobs with scheduled occurrences that have not begun.
  const std::set<std::uint64_t>& timed_jobs() const { return this->timed; }
  const JobTask& Task(const TaskKey& key) const;
  /// Number of the task's next run. Members of a gang have the same, also if
  /// their last runs had not.
  std::uint32_t NextRun(const TaskKey& key) const;
  const wire::JobStep& Step(const StepKey& key) const;
  const StepState& State(const StepKey& key) const;
  bool IsReady(const StepKey& key) const;
  /// Number of accepted jobs of the queue without a started task. Jobs with
  /// scheduled occurrences are not counted.
  std::uint32_t CountPending(const std::string& queue) const;
  std::uint64_t group_time_ms() const { return this->group_time; }
  /// Estimated memory of all known jobs.
  std::uint64_t held_bytes() const { return this->total_held_bytes; }
  /// The same by queue.
  const std::map<std::string, std::uint64_t>& held_bytes_by_queue() const {
    return this->queue_held_bytes;
  }
  /// Group time at which the next ended job is forgotten; 0: none has ended.
  std::uint64_t NextExpiryMs() const;
  /// Number of steps that were checked for readiness so far; bounds the cost of
  /// applied commands in tests.
  std::uint64_t readiness_checks() const { return this->checked_steps; }
  wire::TaskName NameOf(const TaskKey& key) const;
  /// Key of a named task, or a key with sequence 0 for an unknown task.
  TaskKey KeyOf(const wire::TaskName& name) const;

  std::vector<JobEvent> TakeEvents();
  /// Agents whose assignments have changed since the last call.
  std::set<std::string> TakeChangedAgents();

 private:
  JobApplyResult Submit(const wire::JobSpec& spec);
  JobApplyResult Cancel(const std::string& id);
  void RegisterWorker(const wire::JobWorkerDescription& description);
  void CountCrash(const wire::WorkerCrash& crash);
  void ClearSuspect(const wire::RecentRun& survivor);
  void GiveUpJob(const wire::GiveUp& give_up);
  void MarkWorkerLost(const wire::WorkerLoss& loss);
  void ApplyEnds(const wire::WorkerEnds& ends);
  void ApplyEnd(const std::string& agent, const wire::TaskEnd& end);
  void BeginOccurrence(const wire::OccurrenceStart& start);
  void StartRuns(const wire::JobCommand& command);
  void StartGang(const StepKey& step_key,
                 const std::vector<wire::TaskStart>& starts);
  void StartRun(const wire::TaskStart& start, const TaskKey& key);

  bool CanStart(const wire::TaskStart& start,
                const TaskKey& key,
                std::uint32_t planned) const;
  void AddOccurrence(Job& job, std::uint32_t number);
  static void DeriveFigures(const Job& job, JobOccurrence& occurrence);
  void SetHeldBytes(Job& job, std::uint64_t bytes);
  void ReleaseRun(JobTask& task, const TaskKey& key);
  void ReleaseAllRuns(JobWorker& worker, const std::string& reason);
  void FinishTask(Job& job, const TaskKey& key);
  void FinishStep(Job& job, const StepKey& key);
  void RecordFailure(Job& job, const TaskKey& key, std::uint32_t run);
  void CompleteOccurrence(Job& job, std::uint32_t number);
  void EndJob(Job& job, wire::JobState state, const std::string& reason);
  void DropSpecIfIdle(Job& job);
  void ExpireEndedJobs();
  void UpdateReady(const Job& job, const StepKey& key);
  void UpdateReady(const Job& job, std::uint32_t occurrence);
  void RestoreJob(const wire::StoredJob& stored);
  void RestoreRuns(Job& job, std::uint32_t number);
  void UpdateUsage(JobWorker& worker, const wire::JobStep& step, bool add);
  JobTask& MutableTask(const TaskKey& key);
  Job* MutableJob(std::uint64_t sequence);
  void RecordEvent(JobEvent event);
  void AddHistoryEntry(const JobEvent& event);

  JobMutations mutations;
  std::uint64_t group_time = 0;
  std::uint64_t next_sequence = 1;
  std::map<std::uint64_t, Job> job_table;
  std::unordered_map<std::string, std::uint64_t> sequence_of_id;
  std::map<std::string, JobWorker> worker_table;
  // Indexes derived from the tables above; Restore() rebuilds them.
  std::set<StepKey> ready;
  std::set<TaskKey> suspect_tasks;
  std::set<std::uint64_t> timed;
  std::set<std::uint64_t> pending;
  std::set<std::uint64_t> ended;
  std::uint64_t total_held_bytes = 0;
  std::map<std::string, std::uint64_t> queue_held_bytes;
  std::uint64_t checked_steps = 0;
  // Collected until the next Take...() call.
  std::set<std::string> changed_agents;
  std::vector<JobEvent> events;
};

/// Number of the step's tasks that are assigned to the worker.
std::size_t CountRuns(const JobWorker& worker, const StepKey& key);

/// JOB.OCCURRENCE.STEP.INDEX
std::string TaskNameText(const wire::TaskName& name);

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_JOB_TABLE_H_
