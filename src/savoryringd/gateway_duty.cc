#include "savoryringd/gateway_duty.h"

#include "libbase/events.h"
#include "libreplication/replication.pb.h"

namespace savoryring {
namespace {

// A call that no leader can have accepted is refused after this time. An
// election takes about half of it.
constexpr Milliseconds kRefuseAfter{1200};
constexpr Milliseconds kPingInterval{500};
// If the leader has not answered for this long, calls are refused at once.
constexpr Milliseconds kLeaderTimeout{2500};
// The same while the process drains, when callers are better off elsewhere.
constexpr Milliseconds kDrainLeaderTimeout{1200};

ControlClientOptions MakeOptions(const Settings& settings) {
  return {.links = ControlLinksOf(settings), .no_leader_timeout = kRefuseAfter};
}

wire::ControlReply MakeErrorReply(ResultCode code) {
  wire::ControlReply reply;
  reply.set_status(static_cast<std::uint32_t>(InfoOf(code).http_status));
  reply.set_result_code(static_cast<std::uint32_t>(NumberOf(code)));
  reply.set_body(ResultBody(code, ""));
  return reply;
}

}  // namespace

GatewayDuty::GatewayDuty(Process& process)
    : process(&process),
      link({.bind_address = process.settings().gateway_link,
            .sender = process.settings().id,
            .incarnation = process.incarnation()}),
      control_caller(this->link, MakeOptions(process.settings())),
      loop(this->link, *this) {}

GatewayDuty::~GatewayDuty() {
  this->GatewayDuty::Stop();
}

void GatewayDuty::Start() {
  this->loop.Start();
}

void GatewayDuty::Leave() {
  this->leaving = true;
  this->loop.Post([this] {
    this->control_caller.LimitDeadlines(
        this->process->drain().AnswerDeadline(kNever));
  });
}

void GatewayDuty::Stop() {
  this->loop.Stop();
}

SerializedJobCall::SerializedJobCall(const wire::JobCall& call)
    : bytes(call.SerializeAsString()),
      read_only(!call.has_submit() && !call.cancel()) {}

void GatewayDuty::Call(SerializedJobCall call,
                       TimePoint deadline,
                       ControlCaller::ReplyCallback callback) {
  const ResultCode admitted = this->AdmitCall();
  if (admitted != ResultCode::kOk) {
    callback(MakeErrorReply(admitted));
    return;
  }
  this->open_calls += 1;
  wire::ControlCall control_call;
  control_call.set_method("JOB");
  control_call.set_body(std::move(call.bytes));
  control_call.set_read_only(call.read_only);
  this->control_caller.CallFromThread(
      std::move(control_call), this->process->drain().AnswerDeadline(deadline),
      this->loop,
      [this, callback = std::move(callback)](const wire::ControlReply& reply) {
        callback(reply);
        this->open_calls -= 1;
      });
}

ResultCode GatewayDuty::AdmitCall() const {
  if (!this->process->drain().AcceptsCall(BootClock::now()))
    return ResultCode::kNotReady;
  const Milliseconds timeout =
      this->leaving ? kDrainLeaderTimeout : kLeaderTimeout;
  return this->HasLeaderAnswered(timeout) ? ResultCode::kOk
                                          : ResultCode::kNoLeader;
}

void GatewayDuty::Forward(const HttpRequest& request,
                          TimePoint deadline,
                          const HttpResponder& respond) {
  if (!this->process->drain().AcceptsCall(BootClock::now())) {
    respond(MakeResultResponse(ResultCode::kNotReady, ""));
    return;
  }
  this->open_calls += 1;
  this->control_caller.Forward(
      request, this->process->drain().AnswerDeadline(deadline), this->loop,
      [this, respond](HttpResponse response) {
        respond(std::move(response));
        this->open_calls -= 1;
      });
}

bool GatewayDuty::IsReady() const {
  return this->HasLeaderAnswered(kLeaderTimeout);
}

bool GatewayDuty::HasLeaderAnswered(Milliseconds within) const {
  const auto answered =
      FromNanoseconds(static_cast<std::uint64_t>(this->last_answer_ns.load()));
  return this->last_answer_ns != 0 && BootClock::now() < answered + within;
}

void GatewayDuty::OnMessage(const Received& message, TimePoint now) {
  switch (message.envelope.kind()) {
    case wire::CONTROL_REPLY:
      return this->control_caller.OnReply(message, now);
    case wire::AGENT_REPORT:
      return this->RedirectReport(message);
    case wire::CONTROL_CALL:
      return this->RedirectCall(message);
    case wire::REPLICA_MESSAGE:
      return this->OnReplicaMessage(message, now);
    default:
      return;
  }
}

// Leaders announce themselves to the seeds, which may be VMs without a disk.
void GatewayDuty::OnReplicaMessage(const Received& message, TimePoint now) {
  wire::ReplicaMessage body;
  if (!body.ParseFromString(message.envelope.body()))
    return;
  if (!body.hello().leader().empty())
    this->control_caller.OnLeaderAnnounced(body.hello().leader(), now);
}

std::string GatewayDuty::LeaderHint() const {
  return this->IsReady() ? this->control_caller.leader_link() : "";
}

void GatewayDuty::RedirectReport(const Received& message) {
  wire::AgentOrders redirect;
  redirect.set_leader_link(this->LeaderHint());
  this->link.Reply(message.origin, wire::AGENT_ORDERS,
                   redirect.SerializeAsString());
}

void GatewayDuty::RedirectCall(const Received& message) {
  wire::ControlCall call;
  if (!call.ParseFromString(message.envelope.body()))
    return;
  wire::ControlReply redirect = MakeErrorReply(ResultCode::kNoLeader);
  redirect.set_call_id(call.call_id());
  redirect.set_leader_link(this->LeaderHint());
  this->link.Reply(message.origin, wire::CONTROL_REPLY,
                   redirect.SerializeAsString());
}

void GatewayDuty::OnTick(TimePoint now) {
  if (this->settings_version != this->process->settings_version()) {
    this->settings_version = this->process->settings_version();
    this->control_caller.AddLinks(this->process->control_links());
  }
  this->control_caller.OnTick(now);
  if (now >= this->ping_deadline)
    this->Ping(now);
}

void GatewayDuty::Ping(TimePoint now) {
  this->ping_deadline = now + kPingInterval;
  wire::ControlCall call;
  call.set_method("PING");
  this->control_caller.Call(std::move(call), now + 2 * kPingInterval, now,
                            [this](const wire::ControlReply& reply) {
                              if (reply.status() != 200)
                                return;
                              const TimePoint answered = BootClock::now();
                              this->last_answer_ns = static_cast<std::int64_t>(
                                  ToNanoseconds(answered));
                            });
}

void GatewayDuty::OnBatchEnd(TimePoint) {
  this->control_caller.RunEffects();
}

}  // namespace savoryring
