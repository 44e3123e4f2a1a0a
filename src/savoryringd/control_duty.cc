#include "savoryringd/control_duty.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <string_view>
#include <utility>

#include "libbase/events.h"
#include "libbase/paced_work.h"

namespace savoryring {
namespace {

constexpr Milliseconds kCallTimeout{5000};
constexpr Milliseconds kPublishInterval{500};
constexpr std::string_view kEstateSourcePath = "/estate/source";
// The connection to a replica that does not answer within this many heartbeat
// intervals is replaced.
constexpr int kPeerTimeoutHeartbeats = 4;
// Well below the heartbeat interval of the replicas.
constexpr Milliseconds kMaxFlushTime{30};

std::vector<std::string> PeerIds(const std::vector<ControlPeer>& controls) {
  std::vector<std::string> ids;
  for (const ControlPeer& peer : controls)
    ids.push_back(peer.id);
  return ids;
}

std::map<std::string, std::string> PeerLinksById(
    const std::vector<ControlPeer>& controls) {
  std::map<std::string, std::string> links;
  for (const ControlPeer& peer : controls)
    links[peer.id] = peer.link;
  return links;
}

JobSchedulerFeatures ToFeatures(const SchedulingSettings& settings) {
  return {.admission = settings.admission,
          .preemption = settings.preemption,
          .coupling_estimates = settings.coupling_estimates,
          .worker_speeds = settings.worker_speeds};
}

ControlOptions MakeOptions(const Settings& settings,
                           const MemberId& self,
                           std::uint64_t seed) {
  const bool uses_discovery = settings.discovery.has_value();
  return {
      .replica = {.self = self,
                  .configured_ids = uses_discovery ? ControlLinksOf(settings)
                                                   : PeerIds(settings.controls),
                  .heartbeat_interval = settings.timing.replica_heartbeat,
                  .election_timeout = settings.timing.election,
                  .seed = seed,
                  .may_form_group =
                      !uses_discovery || settings.discovery->bootstrap,
                  .open_membership = uses_discovery},
      .scheduler = {.watch = {.lease = settings.timing.worker_lease}},
      .jobs = {.lease = settings.timing.agent_lease,
               .max_open_tasks = settings.limits.job_tasks,
               .memory = {.limit_bytes = settings.limits.JobMemoryBytes()},
               .features = ToFeatures(settings.scheduling)},
      .snapshot_after_entries = settings.limits.snapshot_after_entries,
      .snapshot_after_bytes = settings.limits.snapshot_after_bytes,
      .max_job_tasks = settings.limits.job_tasks,
      .replica_links = PeerLinksById(settings.controls),
      .availability_zones = settings.availability_zones};
}

// With discovery no settings list the replica ids, so the link serves as the
// id.
std::string ReplicaId(const Settings& settings) {
  return settings.discovery ? settings.control->link : settings.id;
}

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void CountRefusal(const OperatorEvent& event, Metrics& metrics) {
  const auto queue =
      std::ranges::find(event.fields, std::string_view("queue"), &Field::name);
  if (event.event != Event::kJobRefused || queue == event.fields.end())
    return;
  std::string name = queue->value;
  std::ranges::replace_if(
      name, [](unsigned char c) { return std::isalnum(c) == 0; }, '_');
  metrics.Count("jobs_refused_" + name);
}

bool IsReply(const wire::ReplicaMessage& message) {
  return message.has_hello_reply() || message.has_vote_reply() ||
         message.has_append_reply();
}

}  // namespace

ControlDuty::ControlDuty(Process& process)
    : process(&process),
      store(process.settings().data_folder + "/control",
            ReplicaId(process.settings()),
            process.Random()),
      link({.bind_address = process.settings().control->link,
            .sender = process.settings().id,
            .incarnation = process.incarnation()}),
      core(
          MakeOptions(process.settings(), this->store.self(), process.Random()),
          this->store.TakeStored(),
          BootClock::now()),
      control_caller(this->link, {.links = ControlLinksOf(process.settings())}),
      liveness(process.settings().timing.replica_heartbeat *
               kPeerTimeoutHeartbeats),
      replica_links(PeerLinksById(process.settings().controls)),
      loop(this->link, *this) {
  this->PublishEstate();
  if (this->store.truncated_bytes() > 0) {
    LogEvent(Event::kTornTailCut,
             {{"bytes", std::to_string(this->store.truncated_bytes())}});
  }
}

ControlDuty::~ControlDuty() {
  this->ControlDuty::Stop();
}

void ControlDuty::Start() {
  this->loop.Start();
  if (this->process->settings().control->http.empty())
    return;
  this->server = std::make_unique<HttpServer>(
      HttpServerOptions{
          .address = this->process->settings().control->http,
          .body_limit_bytes = this->process->settings().limits.body_bytes * 64},
      [this](const HttpRequest& request, const HttpResponder& respond) {
        this->OnHttp(request, respond);
      });
}

void ControlDuty::Leave() {
  this->leaving = true;
  if (this->server)
    this->server->Leave();
  this->loop.Post([this] {
    this->control_caller.LimitDeadlines(
        this->process->drain().AnswerDeadline(kNever));
    this->core.TransferLeadership(BootClock::now());
  });
}

bool ControlDuty::IsIdle() {
  if (this->server && !this->server->IsIdle())
    return false;
  const auto idle =
      this->loop.Call<bool>([this] { return !this->core.HasOpenCalls(); },
                            BootClock::now() + Milliseconds(200));
  return idle.value_or(false);
}

void ControlDuty::Stop() {
  this->server.reset();
  this->loop.Stop();
}

void ControlDuty::OnHttp(const HttpRequest& request,
                         const HttpResponder& respond) {
  const bool is_ready = this->ready && !this->leaving;
  if (auto common = AnswerCommonPath(request, *this->process, is_ready)) {
    respond(std::move(*common));
    return;
  }
  this->Forward(request,
                RequestDeadline(request, kCallTimeout, BootClock::now()),
                respond);
}

void ControlDuty::Forward(const HttpRequest& request,
                          TimePoint deadline,
                          const HttpResponder& respond) {
  if (!this->process->drain().AcceptsCall(BootClock::now())) {
    respond(MakeResultResponse(ResultCode::kNotReady, ""));
    return;
  }
  const TimePoint limited = this->process->drain().AnswerDeadline(deadline);
  if (request.method == "GET" && request.path == kEstateSourcePath)
    this->AnswerEstateSource(request, limited, respond);
  else
    this->control_caller.Forward(request, limited, this->loop, respond);
}

// The document may be large: it is sent by the leader only if this process has
// not applied the revision that the leader names.
void ControlDuty::AnswerEstateSource(const HttpRequest& request,
                                     TimePoint deadline,
                                     const HttpResponder& respond) {
  wire::ControlCall ping;
  ping.set_method("PING");
  ping.set_read_only(true);
  this->control_caller.CallFromThread(
      std::move(ping), deadline, this->loop,
      [this, request, deadline, respond](const wire::ControlReply& reply) {
        const EstateState& estate = this->core.state().estate();
        const bool is_current = reply.status() == 200 &&
                                estate.revision() >= reply.estate_revision() &&
                                !estate.source().empty();
        if (is_current)
          respond(MakeJsonResponse(200, estate.source()));
        else
          this->control_caller.Forward(request, deadline, this->loop, respond);
      });
}

void ControlDuty::OnMessage(const Received& message, TimePoint now) {
  const wire::Envelope& envelope = message.envelope;
  const Origin& origin = message.origin;
  if (!origin.address.empty() && origin.channel == Channel::kMessages)
    this->liveness.OnAnswer(origin.address);
  switch (envelope.kind()) {
    case wire::REPLICA_MESSAGE:
      this->RecordRevision("control", envelope, now);
      this->OnReplicaMessage(message, now);
      return;
    case wire::WORKER_HEARTBEAT:
      this->RecordRevision("endpoint", envelope, now);
      this->OnHeartbeat(message, now);
      return;
    case wire::ENTRY_HEARTBEAT: {
      this->RecordRevision("entry", envelope, now);
      const auto update = this->core.state().estate().ChangesSince(
          envelope.revision(), {"services"});
      this->link.Reply(message.origin, wire::ESTATE_UPDATE,
                       update.SerializeAsString());
      return;
    }
    case wire::AGENT_REPORT:
      this->OnAgentReport(message, now);
      return;
    case wire::ESTATE_FETCH:
      this->OnEstateFetch(message);
      return;
    case wire::CONTROL_CALL:
      this->OnControlCall(message, now);
      return;
    case wire::CONTROL_REPLY:
      this->control_caller.OnReply(message, now);
      return;
    default:
      return;
  }
}

void ControlDuty::OnReplicaMessage(const Received& message, TimePoint now) {
  wire::ReplicaMessage body;
  if (!body.ParseFromString(message.envelope.body()))
    return;
  // Replies use the connection that the request arrived on. If the peer
  // replaces an unresponsive connection, both directions thus use the new one.
  if (!message.origin.identity.empty())
    this->replica_origins[body.from().id()] = message.origin;
  this->core.OnReplicaMessage(body, now);
}

void ControlDuty::OnHeartbeat(const Received& message, TimePoint now) {
  wire::WorkerHeartbeat heartbeat;
  if (!heartbeat.ParseFromString(message.envelope.body()))
    return;
  this->worker_origins[heartbeat.worker().id()] = message.origin;
  this->core.OnHeartbeat(heartbeat, message.envelope.incarnation(), now);
}

void ControlDuty::OnAgentReport(const Received& message, TimePoint now) {
  wire::AgentReport report;
  if (!report.ParseFromString(message.envelope.body()))
    return;
  this->agent_origins[report.worker().agent()] = message.origin;
  this->core.OnAgentReport(report, now);
}

void ControlDuty::OnEstateFetch(const Received& message) {
  wire::EstateFetch fetch;
  if (!fetch.ParseFromString(message.envelope.body()))
    return;
  const auto update = this->core.state().estate().ChangesSince(
      fetch.known_revision(),
      {fetch.sections().begin(), fetch.sections().end()});
  this->link.Reply(message.origin, wire::ESTATE_UPDATE,
                   update.SerializeAsString());
}

void ControlDuty::OnControlCall(const Received& message, TimePoint now) {
  wire::ControlCall call;
  if (!call.ParseFromString(message.envelope.body()))
    return;
  const Origin origin = message.origin;
  const std::uint64_t id = call.call_id();
  this->reply_callbacks[++this->last_call_token] =
      [this, origin, id](wire::ControlReply reply) {
        reply.set_call_id(id);
        this->link.Reply(origin, wire::CONTROL_REPLY,
                         reply.SerializeAsString());
      };
  this->core.OnCall(std::move(call), this->last_call_token, now);
}

// The seeds may change while the process runs. Processes that start later know
// only the new ones.
void ControlDuty::ApplyReloadedSettings() {
  if (this->settings_version == this->process->settings_version())
    return;
  this->settings_version = this->process->settings_version();
  const std::vector<std::string> links = this->process->control_links();
  this->control_caller.AddLinks(links);
  if (this->process->settings().discovery)
    this->core.SetContacts(links);
}

void ControlDuty::OnTick(TimePoint now) {
  this->ApplyReloadedSettings();
  this->core.OnTick(now, UnixMilliseconds());
  this->control_caller.OnTick(now);
  for (const std::string& address : this->liveness.TakeUnresponsive(now)) {
    LogEvent(Event::kConnectionReplaced, {{"link", address}});
    this->link.ReplaceConnection(address);
  }
  this->ready = this->core.IsReady(now);
  if (now < this->publish_deadline)
    return;
  this->publish_deadline = now + kPublishInterval;
  Metrics& metrics = this->process->metrics();
  PublishLinkCounters("control_link", this->link.counters(), metrics);
  metrics.SetGauge("control_applied_index",
                   static_cast<double>(this->core.applied_index()));
  metrics.SetGauge("control_serves", this->core.Serves(now) ? 1 : 0);
  metrics.SetGauge("control_term",
                   static_cast<double>(this->core.replica().term()));
  const JobTable& jobs = this->core.state().jobs();
  metrics.SetGauge("jobs_slow_workers",
                   static_cast<double>(this->core.CountSlowWorkers()));
  metrics.SetGauge("jobs_held_bytes", static_cast<double>(jobs.held_bytes()));
  metrics.SetGauge(
      "jobs_held_bytes_limit",
      static_cast<double>(this->process->settings().limits.JobMemoryBytes()));
  metrics.SetGauge("jobs_known", static_cast<double>(jobs.jobs().size()));
  metrics.SetGauge("jobs_ready_steps",
                   static_cast<double>(jobs.ready_steps().size()));
  const ControlState& state = this->core.state();
  metrics.SetGauge("evacuated_zones",
                   static_cast<double>(state.evacuated_zones().size()));
  std::size_t evacuated_runs = 0;
  for (const auto& [agent, worker] : jobs.workers()) {
    if (state.evacuated_zones().contains(
            worker.description.availability_zone()))
      evacuated_runs += worker.runs.size();
  }
  metrics.SetGauge("evacuated_zone_runs", static_cast<double>(evacuated_runs));
  const JobScheduler* scheduler = this->core.jobs();
  metrics.SetGauge("jobs_work_waiting_cpu_ms",
                   scheduler == nullptr ? 0 : scheduler->BacklogWork());
}

void ControlDuty::OnBatchEnd(TimePoint now) {
  this->control_caller.RunEffects();
  this->Flush(now);
  this->RunEffects(now);
}

// Applies the committed entries that are left after kMaxFlushTime in the next
// turn of the loop, so that heartbeats are answered in between.
void ControlDuty::Flush(TimePoint now) {
  const TimePoint deadline = BootClock::now() + kMaxFlushTime;
  while (true) {
    const ReplicaOutput output = this->core.TakeOutput(now);
    if (output.NeedsStore())
      this->Store(output);
    this->core.OnStored(output, now);
    for (const OutgoingReplicaMessage& outgoing : output.messages)
      this->SendReplicaMessage(outgoing, now);
    if (this->core.IsSettled())
      break;
    if (BootClock::now() > deadline) {
      this->link.Wake();
      break;
    }
  }
  this->PublishEstate();
}

void ControlDuty::PublishEstate() {
  const EstateState& estate = this->core.state().estate();
  this->link.SetRevision(estate.revision());
  const std::lock_guard lock(this->estate_mutex);
  this->estate_in_force = estate.prepared();
}

// An applied estate is committed.
bool ControlDuty::IsEstateInForce(std::string_view source) {
  std::shared_ptr<const PreparedEstate> estate;
  {
    const std::lock_guard lock(this->estate_mutex);
    estate = this->estate_in_force;
  }
  return estate && !source.empty() && estate->source == source;
}

void ControlDuty::Store(const ReplicaOutput& output) {
  const TimePoint begin = BootClock::now();
  this->store.Store(output, this->core.replica().Entries());
  this->process->metrics().RecordLatency("control_log_sync",
                                         BootClock::now() - begin);
}

void ControlDuty::RunEffects(TimePoint now) {
  for (ControlEffect& effect : this->core.TakeEffects(now)) {
    if (const auto* orders = std::get_if<SendOrders>(&effect)) {
      const auto origin = this->worker_origins.find(orders->worker);
      if (origin != this->worker_origins.end()) {
        this->link.Reply(origin->second, wire::WORKER_ORDERS,
                         orders->orders.SerializeAsString());
      }
    } else if (const auto* agent = std::get_if<SendAgentOrders>(&effect)) {
      const auto origin = this->agent_origins.find(agent->agent);
      if (origin != this->agent_origins.end()) {
        this->link.Reply(origin->second, wire::AGENT_ORDERS,
                         agent->orders.SerializeAsString());
      }
    } else if (const auto* reply = std::get_if<ReplyToCall>(&effect)) {
      const auto found = this->reply_callbacks.find(reply->call_token);
      if (found == this->reply_callbacks.end())
        continue;
      found->second(reply->reply);
      if (!reply->reply.in_progress())
        this->reply_callbacks.erase(found);
    } else if (auto* task = std::get_if<DocumentTask>(&effect)) {
      this->RunTask(std::move(*task));
    } else if (auto* unused = std::get_if<ReleaseDocument>(&effect)) {
      this->document_thread.Run(
          [document = std::move(unused->document)]() mutable {
            document.reset();
          });
    } else {
      const auto& operator_event = std::get<OperatorEvent>(effect);
      this->process->metrics().Count(
          "event_" + std::to_string(static_cast<int>(operator_event.event)));
      CountRefusal(operator_event, this->process->metrics());
      if (operator_event.fields.empty())
        LogEvent(operator_event.event, {{"what", operator_event.detail}});
      else
        LogEvent(operator_event.event, operator_event.fields);
    }
  }
}

// A task that finds no thread must not wait for one, as replies and committed
// entries wait for it.
void ControlDuty::RunTask(DocumentTask task) {
  const auto shared_task = std::make_shared<DocumentTask>(std::move(task));
  const auto run = [this, shared_task] {
    const auto result = std::make_shared<DocumentResult>(
        RunDocumentTask(std::move(*shared_task)));
    this->loop.Post([this, result] {
      this->core.OnDocumentResult(std::move(*result), BootClock::now());
    });
  };
  const bool started = this->document_thread.TryRun([this, run] {
    const PacedWork paced({.pause = [this] { this->loop.AwaitIteration(); }});
    run();
  });
  if (!started)
    run();
}

void ControlDuty::SendReplicaMessage(const OutgoingReplicaMessage& outgoing,
                                     TimePoint now) {
  const std::string body = outgoing.message.SerializeAsString();
  if (IsReply(outgoing.message)) {
    const auto origin = this->replica_origins.find(outgoing.to);
    if (origin != this->replica_origins.end())
      this->link.Reply(origin->second, wire::REPLICA_MESSAGE, body);
    return;
  }
  const std::string address = this->LinkOfReplica(outgoing.to);
  if (address.empty())
    return;
  this->link.Send(address, wire::REPLICA_MESSAGE, body);
  this->liveness.OnSent(address, now);
}

std::string ControlDuty::LinkOfReplica(const std::string& id) const {
  const auto found = this->replica_links.find(id);
  if (found != this->replica_links.end())
    return found->second;
  return this->process->settings().discovery ? id : "";
}

void ControlDuty::RecordRevision(const std::string& duty,
                                 const wire::Envelope& envelope,
                                 TimePoint now) {
  this->core.OnProcessRevision(duty + " " + envelope.sender(),
                               envelope.revision(), now);
}

}  // namespace savoryring
