/// The control duty: a replica of the control group. It connects the control
/// core, which does no I/O, to the link, the HTTP server and the files.
#ifndef SAVORYRING_SAVORYRINGD_CONTROL_DUTY_H_
#define SAVORYRING_SAVORYRINGD_CONTROL_DUTY_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "libcontrol/control_core.h"
#include "libreplication/replica_store.h"
#include "libtransport/duty_loop.h"
#include "libtransport/http.h"
#include "libtransport/link.h"
#include "libtransport/peer_liveness.h"
#include "libtransport/work_pool.h"
#include "savoryringd/control_access.h"
#include "savoryringd/control_caller.h"
#include "savoryringd/process.h"

namespace savoryring {

class ControlDuty : public Duty, public ControlAccess, private DutyHandler {
 public:
  /// Loads the stored state. Throws Error (kDamagedLog, kDiskFailed,
  /// kForeignDisk, kAddressInUse). `process` must outlive the duty.
  explicit ControlDuty(Process& process);
  ~ControlDuty() override;

  void Start() override;
  void Leave() override;
  bool IsIdle() override;
  void Stop() override;

  void Forward(const HttpRequest& request,
               TimePoint deadline,
               const HttpResponder& respond) override;
  bool IsEstateInForce(std::string_view source) override;
  void AwaitIteration() override { this->loop.AwaitIteration(); }

 private:
  using ReplyCallback = std::function<void(const wire::ControlReply&)>;

  void OnMessage(const Received& message, TimePoint now) override;
  void OnTick(TimePoint now) override;
  void OnBatchEnd(TimePoint now) override;

  void ApplyReloadedSettings();
  void AnswerEstateSource(const HttpRequest& request,
                          TimePoint deadline,
                          const HttpResponder& respond);
  void OnHttp(const HttpRequest& request, const HttpResponder& respond);
  void OnReplicaMessage(const Received& message, TimePoint now);
  void OnHeartbeat(const Received& message, TimePoint now);
  void OnAgentReport(const Received& message, TimePoint now);
  void OnEstateFetch(const Received& message);
  void OnControlCall(const Received& message, TimePoint now);
  void SendReplicaMessage(const OutgoingReplicaMessage& outgoing,
                          TimePoint now);
  /// Stores and sends the core's output until it produces no more. Each pass
  /// syncs the disk at most once for everything received since the last one.
  void Flush(TimePoint now);
  void Store(const ReplicaOutput& output);
  void RunEffects(TimePoint now);
  void PublishEstate();
  /// Runs the task on another thread.
  void RunTask(DocumentTask task);
  /// Address of the replica; empty if unknown.
  std::string LinkOfReplica(const std::string& id) const;
  /// Tells the core which estate revision the sender has applied.
  void RecordRevision(const std::string& duty,
                      const wire::Envelope& envelope,
                      TimePoint now);

  Process* process;
  ReplicaStore store;
  Link link;
  ControlCore core;
  ControlCaller control_caller;  // forwards this process's HTTP requests
  PeerLiveness liveness;
  std::uint64_t settings_version = 0;  // version applied last
  TimePoint publish_deadline;
  std::uint64_t last_call_token = 0;
  std::map<std::uint64_t, ReplyCallback> reply_callbacks;  // by call token
  std::map<std::string, std::string> replica_links;        // by replica id
  // The connections on which replicas, workers and agents were last heard, by
  // their ids. Replies and orders are sent over them.
  std::map<std::string, Origin> replica_origins;
  std::map<std::string, Origin> worker_origins;
  std::map<std::string, Origin> agent_origins;
  std::mutex estate_mutex;
  std::shared_ptr<const PreparedEstate> estate_in_force;  // by estate_mutex
  std::atomic<bool> ready{false};
  std::atomic<bool> leaving{false};
  DutyLoop loop;
  WorkPool document_thread{1};
  std::unique_ptr<HttpServer> server;
};

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_CONTROL_DUTY_H_
