#include "savoryringd/gateway_duty.h"

#include "libbase/events.h"

namespace savoryring {
namespace {

// A call that no leader can have taken is refused after this; an election
// takes about half of it.
constexpr Milliseconds kRefuseAfter{1200};
constexpr Milliseconds kPingInterval{500};
// Without an answer for this long, calls are refused at once.
constexpr Milliseconds kLeaderMissing{2500};

ControlClientOptions MakeOptions(const Settings& settings) {
  return {.links = ControlLinksOf(settings), .no_leader_timeout = kRefuseAfter};
}

wire::ControlReply Refusal(ResultCode code) {
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
      caller(this->link, MakeOptions(process.settings())),
      loop(this->link, *this) {}

GatewayDuty::~GatewayDuty() {
  this->GatewayDuty::Stop();
}

void GatewayDuty::Start() {
  this->loop.Start();
}

void GatewayDuty::Stop() {
  this->loop.Stop();
}

wire::ControlReply GatewayDuty::Call(const wire::JobCall& call,
                                     TimePoint deadline) {
  if (!this->IsReady())
    return Refusal(ResultCode::kNoLeader);
  this->open_calls += 1;
  wire::ControlCall control_call;
  control_call.set_method("JOB");
  control_call.set_body(call.SerializeAsString());
  wire::ControlReply reply =
      this->caller.CallAndWait(std::move(control_call), deadline, this->loop);
  this->open_calls -= 1;
  return reply;
}

HttpResponse GatewayDuty::Forward(const HttpRequest& request,
                                  TimePoint deadline) {
  this->open_calls += 1;
  HttpResponse response = this->caller.Forward(request, deadline, this->loop);
  this->open_calls -= 1;
  return response;
}

bool GatewayDuty::IsReady() const {
  const auto answered =
      FromNanoseconds(static_cast<std::uint64_t>(this->answered_ns.load()));
  return this->answered_ns != 0 && BootClock::now() < answered + kLeaderMissing;
}

void GatewayDuty::OnMessage(const Received& message, TimePoint now) {
  switch (message.envelope.kind()) {
    case wire::CONTROL_REPLY:
      return this->caller.OnReply(message, now);
    case wire::AGENT_REPORT:
      return this->AnswerReport(message);
    case wire::CONTROL_CALL:
      return this->AnswerCall(message);
    default:
      return;
  }
}

std::string GatewayDuty::LeaderHint() const {
  return this->IsReady() ? this->caller.leader_link() : "";
}

void GatewayDuty::AnswerReport(const Received& message) {
  wire::AgentOrders refusal;
  refusal.set_leader_link(this->LeaderHint());
  this->link.Reply(message.origin, wire::AGENT_ORDERS,
                   refusal.SerializeAsString());
}

void GatewayDuty::AnswerCall(const Received& message) {
  wire::ControlCall call;
  if (!call.ParseFromString(message.envelope.body()))
    return;
  wire::ControlReply refusal = Refusal(ResultCode::kNoLeader);
  refusal.set_call_id(call.call_id());
  refusal.set_leader_link(this->LeaderHint());
  this->link.Reply(message.origin, wire::CONTROL_REPLY,
                   refusal.SerializeAsString());
}

void GatewayDuty::OnTick(TimePoint now) {
  if (this->settings_version != this->process->settings_version()) {
    this->settings_version = this->process->settings_version();
    this->caller.AddLinks(this->process->control_links());
  }
  this->caller.OnTick(now);
  if (now >= this->ping_deadline)
    this->Ping(now);
}

void GatewayDuty::Ping(TimePoint now) {
  this->ping_deadline = now + kPingInterval;
  wire::ControlCall call;
  call.set_method("PING");
  this->caller.Call(std::move(call), now + 2 * kPingInterval, now,
                    [this](const wire::ControlReply& reply) {
                      if (reply.status() != 200)
                        return;
                      const TimePoint answered = BootClock::now();
                      this->answered_ns =
                          static_cast<std::int64_t>(ToNanoseconds(answered));
                    });
}

void GatewayDuty::OnBatchEnd(TimePoint) {
  this->caller.RunEffects();
}

}  // namespace savoryring
