/// Job scheduling on the leader: assigns ready tasks to workers, declares
/// workers lost, and computes the orders for each agent. Handles overload as
/// well as workers that fail, hang or disappear. All of its state is soft: a
/// new leader rebuilds it from the agents' reports.
#ifndef SAVORYRING_LIBJOBS_JOB_SCHEDULER_H_
#define SAVORYRING_LIBJOBS_JOB_SCHEDULER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libjobs/colocation_model.h"
#include "libjobs/crash_isolation.h"
#include "libjobs/failure_attribution.h"
#include "libjobs/job_admission.h"
#include "libjobs/job_memory.h"
#include "libjobs/job_objectives.h"
#include "libjobs/job_table.h"
#include "libjobs/straggler_policy.h"
#include "libjobs/waiting_queue.h"
#include "libjobs/worker_speed.h"
#include "libjobs/zone_evacuation.h"
#include "savoryring/time.h"

namespace savoryring {

/// Safety mechanisms that mutation tests disable, to show that the checks
/// detect their absence.
struct JobSchedulerMutations {
  /// Ignores leases that earlier leaders granted.
  bool skip_predecessor_wait = false;
  /// Declares unreachable workers lost before their lease ends.
  bool give_up_early = false;
  /// Takes up a worker that was given up before its ends are committed.
  bool register_before_ends = false;
  /// Leaves runs that no longer fit with a worker that has shrunk.
  bool skip_withdrawal = false;
  /// What a worker runs without an assignment takes no room there.
  bool ignore_unassigned_runs = false;
};

/// Parts that are off by default; see SchedulingSettings.
struct JobSchedulerFeatures {
  bool admission = false;
  bool preemption = false;
  bool coupling_estimates = false;
  bool worker_speeds = false;
};

struct JobSchedulerOptions {
  /// How long an agent may keep its worker running without contact to the
  /// leader.
  Milliseconds lease{6000};
  /// An agent issues no start call later than this after the report that the
  /// start order answers, so that a withdrawn order is not carried out late. 0:
  /// until its lease ends.
  Milliseconds start_validity{0};
  /// A worker whose agent has not reported for this long is unreachable and
  /// gets no new tasks.
  Milliseconds unreachable_after{1500};
  /// A start order that no report confirms, or a worker description that is
  /// not committed, is sent again after this time.
  Milliseconds resend_interval{400};
  /// A worker is suspended once tasks of this many jobs have failed on it since
  /// it last completed a run.
  std::size_t failed_jobs_to_suspend = 3;
  Milliseconds suspension_time{8000};
  /// After a suspension the worker is on probation: it gets one task per
  /// interval until it completes a run.
  Milliseconds probe_interval{3000};
  /// A run is moved to another worker when it has made no progress for this
  /// long and has taken more than three times its estimate.
  Milliseconds no_progress_timeout{2500};
  /// How long a job without running tasks waits at most for a worker with room
  /// for best-effort tasks.
  Milliseconds max_idle_job_wait{1000};
  /// Interval between two updates of the colocation model from one worker,
  /// equal to the measurement interval.
  Milliseconds learning_interval{450};
  /// Interval between two transfers of learned couplings to one agent. The set
  /// of images on a worker changes within seconds.
  Milliseconds learned_send_interval{1000};
  /// A best-effort task is placed on a worker only if it adds at least this
  /// fraction of its CPU request to the best-effort throughput there.
  double min_best_effort_gain = 0.5;
  /// Minimum age of a best-effort run that is moved. Covers several
  /// measurements and exceeds the cost of a stop and a start.
  Milliseconds min_age_to_move{1500};
  /// The open occurrences of a repeated job have at most this many tasks
  /// together, so that a job's memory does not depend on its repeat count. Two
  /// are open in any case, so that a task that runs on does not hold up the
  /// next one, but no more while the memory for jobs is full.
  std::uint64_t max_open_tasks = 10'000;
  /// Interval between two searches for lasting runs in evacuated zones.
  Milliseconds evacuation_check_interval{100};
  /// Interval between two searches for slow best-effort runs.
  Milliseconds slow_run_check_interval{250};
  /// A job is given up once this many workers in a row have crashed just after
  /// they had begun a run of one of its tasks ...
  std::uint32_t crashes_to_give_up = 3;
  /// ... and this many of them had begun runs of no other job.
  std::uint32_t sole_crashes_to_give_up = 2;
  /// Each of the two is one more for this long after a worker has crashed that
  /// had begun nothing, as workers then also crash under sound tasks by chance.
  /// A new leader that finds suspects doesn't know and assumes it.
  Milliseconds memory_of_other_causes{30'000};
  /// It is given up after this many, whatever else they had begun.
  std::uint32_t max_crashes = 5;
  /// A suspect under which one worker has crashed is placed like other tasks
  /// after this, unless tests of suspects have crashed workers lately. When
  /// many workers crash of another cause, all suspects are sound.
  Milliseconds max_wait_for_test{1500};
  /// A suspect is tested again on the worker that crashed under it only once
  /// that has been up for this long. A worker that crashes anyway, time and
  /// again, does so before.
  Milliseconds min_uptime_to_test{1000};
  CrashIsolationOptions isolation;
  WaitingQueueOptions waiting_queue;
  JobMemoryOptions memory;
  JobSchedulerFeatures features;
  JobSchedulerMutations mutations;
};

/// A run that is stopped so that its task can be placed on another worker.
struct MovedRun {
  std::string task;
  std::string agent;
  std::string why;
  bool stop_now = false;  ///< The agent is to get orders at once.
};

/// A run that is stopped, with its work saved, for a task of a more urgent job.
struct PreemptedRun {
  std::string task;
  std::string agent;
  std::string preempting_job;
};

class JobScheduler {
 public:
  /// `led_since`: when this leader took over. Leases granted by earlier leaders
  /// end one lease time after it.
  JobScheduler(JobSchedulerOptions options,
               const JobTable& table,
               TimePoint led_since);

  /// Processes an agent's report. The returned command, if any, must be
  /// committed.
  std::optional<wire::JobCommand> OnReport(const JobTable& table,
                                           const wire::AgentReport& report,
                                           TimePoint now);
  /// Returns the current orders for an agent and grants it a lease that counts
  /// from its last report.
  wire::AgentOrders OrdersFor(const JobTable& table,
                              const std::string& agent,
                              TimePoint now);
  /// Gives all agents more time to report, as the leader read no reports for
  /// `busy_time`.
  void ExtendLeases(std::chrono::nanoseconds busy_time);
  /// Workers of these zones get no new tasks, and lasting tasks leave them.
  void SetEvacuatedZones(std::set<std::string> zones);
  /// Updates the scheduler's state after a change of the table.
  void OnEvent(const JobEvent& event, TimePoint now);

  /// Returns the next decision, which must be committed before another one is
  /// requested. `wall_ms` is the Unix time and starts scheduled occurrences;
  /// `group_time_ms` is the time of the group's log.
  std::optional<wire::JobCommand> Decide(const JobTable& table,
                                         std::int64_t wall_ms,
                                         std::uint64_t group_time_ms,
                                         TimePoint now);

  /// Decides whether a submitted job is proposed to the log. A job that is
  /// known or proposed is not refused. A call that may have been accepted
  /// before (not `may_refuse`) is refused only if the job was refused shortly
  /// before.
  ArrivalDecision AdmitJob(const JobTable& table,
                           const wire::JobSpec& spec,
                           bool may_refuse,
                           std::uint64_t group_time_ms,
                           TimePoint now);

  /// Records that the submission of the job is in the log.
  void OnJobProposed(const JobTable& table,
                     const wire::JobSpec& spec,
                     std::uint64_t group_time_ms,
                     TimePoint now);
  /// Work that waits because no worker has capacity for it, in processors times
  /// ms. Measured only for admission.
  double BacklogWork() const { return this->backlog_work; }

  /// Steps and dependencies that were walked for decisions so far, and waiting
  /// steps and workers that they examined; bound their cost in tests.
  std::uint64_t walked_steps() const { return this->critical_paths.walked(); }
  std::uint64_t pass_cost() const { return this->waiting_queue.pass_cost(); }

  /// Accepted jobs of a queue without any run that is known to have started. A
  /// start order counts only once a worker has confirmed it.
  std::uint32_t CountPending(const JobTable& table,
                             const std::string& queue) const;
  /// Explains why the waiting tasks of a step have no worker yet.
  std::string ExplainWaiting(const JobTable& table,
                             const StepKey& key,
                             TimePoint now) const;

  /// Runs that were marked for a move since the last call.
  std::vector<MovedRun> TakeMovedRuns();
  /// Runs that were preempted since the last call.
  std::vector<PreemptedRun> TakePreemptedRuns();
  /// Agents whose worker was suspended since the last call.
  std::vector<std::string> TakeSuspendedAgents();
  /// Workers that were found slow or recovered since the last call.
  std::vector<WorkerSpeedChange> TakeSpeedChanges() {
    return this->worker_speed.TakeChanges();
  }
  std::size_t CountSlowWorkers() const {
    return this->worker_speed.CountSlow();
  }

 private:
  struct TrackedRun {
    std::uint32_t run = 0;
    TimePoint last_start_order;    // the epoch: none sent
    bool reported = false;         // listed in the agent's last report
    bool begun = false;            // the worker has confirmed its start
    bool has_start_order = false;  // the agent holds the start order
    bool end_reported = false;     // its end is reported, not yet committed
    bool moving = false;           // to be stopped and placed elsewhere
    bool survival_proposed = false;
    std::uint32_t percent = 0;          // progress
    std::uint32_t counted_percent = 0;  // progress that was measured ...
    TimePoint counted_until;            // ... at this time, or the assignment
    bool counts = false;                // whether progress was measured
    std::uint32_t saved_percent = 0;    // progress at the last checkpoint
    std::uint32_t measured = 0;         // see RunStatus
    double speed = 1;  // of a best-effort run: smoothed CPU use / CPU request
    TimePoint started;
    TimePoint last_progress;
    std::string checkpoint;
  };
  // A lasting task whose runs ended before it became available.
  struct LastingRetry {
    TimePoint next_start;  // not placed before this
    int ended_runs = 0;    // in a row
  };
  // What a task needs of a worker.
  struct Demand {
    std::string service;
    std::string label;
    std::string image;  // of a best-effort task
    bool fills = false;
    std::uint32_t cpu_milli = 0;
    std::uint64_t memory_mb = 0;
    std::uint32_t accelerators = 0;
    bool CoversOrEquals(const Demand& other) const;
  };
  static Demand DemandOf(const JobTable& table, const StepKey& key);
  // A best-effort run that may get more CPU time on another worker.
  struct SlowRun {
    double speed = 1;
    TaskKey key;
    std::string_view agent;
    TrackedRun* run = nullptr;
  };
  // A run on a slow worker that may be moved.
  struct Straggler {
    TaskKey key;
    std::string_view agent;
    TrackedRun* run = nullptr;
    StragglerOutlook outlook;
  };
  struct AgentState {
    TimePoint last_report;
    TimePoint max_lease_end;  // its worker runs nothing after this
    std::uint64_t last_report_sent_ns = 0;
    std::uint64_t incarnation = 0;                 // of the agent's process
    std::set<std::uint64_t> earlier_incarnations;  // of the agent's process
    bool lease_granted = false;  // in answer to the last report
    std::string service;
    bool draining = false;
    bool worker_gone = false;  // the agent reports that the worker is dead
    std::int64_t born_ms = 0;  // worker incarnation
    TimePoint up_since;        // when this leader first heard of it
    wire::JobWorkerDescription description;  // the latest reported
    std::uint64_t proposed_end = 0;      // ends up to this number were proposed
    std::int64_t proposed_crash_ms = 0;  // `born_ms` of the latest one
    std::string proposed_description;
    TimePoint propose_deadline;  // after it, the description is proposed again
    // Incarnation whose loss is proposed and not yet applied; 0: none.
    std::int64_t loss_in_log_born_ms = 0;
    std::map<TaskKey, TrackedRun> runs;
    std::vector<wire::StopOrder> orphan_stops;  // for runs without assignment
    // Whether the agent's process has listed what the worker runs.
    bool has_list = false;
    bool list_is_current = false;  // the last report is based on such a list
    TimePoint cold_until;          // its worker is slow
    TimePoint next_learning;
    TimePoint next_learned_send;
    std::set<std::string> sent_images;  // with the couplings sent last
    TimePoint suspended_since;          // when the latest suspension began
    TimePoint suspended_until;
    TimePoint next_probe;  // gets no further task on probation before this
  };
  /// Free capacity of a worker; negative if its runs exceed it.
  struct Room {
    std::int64_t cpu_milli = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    bool Fits() const {
      return this->cpu_milli >= 0 && this->memory_mb >= 0 &&
             this->accelerators >= 0;
    }
    void Take(const wire::JobStep& step);
    void Return(const wire::JobStep& step);
  };
  bool IsStaleReport(AgentState& agent_state,
                     const wire::AgentReport& report,
                     TimePoint now) const;
  static bool IsLossInLog(const AgentState& agent_state) {
    return agent_state.loss_in_log_born_ms != 0 &&
           agent_state.loss_in_log_born_ms == agent_state.born_ms;
  }
  /// Whether the worker is at fault: suspended, or on probation until a run
  /// succeeds on it.
  bool IsOnProbation(const std::string& agent, TimePoint now) const;
  /// Why a worker accepts no new tasks at all.
  enum class Unavailability {
    kNone,
    kLost,
    kDraining,
    kUnreachable,
    kEvacuated,
    kSuspended
  };
  /// Why a worker can't run another task of a step.
  enum class UnmetConstraint {
    kNone,
    kService,
    kLabel,
    kProbation,  ///< It got its one task of this probe interval.
    kCrashTest,  ///< It tests a suspect of another job.
    kSpread,
    kProcessors,
    kMemory,
    kAccelerators,
  };
  /// Free capacity of a worker, less what the current decision places there.
  struct FreeCapacity {
    const JobWorker* worker = nullptr;
    std::int64_t cpu_milli = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    std::int64_t requested_best_effort_cpu_milli = 0;
    std::int64_t serving_cpu_milli = 0;
    std::size_t serving_tasks = 0;
    std::size_t run_count = 0;
    std::uint64_t job_under_test = 0;  // see CrashIsolation
    bool tests_in_decision = false;    // the current one places suspects here
    bool on_probation = false;         // accepts one task as a probe
    bool has_probe = false;            // got its probe of this interval
    bool cold = false;                 // slow for a while
    double speed = 1;                  // see WorkerSpeed
    bool slow = false;                 // less than half of the usual speed
    bool needs_speed_probe = false;    // is to be tried with one task
    std::vector<ColocatedRun> runs;    // serving and best-effort tasks
    std::map<StepKey, std::size_t> tasks_by_step;
    /// CPU that further best-effort tasks may request here.
    std::int64_t BestEffortCpuMilli() const;
    void Take(const StepKey& key, const wire::JobStep& step);
    void Return(const StepKey& key, const wire::JobStep& step);
  };

  /// A worker that can run a task, ordered by the cost of placing it there.
  struct Candidate {
    std::int64_t cost = 0;
    std::string_view agent;
    FreeCapacity* capacity = nullptr;
    auto operator<=>(const Candidate& other) const = default;
  };
  using Candidates = std::set<Candidate>;

  void OnRunEnded(const JobEvent& event, TimePoint now);
  void DelayRetry(const TaskKey& key, TimePoint now);
  bool IsRetryDelayed(const TaskKey& key) const;
  static void AddNewCrash(const JobWorker* known,
                          const wire::AgentReport& report,
                          AgentState& agent_state,
                          wire::JobCommand& command);
  static void AddNewEnds(const JobWorker& known,
                         const wire::AgentReport& report,
                         AgentState& agent_state,
                         wire::JobCommand& command);
  static void RecordOrphans(const wire::AgentReport& report,
                            AgentState& agent_state);
  void UpdateRuns(const JobTable& table,
                  AgentState& agent_state,
                  const wire::AgentReport& report,
                  TimePoint now,
                  wire::JobCommand& command);
  Room RoomOn(const JobTable& table,
              const JobWorker& worker,
              const AgentState& agent_state,
              const wire::JobWorkerDescription& size) const;
  bool IsOverfilled(const JobTable& table,
                    const JobWorker& worker,
                    const AgentState& agent_state) const;
  void WithdrawUnbegunRuns(const JobTable& table,
                           const JobWorker& worker,
                           AgentState& agent_state);
  bool IsEvacuated(const JobWorker& worker) const;
  void WithdrawFromEvacuatedZone(const JobTable& table,
                                 const JobWorker& worker,
                                 AgentState& agent_state);
  bool IsAvailable(const TaskKey& key,
                   const JobTask& task,
                   TimePoint now) const;
  LastingTaskPlace PlaceOf(const JobTable& table,
                           const TaskKey& key,
                           TimePoint now) const;
  std::set<StepKey> LastingStepsToMove(const JobTable& table) const;
  FreeCapacity* FindRoomOutside(
      const JobTable& table,
      const StepKey& key,
      std::map<std::string, FreeCapacity>& capacities) const;
  void MoveLastingRuns(const JobTable& table,
                       TimePoint now,
                       const wire::JobCommand& command);
  void MoveLastingRun(const JobTable& table,
                      const TaskKey& key,
                      const std::string& target,
                      TimePoint now);
  void DropObsoletePromises(const JobTable& table, TimePoint now);
  void PlacePromised(const JobTable& table,
                     std::map<std::string, FreeCapacity>& capacities,
                     wire::JobCommand& command);
  void TakePromisedRooms(const JobTable& table,
                         std::map<std::string, FreeCapacity>& capacities) const;
  void LearnCouplings(const JobTable& table,
                      const std::string& agent,
                      AgentState& agent_state,
                      TimePoint now);
  void AddLearnedCouplings(const JobTable& table,
                           const JobWorker& worker,
                           AgentState& agent_state,
                           TimePoint now,
                           wire::AgentOrders& orders) const;
  double BestEffortGain(const FreeCapacity& capacity,
                        const wire::JobStep& step) const;
  std::optional<std::int64_t> BestEffortCost(const FreeCapacity& capacity,
                                             const wire::JobStep& step) const;
  double Disturbance(const FreeCapacity& capacity,
                     const wire::JobStep& step) const;
  std::int64_t ServingCost(const FreeCapacity& capacity,
                           const wire::JobStep& step) const;
  void MoveStuckRuns(const JobTable& table,
                     const std::string& agent,
                     AgentState& agent_state,
                     TimePoint now);
  void ObserveProgress(const JobTable& table,
                       const std::string& agent,
                       const TaskKey& key,
                       const TrackedRun& run,
                       bool done,
                       TimePoint now);
  std::int64_t SlownessCost(const JobTable& table,
                            const StepKey& key,
                            const FreeCapacity& capacity) const;
  bool HasStarted(const Job& job) const;
  void MoveSlowRuns(const JobTable& table, TimePoint now);
  void PreemptRunsForUrgentTasks(const JobTable& table, TimePoint now);
  bool MayBePreempted(const JobTable& table,
                      const TaskKey& key,
                      const TrackedRun& run) const;
  struct Sites;
  Sites FindSites(const JobTable& table, TimePoint now);
  std::vector<StepKey> FindUrgentSteps(const JobTable& table,
                                       std::uint32_t victim_priority,
                                       TimePoint now) const;
  std::size_t PreemptFor(const JobTable& table,
                         const StepKey& key,
                         std::size_t max_runs,
                         Sites& sites);
  std::vector<SlowRun> FindSlowRuns(const JobTable& table, TimePoint now);
  void MoveStragglers(const JobTable& table, TimePoint now);
  std::vector<Straggler> FindStragglers(const JobTable& table, TimePoint now);
  double UsualRateOf(const JobTable& table, const StepKey& key) const;
  double RestOfStepMs(const JobTable& table,
                      const StepKey& key,
                      TimePoint now) const;
  FreeCapacity* FindFasterWorker(
      const JobTable& table,
      const Straggler& straggler,
      std::map<std::string, FreeCapacity>& capacities,
      double& speed) const;
  void DeclareLostWorkers(const JobTable& table,
                          TimePoint now,
                          wire::JobCommand& command);
  bool MustBeGivenUp(const JobTask& task) const;
  bool MustBeTested(const TaskKey& key, const JobTask& task) const;
  void GiveUpJobs(const JobTable& table, wire::JobCommand& command) const;
  void UpdateTests(const JobTable& table, TimePoint now);
  bool MayOpenOccurrence(const JobTable& table, const Job& job) const;
  void StartDueOccurrences(const JobTable& table,
                           std::int64_t wall_ms,
                           wire::JobCommand& command);
  WaitingRank RankOf(const JobTable& table,
                     std::uint64_t sequence,
                     std::uint32_t occurrence,
                     TimePoint now) const;
  std::vector<StepKey> StepsWithSuspects(const JobTable& table) const;
  void ForgetPlacedSteps(const JobTable& table);
  void PlaceReadySteps(const JobTable& table,
                       TimePoint now,
                       wire::JobCommand& command);
  bool IsKnownToFitNowhere(const JobTable& table, const StepKey& key) const;
  void RecordFitsNowhere(const JobTable& table, const StepKey& key);
  void RecordProgress(const JobTable& table,
                      const TaskKey& key,
                      TrackedRun& run,
                      std::uint32_t percent,
                      TimePoint now);
  std::optional<double> TypicalSpeed(const std::string& service,
                                     TimePoint now) const;
  bool HasRoomFor(const std::string& service,
                  const wire::JobStep& step,
                  const FreeCapacity& capacity) const;
  void MeasureBacklog(const JobTable& table, TimePoint now);
  bool MustStartWhole(
      const JobTable& table,
      const StepKey& key,
      const std::map<std::string, FreeCapacity>& capacities) const;
  bool PlaceWhole(const JobTable& table,
                  const StepKey& key,
                  std::map<std::string, FreeCapacity>& capacities,
                  wire::JobCommand& command);
  std::vector<OpenJob> OpenJobsOf(const JobTable& table,
                                  const std::string& service,
                                  double typical_speed) const;
  double ReservableRate(const JobTable& table,
                        const std::string& service,
                        TimePoint now) const;
  std::optional<JobMemoryShortage> FindMemoryShortage(
      const JobTable& table,
      const wire::JobSpec& spec) const;
  ArrivalDecision DecideNewJob(const JobTable& table,
                               const wire::JobSpec& spec,
                               std::uint64_t group_time_ms,
                               TimePoint now) const;
  ArrivalDecision DecideJobArrival(const JobTable& table,
                                   const wire::JobSpec& spec,
                                   std::uint64_t group_time_ms,
                                   TimePoint now) const;
  Unavailability UnavailabilityOf(const JobWorker& worker, TimePoint now) const;
  std::map<std::string, FreeCapacity> FreeCapacities(const JobTable& table,
                                                     TimePoint now) const;
  static UnmetConstraint FindUnmetConstraint(const JobTable& table,
                                             const StepKey& key,
                                             const FreeCapacity& capacity);
  std::optional<std::int64_t> PlacementCost(const JobTable& table,
                                            const StepKey& key,
                                            const FreeCapacity& capacity,
                                            bool forced) const;
  Candidates FindCandidates(const JobTable& table,
                            const StepKey& key,
                            std::map<std::string, FreeCapacity>& capacities,
                            bool forced) const;
  Candidates::iterator BestCandidate(Candidates& candidates,
                                     const std::string& job,
                                     const JobTask& task) const;
  void TakeCapacity(const StepKey& key,
                    const wire::JobStep& step,
                    FreeCapacity& capacity) const;
  void AssignTask(const JobTable& table,
                  const TaskKey& key,
                  FreeCapacity& capacity,
                  wire::JobCommand& command);
  /// `force_gang`: places a gang of best-effort tasks also on workers without
  /// room.
  void PlaceStep(const JobTable& table,
                 const StepKey& key,
                 std::map<std::string, FreeCapacity>& capacities,
                 wire::JobCommand& command,
                 bool force_gang = false);
  void PlaceSuspects(const JobTable& table,
                     const StepKey& key,
                     std::map<std::string, FreeCapacity>& capacities,
                     wire::JobCommand& command);
  FreeCapacity* FindTestWorker(const JobTable& table,
                               const TaskKey& key,
                               std::map<std::string, FreeCapacity>& capacities);
  void PlaceGang(const JobTable& table,
                 const StepKey& key,
                 std::map<std::string, FreeCapacity>& capacities,
                 wire::JobCommand& command);
  void AddLoss(const JobTable& table,
               const std::string& agent,
               const std::string& why,
               wire::JobCommand& command);
  wire::WorkerLoss MakeWorkerLoss(const JobTable& table,
                                  const std::string& agent,
                                  const std::string& why) const;

  JobSchedulerOptions options;
  std::map<std::string, AgentState> agents;
  ColocationModel colocation_model;
  FailureAttribution failure_attribution;
  CrashIsolation crash_isolation;
  ZoneEvacuation evacuation;
  JobAdmission admission;
  TimePoint next_backlog_check;
  double backlog_work = 0;
  WorkerSpeed worker_speed;
  std::map<TaskKey, LastingRetry> lasting_retries;
  std::map<TaskKey, TimePoint> test_deadlines;  // of suspects that wait
  TimePoint other_causes_until;  // of crashes, that is; see the options
  std::uint64_t group_time_ms = 0;
  TimePoint decision_time;               // of the decision in progress
  std::set<std::uint64_t> started_jobs;  // with a run confirmed by a worker
  TimePoint next_slow_run_check;
  TimePoint next_evacuation_check;
  TimePoint next_straggler_check;
  std::map<TaskKey, std::uint32_t> straggler_moves;  // of tasks of open jobs
  std::map<StepKey, TimePoint> waiting_since;
  std::set<StepKey> changed_steps;  // of which a run started or ended
  StepKey next_to_forget;           // in `waiting_since`
  WaitingQueue waiting_queue;
  mutable CriticalPaths critical_paths;
  std::vector<Demand> fits_nowhere;  // of the decision in progress
  // The next step may place one best-effort task on a worker without room.
  bool force_placement = false;
  TimePoint next_preemption_check;
  std::map<TaskKey, std::uint32_t> preemptions;  // of tasks of open jobs
  std::vector<MovedRun> moved_runs;
  std::vector<PreemptedRun> preempted_runs;
  std::vector<std::string> suspended_agents;
};

/// Returns null if the step is no longer known.
const wire::JobStep* FindStep(const JobTable& table, const StepKey& key);

/// Converts a run of `step` for the colocation model. `measured` is the value
/// that the worker lists: tail latency in ms of a serving task, otherwise CPU
/// use in thousandths of a processor.
ColocatedRun ToColocatedRun(const std::string& name,
                            const wire::JobStep& step,
                            std::uint32_t measured);

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_JOB_SCHEDULER_H_
