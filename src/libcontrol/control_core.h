/// The logic of one control process, without I/O: a replica of the log, the
/// state machine that applies the log and, on the leader, the schedulers. The
/// same inputs always give the same outputs.
#ifndef SAVORYRING_LIBCONTROL_CONTROL_CORE_H_
#define SAVORYRING_LIBCONTROL_CONTROL_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libbase/events.h"
#include "libcontrol/control_api.h"
#include "libcontrol/document_tasks.h"
#include "libjobs/job_calls.h"
#include "libjobs/job_scheduler.h"
#include "libmembership/membership.pb.h"
#include "libplacement/control_state.h"
#include "libplacement/scheduler.h"
#include "libreplication/replica.h"
#include "libtransport/link.pb.h"
#include "savoryring/time.h"

namespace savoryring {

struct ControlOptions {
  ReplicaOptions replica;
  SchedulerOptions scheduler;
  JobSchedulerOptions jobs;
  /// A snapshot is taken when the applied entries after the last one reach
  /// this number, or this size and that of the last snapshot.
  std::uint64_t snapshot_after_entries = 4000;
  std::uint64_t snapshot_after_bytes = 8U << 20U;
  std::uint64_t max_job_tasks = 10'000;  ///< A larger job is refused.
  std::map<std::string, std::string> replica_links;  ///< By replica id.
  /// Zones that may be evacuated. Empty: evacuation is off.
  std::vector<std::string> availability_zones;
  ControlMutations mutations;
};

/// Sends orders to a worker, on the connection of its last heartbeat.
struct SendOrders {
  std::string worker;
  wire::WorkerOrders orders;
};
/// Sends orders to an agent, on the connection of its last report.
struct SendAgentOrders {
  std::string agent;
  wire::AgentOrders orders;
};
/// Replies to the call that OnCall received with this token.
struct ReplyToCall {
  std::uint64_t call_token = 0;
  wire::ControlReply reply;
};
/// An event for the operator's log.
struct OperatorEvent {
  Event event = Event::kStarted;
  std::string detail;         ///< Empty if there are fields.
  std::vector<Field> fields;  ///< Names are string literals.
};
/// Drops the reference, on another thread, as freeing a document takes time.
struct ReleaseDocument {
  std::shared_ptr<const void> document;
};
/// A DocumentTask is to be run on another thread, one after the other, and its
/// result passed to OnDocumentResult.
using ControlEffect = std::variant<SendOrders,
                                   SendAgentOrders,
                                   ReplyToCall,
                                   OperatorEvent,
                                   DocumentTask,
                                   ReleaseDocument>;

/// The owner passes inputs and then repeats these steps until IsSettled:
/// TakeOutput; store and sync the output if it NeedsStore; OnStored, which
/// applies the committed entries; send the output's messages. Finally it calls
/// TakeEffects.
class ControlCore {
 public:
  /// Throws Error (kDamagedLog) if the stored snapshot can't be parsed.
  ControlCore(ControlOptions options, StoredReplica stored, TimePoint now);

  void OnReplicaMessage(const wire::ReplicaMessage& message, TimePoint now);
  void OnHeartbeat(const wire::WorkerHeartbeat& heartbeat,
                   std::uint64_t incarnation,
                   TimePoint now);
  /// `call_token` identifies the call in the ReplyToCall effect.
  void OnCall(wire::ControlCall call, std::uint64_t call_token, TimePoint now);
  /// Goes on with what waited for the task. Throws Error if committed data
  /// can't be read.
  void OnDocumentResult(DocumentResult result, TimePoint now);
  void OnAgentReport(const wire::AgentReport& report, TimePoint now);
  /// Records the estate revision that a live process has applied.
  void OnProcessRevision(const std::string& name,
                         std::uint64_t revision,
                         TimePoint now);
  /// `unix_ms` is the Unix time, for jobs that start at a given time.
  void OnTick(TimePoint now, std::int64_t unix_ms = 0);

  /// Sets the replicas and other processes that a leader announces itself to,
  /// and that are asked for the leader.
  void SetContacts(std::vector<std::string> links) {
    this->log_replica.SetContacts(std::move(links));
  }

  /// Transfers leadership to another replica before this process exits.
  void TransferLeadership(TimePoint now);

  ReplicaOutput TakeOutput(TimePoint now);
  void OnStored(const ReplicaOutput& output, TimePoint now);
  /// Whether the last output had nothing to store and no committed entries.
  bool IsSettled() const { return this->settled; }
  std::vector<ControlEffect> TakeEffects(TimePoint now);

  /// Whether this process holds the leader lease and has applied everything
  /// that earlier leaders committed. Only then does it answer calls and grant
  /// leases.
  bool Serves(TimePoint now) const;
  bool IsReady(TimePoint now) const;
  bool HasOpenCalls() const {
    return !this->pending_calls.empty() || !this->document_calls.empty();
  }
  std::string LeaderLink() const;
  const ControlState& state() const { return this->control_state; }
  const Replica& replica() const { return this->log_replica; }
  /// Null while this process does not lead.
  const JobScheduler* jobs() const {
    return this->job_scheduler ? &*this->job_scheduler : nullptr;
  }
  std::uint64_t applied_index() const { return this->last_applied; }
  /// Workers that this leader has found slow; 0 if it does not lead.
  std::size_t CountSlowWorkers() const;

 private:
  struct PendingCall {
    wire::ControlCall call;  // without its body
    std::uint64_t term = 0;
    std::uint64_t call_token = 0;
    std::uint64_t estate_revision = 0;  // decided whether to propose the call
    TimePoint next_progress;  // when the sender is told that it is in progress
  };
  // Calls that wait for a document task. They have the same body.
  struct DocumentCalls {
    std::uint64_t body_checksum = 0;
    std::size_t body_bytes = 0;
    std::vector<PendingCall> calls;
    std::optional<CheckedEstate> checked;  // waits until this leader serves
  };
  // The estate of a log entry.
  struct EstatePreparation {
    std::uint64_t term = 0;
    std::uint64_t task_id = 0;
    std::optional<EstateSubmission> submission;  // once prepared
  };
  // The state of a received snapshot.
  struct StateRestoration {
    std::uint64_t task_id = 0;
    std::uint64_t index = 0;
  };

  void UpdateLeadership();
  bool ApplyDelivered();
  void OnApplied(TimePoint now);
  void ApplyCommitted(const wire::LogEntry& entry);
  void ApplyCommand(const wire::LogEntry& entry, ApplyResult& result);
  void ReportCommandEvents(const wire::Command& command);
  void OnZonesChanged(const std::set<std::string>& before);
  void RecordKnowledgeOfEvacuation();
  void NotifyAgentsIn(const std::string& zone, TimePoint now);
  std::uint64_t StartDocumentTask(DocumentInput input);
  void OnEstateCall(wire::ControlCall call,
                    std::uint64_t call_token,
                    TimePoint now);
  void OnEstateQuery(const wire::ControlCall& call,
                     std::uint64_t call_token,
                     TimePoint now);
  bool JoinOpenEstateCall(std::uint64_t body_checksum,
                          const PendingCall& pending);
  void OnDocumentOutput(std::uint64_t task_id, DocumentOutput output);
  void ProposeCheckedEstates(TimePoint now);
  void ProposeEstate(DocumentCalls& open);
  void RejectDocumentCalls();
  void PrepareEntry(const wire::LogEntry& entry);
  bool IsPrepared(const wire::LogEntry& entry) const;
  void ApplyEstate(const wire::LogEntry& entry, ApplyResult& result);
  void StartRestoration(const wire::Snapshot& snapshot);
  void FinishRestoration(std::unique_ptr<ControlState> restored);
  PendingCall MakePendingCall(const wire::ControlCall& call,
                              std::uint64_t call_token,
                              TimePoint now) const;
  void AnswerPendingCall(const PendingCall& pending,
                         const wire::LogEntry& entry,
                         const ApplyResult& result);
  void ReportProgress(TimePoint now);
  void ReportProgressOf(PendingCall& pending, TimePoint now);
  void ReplyAsLeader(std::uint64_t call_token, wire::ControlReply reply);
  void OnJobCall(const wire::ControlCall& call,
                 std::uint64_t call_token,
                 TimePoint now);
  void ReportMemoryShortage(const wire::JobSpec& spec,
                            const std::string& retry_after_s);
  bool RefuseJobIfOverloaded(const wire::JobSpec& spec,
                             const wire::ControlCall& call,
                             std::uint64_t call_token,
                             TimePoint now);
  void ProposeCall(wire::Command& command,
                   const wire::ControlCall& call,
                   std::uint64_t call_token,
                   TimePoint now);
  void ProposeJobs(wire::JobCommand command, TimePoint now);
  void ReportSpeedChanges();
  void DecideJobs(TimePoint now);
  void ProcessJobEvents(TimePoint now);
  void ReportJobEvent(const JobEvent& event);
  void AddAgentOrders(const std::string& agent, TimePoint now);
  void HandleHeldReports(TimePoint now);
  void ExtendLeasesIfBusy(TimePoint now);
  std::uint64_t GroupTime(TimePoint now) const;
  void Propose(const std::vector<wire::Command>& commands);
  void CompactIfLong();
  void AddOrders(const std::string& worker,
                 std::uint64_t echoed_boottime_ns,
                 bool grant_lease);
  void ReportEvent(Event event, const std::string& detail);
  void ReportEvent(Event event, std::vector<Field> fields);
  ControlView MakeView(TimePoint now) const;

  ControlOptions options;
  Replica log_replica;
  ControlState control_state;
  std::optional<Scheduler> scheduler;
  std::optional<JobScheduler> job_scheduler;
  std::uint64_t last_job_decision_index = 0;
  std::uint64_t group_time_base = 0;  // group time when leadership began
  std::int64_t unix_ms = 0;
  std::set<std::string> reporting_agents;
  // Their agents get orders at once.
  std::set<std::string> newly_evacuated_zones;
  std::uint64_t knowledge_term = 0;  // in which the knowledge was proposed
  // The latest report of each agent that came while this leader had no lease.
  std::map<std::string, wire::AgentReport> held_reports;
  TimePoint served_until = kNever;  // the latest tick at which it served
  std::uint64_t last_applied = 0;
  std::uint64_t stored_index = 0;  // last entry read from the disk at startup
  // Size of the applied entries that are not in a snapshot.
  std::uint64_t applied_log_bytes = 0;
  std::uint64_t scheduler_term = 0;
  std::uint64_t last_decision_index = 0;  // log index after the last decision
  TimePoint decide_deadline;
  bool was_leader = false;
  bool settled = false;
  std::multimap<std::uint64_t, PendingCall> pending_calls;  // by log index
  // Log indexes of submitted estates that are not applied yet, by the checksum
  // of the call's body.
  std::map<std::uint64_t, std::uint64_t> proposed_estates;
  std::uint64_t last_task_id = 0;
  std::map<std::uint64_t, DocumentCalls> document_calls;           // by task id
  std::map<std::uint64_t, EstatePreparation> estate_preparations;  // by index
  std::optional<StateRestoration> restoration;
  // Delivered entries that wait for a restoration, or for the estate of the
  // first one to be prepared.
  std::deque<wire::LogEntry> unapplied;
  std::map<std::string, std::uint64_t> sent_orders_versions;  // by worker
  std::map<std::string, ProcessRevision> processes;
  std::vector<ControlEffect> effects;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBCONTROL_CONTROL_CORE_H_
