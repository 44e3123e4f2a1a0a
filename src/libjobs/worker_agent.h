/// Agent for one worker: executes the leader's orders on the worker while it
/// holds a lease, and reports the runs that the worker lists. Deterministic
/// state machine without I/O: it is given times and call outcomes, and returns
/// the calls to make and the reports to send.
///
/// The worker ends all runs by itself when its hold expires, and the agent
/// never extends the hold beyond the leader's lease. Once the lease has expired
/// on the leader, none of the worker's runs is left, even if the agent is
/// partitioned or dead.
#ifndef SAVORYRING_LIBJOBS_WORKER_AGENT_H_
#define SAVORYRING_LIBJOBS_WORKER_AGENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libjobs/best_effort_throttler.h"
#include "libjobs/jobs.pb.h"
#include "libjobs/over_target_cause.h"
#include "savoryring/time.h"

namespace savoryring {

/// Safety mechanisms that mutation tests disable, to show that the checks
/// detect their absence.
struct WorkerAgentMutations {
  bool hold_beyond_lease = false;  ///< Holds ignore the end of the lease.
  /// Orders stay in force after the lease that they came with has expired.
  bool keep_orders_past_lease = false;
  /// Starts are issued to a worker that has shrunk before the leader knows.
  bool start_when_shrunk = false;
  /// Any announcement of a later incarnation replaces the worker.
  bool skip_confirmation = false;
};

struct WorkerAgentOptions {
  std::string agent;
  /// Estimates the interference of images that were not measured together.
  bool coupling_estimates = false;
  /// How far ahead each call extends the worker's hold. Runs outlive a dead
  /// agent by at most this.
  Milliseconds hold_duration{4000};
  /// Added to a hold before it counts as expired: the worker's clock may run 2%
  /// slow.
  Milliseconds hold_margin{400};
  /// The worker rejects a start call that it would execute later than this.
  /// With the time until a smaller capacity is announced, less than the time
  /// after which such a capacity counts (3 s and a heartbeat).
  Milliseconds start_window{2000};
  /// After a pause of this process of more than this ...
  Milliseconds max_pause{1000};
  /// ... nothing is started for this long, or until the worker announces
  /// itself. Exceeds the interval of announcements.
  Milliseconds announcement_wait{1500};
  /// Interval between reports when nothing has changed.
  Milliseconds report_interval{500};
  /// A report of more runs than this delays the next one by `delay_per_run` for
  /// each further run, at most by the interval above: a worker may run any
  /// number of tasks that ask for nothing, and the leader reads all of them in
  /// each report.
  int runs_without_delay = 1000;
  std::chrono::microseconds delay_per_run{50};
  /// Longest time that a watch call waits for a run to end.
  Milliseconds max_watch_wait{500};
  /// Delay before a failed call is retried.
  Milliseconds retry_delay{150};
  /// A run that began within this time before the worker was last heard may
  /// have caused its crash.
  Milliseconds crash_window{150};
  /// A worker that is heard later than this after a run began has survived it.
  /// Exceeds the crash window by the time for which this process may get no
  /// processor.
  Milliseconds survival_time{300};
  /// A worker that refuses connections, and again after this, counts as dead.
  Milliseconds refused_timeout{600};
  WorkerAgentMutations mutations;
};

/// Outcome of a call to the worker.
enum class CallOutcome {
  kDone,
  kNoAnswer,  ///< The worker may have executed the call, or may still do so.
  kConnectionRefused,  ///< No listener: the worker's process is not running.
  kOtherIncarnation,   ///< Another incarnation of the worker answered.
  kStaleToken,         ///< The worker has seen the token of a newer leader.
  kAlreadyEnded,       ///< The run was stopped or has ended on this worker.
  kDeadlineExceeded,   ///< The deadline had passed on the worker's clock.
  kRejected,           ///< The worker did nothing on this call.
};

/// A run in the worker's listing.
struct ListedRun {
  wire::TaskName task;
  std::uint32_t run = 0;
  std::string checkpoint;
  std::uint32_t percent = 0;   ///< Progress.
  std::uint32_t measured = 0;  ///< As in wire::RunStatus.
};

/// The worker's answer to a watch call.
struct WorkerListing {
  std::vector<ListedRun> running;
  std::vector<wire::TaskEnd> ended;
};

/// Asks the worker whether it is the incarnation that was announced. Changes
/// nothing on the worker.
struct ConfirmCall {
  wire::JobWorkerDescription worker;
  std::uint64_t token = 0;
  TimePoint answer_deadline;
};

/// Each call carries `born_ms`, the worker incarnation that it is meant for:
/// the worker may have been replaced by the time the call is made or answered.
/// `token` is the fencing token, the leader's term.
struct StartCall {
  std::int64_t born_ms = 0;
  wire::StartOrder order;
  std::uint64_t token = 0;
  TimePoint hold_until;
  std::uint64_t number = 0;  ///< Start calls are numbered from 1.
};
struct StopCall {
  std::int64_t born_ms = 0;
  wire::TaskName task;
  std::uint32_t run = 0;
  std::uint64_t token = 0;
};
/// Long poll for the worker's listing. Extends the worker's hold to
/// `hold_until` (the epoch: does not extend it), lets the worker drop ends up
/// to number `acknowledged`, and is answered at the next end of a run or at
/// `wait_deadline`.
struct WatchCall {
  std::int64_t born_ms = 0;
  std::uint64_t token = 0;
  std::uint64_t acknowledged = 0;
  TimePoint hold_until;
  TimePoint wait_deadline;
  TimePoint answer_deadline;
};
/// Limits a best-effort run to `percent` of full speed.
struct ThrottleCall {
  std::int64_t born_ms = 0;
  wire::TaskName task;
  std::uint32_t run = 0;
  std::uint32_t percent = 100;
  std::uint64_t token = 0;
};
struct SendReport {
  wire::AgentReport report;
};
using AgentEffect = std::variant<ConfirmCall,
                                 StartCall,
                                 StopCall,
                                 WatchCall,
                                 ThrottleCall,
                                 SendReport>;

/// For the log: a run that is stopped because the worker rejected its start and
/// an earlier call may have started it.
struct DoubtfulStart {
  wire::TaskName task;
  std::uint32_t run = 0;
};

class WorkerAgent {
 public:
  WorkerAgent(WorkerAgentOptions options, TimePoint now);

  /// A worker announced itself. Anyone may send an announcement, so another
  /// incarnation than the known one counts only once the worker confirms it.
  /// Returns false for an announcement that is not used: one of an earlier
  /// incarnation, or of the known one with another service.
  bool OnWorkerAnnounced(wire::JobWorkerDescription worker, TimePoint now);
  /// kDone: the worker is this incarnation. kOtherIncarnation: it is not.
  void OnConfirmResult(const ConfirmCall& call,
                       CallOutcome outcome,
                       TimePoint now);
  /// The worker announced that it is shutting down.
  void OnWorkerLeaving(const std::string& instance, TimePoint now);
  void OnOrders(const wire::AgentOrders& orders, TimePoint now);
  void OnStartResult(const StartCall& call, CallOutcome outcome, TimePoint now);
  void OnStopResult(const StopCall& call, CallOutcome outcome, TimePoint now);
  void OnWatchResult(const WatchCall& call,
                     CallOutcome outcome,
                     const WorkerListing& listing,
                     TimePoint now);
  void OnThrottleResult(const ThrottleCall& call, CallOutcome outcome);
  void OnTick(TimePoint now);

  std::vector<AgentEffect> TakeEffects();
  /// The starts in doubt since the last call of this function.
  std::vector<DoubtfulStart> TakeDoubtfulStarts();
  /// Spans of serving tasks over their target, with `coupling_estimates`.
  OverTargetMonitor& over_target() { return this->over_target_monitor; }
  bool HasLease(TimePoint now) const { return now < this->lease_end; }
  bool HasWorker() const { return this->worker.has_value(); }
  const std::optional<wire::JobWorkerDescription>& description() const {
    return this->worker;
  }
  /// Speed of the slowest best-effort run, in percent of full speed.
  std::uint32_t lowest_speed_percent() const {
    return this->throttler.lowest_percent();
  }

 private:
  struct StartState {
    wire::StartOrder order;
    std::uint64_t call_number = 0;  // latest call; 0: none was issued
    bool call_open = false;
    bool confirmed = false;
    bool maybe_started = false;  // an earlier call may have started it
    TimePoint call_sent;         // of the latest call
    // The run has begun by then; kNever: perhaps, and perhaps later. The epoch:
    // no call of this process can have started it.
    TimePoint begun_by;
    bool survival_reported = false;
    int unanswered_calls = 0;  // in a row
    TimePoint next_attempt;

    /// The run is known to run at `now`.
    void RecordBegun(TimePoint now) {
      if (this->begun_by == TimePoint() || this->begun_by == kNever)
        this->begun_by = now;
    }
  };
  struct StopState {
    wire::TaskName task;
    std::uint32_t run = 0;
    bool call_open = false;
    TimePoint confirmed_at;  // time of the answer; the epoch: not answered
    TimePoint next_attempt;
  };

  // Reported until the leader has processed a report that carried it.
  struct Rejection {
    wire::TaskName task;
    std::uint32_t run = 0;
    std::uint64_t first_report_ns = 0;  // 0: not yet reported
  };

  bool IsCurrentIncarnation(std::int64_t born_ms) const;
  bool IsCandidate(const wire::JobWorkerDescription& description) const;
  void IssueConfirmCall(TimePoint now);
  void ReplaceWorker(wire::JobWorkerDescription description, TimePoint now);
  void UpdateWorker(wire::JobWorkerDescription description, TimePoint now);
  void ForgetWorker();
  void ForgetOrders();
  void EndExpiredLease(TimePoint now);
  void AddStop(const wire::TaskName& task,
               std::uint32_t run,
               TimePoint confirmed_at);
  bool HasEnded(const std::string& task, std::uint32_t run) const;
  bool IsRejected(const std::string& task, std::uint32_t run) const;
  void IssueCalls(TimePoint now);
  void StopUnstartedRuns();
  void StopUnissuedRuns();
  void CountUnansweredStart(const StartCall& call, CallOutcome outcome);
  void OnStartRejected(const std::string& name, TimePoint now);
  void IssueStartCalls(TimePoint now);
  void IssueStopCalls(TimePoint now);
  void IssueWatchCall(TimePoint now);
  std::vector<MeasuredRun> RunsToThrottle() const;
  void IssueThrottleCalls(const std::vector<SpeedChange>& changes);
  void AddLearned(wire::AgentReport& report);
  void RecordOutcome(CallOutcome outcome, TimePoint now);
  void AddRejection(const wire::TaskName& task, std::uint32_t run);
  bool IsWorkerGone(TimePoint now) const;
  bool IsOvertaken(const wire::AgentOrders& orders, TimePoint now) const;
  bool MayHaveBegunRecently(const StartState& start_state) const;
  bool HasSurvived(const StartState& start_state) const;
  void RecordCrash();
  void NoticePause(TimePoint now);
  void HoldStartsIfUnknown(const wire::JobWorkerDescription& description,
                           TimePoint now);
  bool MayIssueStarts(TimePoint now) const;
  void IssueReport(TimePoint now);
  TimePoint HoldDeadline(TimePoint now) const;
  TimePoint WatchDeadline(TimePoint now) const;
  bool StillRuns(const std::string& task, std::uint32_t run) const;
  std::uint32_t ListedRunNumber(const std::string& task) const;

  WorkerAgentOptions options;
  std::optional<wire::JobWorkerDescription> worker;
  // The latest announced incarnation that the worker has not confirmed.
  std::optional<wire::JobWorkerDescription> candidate;
  TimePoint candidate_deadline;  // it is no longer asked for after this
  // Birth of the life that the leader takes for a later one than the worker; 0:
  // none. The worker has to answer a watch call that was sent after this time.
  std::int64_t life_to_replace = 0;
  TimePoint life_to_replace_heard;
  bool confirm_open = false;
  TimePoint next_confirm;
  std::uint64_t token = 0;            // fencing token: the leader's term
  TimePoint start_deadline = kNever;  // no start call is issued later
  TimePoint lease_end;
  std::uint64_t acknowledged = 0;            // ends up to this are committed
  std::map<std::string, StartState> starts;  // by task name, as the next two
  std::map<std::string, StopState> stops;
  // Highest runs that may have begun under an expired lease, by task.
  std::map<std::string, std::uint32_t> doubtful_runs;
  // After this the worker executes no start call of an earlier process of this
  // agent: their deadlines have passed.
  TimePoint predecessor_calls_end;
  // Whether a list requested after that has shown what such calls started.
  bool predecessor_runs_listed = false;
  std::map<std::string, ListedRun> listed;
  std::vector<wire::TaskEnd> ended;             // listed, not yet acknowledged
  std::map<std::string, Rejection> rejections;  // by task name
  std::uint64_t last_start_call = 0;  // number of the latest start call
  int unanswered_start_calls = 0;     // to any run, one after another
  // Start calls up to this number are not counted again: they were open
  // together with one that was.
  std::uint64_t counted_start_call = 0;
  bool has_list = false;
  bool list_is_current = false;  // no call failed since the last list
  bool ends_are_cut = false;     // the last list may lack ends
  bool watch_open = false;
  TimePoint next_watch;
  TimePoint watch_sent;        // time of the latest watch call
  TimePoint held_until;        // latest hold that any other call may have set
  TimePoint watch_hold_until;  // hold that the open watch call may set
  TimePoint refused_since;     // valid while `connection_refused`
  TimePoint last_refused;      // as above
  bool connection_refused = false;
  // No start is issued until orders answer a report sent after this: the leader
  // may count on more room than the worker has. 0: it knows the room.
  std::uint64_t unknown_room_ns = 0;
  bool overfilled = false;   // by the latest orders
  TimePoint last_active;     // latest input
  TimePoint hear_worker_by;  // no start is issued before; cleared when heard
  TimePoint last_heard;      // latest answer or announcement of the worker
  std::optional<wire::WorkerCrash> crash;  // the latest, not yet counted
  bool leaving = false;
  bool replaced = false;  // another incarnation answered a call
  // Time of the latest report with `worker_gone` set.
  std::uint64_t last_gone_report_ns = 0;
  // Time of the latest report that orders have answered; at first, when this
  // process started.
  std::uint64_t answered_report_ns;
  bool report_pending = false;  // send a report as soon as one is allowed
  TimePoint earliest_report;
  TimePoint next_report;
  BestEffortThrottler throttler;
  OverTargetMonitor over_target_monitor;
  // Term of the leader that has got the learned couplings, and time of the
  // first report with them to the present leader; 0: none.
  std::uint64_t learned_reported_term = 0;
  std::uint64_t learned_report_ns = 0;
  std::vector<AgentEffect> effects;
  std::vector<DoubtfulStart> doubtful_starts;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_WORKER_AGENT_H_
