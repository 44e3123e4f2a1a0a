#include "savoryringd/control_duty.h"

#include <algorithm>
#include <utility>

#include "libbase/events.h"

namespace savoryring {
namespace {

constexpr Milliseconds kCallTimeout{5000};
constexpr Milliseconds kDecideInterval{20};
constexpr Milliseconds kPublishInterval{500};
// How long a process counts as live after its last message.
constexpr Milliseconds kProcessValid{3000};
constexpr int kPatienceHeartbeats = 4;

std::vector<std::string> IdsOf(const std::vector<ControlPeer>& controls) {
  std::vector<std::string> ids;
  for (const ControlPeer& peer : controls)
    ids.push_back(peer.id);
  return ids;
}

std::vector<std::string> LinksOf(const std::vector<ControlPeer>& controls) {
  std::vector<std::string> links;
  for (const ControlPeer& peer : controls)
    links.push_back(peer.link);
  return links;
}

ReplicaOptions MakeReplicaOptions(const Settings& settings,
                                  const MemberId& self,
                                  std::uint64_t seed) {
  return {.self = self,
          .listed = IdsOf(settings.controls),
          .heartbeat = settings.timing.replica_heartbeat,
          .election = settings.timing.election,
          .seed = seed};
}

bool IsReply(const wire::ReplicaMessage& message) {
  return message.has_hello_reply() || message.has_vote_reply() ||
         message.has_append_reply();
}

}  // namespace

ControlDuty::ControlDuty(Process& process)
    : process(&process),
      store(process.settings().data_folder + "/control",
            process.settings().id,
            process.Random()),
      link({.bind_address = process.settings().control->link,
            .sender = process.settings().id,
            .incarnation = process.incarnation()}),
      replica(MakeReplicaOptions(process.settings(),
                                 this->store.self(),
                                 process.Random()),
              this->store.TakeStored(),
              BootClock::now()),
      client({.links = LinksOf(process.settings().controls)}),
      liveness(process.settings().timing.replica_heartbeat *
               kPatienceHeartbeats),
      loop(this->link, *this) {
  if (this->store.cut_bytes() > 0) {
    LogEvent(Event::kTornTailCut,
             {{"bytes", std::to_string(this->store.cut_bytes())}});
  }
  for (const ControlPeer& peer : process.settings().controls)
    this->replica_links[peer.id] = peer.link;
  const std::string& snapshot = this->replica.snapshot_state();
  if (!snapshot.empty()) {
    wire::ControlSnapshot stored;
    if (!stored.ParseFromString(snapshot))
      throw Error(ResultCode::kDamagedLog, "the snapshot can't be read");
    this->state.Restore(stored);
  }
  this->applied_index = this->replica.first_index() - 1;
}

ControlDuty::~ControlDuty() {
  this->ControlDuty::Stop();
}

void ControlDuty::Start() {
  this->loop.Start();
  this->server = std::make_unique<HttpServer>(
      HttpServerOptions{
          .address = this->process->settings().control->http,
          .body_limit_bytes = this->process->settings().limits.body_bytes * 64},
      [this](const HttpRequest& request) { return this->OnHttp(request); });
}

void ControlDuty::Leave() {
  this->leaving = true;
}

bool ControlDuty::IsIdle() {
  const auto idle =
      this->loop.Ask<bool>([this] { return this->pending_calls.empty(); },
                           BootClock::now() + Milliseconds(200));
  return idle.value_or(false);
}

void ControlDuty::Stop() {
  this->server.reset();
  this->loop.Stop();
}

HttpResponse ControlDuty::OnHttp(const HttpRequest& request) {
  const bool is_ready = this->ready && !this->leaving;
  if (auto common = AnswerCommon(request, *this->process, is_ready))
    return *common;
  const TimePoint deadline =
      RequestDeadline(request, kCallTimeout, BootClock::now());
  wire::ControlCall call;
  call.set_method(request.method);
  call.set_path(request.path);
  call.set_body(request.body);
  auto promise = std::make_shared<std::promise<wire::ControlReply>>();
  std::future<wire::ControlReply> answer = promise->get_future();
  this->loop.Post([this, call, promise, deadline]() mutable {
    const auto deliver = [promise](const wire::ControlReply& reply) {
      promise->set_value(reply);
    };
    call.set_call_id(this->waiter.Add(deliver));
    this->client.OnCall(call, deadline, BootClock::now());
  });
  const auto wait =
      RemainingTime(BootClock::now(), deadline) + Milliseconds(500);
  if (answer.wait_for(wait) != std::future_status::ready)
    return MakeResultResponse(ResultCode::kNotCommittedInTime, "");
  return ToHttpResponse(answer.get());
}

void ControlDuty::OnMessage(const Received& message, TimePoint now) {
  const wire::Envelope& envelope = message.envelope;
  if (!message.origin.address.empty())
    this->liveness.OnHeard(message.origin.address);
  switch (envelope.kind()) {
    case wire::REPLICA_MESSAGE:
      this->NoteProcess("control", envelope, now);
      this->OnReplicaMessage(message, now);
      return;
    case wire::WORKER_HEARTBEAT:
      this->NoteProcess("endpoint", envelope, now);
      this->OnHeartbeat(message, now);
      return;
    case wire::ENTRY_HEARTBEAT:
      this->NoteProcess("entry", envelope, now);
      this->OnEntryHeartbeat(message, now);
      return;
    case wire::ESTATE_FETCH: {
      wire::EstateFetch fetch;
      if (!fetch.ParseFromString(envelope.body()))
        return;
      const auto update = this->state.estate().ChangesSince(
          fetch.known_revision(),
          {fetch.sections().begin(), fetch.sections().end()});
      this->link.Reply(message.origin, wire::ESTATE_UPDATE,
                       update.SerializeAsString());
      return;
    }
    case wire::CONTROL_CALL: {
      wire::ControlCall call;
      if (!call.ParseFromString(envelope.body()))
        return;
      const Origin origin = message.origin;
      const std::uint64_t id = call.call_id();
      const auto reply = [this, origin, id](wire::ControlReply answer) {
        answer.set_call_id(id);
        this->link.Reply(origin, wire::CONTROL_REPLY,
                         answer.SerializeAsString());
      };
      this->HandleCall(call, reply, now);
      return;
    }
    case wire::CONTROL_REPLY: {
      wire::ControlReply reply;
      if (reply.ParseFromString(envelope.body()))
        this->client.OnReply(message.origin.address, reply, now);
      return;
    }
    default:
      return;
  }
}

void ControlDuty::HandleCall(const wire::ControlCall& call,
                             ReplyFunction reply,
                             TimePoint now) {
  if (!this->Serves(now)) {
    wire::ControlReply refusal = MakeErrorReply(ResultCode::kNoLeader, "");
    refusal.set_leader_link(this->LeaderLink());
    reply(refusal);
    return;
  }
  try {
    const ControlView view = this->View(now);
    const auto command = ReadCommand(call, view);
    if (!command) {
      reply(AnswerRead(call, view));
      return;
    }
    const auto index = this->replica.Propose(command->SerializeAsString());
    this->pending_calls[*index] = {
        .call = call, .term = this->replica.term(), .reply = std::move(reply)};
  } catch (const Error& failure) {
    if (call.path() == "/estate")
      LogEvent(Event::kEstateRejected, {{"why", failure.what()}});
    reply(MakeErrorReply(failure.code(), failure.what()));
  }
}

void ControlDuty::OnReplicaMessage(const Received& message, TimePoint now) {
  wire::ReplicaMessage body;
  if (!body.ParseFromString(message.envelope.body()))
    return;
  // Answers go back over the connection that the question came by: when the
  // peer replaces a silent connection, both directions are fresh.
  if (!message.origin.identity.empty())
    this->replica_origins[body.from().id()] = message.origin;
  this->replica.Receive(body, now);
}

void ControlDuty::OnHeartbeat(const Received& message, TimePoint now) {
  wire::WorkerHeartbeat heartbeat;
  if (!heartbeat.ParseFromString(message.envelope.body()))
    return;
  if (!this->Serves(now)) {
    wire::WorkerOrders orders;
    orders.set_leader_link(this->LeaderLink());
    this->link.Reply(message.origin, wire::WORKER_ORDERS,
                     orders.SerializeAsString());
    return;
  }
  const std::string& id = heartbeat.worker().id();
  const std::uint64_t incarnation = message.envelope.incarnation();
  WorkerLink& worker = this->worker_links[id];
  worker.origin = message.origin;
  worker.version = heartbeat.orders_version();
  this->Propose(
      this->scheduler->OnHeartbeat(this->state, heartbeat, incarnation, now));
  const bool lease =
      this->scheduler->MayGrantLease(this->state, id, incarnation);
  this->SendOrders(id, heartbeat.sent_boottime_ns(), lease);
}

void ControlDuty::SendOrders(const std::string& worker,
                             std::uint64_t echo,
                             bool lease) {
  WorkerLink& place = this->worker_links[worker];
  const WorkerState* known = this->state.FindWorker(worker);
  wire::WorkerOrders orders;
  orders.set_sent_boottime_ns(echo);
  if (lease) {
    orders.set_lease_ms(static_cast<std::uint32_t>(
        this->process->settings().timing.worker_lease.count()));
  }
  const std::uint64_t version =
      known == nullptr ? 0 : known->record.orders_version();
  orders.set_version(version);
  if (version != place.version) {
    orders.set_has_orders(true);
    for (wire::TaskOrder& order : this->state.OrdersFor(worker))
      *orders.add_orders() = std::move(order);
    place.version = version;
  }
  this->link.Reply(place.origin, wire::WORKER_ORDERS,
                   orders.SerializeAsString());
}

void ControlDuty::OnEntryHeartbeat(const Received& message, TimePoint) {
  const auto update = this->state.estate().ChangesSince(
      message.envelope.revision(), {"services"});
  this->link.Reply(message.origin, wire::ESTATE_UPDATE,
                   update.SerializeAsString());
}

void ControlDuty::OnTick(TimePoint now) {
  this->replica.Tick(now);
  this->client.OnTick(now);
  this->FollowLeadership(now);
  for (const std::string& address : this->liveness.TakeSilent(now))
    this->link.Replace(address);
  if (now >= this->publish_deadline) {
    this->publish_deadline = now + kPublishInterval;
    PublishLinkCounters("control_link", this->link.counters(),
                        this->process->metrics());
  }
  this->ready = this->replica.IsVoter() &&
                (this->Serves(now) || !this->replica.leader_id().empty());
  const bool decide = this->Serves(now) && now >= this->decide_deadline &&
                      this->applied_index >= this->decision_index;
  if (!decide)
    return;
  this->decide_deadline = now + kDecideInterval;
  this->Propose(this->scheduler->Decide(this->state, now));
  this->decision_index = this->replica.last_index();
}

void ControlDuty::FollowLeadership(TimePoint now) {
  const bool leads = this->replica.IsLeader();
  if (leads && this->scheduled_term != this->replica.term()) {
    this->scheduled_term = this->replica.term();
    this->decision_index = 0;
    this->worker_links.clear();
    const SchedulerOptions options{
        .watch = {.lease = this->process->settings().timing.worker_lease}};
    this->scheduler.emplace(options, this->replica.led_since());
    LogEvent(Event::kBecameLeader,
             {{"term", std::to_string(this->replica.term())}});
  }
  if (this->was_leader && !leads) {
    LogEvent(Event::kLostLeadership,
             {{"term", std::to_string(this->replica.term())}});
    auto calls = std::exchange(this->pending_calls, {});
    for (auto& [index, pending] : calls)
      pending.reply(MakeErrorReply(ResultCode::kNoLeader, ""));
  }
  this->was_leader = leads;
  (void)now;
}

void ControlDuty::OnBatchEnd(TimePoint now) {
  this->RunClientEffects(now);
  this->FlushReplica(now);
}

// Stores, then sends, then applies, until nothing more follows from it. One
// sync serves everything that arrived since the last one.
void ControlDuty::FlushReplica(TimePoint now) {
  while (true) {
    ReplicaOutput output = this->replica.TakeOutput(now);
    if (output.NeedsStore()) {
      const TimePoint begin = BootClock::now();
      this->store.Store(output, output.snapshot
                                    ? this->replica.Entries()
                                    : std::vector<wire::LogEntry>());
      this->process->metrics().RecordLatency("control_log_sync",
                                             BootClock::now() - begin);
      this->replica.OnStored(now);
    }
    for (const OutgoingReplicaMessage& outgoing : output.messages)
      this->SendReplicaMessage(outgoing, now);
    if (output.restore) {
      wire::ControlSnapshot snapshot;
      if (!snapshot.ParseFromString(output.snapshot->state()))
        throw Error(ResultCode::kDamagedLog, "a received snapshot");
      this->state.Restore(snapshot);
      this->applied_index = output.snapshot->index();
      this->link.SetRevision(this->state.estate().revision());
    }
    for (const wire::LogEntry& entry : output.committed)
      this->ApplyCommitted(entry);
    const bool more = output.NeedsStore() || !output.committed.empty();
    if (!more)
      break;
    this->CompactIfLong();
  }
  if (!this->Serves(now))
    return;
  for (const std::string& worker : this->state.TakeChangedWorkers()) {
    if (this->worker_links.contains(worker))
      this->SendOrders(worker, 0, false);
  }
}

void ControlDuty::ApplyCommitted(const wire::LogEntry& entry) {
  this->applied_index = entry.index();
  if (entry.has_membership())
    LogEvent(Event::kGroupFormed,
             {{"voters", std::to_string(entry.membership().voters_size())},
              {"index", std::to_string(entry.index())}});
  wire::Command command;
  ApplyResult result;
  if (!entry.command().empty()) {
    if (!command.ParseFromString(entry.command()))
      throw Error(ResultCode::kDamagedLog, "a committed command");
    const std::uint64_t before = this->state.estate().revision();
    result = this->state.Apply(command, entry.index());
    const std::uint64_t after = this->state.estate().revision();
    if (after != before) {
      this->link.SetRevision(after);
      LogEvent(Event::kEstateApplied, {{"revision", std::to_string(after)}});
    }
    this->process->metrics().Count("control_commands_applied");
  }
  const auto found = this->pending_calls.find(entry.index());
  if (found == this->pending_calls.end())
    return;
  const PendingCall pending = std::move(found->second);
  this->pending_calls.erase(found);
  if (pending.term == entry.term())
    pending.reply(AnswerApplied(pending.call, result));
  else
    pending.reply(MakeErrorReply(ResultCode::kNoLeader, ""));
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
  const auto address = this->replica_links.find(outgoing.to);
  if (address == this->replica_links.end())
    return;
  this->link.Send(address->second, wire::REPLICA_MESSAGE, body);
  this->liveness.OnSent(address->second, now);
}

void ControlDuty::RunClientEffects(TimePoint) {
  for (const ControlClientEffect& effect : this->client.TakeEffects()) {
    if (const auto* send = std::get_if<SendCall>(&effect)) {
      this->link.Send(send->link, wire::CONTROL_CALL,
                      send->call.SerializeAsString());
    } else if (const auto* replace =
                   std::get_if<ReplaceControlConnection>(&effect)) {
      this->link.Replace(replace->link);
    } else {
      this->waiter.Deliver(std::get<DeliverReply>(effect).reply);
    }
  }
}

void ControlDuty::Propose(const std::vector<wire::Command>& commands) {
  for (const wire::Command& command : commands)
    this->replica.Propose(command.SerializeAsString());
}

void ControlDuty::CompactIfLong() {
  const std::uint64_t limit =
      this->process->settings().limits.snapshot_after_entries;
  if (this->applied_index + 1 < this->replica.first_index() + limit)
    return;
  this->replica.Compact(this->applied_index,
                        this->state.Save().SerializeAsString());
  LogEvent(Event::kSnapshotTaken,
           {{"index", std::to_string(this->applied_index)}});
}

void ControlDuty::NoteProcess(const std::string& duty,
                              const wire::Envelope& envelope,
                              TimePoint now) {
  ProcessRevision& known = this->processes[duty + " " + envelope.sender()];
  known.revision = envelope.revision();
  known.valid_until = now + kProcessValid;
}

// Only a leader that surely is the only one, and that has applied all that
// earlier leaders committed, answers and grants.
bool ControlDuty::Serves(TimePoint now) const {
  return this->scheduler && this->replica.IsCaughtUp() &&
         this->scheduled_term == this->replica.term() &&
         this->replica.HasLease(now);
}

std::string ControlDuty::LeaderLink() const {
  const auto found = this->replica_links.find(this->replica.leader_id());
  return found == this->replica_links.end() ? "" : found->second;
}

ControlView ControlDuty::View(TimePoint now) const {
  return {.state = this->state,
          .scheduler = *this->scheduler,
          .replica = this->replica,
          .processes = this->processes,
          .now = now};
}

}  // namespace savoryring
