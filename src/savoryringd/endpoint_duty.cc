#include "savoryringd/endpoint_duty.h"

#include <algorithm>
#include <utility>

#include "libbase/checksum.h"
#include "libbase/events.h"
#include "libbase/json_checker.h"
#include "libbase/parsing_turn.h"
#include "savoryringd/http_forward.h"

namespace savoryring {
namespace {

constexpr std::size_t kEndpointThreads = 64;
constexpr std::size_t kWorkerThreads = 4;
constexpr Milliseconds kPollInterval{250};
constexpr Milliseconds kUsageInterval{1000};
// A local endpoint that has not announced itself for this long counts as
// leaving.
constexpr Milliseconds kLocalEndpointValidity{3000};
// An announcement to the entries is valid for this many heartbeat intervals.
constexpr int kAnnouncementValidityHeartbeats = 4;
// The connection to a peer that does not answer within this many heartbeat
// intervals is replaced.
constexpr int kPeerTimeoutHeartbeats = 2;
constexpr std::uint64_t kMaxSlots = 4096;

std::string EncodeUpdate(const AttemptKey& key,
                         wire::AttemptState state,
                         ResultCode code,
                         wire::AttemptUpdate update) {
  FillAttemptId(key, update.mutable_id());
  update.set_state(state);
  update.set_result_code(static_cast<std::uint32_t>(NumberOf(code)));
  return update.SerializeAsString();
}

// Calls the endpoint. Returns nullopt unless a complete response arrived.
std::optional<HttpResponse> CallEndpoint(const std::string& url,
                                         const HttpRequest& request,
                                         TimePoint deadline) {
  try {
    return SendHttp(url, request, RemainingTime(BootClock::now(), deadline));
  } catch (const Error&) {
    return std::nullopt;
  }
}

}  // namespace

EndpointDuty::EndpointDuty(Process& process, std::unique_ptr<Worker> worker)
    : process(&process),
      worker(std::move(worker)),
      link({.bind_address = process.settings().endpoint->address.link,
            .sender = process.settings().id,
            .incarnation = process.incarnation()}),
      admission({.incarnation = process.incarnation(),
                 .queue_per_slot = process.settings().limits.queue_per_slot}),
      runner({.incarnation = process.incarnation(),
              .lease = process.settings().timing.worker_lease},
             BootClock::now()),
      estate(this->link),
      liveness(process.settings().timing.heartbeat * kPeerTimeoutHeartbeats),
      endpoint_pool(kEndpointThreads),
      worker_pool(kWorkerThreads),
      loop(this->link, *this) {
  if (this->worker == nullptr)
    this->worker_size = WorkerSize{};
}

EndpointDuty::~EndpointDuty() {
  this->EndpointDuty::Stop();
}

void EndpointDuty::Start() {
  this->loop.Start();
  this->server = std::make_unique<HttpServer>(
      HttpServerOptions{.address =
                            this->process->settings().endpoint->address.http},
      [this](const HttpRequest& request) { return this->OnHttp(request); });
}

void EndpointDuty::Leave() {
  this->leaving = true;
  this->server->Leave();
  this->loop.Post([this] {
    const TimePoint now = BootClock::now();
    this->admission.Leave(now);
    this->RunAdmissionEffects(now);
    this->Announce(now);
    this->SendHeartbeat(now);
  });
}

bool EndpointDuty::IsIdle() {
  if (!this->server->IsIdle())
    return false;
  const auto idle = this->loop.Call<bool>(
      [this] {
        const bool no_leased_tasks = !this->runner.HasRunning() ||
                                     !this->runner.HasLease(BootClock::now());
        return this->admission.IsIdle() && no_leased_tasks;
      },
      BootClock::now() + Milliseconds(200));
  return idle.value_or(false);
}

void EndpointDuty::Stop() {
  this->server.reset();
  this->loop.Stop();
}

// --- HTTP threads ---

HttpResponse EndpointDuty::OnHttp(const HttpRequest& request) {
  const bool is_ready = this->ready && !this->leaving;
  if (auto common = AnswerCommonPath(request, *this->process, is_ready))
    return *common;
  if (request.path != "/endpoint")
    return MakeResultResponse(ResultCode::kNotFound, request.path);
  if (request.method != "PUT")
    return MakeResultResponse(ResultCode::kWrongMethod, request.method);
  const LocalEndpoint endpoint = this->ParseEndpoint(request, BootClock::now());
  this->loop.Post([this, endpoint] {
    const TimePoint now = BootClock::now();
    const LocalEndpoint* known = this->admission.FindEndpoint(endpoint.service);
    const bool changed =
        known == nullptr || known->serving != endpoint.serving ||
        known->slots != endpoint.slots || now >= known->valid_until;
    this->admission.OnLocalEndpoint(endpoint, now);
    this->RunAdmissionEffects(now);
    if (changed)
      this->Announce(now);
  });
  return MakeJsonResponse(200, "{\"accepted\":true}\n");
}

LocalEndpoint EndpointDuty::ParseEndpoint(const HttpRequest& request,
                                          TimePoint now) const {
  const ParsingTurn turn(request.body);
  const nlohmann::json document = ParseJson(request.body);
  ProblemList problems;
  const ObjectView view(document, "", problems);
  view.AllowKeys({"service", "url", "slots", "connections", "state"});
  LocalEndpoint endpoint;
  endpoint.service = view.String("service", true);
  endpoint.url = view.String("url", true);
  endpoint.slots = static_cast<std::uint32_t>(
      view.Integer("slots", 1, {.min = 1, .max = kMaxSlots}));
  endpoint.connections = static_cast<std::uint32_t>(view.Integer(
      "connections", endpoint.slots, {.min = 1, .max = kMaxSlots}));
  const std::string state = view.String("state", true);
  if (state != "serving" && state != "leaving") {
    view.Report(ResultCode::kOutOfRange, "state", "must be serving or leaving");
  }
  problems.ThrowIfAny();
  endpoint.serving = state == "serving";
  endpoint.valid_until = now + kLocalEndpointValidity;
  return endpoint;
}

// --- Loop thread ---

void EndpointDuty::OnMessage(const Received& message, TimePoint now) {
  if (!message.origin.address.empty())
    this->liveness.OnAnswer(message.origin.address);
  this->estate.OnMessage(message, now);
  switch (message.envelope.kind()) {
    case wire::ATTEMPT:
      this->OnAttempt(message, now);
      return;
    case wire::BAR:
      this->OnRevocation(message, now);
      return;
    case wire::WORKER_ORDERS:
      this->OnOrders(message, now);
      return;
    default:
      return;
  }
}

void EndpointDuty::OnAttempt(const Received& message, TimePoint now) {
  wire::Attempt attempt;
  if (!attempt.ParseFromString(message.envelope.body()) ||
      Checksum(attempt.body()) != attempt.body_checksum())
    return;
  const AttemptKey key = AttemptKeyOf(attempt.id());
  const AttemptArrival arrival{
      .key = key,
      .oldest_open = attempt.oldest_open(),
      .endpoint_incarnation = attempt.endpoint_incarnation(),
      .service = attempt.service(),
      .deadline = now + Milliseconds(attempt.remaining_ms())};
  AttemptData data;
  data.origin = message.origin;
  data.arrival_time = now;
  data.deadline = arrival.deadline;
  data.span.context = this->process->NewSpan(attempt.traceparent());
  data.span.name = "endpoint.admission";
  data.span.start = now;
  data.attempt = std::move(attempt);
  const auto [stored, added] = this->attempts.try_emplace(key, std::move(data));
  if (!added)
    stored->second.origin = message.origin;
  this->message_origins[key] = message.origin;
  this->admission.OnAttempt(arrival, now);
  this->RunAdmissionEffects(now);
}

void EndpointDuty::OnRevocation(const Received& message, TimePoint now) {
  wire::Bar revocation;
  if (!revocation.ParseFromString(message.envelope.body()))
    return;
  const AttemptKey key = AttemptKeyOf(revocation.id());
  this->message_origins[key] = message.origin;
  const auto stored = this->attempts.find(key);
  if (stored != this->attempts.end())
    stored->second.origin = message.origin;
  this->admission.OnRevocation(key, revocation.endpoint_incarnation(), now);
  this->RunAdmissionEffects(now);
}

void EndpointDuty::RunAdmissionEffects(TimePoint now) {
  for (const AdmissionEffect& effect : this->admission.TakeEffects()) {
    if (const auto* run = std::get_if<RunAttempt>(&effect))
      this->StartRun(run->key, now);
    else if (const auto* report = std::get_if<ReportAttempt>(&effect))
      this->SendAttemptUpdate(*report);
    else
      this->attempts.erase(std::get<DiscardAttempt>(effect).key);
  }
  this->message_origins.clear();
}

void EndpointDuty::StartRun(const AttemptKey& key, TimePoint now) {
  const AttemptData& data = this->attempts.at(key);
  const LocalEndpoint* endpoint =
      this->admission.FindEndpoint(data.attempt.service());
  HttpRequest request;
  request.method = data.attempt.method();
  request.path = data.attempt.path();
  request.headers = UnpackHeaders(data.attempt);
  request.headers.push_back(
      {.name = "Savoryring-Attempt", .value = ToString(key)});
  Span span;
  span.context = this->process->NewSpan(data.span.context.Traceparent());
  span.name = "endpoint.call";
  span.start = now;
  request.headers.push_back(
      {.name = "traceparent", .value = span.context.Traceparent()});
  request.body = data.attempt.body();
  const std::string url = endpoint->url;
  const TimePoint deadline = data.deadline;
  this->endpoint_pool.Run([this, key, url, request, deadline, span]() mutable {
    const auto response = CallEndpoint(url, request, deadline);
    span.end = BootClock::now();
    span.status = response ? response->status : 0;
    this->process->spans().Write(span);
    this->process->metrics().RecordLatency("endpoint_call",
                                           span.end - span.start);
    this->loop.Post([this, key, response] { this->FinishRun(key, response); });
  });
}

void EndpointDuty::FinishRun(const AttemptKey& key,
                             const std::optional<HttpResponse>& response) {
  const TimePoint now = BootClock::now();
  const auto found = this->attempts.find(key);
  if (found != this->attempts.end()) {
    AttemptData& data = found->second;
    if (response) {
      data.answer.set_status(static_cast<std::uint32_t>(response->status));
      PackHeaders(response->headers, &data.answer);
      data.answer.set_body(response->body);
      data.answer.set_body_checksum(Checksum(response->body));
    }
    this->latencies.Record(data.attempt.service(), now - data.arrival_time);
    data.span.end = now;
    data.span.status = response ? response->status : 0;
    this->process->spans().Write(data.span);
  }
  this->admission.OnRunEnded(key, response.has_value(), now);
  this->RunAdmissionEffects(now);
}

void EndpointDuty::SendAttemptUpdate(const ReportAttempt& effect) {
  const auto stored = this->attempts.find(effect.key);
  const auto recent = this->message_origins.find(effect.key);
  const bool known = stored != this->attempts.end();
  if (!known && recent == this->message_origins.end())
    return;
  const Origin& origin = known ? stored->second.origin : recent->second;
  const bool answered = effect.state == wire::ATTEMPT_ANSWERED && known;
  const wire::AttemptUpdate update =
      answered ? stored->second.answer : wire::AttemptUpdate();
  this->link.Reply(origin, wire::ATTEMPT_UPDATE,
                   EncodeUpdate(effect.key, effect.state, effect.code, update));
}

void EndpointDuty::OnOrders(const Received& message, TimePoint now) {
  wire::WorkerOrders orders;
  if (!orders.ParseFromString(message.envelope.body()))
    return;
  const auto& controls = this->process->settings().controls;
  const auto hinted =
      std::ranges::find(controls, orders.leader_link(), &ControlPeer::link);
  if (hinted != controls.end()) {
    const auto index =
        static_cast<std::size_t>(std::distance(controls.begin(), hinted));
    const bool moved = index != this->control_index;
    this->control_index = index;
    if (moved)
      this->SendHeartbeat(now);
    return;
  }
  const bool from_leader = orders.version() > 0 || orders.lease_ms() > 0;
  if (!from_leader &&
      message.origin.address == controls[this->control_index].link) {
    this->control_index = (this->control_index + 1) % controls.size();
    return;
  }
  this->ready = true;
  this->runner.OnOrders(orders, now);
  this->RunTaskEffects();
}

void EndpointDuty::OnTick(TimePoint now) {
  this->admission.OnTick(now);
  this->RunAdmissionEffects(now);
  this->runner.OnTick(now);
  this->RunTaskEffects();
  this->LogLeaseEnd(now);
  this->PollWorker(now);
  if (now >= this->announce_deadline)
    this->Announce(now);
  if (now >= this->heartbeat_deadline)
    this->SendHeartbeat(now);
  const auto& controls = this->process->settings().controls;
  for (const std::string& address : this->liveness.TakeUnresponsive(now)) {
    LogEvent(Event::kConnectionReplaced, {{"link", address}});
    this->link.ReplaceConnection(address);
    if (controls[this->control_index].link == address)
      this->control_index = (this->control_index + 1) % controls.size();
  }
}

void EndpointDuty::OnBatchEnd(TimePoint) {}

void EndpointDuty::RunTaskEffects() {
  for (const TaskRunnerEffect& effect : this->runner.TakeEffects()) {
    if (const auto* start = std::get_if<StartTask>(&effect)) {
      const StartTask copy = *start;
      const TaskRun run{.task = copy.order.task(), .epoch = copy.order.epoch()};
      LogEvent(Event::kTaskStarted,
               {{"task", run.task}, {"epoch", std::to_string(run.epoch)}});
      this->worker_pool.Run([this, copy, run] {
        const bool accepted = this->worker->Start(copy.order, copy.lease_end);
        this->loop.Post([this, run, accepted] {
          this->runner.OnStartResult(run, accepted, BootClock::now());
          this->SendHeartbeat(BootClock::now());
        });
      });
    } else if (const auto* renew = std::get_if<RenewLease>(&effect)) {
      const RenewLease copy = *renew;
      this->worker_pool.Run(
          [this, copy] { this->worker->Renew(copy.run, copy.lease_end); });
    } else if (const auto* stop = std::get_if<StopTask>(&effect)) {
      const TaskRun run = stop->run;
      this->worker_pool.Run([this, run] {
        const StopOutcome outcome = this->worker->CheckpointAndStop(run);
        this->loop.Post([this, run, outcome] {
          this->runner.OnStopResult(run, outcome.stopped, outcome.checkpoint,
                                    BootClock::now());
          this->poll_deadline = BootClock::now();
        });
      });
    } else {
      const auto copy = std::get<ThrottleRun>(effect);
      this->worker_pool.Run(
          [this, copy] { this->worker->Throttle(copy.run, copy.share); });
    }
  }
}

void EndpointDuty::Announce(TimePoint now) {
  const Milliseconds heartbeat = this->process->settings().timing.heartbeat;
  this->announce_deadline = now + heartbeat;
  wire::EndpointAnnouncement announcement;
  announcement.set_link(this->process->settings().endpoint->address.link);
  announcement.set_availability_zone(
      this->process->settings().availability_zone);
  announcement.set_sequence(++this->announcement_sequence);
  announcement.set_valid_ms(static_cast<std::uint32_t>(
      (heartbeat * kAnnouncementValidityHeartbeats).count()));
  for (const Admission::ServiceState& service : this->admission.Services(now)) {
    wire::ServiceAnnouncement* item = announcement.add_services();
    item->set_service(service.endpoint.service);
    item->set_slots(service.endpoint.slots);
    item->set_running(service.running);
    item->set_queued(service.queued);
    item->set_serving(service.serving);
  }
  const std::string body = announcement.SerializeAsString();
  for (const std::string& entry : this->process->settings().entries) {
    this->link.Send(entry, wire::ENDPOINT_ANNOUNCEMENT, body);
    this->liveness.OnSent(entry, now);
  }
  PublishLinkCounters("endpoint_link", this->link.counters(),
                      this->process->metrics());
}

void EndpointDuty::SendHeartbeat(TimePoint now) {
  if (!this->worker_size)
    return;  // The worker has not yet reported its size.
  this->heartbeat_deadline = now + this->process->settings().timing.heartbeat;
  wire::WorkerHeartbeat heartbeat;
  wire::WorkerDescription* description = heartbeat.mutable_worker();
  description->set_id(this->process->settings().id);
  description->set_rack(this->process->settings().rack);
  description->set_availability_zone(
      this->process->settings().availability_zone);
  description->set_processors(this->worker_size->processors);
  description->set_memory_mb(this->worker_size->memory_mb);
  description->set_accelerators(this->worker_size->accelerators);
  heartbeat.set_sent_boottime_ns(ToNanoseconds(now));
  heartbeat.set_orders_version(this->runner.orders_version());
  for (wire::TaskReport& report : this->runner.Reports())
    *heartbeat.add_reports() = std::move(report);
  for (const wire::TaskUsage& item : this->task_usage)
    *heartbeat.add_usage() = item;
  for (const Admission::ServiceState& service : this->admission.Services(now)) {
    if (service.serving)
      heartbeat.add_serving(service.endpoint.service);
  }
  for (wire::ServiceMeasurement& item : this->latencies.Take(now))
    *heartbeat.add_measurements() = std::move(item);
  heartbeat.set_leaving(this->leaving);
  const std::string& leader =
      this->process->settings().controls[this->control_index].link;
  this->link.Send(leader, wire::WORKER_HEARTBEAT,
                  heartbeat.SerializeAsString());
  this->liveness.OnSent(leader, now);
}

void EndpointDuty::PollWorker(TimePoint now) {
  if (this->worker == nullptr || this->poll_in_progress ||
      now < this->poll_deadline)
    return;
  this->poll_in_progress = true;
  this->poll_deadline = now + kPollInterval;
  const bool with_size = !this->worker_size.has_value();
  const bool with_usage = now >= this->usage_deadline;
  if (with_usage)
    this->usage_deadline = now + kUsageInterval;
  this->worker_pool.Run([this, with_size, with_usage, now] {
    const auto described = with_size ? this->worker->Describe() : std::nullopt;
    const auto tasks = this->worker->ListTasks();
    const auto used =
        with_usage ? this->worker->ListUsage() : std::vector<wire::TaskUsage>();
    this->loop.Post([this, described, tasks, used, with_usage, now] {
      this->poll_in_progress = false;
      if (described)
        this->worker_size = described;
      if (with_usage)
        this->task_usage = used;
      if (!tasks) {
        this->process->metrics().Count("endpoint_worker_unreachable");
        if (std::exchange(this->worker_reachable, false))
          LogEvent(Event::kWorkerUnreachable, {});
        return;
      }
      this->worker_reachable = true;
      const TimePoint received = BootClock::now();
      this->runner.OnWorkerTasks(*tasks, now, received);
      this->RunTaskEffects();
      if (this->runner.TakeRunEnded())
        this->SendHeartbeat(received);
    });
  });
}

void EndpointDuty::LogLeaseEnd(TimePoint now) {
  const bool has_lease = this->runner.HasLease(now);
  if (this->had_lease && !has_lease)
    LogEvent(Event::kLeaseEnded, {});
  this->had_lease = has_lease;
}

}  // namespace savoryring
