/// The agent beside one worker: carries out the leader's orders on it under a
/// lease, and reports what the worker lists. A deterministic core: times and
/// outcomes of calls go in, calls and reports come out.
///
/// The worker ends everything by itself when its hold runs out, and the agent
/// never holds it beyond the leader's lease. So what the leader has waited out
/// surely runs no more, also when the agent is cut off or dead.
#ifndef SAVORYRING_LIBJOBS_WORKER_AGENT_H_
#define SAVORYRING_LIBJOBS_WORKER_AGENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libjobs/jobs.pb.h"
#include "libjobs/pacer.h"
#include "savoryring/time.h"

namespace savoryring {

/// Mechanisms that a test may switch off to show that a proof needs them.
struct WorkerAgentMutations {
  bool hold_beyond_lease = false;  ///< The worker is held as long as can be.
  bool keep_old_orders = false;    ///< Orders outlive the lease they came with.
};

struct WorkerAgentOptions {
  std::string agent;
  /// How far ahead the worker is held: what a dead agent leaves running.
  Milliseconds hold{4000};
  /// Allowance for the worker's clock, which may run 2% slow.
  Milliseconds hold_margin{400};
  /// Time between two reports without news.
  Milliseconds report{500};
  /// Longest wait of a call for news.
  Milliseconds watch{500};
  /// Wait before a call that failed is made again.
  Milliseconds retry{150};
  /// Refused connections for this long show that the worker is dead.
  Milliseconds refused{600};
  WorkerAgentMutations mutations;
};

/// Outcome of a call to the worker.
enum class CallOutcome {
  kDone,
  kNoAnswer,     ///< It may have been carried out, now or later.
  kRefused,      ///< No listener: the worker's process is not there.
  kNotThisLife,  ///< Another life of the worker answered.
  kStaleToken,   ///< A newer leader has given orders.
  kEndedBefore,  ///< That run was stopped or has ended there.
  kTooLate,      ///< The deadline had passed on the worker's clock.
  kRejected,     ///< It does not take the run; nothing was done.
};

struct ListedRun {
  wire::TaskName task;
  std::uint32_t run = 0;
  std::string checkpoint;
  std::uint32_t percent = 0;
  std::uint32_t measured = 0;
};

/// What the worker lists of itself.
struct WorkerListing {
  std::vector<ListedRun> running;
  std::vector<wire::TaskEnd> ended;
};

/// Calls name the life of the worker that they are for: it may be over when
/// they are made or answered.
struct StartCall {
  std::int64_t born_ms = 0;
  wire::StartOrder order;
  std::uint64_t token = 0;
  TimePoint hold_until;
};
struct StopCall {
  std::int64_t born_ms = 0;
  wire::TaskName task;
  std::uint32_t run = 0;
  std::uint64_t token = 0;
};
/// Holds the worker until `hold_until` (not at all at the epoch), forgets ends
/// up to `acknowledged`, and answers at the next end or at `news_deadline`.
struct WatchCall {
  std::int64_t born_ms = 0;
  std::uint64_t token = 0;
  std::uint64_t acknowledged = 0;
  TimePoint hold_until;
  TimePoint news_deadline;
  TimePoint answer_deadline;
};
struct PaceCall {
  std::int64_t born_ms = 0;
  wire::TaskName task;
  std::uint32_t run = 0;
  std::uint32_t percent = 100;
  std::uint64_t token = 0;
};
struct SendReport {
  wire::AgentReport report;
};
using AgentEffect =
    std::variant<StartCall, StopCall, WatchCall, PaceCall, SendReport>;

class WorkerAgent {
 public:
  WorkerAgent(WorkerAgentOptions options, TimePoint now);

  /// The worker announced itself. Returns false for an older life.
  bool OnAnnounced(wire::JobWorkerDescription worker, TimePoint now);
  /// The worker said that it ends.
  void OnLeft(const std::string& instance, TimePoint now);
  void OnOrders(const wire::AgentOrders& orders, TimePoint now);
  void OnStarted(const StartCall& call, CallOutcome outcome, TimePoint now);
  void OnStopped(const StopCall& call, CallOutcome outcome, TimePoint now);
  void OnWatched(const WatchCall& call,
                 CallOutcome outcome,
                 const WorkerListing& listing,
                 TimePoint now);
  void OnPaced(const PaceCall& call, CallOutcome outcome);
  void OnTick(TimePoint now);

  std::vector<AgentEffect> TakeEffects();
  bool HasLease(TimePoint now) const { return now < this->lease_end; }
  bool HasWorker() const { return this->worker.has_value(); }
  const std::optional<wire::JobWorkerDescription>& description() const {
    return this->worker;
  }
  std::uint32_t pace() const { return this->pacer.lowest_percent(); }

 private:
  struct Ordered {
    wire::StartOrder order;
    bool calling = false;
    bool confirmed = false;
    bool unsure = false;  // an earlier call got no answer
    TimePoint retry_deadline;
  };
  struct Stopping {
    wire::TaskName task;
    std::uint32_t run = 0;
    bool calling = false;
    TimePoint confirmed;  // when the stop was answered; the epoch: not yet
    TimePoint retry_deadline;
  };

  bool IsOfThisLife(std::int64_t born_ms) const;
  void ForgetWorker();
  void ForgetOrders();
  void EndLease(TimePoint now);
  void Bar(const wire::TaskName& task, std::uint32_t run, TimePoint confirmed);
  bool HasEnded(const std::string& task, std::uint32_t run) const;
  void Advance(TimePoint now);
  void CallStarts(TimePoint now);
  void CallStops(TimePoint now);
  void CallWatch(TimePoint now);
  std::vector<MeasuredRun> PacedRuns() const;
  void SendPaces(const std::vector<SpeedChange>& changes);
  void NoteAnswer(CallOutcome outcome, TimePoint now);
  void AddRejected(const wire::TaskName& task, std::uint32_t run);
  bool IsGone(TimePoint now) const;
  void Report(TimePoint now);
  TimePoint HoldUntil(TimePoint now) const;
  std::uint32_t ListedRunNumber(const std::string& task) const;

  WorkerAgentOptions options;
  std::optional<wire::JobWorkerDescription> worker;
  std::uint64_t token = 0;  // the leader's term
  TimePoint lease_end;
  std::uint64_t acknowledged = 0;
  std::map<std::string, Ordered> starts;  // by task
  std::map<std::string, Stopping> stops;
  std::map<std::string, ListedRun> listed;
  std::vector<wire::TaskEnd> ended;
  std::vector<wire::TaskEnd> rejected;
  bool has_list = false;
  bool list_current = false;  // the last call got an answer
  bool watching = false;
  TimePoint watch_deadline;  // when the next call is due
  TimePoint watch_sent;      // when the open call was made
  TimePoint held_until;      // latest hold that any call carried
  TimePoint refused_since;   // the epoch: not refused
  bool refused = false;
  bool left = false;
  bool replaced = false;             // another life answered
  std::uint64_t gone_report_ns = 0;  // last report of a worker that is gone
  bool news = false;
  TimePoint report_deadline;
  BestEffortThrottler pacer;
  std::vector<AgentEffect> effects;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_WORKER_AGENT_H_
