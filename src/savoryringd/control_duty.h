/// The control duty: shell around a replica of the log, the state machine
/// made from it and, while leading, the scheduler.
#ifndef SAVORYRING_SAVORYRINGD_CONTROL_DUTY_H_
#define SAVORYRING_SAVORYRINGD_CONTROL_DUTY_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libmembership/membership.pb.h"
#include "libplacement/control_state.h"
#include "libplacement/scheduler.h"
#include "libreplication/replica.h"
#include "libreplication/replica_store.h"
#include "libtransport/control_client.h"
#include "libtransport/duty_loop.h"
#include "libtransport/http.h"
#include "libtransport/link.h"
#include "libtransport/peer_liveness.h"
#include "savoryringd/call_waiter.h"
#include "savoryringd/control_api.h"
#include "savoryringd/process.h"

namespace savoryring {

class ControlDuty : public Duty, private DutyHandler {
 public:
  /// Reads the stored state. Throws Error (kDamagedLog, kDiskFailed,
  /// kForeignDisk, kAddressInUse). `process` must outlive the duty.
  explicit ControlDuty(Process& process);
  ~ControlDuty() override;

  void Start() override;
  void Leave() override;
  bool IsIdle() override;
  void Stop() override;

 private:
  using ReplyFunction = std::function<void(const wire::ControlReply&)>;
  struct PendingCall {
    wire::ControlCall call;
    std::uint64_t term = 0;
    ReplyFunction reply;
  };
  struct WorkerLink {
    Origin origin;
    std::uint64_t version = 0;  // of the orders that it was last sent
  };

  void OnMessage(const Received& message, TimePoint now) override;
  void OnTick(TimePoint now) override;
  void OnBatchEnd(TimePoint now) override;

  HttpResponse OnHttp(const HttpRequest& request);
  void HandleCall(const wire::ControlCall& call,
                  ReplyFunction reply,
                  TimePoint now);
  void OnReplicaMessage(const Received& message, TimePoint now);
  void OnHeartbeat(const Received& message, TimePoint now);
  void OnEntryHeartbeat(const Received& message, TimePoint now);
  void SendOrders(const std::string& worker, std::uint64_t echo, bool lease);
  void SendReplicaMessage(const OutgoingReplicaMessage& outgoing,
                          TimePoint now);
  void FlushReplica(TimePoint now);
  void ApplyCommitted(const wire::LogEntry& entry);
  void FollowLeadership(TimePoint now);
  void RunClientEffects(TimePoint now);
  void Propose(const std::vector<wire::Command>& commands);
  void CompactIfLong();
  void NoteProcess(const std::string& duty,
                   const wire::Envelope& envelope,
                   TimePoint now);
  bool Serves(TimePoint now) const;
  std::string LeaderLink() const;
  ControlView View(TimePoint now) const;

  Process* process;
  ReplicaStore store;
  Link link;
  Replica replica;
  ControlState state;
  std::optional<Scheduler> scheduler;
  ControlClient client;
  CallWaiter waiter;
  PeerLiveness liveness;
  std::uint64_t applied_index = 0;
  std::uint64_t scheduled_term = 0;
  std::uint64_t decision_index = 0;  // last entry that the scheduler proposed
  TimePoint decide_deadline;
  TimePoint publish_deadline;
  bool was_leader = false;
  std::map<std::uint64_t, PendingCall> pending_calls;
  std::map<std::string, std::string> replica_links;
  std::map<std::string, Origin> replica_origins;
  std::map<std::string, WorkerLink> worker_links;
  std::map<std::string, ProcessRevision> processes;
  std::atomic<bool> ready{false};
  std::atomic<bool> leaving{false};
  DutyLoop loop;
  std::unique_ptr<HttpServer> server;
};

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_CONTROL_DUTY_H_
