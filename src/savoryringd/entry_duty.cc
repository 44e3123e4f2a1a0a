#include "savoryringd/entry_duty.h"

#include <algorithm>
#include <utility>

#include "libbase/checksum.h"
#include "libbase/events.h"
#include "libmembership/membership.pb.h"
#include "savoryringd/http_forward.h"

namespace savoryring {
namespace {

constexpr std::string_view kServicesPrefix = "/services/";
constexpr Milliseconds kControlTimeout{5000};
// How long a starting entry waits for a majority of the control group.
constexpr Milliseconds kServeDelay{3000};
// Longest time that an answer waits for its claim to be settled.
constexpr Milliseconds kSettleTimeout{1000};

bool IsRepeatable(const HttpRequest& request) {
  const std::string text = request.Header("Savoryring-Repeatable");
  if (text == "yes")
    return true;
  if (text == "no")
    return false;
  if (!text.empty()) {
    throw Error(ResultCode::kBadHeader,
                "Savoryring-Repeatable must be yes or no");
  }
  return request.method == "GET" || request.method == "HEAD";
}

HttpResponse ToResponse(const wire::AttemptUpdate& update) {
  HttpResponse response;
  response.status = static_cast<int>(update.status());
  response.headers = UnpackHeaders(update);
  response.body = update.body();
  return response;
}

}  // namespace

EntryDuty::EntryDuty(Process& process)
    : process(&process),
      link({.bind_address = process.settings().entry->link,
            .sender = process.settings().id,
            .incarnation = process.incarnation()}),
      router({.entry = process.settings().id,
              .incarnation = process.incarnation(),
              .availability_zone = process.settings().availability_zone,
              .acknowledge_timeout = process.settings().timing.acknowledge,
              .seed = process.Random()}),
      estate(this->link),
      control(this->link, {.links = ControlLinksOf(process.settings())}),
      serve_deadline(BootClock::now() + kServeDelay),
      loop(this->link, *this) {}

EntryDuty::~EntryDuty() {
  this->EntryDuty::Stop();
}

void EntryDuty::Start() {
  this->loop.Start();
  this->server = std::make_unique<HttpServer>(
      HttpServerOptions{
          .address = this->process->settings().entry->http,
          .body_limit_bytes = this->process->settings().limits.body_bytes},
      [this](const HttpRequest& request) { return this->OnHttp(request); });
}

void EntryDuty::Leave() {
  this->leaving = true;
}

bool EntryDuty::IsIdle() {
  const auto idle =
      this->loop.Call<bool>([this] { return this->calls.empty(); },
                            BootClock::now() + Milliseconds(200));
  return idle.value_or(false);
}

void EntryDuty::Stop() {
  this->server.reset();
  this->loop.Stop();
}

// --- HTTP threads ---

HttpResponse EntryDuty::OnHttp(const HttpRequest& request) {
  const bool is_ready = this->ready && !this->leaving;
  if (auto common = AnswerCommon(request, *this->process, is_ready))
    return *common;
  if (request.path.starts_with(kServicesPrefix))
    return this->CallService(request);
  const bool known =
      request.path.starts_with("/tasks") || request.path.starts_with("/jobs") ||
      request.path.starts_with("/estate") ||
      request.path.starts_with("/workers") || request.path == "/status";
  if (!known)
    return MakeResultResponse(ResultCode::kNotFound, request.path);
  return this->CallControl(request);
}

HttpResponse EntryDuty::CallService(const HttpRequest& request) {
  if (!this->ready)
    return MakeResultResponse(ResultCode::kNotReady, "");
  const TimePoint now = BootClock::now();
  std::unique_ptr<OpenCall> call = this->ReadCall(request, now);
  std::future<HttpResponse> answer = call->answer.get_future();
  const std::string service = call->routed.service;
  // std::function must be copyable, so the call travels in a shared pointer.
  auto shared = std::make_shared<std::unique_ptr<OpenCall>>(std::move(call));
  this->loop.Post([this, shared] { this->Begin(std::move(*shared)); });
  HttpResponse response = answer.get();
  Metrics& metrics = this->process->metrics();
  metrics.RecordLatency("entry_request", BootClock::now() - now);
  metrics.Count("entry_requests");
  if (!response.Header("Savoryring-Result").empty())
    metrics.Count("entry_own_answers");
  return response;
}

std::unique_ptr<EntryDuty::OpenCall> EntryDuty::ReadCall(
    const HttpRequest& request,
    TimePoint now) {
  auto call = std::make_unique<OpenCall>();
  const std::string rest = request.path.substr(kServicesPrefix.size());
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  call->routed.service = rest.substr(0, slash);
  call->path = slash == rest.size() ? "/" : rest.substr(slash);
  if (!request.query.empty())
    call->path += "?" + request.query;
  call->routed.repeatable = IsRepeatable(request);
  call->routed.key = request.Header("Idempotency-Key");
  // A request without its own timeout gets the service's, on the loop's
  // thread, where the estate is known.
  call->routed.deadline = RequestDeadline(request, Milliseconds(0), now);
  call->span.context = this->process->NewSpan(request.Header("traceparent"));
  call->span.name = "entry.request";
  call->span.start = now;
  call->request = request;
  return call;
}

HttpResponse EntryDuty::CallControl(const HttpRequest& request) {
  const TimePoint begin = BootClock::now();
  const TimePoint deadline = RequestDeadline(request, kControlTimeout, begin);
  Span span;
  span.context = this->process->NewSpan(request.Header("traceparent"));
  span.name = "entry.control";
  span.start = begin;
  HttpResponse response = this->control.Forward(request, deadline, this->loop);
  span.end = BootClock::now();
  span.status = response.status;
  this->process->spans().Write(span);
  return response;
}

// --- Loop's thread ---

void EntryDuty::Begin(std::unique_ptr<OpenCall> call) {
  const TimePoint now = BootClock::now();
  CallerRequest& routed = call->routed;
  routed.id = ++this->last_request;
  if (call->request.Header("Savoryring-Timeout-Ms").empty()) {
    routed.deadline =
        call->span.start + this->router.DefaultTimeout(routed.service);
  }
  call->answer_deadline = routed.deadline + kSettleTimeout;
  call->holder = {.entry = this->process->settings().id,
                  .entry_incarnation = this->process->incarnation(),
                  .counter = routed.id};
  const CallerRequest request = routed;
  this->calls[request.id] = std::move(call);
  this->router.OnRequest(request, now);
  this->RunRouterEffects(now);
}

void EntryDuty::OnMessage(const Received& message, TimePoint now) {
  this->heard_anyone = true;
  const EstateNews news = this->estate.OnMessage(message, now);
  if (news == EstateNews::kApplied)
    this->router.OnEstate(this->estate.cache().estate());
  switch (message.envelope.kind()) {
    case wire::ENDPOINT_ANNOUNCEMENT:
      this->OnAnnouncement(message, now);
      return;
    case wire::ATTEMPT_UPDATE:
      this->OnAttemptUpdate(message, now);
      return;
    case wire::ESTATE_UPDATE:
      if (!message.origin.address.empty())
        this->heard_controls.insert(message.origin.address);
      return;
    case wire::CONTROL_REPLY:
      this->control.OnReply(message, now);
      return;
    default:
      return;
  }
}

void EntryDuty::OnAnnouncement(const Received& message, TimePoint now) {
  wire::EndpointAnnouncement announcement;
  if (!announcement.ParseFromString(message.envelope.body()))
    return;
  const std::string& sender = message.envelope.sender();
  const std::size_t served_before = this->CountServed(sender, now);
  this->router.OnAnnouncement(sender, message.envelope.incarnation(),
                              announcement, now);
  const std::size_t served = this->CountServed(sender, now);
  if (served > served_before)
    LogEvent(Event::kEndpointAppeared, {{"endpoint", sender}});
  else if (served < served_before)
    LogEvent(Event::kEndpointLeft, {{"endpoint", sender}});
  // The answer shows the endpoint process that its connection works, and
  // brings it a newer estate where there is one.
  this->estate.Answer(message.origin, message.envelope.revision());
}

std::size_t EntryDuty::CountServed(const std::string& endpoint,
                                   TimePoint now) const {
  const EndpointRecord* record = this->router.directory().Find(endpoint);
  if (record == nullptr)
    return 0;
  return static_cast<std::size_t>(std::ranges::count_if(
      record->services,
      [&](const auto& item) { return record->Serves(item.first, now); }));
}

void EntryDuty::OnAttemptUpdate(const Received& message, TimePoint now) {
  wire::AttemptUpdate update;
  if (!update.ParseFromString(message.envelope.body()))
    return;
  AttemptStatus news{.key = AttemptKeyOf(update.id()),
                     .state = update.state(),
                     .code = static_cast<ResultCode>(update.result_code())};
  const bool damaged = update.state() == wire::ATTEMPT_ANSWERED &&
                       Checksum(update.body()) != update.body_checksum();
  if (damaged) {
    news.state = wire::ATTEMPT_FAILED;
    news.code = ResultCode::kDamagedMessage;
  }
  this->current_update = &update;
  this->router.OnAttemptStatus(news, now);
  this->RunRouterEffects(now);
  this->current_update = nullptr;
}

void EntryDuty::OnTick(TimePoint now) {
  this->router.OnTick(now);
  this->RunRouterEffects(now);
  this->control.OnTick(now);
  this->ready = this->ready || this->HasHeardMajority() ||
                (now >= this->serve_deadline && this->heard_anyone);
  if (now < this->heartbeat_deadline)
    return;
  this->heartbeat_deadline = now + this->process->settings().timing.heartbeat;
  wire::EntryHeartbeat heartbeat;
  heartbeat.set_link(this->process->settings().entry->link);
  for (const ControlPeer& peer : this->process->settings().controls) {
    this->link.Send(peer.link, wire::ENTRY_HEARTBEAT,
                    heartbeat.SerializeAsString());
  }
  Metrics& metrics = this->process->metrics();
  PublishLinkCounters("entry_link", this->link.counters(), metrics);
  metrics.SetGauge("entry_open_requests",
                   static_cast<double>(this->router.OpenRequests()));
  metrics.SetGauge("entry_retries",
                   static_cast<double>(this->router.retries()));
  metrics.SetGauge("entry_hedges", static_cast<double>(this->router.hedges()));
}

void EntryDuty::OnBatchEnd(TimePoint) {
  this->control.RunEffects();
}

void EntryDuty::RunRouterEffects(TimePoint now) {
  for (const RouterEffect& effect : this->router.TakeEffects()) {
    if (const auto* send = std::get_if<SendAttempt>(&effect)) {
      this->Send(*send, now);
    } else if (const auto* bar = std::get_if<SendRevocation>(&effect)) {
      wire::Bar message;
      FillAttemptId(bar->key, message.mutable_id());
      message.set_endpoint_incarnation(bar->endpoint_incarnation);
      this->link.Send(bar->link, wire::BAR, message.SerializeAsString());
    } else if (const auto* replace = std::get_if<ReplaceConnection>(&effect)) {
      LogEvent(Event::kConnectionReplaced, {{"link", replace->link}});
      this->link.ReplaceConnection(replace->link);
    } else if (const auto* ask = std::get_if<RequestClaim>(&effect)) {
      this->Ask(*ask, now);
    } else if (const auto* settle = std::get_if<SettleClaim>(&effect)) {
      this->Settle(*settle, now);
    } else if (const auto* pass = std::get_if<ForwardAnswer>(&effect)) {
      this->Answer(pass->request, ToResponse(*this->current_update));
    } else if (const auto* recorded =
                   std::get_if<ForwardRecordedAnswer>(&effect)) {
      HttpResponse response;
      response.status = static_cast<int>(this->current_claim.status());
      response.headers = UnpackHeaders(this->current_claim);
      response.body = this->current_claim.body();
      this->Answer(recorded->request, std::move(response));
    } else if (const auto* result = std::get_if<AnswerWithCode>(&effect)) {
      this->Answer(result->request, MakeResultResponse(result->code, ""));
    } else {
      const auto& ejected = std::get<EndpointEjected>(effect);
      LogEvent(Event::kEndpointEjected, {{"endpoint", ejected.endpoint}});
    }
  }
}

void EntryDuty::Send(const SendAttempt& effect, TimePoint now) {
  OpenCall& call = *this->calls.at(effect.request);
  call.attempts += 1;
  if (call.attempts > 1) {
    LogEvent(Event::kAttemptRetried,
             {{"service", call.routed.service},
              {"attempt", std::to_string(call.attempts)},
              {"trace", call.span.context.trace_id}});
  }
  wire::Attempt attempt;
  FillAttemptId(effect.key, attempt.mutable_id());
  attempt.set_oldest_open(effect.oldest_open);
  attempt.set_endpoint_incarnation(effect.endpoint_incarnation);
  attempt.set_service(call.routed.service);
  attempt.set_method(call.request.method);
  attempt.set_path(call.path);
  PackHeaders(call.request.headers, &attempt);
  attempt.set_body(call.request.body);
  attempt.set_body_checksum(Checksum(call.request.body));
  attempt.set_remaining_ms(
      static_cast<std::uint32_t>(RemainingTime(now, effect.deadline).count()));
  attempt.set_traceparent(call.span.context.Traceparent());
  this->link.Send(effect.link, wire::ATTEMPT, attempt.SerializeAsString());
}

wire::ClaimRecord EntryDuty::ClaimOf(const OpenCall& call) const {
  wire::ClaimRecord claim;
  claim.set_key(call.routed.service + "/" + call.routed.key);
  FillAttemptId(call.holder, claim.mutable_holder());
  claim.set_request_checksum(Checksum(call.request.method + " " + call.path +
                                      "\n" + call.request.body));
  return claim;
}

void EntryDuty::Ask(const RequestClaim& effect, TimePoint now) {
  const OpenCall& call = *this->calls.at(effect.request);
  const std::uint64_t request = effect.request;
  const auto deliver = [this, request](const wire::ControlReply& reply) {
    wire::ClaimRecord claim;
    const bool known =
        reply.result_code() == 0 && claim.ParseFromString(reply.body());
    this->current_claim = claim;
    const TimePoint heard = BootClock::now();
    this->router.OnClaim(request, known ? claim.state() : wire::CLAIM_UNKNOWN,
                         heard);
    this->RunRouterEffects(heard);
  };
  this->SendClaimCall("CLAIM", this->ClaimOf(call), call.routed.deadline, now,
                      deliver);
}

// The outcome is recorded before the caller gets it, so that a resend of the
// request finds it even when this entry is gone.
void EntryDuty::Settle(const SettleClaim& effect, TimePoint now) {
  const std::uint64_t request = effect.request;
  const OpenCall& call = *this->calls.at(request);
  wire::ClaimRecord claim = this->ClaimOf(call);
  claim.set_state(effect.state);
  if (effect.state == wire::CLAIM_DONE && this->current_update != nullptr) {
    claim.set_status(this->current_update->status());
    *claim.mutable_headers() = this->current_update->headers();
    claim.set_body(this->current_update->body());
  }
  this->settling[request] = {};
  const auto deliver = [this, request](const wire::ControlReply&) {
    const auto waiting = this->settling.find(request);
    if (waiting == this->settling.end())
      return;
    HttpResponse response = std::move(waiting->second);
    this->settling.erase(waiting);
    this->Finish(request, std::move(response));
  };
  this->SendClaimCall("SETTLE", claim, now + kSettleTimeout, now, deliver);
}

void EntryDuty::SendClaimCall(const std::string& method,
                              const wire::ClaimRecord& claim,
                              TimePoint deadline,
                              TimePoint now,
                              ControlCaller::Function function) {
  wire::ControlCall call;
  call.set_method(method);
  call.set_path("/claims");
  call.set_body(claim.SerializeAsString());
  this->control.Call(std::move(call), deadline, now, std::move(function));
}

void EntryDuty::Answer(std::uint64_t request, HttpResponse response) {
  const auto waiting = this->settling.find(request);
  if (waiting != this->settling.end())
    waiting->second = std::move(response);
  else
    this->Finish(request, std::move(response));
}

void EntryDuty::Finish(std::uint64_t request, HttpResponse response) {
  const auto found = this->calls.find(request);
  if (found == this->calls.end())
    return;
  OpenCall& call = *found->second;
  call.span.end = BootClock::now();
  call.span.status = response.status;
  this->process->spans().Write(call.span);
  response.headers.push_back(
      {.name = "traceparent", .value = call.span.context.Traceparent()});
  const std::string not_run = response.Header("Savoryring-Not-Run");
  if (not_run.empty()) {
    LogEvent(Event::kRequestAnswered,
             {{"service", call.routed.service},
              {"status", std::to_string(response.status)},
              {"trace", call.span.context.trace_id}});
  } else {
    const Event event =
        not_run == "true" ? Event::kRequestRefused : Event::kOutcomeUnknown;
    LogEvent(event, {{"service", call.routed.service},
                     {"result", response.Header("Savoryring-Result")},
                     {"trace", call.span.context.trace_id}});
  }
  call.answer.set_value(std::move(response));
  this->calls.erase(found);
}

bool EntryDuty::HasHeardMajority() const {
  const std::size_t count = this->process->settings().controls.size();
  std::size_t heard = 0;
  for (const ControlPeer& peer : this->process->settings().controls)
    heard += this->heard_controls.count(peer.link);
  return heard > count / 2;
}

}  // namespace savoryring
