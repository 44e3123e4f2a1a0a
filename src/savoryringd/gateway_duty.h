/// The gateway duty: forwards callers' job calls and operators' requests to the
/// leader and returns its replies. It keeps no state of jobs or queues that
/// could become stale. A process that addresses it like a control replica is
/// redirected to the leader.
#ifndef SAVORYRING_SAVORYRINGD_GATEWAY_DUTY_H_
#define SAVORYRING_SAVORYRINGD_GATEWAY_DUTY_H_

#include <atomic>
#include <string>

#include "libjobs/jobs.pb.h"
#include "libtransport/duty_loop.h"
#include "libtransport/link.h"
#include "savoryringd/control_access.h"
#include "savoryringd/control_caller.h"
#include "savoryringd/process.h"

namespace savoryring {

/// A job call as it is sent to the leader.
struct SerializedJobCall {
  explicit SerializedJobCall(const wire::JobCall& call);

  std::string bytes;
  bool read_only;
};

class GatewayDuty : public Duty, public ControlAccess, private DutyHandler {
 public:
  /// Throws Error (kAddressInUse). `process` must outlive the duty.
  explicit GatewayDuty(Process& process);
  ~GatewayDuty() override;

  void Start() override;
  void Leave() override;
  bool IsIdle() override { return this->open_calls == 0; }
  void Stop() override;

  /// Forwards a job call to the leader, and passes the reply on by `deadline`,
  /// perhaps on another thread. If no leader is reachable and none can have
  /// accepted the call, the reply is kNoLeader, early; if one may have accepted
  /// it, it is kNotCommittedInTime, at the deadline. While the process drains,
  /// the limits of Process::drain() apply. Thread safe.
  void Call(SerializedJobCall call,
            TimePoint deadline,
            ControlCaller::ReplyCallback callback);
  void Forward(const HttpRequest& request,
               TimePoint deadline,
               const HttpResponder& respond) override;
  bool IsEstateInForce(std::string_view) override { return false; }
  void AwaitIteration() override { this->loop.AwaitIteration(); }
  /// Whether the leader has answered recently, so that calls are likely to be
  /// answered. Thread safe.
  bool IsReady() const;

 private:
  /// kOk if a call that arrives now is forwarded, otherwise the result that it
  /// is refused with.
  ResultCode AdmitCall() const;
  bool HasLeaderAnswered(Milliseconds within) const;
  void OnMessage(const Received& message, TimePoint now) override;
  void OnReplicaMessage(const Received& message, TimePoint now);
  void OnTick(TimePoint now) override;
  void OnBatchEnd(TimePoint now) override;
  void Ping(TimePoint now);
  /// Link of the believed leader; empty if it has not answered recently.
  std::string LeaderHint() const;
  /// Reply with the leader's link to a message that was meant for a control
  /// replica.
  void RedirectReport(const Received& message);
  void RedirectCall(const Received& message);

  Process* process;
  Link link;
  ControlCaller control_caller;
  std::uint64_t settings_version = 0;
  TimePoint ping_deadline;
  // When the leader last answered; 0 if it never has.
  std::atomic<std::int64_t> last_answer_ns{0};
  std::atomic<int> open_calls{0};
  std::atomic<bool> leaving{false};
  DutyLoop loop;
};

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_GATEWAY_DUTY_H_
