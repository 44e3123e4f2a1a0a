#include "savoryringd/control_caller.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace savoryring {
namespace {

constexpr std::int64_t kMaxTimeoutMs = 3'600'000;

HttpResponse ToHttpResponse(const wire::ControlReply& reply) {
  HttpResponse response =
      MakeJsonResponse(static_cast<int>(reply.status()), reply.body());
  if (reply.result_code() == 0)
    return response;
  const auto code = static_cast<ResultCode>(reply.result_code());
  response.headers = MakeResultResponse(code, "").headers;
  return response;
}

wire::ControlCall ToControlCall(const HttpRequest& request) {
  wire::ControlCall call;
  call.set_method(request.method);
  call.set_path(request.path);
  call.set_body(request.body);
  return call;
}

wire::ControlReply MakeUnknownOutcomeReply(std::uint64_t call_id) {
  constexpr ResultCode kCode = ResultCode::kNotCommittedInTime;
  wire::ControlReply reply;
  reply.set_call_id(call_id);
  reply.set_status(static_cast<std::uint32_t>(InfoOf(kCode).http_status));
  reply.set_result_code(static_cast<std::uint32_t>(NumberOf(kCode)));
  reply.set_body(ResultBody(kCode, ""));
  return reply;
}

}  // namespace

ControlCaller::ControlCaller(Link& link, ControlClientOptions options)
    : link(&link), client(std::move(options)) {}

void ControlCaller::Call(wire::ControlCall call,
                         TimePoint deadline,
                         TimePoint now,
                         ReplyCallback callback) {
  call.set_call_id(++this->last_call_id);
  const TimePoint limited = std::min(deadline, this->latest_deadline);
  this->calls[this->last_call_id] = {.callback = std::move(callback),
                                     .deadline = limited};
  this->client.OnCall(std::move(call), limited, now);
}

void ControlCaller::OnReply(const Received& message, TimePoint now) {
  wire::ControlReply reply;
  if (reply.ParseFromString(message.envelope.body()))
    this->client.OnReply(message.origin.address, reply, now);
}

void ControlCaller::OnTick(TimePoint now) {
  this->client.OnTick(now);
  if (now >= this->latest_deadline)
    this->EndCallsAfterLimit();
}

// The client answers calls with an earlier deadline itself.
void ControlCaller::EndCallsAfterLimit() {
  std::vector<std::uint64_t> late;
  for (const auto& [id, open] : this->calls) {
    if (open.deadline > this->latest_deadline)
      late.push_back(id);
  }
  for (const std::uint64_t id : late)
    this->Deliver(MakeUnknownOutcomeReply(id));
}

void ControlCaller::RunEffects() {
  for (const ControlClientEffect& effect : this->client.TakeEffects()) {
    if (const auto* send = std::get_if<SendCall>(&effect)) {
      this->link->Send(send->link, wire::CONTROL_CALL,
                       send->call.SerializeAsString(), Channel::kCalls);
    } else if (const auto* replace =
                   std::get_if<ReplaceControlConnection>(&effect)) {
      this->link->ReplaceConnection(replace->link, Channel::kCalls);
    } else {
      this->Deliver(std::get<DeliverReply>(effect).reply);
    }
  }
}

void ControlCaller::CallFromThread(wire::ControlCall call,
                                   TimePoint deadline,
                                   DutyLoop& loop,
                                   ReplyCallback callback) {
  loop.Post(
      [this, call = std::move(call), deadline, callback = std::move(callback)] {
        this->Call(call, deadline, BootClock::now(), callback);
      });
}

void ControlCaller::Forward(const HttpRequest& request,
                            TimePoint deadline,
                            DutyLoop& loop,
                            const HttpResponder& respond) {
  this->CallFromThread(ToControlCall(request), deadline, loop,
                       [respond](const wire::ControlReply& reply) {
                         respond(ToHttpResponse(reply));
                       });
}

void ControlCaller::Deliver(const wire::ControlReply& reply) {
  const auto found = this->calls.find(reply.call_id());
  if (found == this->calls.end())
    return;
  const ReplyCallback callback = std::move(found->second.callback);
  this->calls.erase(found);
  callback(reply);
}

TimePoint RequestDeadline(const HttpRequest& request,
                          Milliseconds default_timeout,
                          TimePoint now) {
  const std::string text = request.Header("Savoryring-Timeout-Ms");
  if (text.empty())
    return now + default_timeout;
  std::int64_t timeout_ms = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] =
      std::from_chars(text.data(), end, timeout_ms);
  if (error != std::errc() || parsed_end != end || timeout_ms < 1 ||
      timeout_ms > kMaxTimeoutMs) {
    throw Error(ResultCode::kBadHeader,
                "Savoryring-Timeout-Ms must be from 1 to " +
                    std::to_string(kMaxTimeoutMs));
  }
  return now + Milliseconds(timeout_ms);
}

}  // namespace savoryring
