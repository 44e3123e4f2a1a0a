/// The processes of a test estate: the real cores with simulated I/O.
#ifndef SAVORYRING_TESTSUITE_SCHEDULE_NODES_H_
#define SAVORYRING_TESTSUITE_SCHEDULE_NODES_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libcontrol/control_core.h"
#include "libestate/estate_state.h"
#include "librouting/admission.h"
#include "librouting/router.h"
#include "libtransport/peer_liveness.h"
#include "testsuite/schedule/fake_vm.h"
#include "testsuite/schedule/job_ledger.h"
#include "testsuite/schedule/job_nodes.h"
#include "testsuite/schedule/node.h"

namespace savoryring {

/// Interval of announcements and heartbeats of the simulated processes.
inline constexpr Milliseconds kHeartbeatInterval{300};
/// The only service in the test estates.
inline const std::string kService = "gauge-check";

/// Returns the names "KIND-1" to "KIND-COUNT".
std::vector<std::string> NodeNames(const std::string& kind, int count);

/// Safety mechanisms that a mutation test disables in every process of a
/// schedule.
struct Mutations {
  WorkerAgentMutations agent;
  JobSchedulerMutations job_scheduler;
  ControlClientMutations client;
  ReplicaMutations replica;
  ControlMutations control;
  WorkerWatchMutations watch;
  AdmissionMutations admission;
  RouterMutations router;
  TaskRunnerMutations runner;
  /// Messages are sent before the records they depend on are stored.
  bool reply_before_sync = false;
  /// An empty disk that replaces a lost one keeps its incarnation.
  bool keep_disk_identity = false;
  /// Calls to workers go out on any connection to the worker's address, as if
  /// each of them led to the life that is meant.
  bool skip_connection_check = false;
};

class ControlNode : public Node {
 public:
  ControlNode(TestEstate& test_estate, std::string name, DriftingClock clock);

  void LoseDisk();
  void AllowGroupFormation() { this->may_form_group = true; }
  /// Freezes as soon as it has sent the loss of this agent's worker to the
  /// group, before it learns that the loss is committed.
  void FreezeAfterLoss(const std::string& agent, Milliseconds length) {
    this->freeze_after_loss_of = agent;
    this->freeze_length = length;
  }
  void OnReplicaMessage(const wire::ReplicaMessage& message);
  void OnHeartbeat(const wire::WorkerHeartbeat& heartbeat,
                   std::uint64_t sender_incarnation);
  void OnAgentReport(const wire::AgentReport& report);
  void OnCall(const wire::ControlCall& call,
              std::function<void(wire::ControlReply)> reply);
  const ControlCore* core() const { return this->control.get(); }

 protected:
  void OnStart() override;
  void OnKill() override;
  void OnTick() override;

 private:
  struct Disk {
    std::uint64_t incarnation = 0;
    wire::HardState hard_state;
    std::optional<wire::Snapshot> snapshot;
    LogEntries entries;
  };
  void Flush();
  void Store(const ReplicaOutput& output);
  void Send(const ReplicaOutput& output);
  void RunEffects();
  void RunTask(const std::shared_ptr<DocumentTask>& task);
  bool IsAwaitedLoss(const ReplicaOutput& output) const;
  void CheckInvariants(const ReplicaOutput& output);
  void TraceEvent(const OperatorEvent& event);
  void TraceMessage(const OutgoingReplicaMessage& outgoing) const;

  Disk disk;
  std::unique_ptr<ControlCore> control;
  bool has_started = false;          // at least once
  bool may_form_group = false;       // on its first start
  std::string freeze_after_loss_of;  // an agent; empty: none
  Milliseconds freeze_length{0};
  std::uint64_t next_call_token = 1;
  std::map<std::uint64_t, std::function<void(wire::ControlReply)>>
      pending_calls;
};

class VmNode : public Node {
 public:
  VmNode(TestEstate& test_estate, std::string name, DriftingClock clock);

  void OnOrders(const wire::WorkerOrders& orders, const std::string& from);
  void OnAttempt(const SendAttempt& attempt,
                 const std::string& service,
                 const Sending& sending,
                 bool repeatable,
                 Milliseconds remaining,
                 const std::string& from);
  void OnRevocation(const SendRevocation& revocation, const std::string& from);
  void OnEstateUpdate(const wire::EstateUpdate& update);
  void OnHeard(const std::string& from);
  /// The endpoint process starts to drain: it announces that it is leaving.
  void Leave();
  /// Kills the endpoint process and all tasks on the VM.
  void RestartVm();
  std::uint64_t revision() const { return this->cache.revision(); }

  FakeWorker worker;

 protected:
  void OnStart() override;
  void OnKill() override;
  void OnTick() override;

 private:
  struct ReceivedAttempt {
    std::string service;
    Sending sending;
    bool repeatable = false;
    std::string from;
  };
  void SendHeartbeat();
  void Announce();
  void RunTaskEffects();
  void RunAdmissionEffects();
  void RunRequest(const AttemptKey& key);
  void CallWorker(std::function<void()> call);

  std::unique_ptr<Admission> admission;
  std::unique_ptr<TaskRunner> runner;
  PeerLiveness liveness{Milliseconds(1000)};
  EstateCache cache;
  std::map<AttemptKey, ReceivedAttempt> received_attempts;
  std::map<AttemptKey, std::string> latest_senders;
  std::size_t current_control = 0;
  std::uint64_t sequence = 0;
  bool leaving = false;
  TimePoint leaving_since = kNever;
  TimePoint heartbeat_deadline;
  TimePoint announce_deadline;
  TimePoint poll_deadline;
};

class EntryNode : public ControlClientNode {
 public:
  EntryNode(TestEstate& test_estate, std::string name, DriftingClock clock);

  void OnAnnouncement(const std::string& sender,
                      std::uint64_t sender_incarnation,
                      const wire::EndpointAnnouncement& announcement,
                      std::uint64_t revision);
  void OnAttemptStatus(const AttemptStatus& status,
                       std::uint64_t answered_request);
  void OnEstateUpdate(const wire::EstateUpdate& update);

  /// Handles a caller's request. `on_answer` is told whether an endpoint's
  /// answer was forwarded; it is not called if the entry is killed first.
  void Request(const Sending& sending,
               bool repeatable,
               const std::string& key,
               Milliseconds timeout,
               std::function<void(bool forwarded)> on_answer);
  std::uint64_t revision() const { return this->cache.revision(); }
  const EstateCache& estate() const { return this->cache; }

 protected:
  void OnStart() override;
  void OnKill() override;
  void OnTick() override;

 private:
  struct OpenRequest {
    Sending sending;
    CallerRequest request;
    std::function<void(bool)> on_answer;
    bool settling = false;
  };
  void RunRouterEffects();
  void CallClaim(const std::string& method,
                 const OpenRequest& request,
                 wire::ClaimState state,
                 std::function<void(const wire::ClaimRecord&)> on_answer);
  void Answer(std::uint64_t request,
              bool forwarded,
              bool not_run,
              std::uint64_t answered_request);

  std::unique_ptr<Router> router;
  EstateCache cache;
  std::map<std::uint64_t, OpenRequest> open_requests;
  std::uint64_t next_id = 1;
  // Requests that the answer being forwarded and the claim's recorded answer
  // belong to.
  std::uint64_t current_answer_request = 0;
  std::uint64_t recorded_request = 0;
  TimePoint heartbeat_deadline;
};

struct ScheduleOptions {
  std::uint64_t seed = 1;
  int controls = 3;
  int vms = 4;
  int entries = 2;
  int agents = 0;
  int gateways = 0;
  /// Zones of the workers beside agents, in turn. Empty: workers name none.
  std::vector<std::string> availability_zones;
  /// Whether control processes are discovered through seeds and may be replaced
  /// by new ones.
  bool open_membership = false;
  std::uint64_t snapshot_after_entries = 60;
  Milliseconds lease{2000};
  /// A control process takes up to this long for a document task.
  Milliseconds document_time{0};
  Mutations mutations;
};

/// All nodes of a schedule, with the simulation and the ledgers.
class TestEstate {
 public:
  explicit TestEstate(const ScheduleOptions& options);

  ControlNode& control(std::size_t index) { return *this->controls[index]; }
  VmNode& vm(std::size_t index) { return *this->vms[index]; }
  EntryNode& entry(std::size_t index) { return *this->entries[index]; }
  /// Null if no node has this name.
  Node* Find(const std::string& name);
  /// The control process that serves as leader; null if none does.
  ControlNode* Leader();
  std::set<std::string> Names() const;
  /// Seeds in the settings: the first three controls that are not retired.
  std::vector<std::string> ControlSeeds() const;
  /// Number of voters of a complete group.
  std::size_t FullVoterCount() const;
  /// Starts a control process at a new address, with an empty disk.
  void AddControl();
  /// Ends all faults and starts every process that is down.
  void Heal();

  ScheduleOptions options;
  Simulation simulation;
  Ledger ledger;
  JobLedger job_ledger;
  std::vector<std::unique_ptr<ControlNode>> controls;
  std::vector<std::unique_ptr<VmNode>> vms;
  std::vector<std::unique_ptr<EntryNode>> entries;
  std::vector<std::unique_ptr<AgentNode>> agents;
  std::vector<std::unique_ptr<GatewayNode>> gateways;
  std::uint64_t next_incarnation = 1;

 private:
  DriftingClock CreateClock();
};

}  // namespace savoryring

#endif  // SAVORYRING_TESTSUITE_SCHEDULE_NODES_H_
