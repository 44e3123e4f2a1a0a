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
// A starting entry waits at most this long for a majority of the control group.
constexpr Milliseconds kMajorityTimeout{3000};
// Maximum time that an answer is held back until its claim is settled.
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

HttpResponse ToHttpResponse(const wire::AttemptUpdate& update) {
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
      control_caller(this->link, {.links = ControlLinksOf(process.settings())}),
      majority_deadline(BootClock::now() + kMajorityTimeout),
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
      [this](const HttpRequest& request, const HttpResponder& respond) {
        this->OnHttp(request, respond);
      });
}

void EntryDuty::Leave() {
  this->leaving = true;
  this->server->Leave();
  this->loop.Post([this] {
    const TimePoint latest = this->process->drain().AnswerDeadline(kNever);
    this->control_caller.LimitDeadlines(latest);
    this->router.LimitDeadlines(latest - kSettleTimeout);
  });
}

bool EntryDuty::IsIdle() {
  if (!this->server->IsIdle())
    return false;
  const auto idle =
      this->loop.Call<bool>([this] { return this->open_requests.empty(); },
                            BootClock::now() + Milliseconds(200));
  return idle.value_or(false);
}

void EntryDuty::Stop() {
  this->server.reset();
  this->loop.Stop();
}

// --- HTTP threads ---

void EntryDuty::OnHttp(const HttpRequest& request,
                       const HttpResponder& respond) {
  const bool is_ready = this->ready && !this->leaving;
  if (auto common = AnswerCommonPath(request, *this->process, is_ready)) {
    respond(std::move(*common));
    return;
  }
  const bool is_service_call = request.path.starts_with(kServicesPrefix);
  const bool known = is_service_call || request.path.starts_with("/tasks") ||
                     request.path.starts_with("/jobs") ||
                     request.path.starts_with("/estate") ||
                     request.path.starts_with("/workers") ||
                     request.path.starts_with("/zones") ||
                     request.path == "/status";
  if (!known)
    respond(MakeResultResponse(ResultCode::kNotFound, request.path));
  else if (!this->process->drain().AcceptsCall(BootClock::now()))
    respond(MakeResultResponse(ResultCode::kNotReady, ""));
  else if (is_service_call)
    this->CallService(request, respond);
  else
    this->CallControl(request, respond);
}

void EntryDuty::CallService(const HttpRequest& request,
                            const HttpResponder& respond) {
  if (!this->ready) {
    respond(MakeResultResponse(ResultCode::kNotReady, ""));
    return;
  }
  std::unique_ptr<OpenRequest> open =
      this->ParseRequest(request, BootClock::now());
  open->respond = respond;
  // A std::function must be copyable, so the request is held by a shared
  // pointer.
  auto shared = std::make_shared<std::unique_ptr<OpenRequest>>(std::move(open));
  this->loop.Post([this, shared] { this->StartRequest(std::move(*shared)); });
}

std::unique_ptr<EntryDuty::OpenRequest> EntryDuty::ParseRequest(
    const HttpRequest& request,
    TimePoint now) {
  auto open = std::make_unique<OpenRequest>();
  const std::string rest = request.path.substr(kServicesPrefix.size());
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  open->routed.service = rest.substr(0, slash);
  open->path = slash == rest.size() ? "/" : rest.substr(slash);
  if (!request.query.empty())
    open->path += "?" + request.query;
  open->routed.repeatable = IsRepeatable(request);
  open->routed.key = request.Header("Idempotency-Key");
  // For a request without a timeout of its own, StartRequest sets the service's
  // default on the loop thread, which has the estate.
  open->routed.deadline = RequestDeadline(request, Milliseconds(0), now);
  open->span.context = this->process->NewSpan(request.Header("traceparent"));
  open->span.name = "entry.request";
  open->span.start = now;
  open->request = request;
  return open;
}

void EntryDuty::CallControl(const HttpRequest& request,
                            const HttpResponder& respond) {
  const TimePoint begin = BootClock::now();
  const TimePoint deadline = RequestDeadline(request, kControlTimeout, begin);
  Span span;
  span.context = this->process->NewSpan(request.Header("traceparent"));
  span.name = "entry.control";
  span.start = begin;
  this->control_caller.Forward(
      request, deadline, this->loop,
      [this, span, respond](HttpResponse response) mutable {
        span.end = BootClock::now();
        span.status = response.status;
        this->process->spans().Write(span);
        respond(std::move(response));
      });
}

// --- Loop thread ---

void EntryDuty::StartRequest(std::unique_ptr<OpenRequest> open) {
  const TimePoint now = BootClock::now();
  CallerRequest& routed = open->routed;
  routed.id = ++this->last_request;
  if (open->request.Header("Savoryring-Timeout-Ms").empty()) {
    routed.deadline =
        open->span.start + this->router.DefaultTimeout(routed.service);
  }
  open->answer_deadline = routed.deadline + kSettleTimeout;
  open->claim_holder = {.entry = this->process->settings().id,
                        .entry_incarnation = this->process->incarnation(),
                        .counter = routed.id};
  const CallerRequest request = routed;
  this->open_requests[request.id] = std::move(open);
  this->router.OnRequest(request, now);
  this->RunRouterEffects(now);
}

void EntryDuty::OnMessage(const Received& message, TimePoint now) {
  this->received_any_message = true;
  const EstateMessageResult result = this->estate.OnMessage(message, now);
  if (result == EstateMessageResult::kApplied)
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
        this->answering_controls.insert(message.origin.address);
      return;
    case wire::CONTROL_REPLY:
      this->control_caller.OnReply(message, now);
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
  const std::size_t services_before = this->CountServices(sender, now);
  this->router.OnAnnouncement(sender, message.envelope.incarnation(),
                              announcement, now);
  const std::size_t services = this->CountServices(sender, now);
  if (services > services_before)
    LogEvent(Event::kEndpointAppeared, {{"endpoint", sender}});
  else if (services < services_before)
    LogEvent(Event::kEndpointLeft, {{"endpoint", sender}});
  // The reply shows the endpoint process that its connection works, and updates
  // its estate if it is behind.
  this->estate.SendChanges(message.origin, message.envelope.revision());
}

std::size_t EntryDuty::CountServices(const std::string& endpoint,
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
  AttemptStatus status{.key = AttemptKeyOf(update.id()),
                       .state = update.state(),
                       .code = static_cast<ResultCode>(update.result_code())};
  const bool damaged = update.state() == wire::ATTEMPT_ANSWERED &&
                       Checksum(update.body()) != update.body_checksum();
  if (damaged) {
    status.state = wire::ATTEMPT_FAILED;
    status.code = ResultCode::kDamagedMessage;
  }
  this->current_update = &update;
  this->router.OnAttemptStatus(status, now);
  this->RunRouterEffects(now);
  this->current_update = nullptr;
}

void EntryDuty::OnTick(TimePoint now) {
  this->router.OnTick(now);
  this->RunRouterEffects(now);
  this->control_caller.OnTick(now);
  this->ready = this->ready || this->HasHeardFromMajority() ||
                (now >= this->majority_deadline && this->received_any_message);
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
  this->control_caller.RunEffects();
}

void EntryDuty::RunRouterEffects(TimePoint now) {
  for (const RouterEffect& effect : this->router.TakeEffects()) {
    if (const auto* send = std::get_if<SendAttempt>(&effect)) {
      this->SendToEndpoint(*send, now);
    } else if (const auto* revoke = std::get_if<SendRevocation>(&effect)) {
      wire::Bar message;
      FillAttemptId(revoke->key, message.mutable_id());
      message.set_endpoint_incarnation(revoke->endpoint_incarnation);
      this->link.Send(revoke->link, wire::BAR, message.SerializeAsString());
    } else if (const auto* replace = std::get_if<ReplaceConnection>(&effect)) {
      LogEvent(Event::kConnectionReplaced, {{"link", replace->link}});
      this->link.ReplaceConnection(replace->link);
    } else if (const auto* claim = std::get_if<RequestClaim>(&effect)) {
      this->AcquireClaim(*claim, now);
    } else if (const auto* settle = std::get_if<SettleClaim>(&effect)) {
      this->RecordClaimOutcome(*settle, now);
    } else if (const auto* forward = std::get_if<ForwardAnswer>(&effect)) {
      this->AnswerCaller(forward->request,
                         ToHttpResponse(*this->current_update));
    } else if (const auto* recorded =
                   std::get_if<ForwardRecordedAnswer>(&effect)) {
      HttpResponse response;
      response.status = static_cast<int>(this->current_claim.status());
      response.headers = UnpackHeaders(this->current_claim);
      response.body = this->current_claim.body();
      this->AnswerCaller(recorded->request, std::move(response));
    } else if (const auto* result = std::get_if<AnswerWithCode>(&effect)) {
      this->AnswerCaller(result->request, MakeResultResponse(result->code, ""));
    } else {
      const auto& ejected = std::get<EndpointEjected>(effect);
      LogEvent(Event::kEndpointEjected, {{"endpoint", ejected.endpoint}});
    }
  }
}

void EntryDuty::SendToEndpoint(const SendAttempt& effect, TimePoint now) {
  OpenRequest& open = *this->open_requests.at(effect.request);
  open.attempts += 1;
  if (open.attempts > 1) {
    LogEvent(Event::kAttemptRetried,
             {{"service", open.routed.service},
              {"attempt", std::to_string(open.attempts)},
              {"trace", open.span.context.trace_id}});
  }
  wire::Attempt attempt;
  FillAttemptId(effect.key, attempt.mutable_id());
  attempt.set_oldest_open(effect.oldest_open);
  attempt.set_endpoint_incarnation(effect.endpoint_incarnation);
  attempt.set_service(open.routed.service);
  attempt.set_method(open.request.method);
  attempt.set_path(open.path);
  PackHeaders(open.request.headers, &attempt);
  attempt.set_body(open.request.body);
  attempt.set_body_checksum(Checksum(open.request.body));
  attempt.set_remaining_ms(
      static_cast<std::uint32_t>(RemainingTime(now, effect.deadline).count()));
  attempt.set_traceparent(open.span.context.Traceparent());
  this->link.Send(effect.link, wire::ATTEMPT, attempt.SerializeAsString());
}

wire::ClaimRecord EntryDuty::MakeClaim(const OpenRequest& open) const {
  wire::ClaimRecord claim;
  claim.set_key(open.routed.service + "/" + open.routed.key);
  FillAttemptId(open.claim_holder, claim.mutable_holder());
  claim.set_request_checksum(Checksum(open.request.method + " " + open.path +
                                      "\n" + open.request.body));
  return claim;
}

void EntryDuty::AcquireClaim(const RequestClaim& effect, TimePoint now) {
  const OpenRequest& open = *this->open_requests.at(effect.request);
  const std::uint64_t request = effect.request;
  const auto deliver = [this, request](const wire::ControlReply& reply) {
    wire::ClaimRecord claim;
    const bool known =
        reply.result_code() == 0 && claim.ParseFromString(reply.body());
    this->current_claim = claim;
    const TimePoint received = BootClock::now();
    this->router.OnClaim(request, known ? claim.state() : wire::CLAIM_UNKNOWN,
                         received);
    this->RunRouterEffects(received);
  };
  this->SendClaimCall("CLAIM", this->MakeClaim(open), open.routed.deadline, now,
                      deliver);
}

// The outcome is recorded before the caller is answered, so that a caller that
// repeats the request gets the recorded outcome even if this entry is gone.
void EntryDuty::RecordClaimOutcome(const SettleClaim& effect, TimePoint now) {
  const std::uint64_t request = effect.request;
  const OpenRequest& open = *this->open_requests.at(request);
  wire::ClaimRecord claim = this->MakeClaim(open);
  claim.set_state(effect.state);
  if (effect.state == wire::CLAIM_DONE && this->current_update != nullptr) {
    claim.set_status(this->current_update->status());
    *claim.mutable_headers() = this->current_update->headers();
    claim.set_body(this->current_update->body());
  }
  this->held_answers[request] = {};
  const auto deliver = [this, request](const wire::ControlReply&) {
    const auto waiting = this->held_answers.find(request);
    if (waiting == this->held_answers.end())
      return;
    HttpResponse response = std::move(waiting->second);
    this->held_answers.erase(waiting);
    this->FinishRequest(request, std::move(response));
  };
  this->SendClaimCall("SETTLE", claim, now + kSettleTimeout, now, deliver);
}

void EntryDuty::SendClaimCall(const std::string& method,
                              const wire::ClaimRecord& claim,
                              TimePoint deadline,
                              TimePoint now,
                              ControlCaller::ReplyCallback callback) {
  wire::ControlCall call;
  call.set_method(method);
  call.set_path("/claims");
  call.set_body(claim.SerializeAsString());
  this->control_caller.Call(std::move(call), deadline, now,
                            std::move(callback));
}

void EntryDuty::AnswerCaller(std::uint64_t request, HttpResponse response) {
  const auto waiting = this->held_answers.find(request);
  if (waiting != this->held_answers.end())
    waiting->second = std::move(response);
  else
    this->FinishRequest(request, std::move(response));
}

void EntryDuty::FinishRequest(std::uint64_t request, HttpResponse response) {
  const auto found = this->open_requests.find(request);
  if (found == this->open_requests.end())
    return;
  OpenRequest& open = *found->second;
  open.span.end = BootClock::now();
  open.span.status = response.status;
  this->process->spans().Write(open.span);
  response.headers.push_back(
      {.name = "traceparent", .value = open.span.context.Traceparent()});
  const std::string not_run = response.Header("Savoryring-Not-Run");
  if (not_run.empty()) {
    LogEvent(Event::kRequestAnswered,
             {{"service", open.routed.service},
              {"status", std::to_string(response.status)},
              {"trace", open.span.context.trace_id}});
  } else {
    const Event event =
        not_run == "true" ? Event::kRequestRefused : Event::kOutcomeUnknown;
    LogEvent(event, {{"service", open.routed.service},
                     {"result", response.Header("Savoryring-Result")},
                     {"trace", open.span.context.trace_id}});
  }
  Metrics& metrics = this->process->metrics();
  metrics.RecordLatency("entry_request", open.span.end - open.span.start);
  metrics.Count("entry_requests");
  if (!response.Header("Savoryring-Result").empty())
    metrics.Count("entry_own_answers");
  open.respond(std::move(response));
  this->open_requests.erase(found);
}

bool EntryDuty::HasHeardFromMajority() const {
  const std::size_t count = this->process->settings().controls.size();
  std::size_t answering = 0;
  for (const ControlPeer& peer : this->process->settings().controls)
    answering += this->answering_controls.count(peer.link);
  return answering > count / 2;
}

}  // namespace savoryring
