/// The processes of a test estate: the real cores with fake shells.
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

/// Interval of announcements and heartbeats of the fake shells.
inline constexpr Milliseconds kHeartbeat{300};
/// The one service of a schedule.
inline const std::string kService = "gauge-check";

/// "KIND-1", "KIND-2" and so on.
std::vector<std::string> NamesOf(const std::string& kind, int count);

/// Mechanisms switched off in every process of a schedule.
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
  bool reply_before_sync = false;   ///< Records are sent, then perhaps stored.
  bool keep_disk_identity = false;  ///< A lost disk comes back as the old one.
};

class ControlNode : public Node {
 public:
  ControlNode(TestEstate& all, std::string name, DriftingClock clock);

  void LoseDisk();
  void MakeFounder() { this->is_founder = true; }
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
    std::vector<wire::LogEntry> entries;
  };
  void Flush();
  void Store(const ReplicaOutput& output);
  void Send(const ReplicaOutput& output);
  void RunEffects();
  void Check(const ReplicaOutput& output);
  void TraceNote(const OperatorEvent& note);

  Disk disk;
  std::unique_ptr<ControlCore> control;
  bool had_disk = false;    // it is not the first start
  bool is_founder = false;  // may form a group at its first start
  std::uint64_t next_ticket = 1;
  std::map<std::uint64_t, std::function<void(wire::ControlReply)>> tickets;
};

class VmNode : public Node {
 public:
  VmNode(TestEstate& all, std::string name, DriftingClock clock);

  void OnOrders(const wire::WorkerOrders& orders, const std::string& from);
  void OnAttempt(const SendAttempt& attempt,
                 const std::string& service,
                 const Sending& sending,
                 bool repeatable,
                 Milliseconds remaining,
                 const std::string& from);
  void OnBar(const SendRevocation& bar, const std::string& from);
  void OnRevision(const wire::EstateUpdate& update);
  void OnHeard(const std::string& from);
  /// The endpoint process begins to leave.
  void Leave();
  /// The whole VM restarts.
  void RestartVm();
  std::uint64_t revision() const { return this->cache.revision(); }

  FakeWorker worker;

 protected:
  void OnStart() override;
  void OnKill() override;
  void OnTick() override;

 private:
  struct Kept {
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
  std::map<AttemptKey, Kept> kept;
  std::map<AttemptKey, std::string> askers;
  std::size_t current_control = 0;
  std::uint64_t sequence = 0;
  bool leaving = false;
  TimePoint left_at = kNever;
  TimePoint heartbeat_deadline;
  TimePoint announce_deadline;
  TimePoint poll_deadline;
};

class EntryNode : public CallerNode {
 public:
  EntryNode(TestEstate& all, std::string name, DriftingClock clock);

  void OnAnnouncement(const std::string& sender,
                      std::uint64_t sender_incarnation,
                      const wire::EndpointAnnouncement& announcement,
                      std::uint64_t revision);
  void OnNews(const AttemptStatus& news, std::uint64_t answered_request);
  void OnRevision(const wire::EstateUpdate& update);

  /// A caller's request. `answered` gets whether the answer was passed on
  /// from the endpoint; it is not called where the entry dies first.
  void Request(const Sending& sending,
               bool repeatable,
               const std::string& key,
               Milliseconds timeout,
               std::function<void(bool passed_on)> answered);
  std::uint64_t revision() const { return this->cache.revision(); }
  const EstateCache& estate() const { return this->cache; }

 protected:
  void OnStart() override;
  void OnKill() override;
  void OnTick() override;

 private:
  struct Open {
    Sending sending;
    CallerRequest request;
    std::function<void(bool)> answered;
    bool settling = false;
  };
  void RunRouterEffects();
  void CallClaim(const std::string& method,
                 const Open& open,
                 wire::ClaimState state,
                 std::function<void(const wire::ClaimRecord&)> answered);
  void Answer(std::uint64_t request,
              bool passed_on,
              bool not_run,
              std::uint64_t answered_request);

  std::unique_ptr<Router> router;
  EstateCache cache;
  std::map<std::uint64_t, Open> open;
  std::uint64_t next_id = 1;
  std::uint64_t current_answered = 0;
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
  /// Whether controls are found by seeds and may be replaced by others.
  bool open_membership = false;
  std::uint64_t snapshot_after_entries = 60;
  Milliseconds lease{2000};
  Mutations mutations;
};

/// All nodes of a schedule, by name.
class TestEstate {
 public:
  explicit TestEstate(const ScheduleOptions& options);

  ControlNode& control(std::size_t index) { return *this->controls[index]; }
  VmNode& vm(std::size_t index) { return *this->vms[index]; }
  EntryNode& entry(std::size_t index) { return *this->entries[index]; }
  Node* Find(const std::string& name);
  ControlNode* Leader();
  std::set<std::string> Names() const;
  /// Controls that the settings name: at most three of those that stay.
  std::vector<std::string> Seeds() const;
  /// Voters that the group has when it is whole.
  std::size_t MostVoters() const;
  /// A control process at a new address, with an empty disk.
  void AddControl();
  /// Ends every fault, starts every process.
  void Heal();

  ScheduleOptions options;
  World world;
  Ledger ledger;
  JobLedger job_ledger;
  std::vector<std::unique_ptr<ControlNode>> controls;
  std::vector<std::unique_ptr<VmNode>> vms;
  std::vector<std::unique_ptr<EntryNode>> entries;
  std::vector<std::unique_ptr<AgentNode>> agents;
  std::vector<std::unique_ptr<GatewayNode>> gateways;
  std::uint64_t next_incarnation = 1;

 private:
  DriftingClock NewClock();
};

}  // namespace savoryring

#endif  // SAVORYRING_TESTSUITE_SCHEDULE_NODES_H_
