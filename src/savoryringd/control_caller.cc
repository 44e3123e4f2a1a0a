#include "savoryringd/control_caller.h"

#include <charconv>
#include <future>
#include <memory>
#include <utility>

namespace savoryring {
namespace {

constexpr std::int64_t kLongestTimeoutMs = 3'600'000;
// The HTTP thread outlasts the deadline by this, so that the answer made at
// the deadline reaches it.
constexpr Milliseconds kAnswerGrace{500};

HttpResponse ToHttpResponse(const wire::ControlReply& reply) {
  HttpResponse response =
      MakeJsonResponse(static_cast<int>(reply.status()), reply.body());
  if (reply.result_code() == 0)
    return response;
  const auto code = static_cast<ResultCode>(reply.result_code());
  response.headers = MakeResultResponse(code, "").headers;
  return response;
}

}  // namespace

ControlCaller::ControlCaller(Link& link, ControlClientOptions options)
    : link(&link), client(std::move(options)) {}

void ControlCaller::Call(wire::ControlCall call,
                         TimePoint deadline,
                         TimePoint now,
                         Function function) {
  call.set_call_id(++this->last_id);
  this->functions[this->last_id] = std::move(function);
  this->client.OnCall(std::move(call), deadline, now);
}

void ControlCaller::OnReply(const Received& message, TimePoint now) {
  wire::ControlReply reply;
  if (reply.ParseFromString(message.envelope.body()))
    this->client.OnReply(message.origin.address, reply, now);
}

void ControlCaller::OnTick(TimePoint now) {
  this->client.OnTick(now);
}

void ControlCaller::RunEffects() {
  for (const ControlClientEffect& effect : this->client.TakeEffects()) {
    if (const auto* send = std::get_if<SendCall>(&effect)) {
      this->link->Send(send->link, wire::CONTROL_CALL,
                       send->call.SerializeAsString());
    } else if (const auto* replace =
                   std::get_if<ReplaceControlConnection>(&effect)) {
      this->link->ReplaceConnection(replace->link);
    } else {
      this->Deliver(std::get<DeliverReply>(effect).reply);
    }
  }
}

wire::ControlReply ControlCaller::CallAndWait(wire::ControlCall call,
                                              TimePoint deadline,
                                              DutyLoop& loop) {
  auto promise = std::make_shared<std::promise<wire::ControlReply>>();
  std::future<wire::ControlReply> answer = promise->get_future();
  loop.Post([this, call = std::move(call), promise, deadline] {
    this->Call(call, deadline, BootClock::now(),
               [promise](const wire::ControlReply& reply) {
                 promise->set_value(reply);
               });
  });
  const auto wait = RemainingTime(BootClock::now(), deadline) + kAnswerGrace;
  if (answer.wait_for(wait) == std::future_status::ready)
    return answer.get();
  wire::ControlReply late;
  const ResultCode code = ResultCode::kNotCommittedInTime;
  late.set_status(static_cast<std::uint32_t>(InfoOf(code).http_status));
  late.set_result_code(static_cast<std::uint32_t>(NumberOf(code)));
  late.set_body(ResultBody(code, ""));
  return late;
}

HttpResponse ControlCaller::Forward(const HttpRequest& request,
                                    TimePoint deadline,
                                    DutyLoop& loop) {
  wire::ControlCall call;
  call.set_method(request.method);
  call.set_path(request.path);
  call.set_body(request.body);
  return ToHttpResponse(this->CallAndWait(std::move(call), deadline, loop));
}

void ControlCaller::Deliver(const wire::ControlReply& reply) {
  const auto found = this->functions.find(reply.call_id());
  if (found == this->functions.end())
    return;
  const Function function = std::move(found->second);
  this->functions.erase(found);
  function(reply);
}

TimePoint RequestDeadline(const HttpRequest& request,
                          Milliseconds fallback,
                          TimePoint now) {
  const std::string text = request.Header("Savoryring-Timeout-Ms");
  if (text.empty())
    return now + fallback;
  std::int64_t count = 0;
  const char* end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, count);
  if (failure != std::errc() || rest != end || count < 1 ||
      count > kLongestTimeoutMs) {
    throw Error(ResultCode::kBadHeader,
                "Savoryring-Timeout-Ms must be from 1 to " +
                    std::to_string(kLongestTimeoutMs));
  }
  return now + Milliseconds(count);
}

}  // namespace savoryring
