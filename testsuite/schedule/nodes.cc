#include "testsuite/schedule/nodes.h"

#include <algorithm>
#include <utility>

#include "libbase/checksum.h"

namespace savoryring {
namespace {

constexpr Milliseconds kTick{10};
constexpr Milliseconds kHeartbeat{300};
constexpr Milliseconds kPoll{200};
constexpr Milliseconds kElection{300};
constexpr Milliseconds kReplicaHeartbeat{60};
const std::string kService = "gauge-check";

bool IsReply(const wire::ReplicaMessage& message) {
  return message.has_hello_reply() || message.has_vote_reply() ||
         message.has_append_reply();
}

std::vector<std::string> NamesOf(const std::string& kind, int count) {
  std::vector<std::string> names;
  for (int i = 1; i <= count; ++i)
    names.push_back(kind + "-" + std::to_string(i));
  return names;
}

}  // namespace

// --- Node ---

Node::Node(TestEstate& all, std::string name, DriftingClock clock)
    : all(&all), node_name(std::move(name)), clock(clock) {}

void Node::Start() {
  if (this->alive)
    return;
  this->alive = true;
  this->life += 1;
  this->frozen_until = TimePoint();
  this->incarnation = this->all->next_incarnation++;
  this->OnStart();
  this->Tick(this->life);
}

void Node::Kill() {
  if (!this->alive)
    return;
  this->alive = false;
  this->OnKill();
  this->ledger().ForgetProcess(this->node_name);
}

void Node::Freeze(Milliseconds length) {
  this->frozen_until = this->world().now() + length;
}

TimePoint Node::LocalNow() const {
  return this->clock.Read(this->world().now());
}

void Node::Tick(std::uint64_t tick_life) {
  if (!this->alive || this->life != tick_life)
    return;
  this->WhenAwake([this] { this->OnTick(); });
  const auto jitter = std::chrono::microseconds(this->world().Random(2000));
  this->world().After(kTick + jitter,
                      [this, tick_life] { this->Tick(tick_life); });
}

void Node::WhenAwake(std::function<void()> action) {
  const std::uint64_t action_life = this->life;
  if (!this->alive)
    return;
  const TimePoint now = this->world().now();
  if (now >= this->frozen_until) {
    action();
    return;
  }
  this->world().After(this->frozen_until - now, [this, action_life, action] {
    if (this->life == action_life)
      this->WhenAwake(action);
  });
}

void Node::SendOwn(Node& to, std::function<void()> deliver) {
  // What was decided may be sent much later: a freeze can come in between.
  this->WhenAwake([this, &to, deliver] {
    this->world().Carry({.from = this->node_name, .to = to.name()},
                        {.from = this->node_name, .to = to.name()},
                        [&to, deliver] { to.WhenAwake(deliver); });
  });
}

void Node::Reply(Node& to, std::function<void()> deliver) {
  this->WhenAwake([this, &to, deliver] {
    this->world().Carry({.from = this->node_name, .to = to.name()},
                        {.from = to.name(), .to = this->node_name},
                        [&to, deliver] { to.WhenAwake(deliver); });
  });
}

World& Node::world() const {
  return this->all->world;
}

Ledger& Node::ledger() const {
  return this->all->ledger;
}

// --- ControlNode ---

ControlNode::ControlNode(TestEstate& all, std::string name, DriftingClock clock)
    : Node(all, std::move(name), clock) {}

void ControlNode::LoseDisk() {
  const std::uint64_t old = this->disk.incarnation;
  this->disk = {};
  if (this->all->options.mutations.keep_disk_identity)
    this->disk.incarnation = old;
}

void ControlNode::OnStart() {
  if (this->disk.incarnation == 0)
    this->disk.incarnation = 1000 + this->incarnation;
  const ScheduleOptions& options = this->all->options;
  const auto names = NamesOf("control", options.controls);
  ControlOptions control_options{
      .replica = {.self = {.id = this->name(),
                           .incarnation = this->disk.incarnation},
                  .listed = names,
                  .heartbeat = kReplicaHeartbeat,
                  .election = kElection,
                  .seed = this->world().Random(1U << 30U),
                  .mutations = options.mutations.replica},
      .scheduler = {.watch = {.lease = options.lease,
                              .mutations = options.mutations.watch}},
      .snapshot_after_entries = options.snapshot_after_entries,
      .mutations = options.mutations.control};
  for (const std::string& id : names)
    control_options.replica_links[id] = id;
  StoredReplica stored{.hard_state = this->disk.hard_state,
                       .snapshot = this->disk.snapshot,
                       .entries = this->disk.entries};
  this->control = std::make_unique<ControlCore>(
      std::move(control_options), std::move(stored), this->LocalNow());
}

void ControlNode::OnKill() {
  this->control.reset();
  this->tickets.clear();
}

void ControlNode::OnTick() {
  this->control->OnTick(this->LocalNow());
  this->Flush();
}

void ControlNode::OnReplicaMessage(const wire::ReplicaMessage& message) {
  this->control->OnReplicaMessage(message, this->LocalNow());
  this->Flush();
}

void ControlNode::OnHeartbeat(const wire::WorkerHeartbeat& heartbeat,
                              std::uint64_t sender_incarnation) {
  this->control->OnHeartbeat(heartbeat, sender_incarnation, this->LocalNow());
  this->Flush();
}

void ControlNode::OnCall(const wire::ControlCall& call,
                         std::function<void(wire::ControlReply)> reply) {
  const std::uint64_t ticket = this->next_ticket++;
  this->tickets[ticket] = std::move(reply);
  this->control->OnCall(call, ticket, this->LocalNow());
  this->Flush();
}

void ControlNode::Flush() {
  const bool early = this->all->options.mutations.reply_before_sync;
  while (true) {
    const ReplicaOutput output = this->control->TakeOutput(this->LocalNow());
    // A crash may come before the records are on disk, or after that and
    // before anybody hears of it.
    const double crash = this->world().faults.crash;
    if (early)
      this->Send(output);
    if (output.NeedsStore() && this->world().Chance(crash))
      return this->Kill();
    this->Store(output);
    if (output.NeedsStore() && this->world().Chance(crash))
      return this->Kill();
    this->control->OnStored(output, this->LocalNow());
    this->Check(output);
    if (!early)
      this->Send(output);
    if (this->control->IsSettled())
      break;
  }
  this->RunEffects();
}

void ControlNode::Store(const ReplicaOutput& output) {
  if (output.hard_state)
    this->disk.hard_state = *output.hard_state;
  if (output.snapshot) {
    this->disk.snapshot = output.snapshot;
    this->disk.entries = this->control->replica().Entries();
    return;
  }
  for (const wire::LogEntry& entry : output.append) {
    auto& entries = this->disk.entries;
    while (!entries.empty() && entries.back().index() >= entry.index())
      entries.pop_back();
    entries.push_back(entry);
  }
}

void ControlNode::Check(const ReplicaOutput& output) {
  for (const wire::LogEntry& entry : output.committed)
    this->ledger().OnApplied(entry.index(),
                             Checksum(entry.SerializeAsString()));
  const EstateState& estate = this->control->state().estate();
  if (estate.revision() > 0)
    this->ledger().OnInForce(this->name(), estate.revision(), estate.text());
}

void ControlNode::Send(const ReplicaOutput& output) {
  for (const OutgoingReplicaMessage& outgoing : output.messages) {
    auto* to = static_cast<ControlNode*>(this->all->Find(outgoing.to));
    const auto deliver = [to, message = outgoing.message] {
      to->OnReplicaMessage(message);
    };
    if (IsReply(outgoing.message))
      this->Reply(*to, deliver);
    else
      this->SendOwn(*to, deliver);
  }
}

void ControlNode::RunEffects() {
  for (const ControlEffect& effect :
       this->control->TakeEffects(this->LocalNow())) {
    if (const auto* orders = std::get_if<SendOrders>(&effect)) {
      auto* to = static_cast<VmNode*>(this->all->Find(orders->worker));
      this->Reply(*to, [to, copy = orders->orders, from = this->name()] {
        to->OnOrders(copy, from);
      });
    } else if (const auto* reply = std::get_if<ReplyToCall>(&effect)) {
      const auto found = this->tickets.find(reply->ticket);
      if (found == this->tickets.end())
        continue;
      found->second(reply->reply);
      this->tickets.erase(found);
    }
  }
}

// --- VmNode ---

VmNode::VmNode(TestEstate& all, std::string name, DriftingClock clock)
    : Node(all, name, clock), worker(all.world, all.ledger, name, clock) {}

void VmNode::OnStart() {
  const Mutations& mutations = this->all->options.mutations;
  this->admission = std::make_unique<Admission>(AdmissionOptions{
      .incarnation = this->incarnation, .mutations = mutations.admission});
  this->runner = std::make_unique<TaskRunner>(
      TaskRunnerOptions{.incarnation = this->incarnation,
                        .lease = this->all->options.lease,
                        .mutations = mutations.runner},
      this->LocalNow());
  this->kept.clear();
  this->cache = {};
  this->leaving = false;
  this->left_at = kNever;
  this->heartbeat_deadline = this->announce_deadline = this->poll_deadline =
      TimePoint();
}

void VmNode::OnKill() {
  this->admission.reset();
  this->runner.reset();
}

void VmNode::Leave() {
  this->leaving = true;
  this->left_at = this->world().now();
  this->admission->Leave(this->LocalNow());
  this->RunAdmissionEffects();
  this->Announce();
}

void VmNode::RestartVm() {
  this->Kill();
  this->worker.Restart();
}

void VmNode::OnHeard(const std::string& from) {
  this->liveness.OnHeard(from);
}

void VmNode::OnTick() {
  const TimePoint now = this->LocalNow();
  this->admission->OnLocalEndpoint({.service = kService,
                                    .slots = 4,
                                    .valid_until = now + Milliseconds(3000)},
                                   now);
  this->admission->OnTick(now);
  this->RunAdmissionEffects();
  this->runner->OnTick(now);
  this->RunTaskEffects();
  if (now >= this->poll_deadline) {
    this->poll_deadline = now + kPoll;
    this->CallWorker([this, now] {
      const auto list = this->worker.List();
      this->WhenAwake([this, now, list] {
        this->runner->OnWorkerTasks(list, now, this->LocalNow());
        this->RunTaskEffects();
      });
    });
  }
  if (now >= this->heartbeat_deadline)
    this->SendHeartbeat();
  if (now >= this->announce_deadline)
    this->Announce();
  for (const std::string& peer : this->liveness.TakeSilent(now)) {
    this->world().silent.erase({.from = this->name(), .to = peer});
    if (peer == this->all->controls[this->current_control]->name()) {
      this->current_control =
          (this->current_control + 1) % this->all->controls.size();
    }
  }
}

void VmNode::SendHeartbeat() {
  const TimePoint now = this->LocalNow();
  this->heartbeat_deadline = now + kHeartbeat;
  wire::WorkerHeartbeat heartbeat;
  heartbeat.mutable_worker()->set_id(this->name());
  heartbeat.mutable_worker()->set_processors(this->worker.capacity.processors);
  heartbeat.mutable_worker()->set_memory_mb(this->worker.capacity.memory_mb);
  heartbeat.set_sent_boottime_ns(ToNanoseconds(now));
  heartbeat.set_orders_version(this->runner->orders_version());
  for (wire::TaskReport& report : this->runner->Reports())
    *heartbeat.add_reports() = std::move(report);
  heartbeat.add_serving(kService);
  heartbeat.set_leaving(this->leaving);
  ControlNode& to = *this->all->controls[this->current_control];
  this->liveness.OnSent(to.name(), now);
  this->SendOwn(to, [&to, heartbeat, incarnation = this->incarnation] {
    to.OnHeartbeat(heartbeat, incarnation);
  });
}

void VmNode::Announce() {
  const TimePoint now = this->LocalNow();
  this->announce_deadline = now + kHeartbeat;
  wire::EndpointAnnouncement announcement;
  announcement.set_link(this->name());
  announcement.set_sequence(++this->sequence);
  announcement.set_valid_ms(1200);
  for (const Admission::ServiceState& service :
       this->admission->Services(now)) {
    wire::ServiceAnnouncement* item = announcement.add_services();
    item->set_service(service.endpoint.service);
    item->set_slots(service.endpoint.slots);
    item->set_running(service.running);
    item->set_queued(service.queued);
    item->set_serving(service.serving);
  }
  for (const auto& entry : this->all->entries) {
    EntryNode* to = entry.get();
    this->liveness.OnSent(to->name(), now);
    this->SendOwn(*to, [to, announcement, name = this->name(),
                        incarnation = this->incarnation,
                        revision = this->cache.revision()] {
      to->OnAnnouncement(name, incarnation, announcement, revision);
    });
  }
}

void VmNode::OnOrders(const wire::WorkerOrders& orders,
                      const std::string& from) {
  this->liveness.OnHeard(from);
  if (!orders.leader_link().empty()) {
    for (std::size_t i = 0; i < this->all->controls.size(); ++i) {
      if (this->all->controls[i]->name() == orders.leader_link())
        this->current_control = i;
    }
    return;
  }
  if (orders.version() == 0 && orders.lease_ms() == 0) {
    this->current_control =
        (this->current_control + 1) % this->all->controls.size();
    return;
  }
  this->runner->OnOrders(orders, this->LocalNow());
  this->RunTaskEffects();
}

// A call to the worker on the same VM goes on when this process dies.
void VmNode::CallWorker(std::function<void()> call) {
  Milliseconds delay =
      this->world().RandomTime(Milliseconds(0), Milliseconds(4));
  if (this->world().Chance(0.01))
    delay += this->world().RandomTime(Milliseconds(10), Milliseconds(800));
  this->world().After(delay, std::move(call));
}

void VmNode::RunTaskEffects() {
  for (const TaskRunnerEffect& effect : this->runner->TakeEffects()) {
    if (const auto* start = std::get_if<StartTask>(&effect)) {
      this->WhenAwake([this, copy = *start] {
        this->CallWorker([this, copy] {
          const bool accepted = this->worker.Start(copy.order, copy.lease_end);
          const TaskRun run{.task = copy.order.task(),
                            .epoch = copy.order.epoch()};
          const bool lost = this->world().Chance(0.01);
          this->WhenAwake([this, run, accepted, lost] {
            this->runner->OnStartResult(run, accepted && !lost,
                                        this->LocalNow());
          });
        });
      });
    } else if (const auto* renew = std::get_if<RenewLease>(&effect)) {
      this->WhenAwake([this, copy = *renew] {
        this->CallWorker(
            [this, copy] { this->worker.Renew(copy.run, copy.lease_end); });
      });
    } else if (const auto* stop = std::get_if<StopTask>(&effect)) {
      this->WhenAwake([this, run = stop->run] {
        this->CallWorker([this, run] {
          const auto checkpoint = this->worker.CheckpointAndStop(run);
          this->WhenAwake([this, run, checkpoint] {
            this->runner->OnStopResult(run, checkpoint.has_value(),
                                       checkpoint.value_or(""),
                                       this->LocalNow());
            this->poll_deadline = this->LocalNow();
          });
        });
      });
    }
  }
}

void VmNode::OnAttempt(const SendAttempt& attempt,
                       const std::string& service,
                       const Sending& sending,
                       bool repeatable,
                       Milliseconds remaining,
                       const std::string& from) {
  this->askers[attempt.key] = from;
  this->kept.try_emplace(attempt.key, Kept{.service = service,
                                           .sending = sending,
                                           .repeatable = repeatable,
                                           .from = from});
  const TimePoint now = this->LocalNow();
  this->admission->OnAttempt(
      {.key = attempt.key,
       .oldest_open = attempt.oldest_open,
       .endpoint_incarnation = attempt.endpoint_incarnation,
       .service = service,
       .deadline = now + remaining},
      now);
  this->RunAdmissionEffects();
}

void VmNode::OnBar(const SendBar& bar, const std::string& from) {
  this->askers[bar.key] = from;
  this->admission->OnBar(bar.key, bar.endpoint_incarnation, this->LocalNow());
  this->RunAdmissionEffects();
}

void VmNode::RunAdmissionEffects() {
  for (const AdmissionEffect& effect : this->admission->TakeEffects()) {
    if (const auto* run = std::get_if<RunAttempt>(&effect)) {
      this->RunRequest(run->key);
    } else if (const auto* tell = std::get_if<TellAttempt>(&effect)) {
      const auto kept_place = this->kept.find(tell->key);
      const std::string from = kept_place == this->kept.end()
                                   ? this->askers[tell->key]
                                   : kept_place->second.from;
      const std::uint64_t request = kept_place == this->kept.end()
                                        ? 0
                                        : kept_place->second.sending.request;
      auto* to = static_cast<EntryNode*>(this->all->Find(from));
      const AttemptNews news{
          .key = tell->key, .state = tell->state, .code = tell->code};
      if (to != nullptr)
        this->Reply(*to, [to, news, request] { to->OnNews(news, request); });
    }
  }
}

void VmNode::RunRequest(const AttemptKey& key) {
  const Kept& request = this->kept.at(key);
  this->WhenAwake([this, key, request] {
    this->ledger().OnRequestRun(request.sending, request.repeatable,
                                this->left_at, this->world().now());
    const Milliseconds length =
        this->world().RandomTime(Milliseconds(2), Milliseconds(120));
    this->world().After(length, [this, key, life = this->life] {
      if (this->life != life)
        return;
      this->WhenAwake([this, key] {
        this->admission->OnRunEnded(key, true, this->LocalNow());
        this->RunAdmissionEffects();
      });
    });
  });
}

void VmNode::OnRevision(const wire::EstateUpdate& update) {
  if (this->cache.Apply(update))
    this->ledger().OnInForce(this->name() + "/cache", update.revision(), "");
}

// --- EntryNode ---

EntryNode::EntryNode(TestEstate& all, std::string name, DriftingClock clock)
    : Node(all, std::move(name), clock) {}

void EntryNode::OnStart() {
  this->router = std::make_unique<Router>(
      RouterOptions{.entry = this->name(),
                    .incarnation = this->incarnation,
                    .acknowledge = Milliseconds(60),
                    .seed = this->world().Random(1U << 30U),
                    .mutations = this->all->options.mutations.router});
  this->client = std::make_unique<ControlClient>(ControlClientOptions{
      .links = NamesOf("control", this->all->options.controls)});
  this->cache = {};
  this->heartbeat_deadline = TimePoint();
}

void EntryNode::OnKill() {
  this->router.reset();
  this->client.reset();
  this->open.clear();
  this->waiting.clear();
}

void EntryNode::OnTick() {
  const TimePoint now = this->LocalNow();
  this->router->OnTick(now);
  this->RunRouterEffects();
  this->client->OnTick(now);
  this->RunClientEffects();
  if (now < this->heartbeat_deadline)
    return;
  this->heartbeat_deadline = now + kHeartbeat;
  for (const auto& control : this->all->controls) {
    ControlNode* to = control.get();
    this->SendOwn(*to, [this, to, known = this->cache.revision()] {
      const auto update =
          to->core()->state().estate().ChangesSince(known, {"services"});
      to->Reply(*this, [this, update] { this->OnRevision(update); });
    });
  }
}

void EntryNode::OnRevision(const wire::EstateUpdate& update) {
  if (!this->cache.Apply(update))
    return;
  this->router->OnEstate(this->cache.estate());
  this->ledger().OnInForce(this->name() + "/cache", update.revision(), "");
}

void EntryNode::OnAnnouncement(const std::string& sender,
                               std::uint64_t sender_incarnation,
                               const wire::EndpointAnnouncement& announcement,
                               std::uint64_t revision) {
  this->router->OnAnnouncement(sender, sender_incarnation, announcement,
                               this->LocalNow());
  auto* to = static_cast<VmNode*>(this->all->Find(sender));
  this->Reply(*to, [to, from = this->name(),
                    update = this->cache.ChangesSince(revision)] {
    to->OnHeard(from);
    to->OnRevision(update);
  });
}

void EntryNode::OnNews(const AttemptNews& news,
                       std::uint64_t answered_request) {
  this->current_answered = answered_request;
  this->router->OnNews(news, this->LocalNow());
  this->RunRouterEffects();
}

void EntryNode::Request(const Sending& sending,
                        bool repeatable,
                        const std::string& key,
                        Milliseconds timeout,
                        std::function<void(bool)> answered) {
  const TimePoint now = this->LocalNow();
  const std::uint64_t id = this->next_id++;
  Open& request = this->open[id];
  request.sending = sending;
  request.request = {.id = id,
                     .service = kService,
                     .deadline = now + timeout,
                     .repeatable = repeatable,
                     .key = key};
  request.answered = std::move(answered);
  const CallerRequest copy = request.request;
  this->router->OnRequest(copy, now);
  this->RunRouterEffects();
}

void EntryNode::Call(const std::string& method,
                     const std::string& path,
                     const std::string& body,
                     Milliseconds timeout,
                     std::function<void(wire::ControlReply)> answered) {
  wire::ControlCall call;
  call.set_call_id(this->next_id++);
  call.set_method(method);
  call.set_path(path);
  call.set_body(body);
  this->waiting[call.call_id()] = std::move(answered);
  const TimePoint now = this->LocalNow();
  this->client->OnCall(call, now + timeout, now);
  this->RunClientEffects();
}

void EntryNode::OnControlReply(const std::string& from,
                               const wire::ControlReply& reply) {
  this->client->OnReply(from, reply, this->LocalNow());
  this->RunClientEffects();
}

void EntryNode::RunClientEffects() {
  for (const ControlClientEffect& effect : this->client->TakeEffects()) {
    if (const auto* send = std::get_if<SendCall>(&effect)) {
      auto* to = static_cast<ControlNode*>(this->all->Find(send->link));
      this->SendOwn(*to, [this, to, call = send->call] {
        to->OnCall(call,
                   [this, to, id = call.call_id()](wire::ControlReply reply) {
                     reply.set_call_id(id);
                     to->Reply(*this, [this, from = to->name(), reply] {
                       this->OnControlReply(from, reply);
                     });
                   });
      });
    } else if (const auto* replace =
                   std::get_if<ReplaceControlConnection>(&effect)) {
      this->world().silent.erase({.from = this->name(), .to = replace->link});
    } else {
      const wire::ControlReply& reply = std::get<DeliverReply>(effect).reply;
      const auto found = this->waiting.find(reply.call_id());
      if (found == this->waiting.end())
        continue;
      const auto answered = std::move(found->second);
      this->waiting.erase(found);
      answered(reply);
    }
  }
}

void EntryNode::RunRouterEffects() {
  for (const RouterEffect& effect : this->router->TakeEffects()) {
    if (const auto* send = std::get_if<SendAttempt>(&effect)) {
      auto* to = static_cast<VmNode*>(this->all->Find(send->link));
      const Open& request = this->open.at(send->request);
      const Milliseconds remaining =
          RemainingTime(this->LocalNow(), send->deadline);
      this->SendOwn(*to, [to, copy = *send, sending = request.sending,
                          repeatable = request.request.repeatable, remaining,
                          from = this->name()] {
        to->OnAttempt(copy, kService, sending, repeatable, remaining, from);
      });
    } else if (const auto* bar = std::get_if<SendBar>(&effect)) {
      auto* to = static_cast<VmNode*>(this->all->Find(bar->link));
      this->SendOwn(*to, [to, copy = *bar, from = this->name()] {
        to->OnBar(copy, from);
      });
    } else if (const auto* replace = std::get_if<ReplaceConnection>(&effect)) {
      this->world().silent.erase({.from = this->name(), .to = replace->link});
    } else if (const auto* ask = std::get_if<AskClaim>(&effect)) {
      const std::uint64_t id = ask->request;
      this->CallClaim("CLAIM", this->open.at(id), wire::CLAIM_UNKNOWN,
                      [this, id](const wire::ClaimRecord& claim) {
                        this->recorded_request = claim.status();
                        this->router->OnClaim(id, claim.state(),
                                              this->LocalNow());
                        this->RunRouterEffects();
                      });
    } else if (const auto* settle = std::get_if<SettleClaim>(&effect)) {
      this->CallClaim("SETTLE", this->open.at(settle->request), settle->state,
                      [](const wire::ClaimRecord&) {});
    } else if (const auto* pass = std::get_if<PassAnswer>(&effect)) {
      this->Answer(pass->request, true, false, this->current_answered);
    } else if (const auto* recorded = std::get_if<PassRecorded>(&effect)) {
      this->Answer(recorded->request, true, false, this->recorded_request);
    } else {
      const auto& result = std::get<AnswerResult>(effect);
      this->Answer(result.request, false, InfoOf(result.code).not_run, 0);
    }
  }
}

void EntryNode::CallClaim(
    const std::string& method,
    const Open& request,
    wire::ClaimState state,
    std::function<void(const wire::ClaimRecord&)> answered) {
  wire::ClaimRecord claim;
  claim.set_key(request.request.key);
  FillAttemptId({.entry = this->name(),
                 .entry_incarnation = this->incarnation,
                 .counter = request.request.id},
                claim.mutable_holder());
  claim.set_state(state);
  claim.set_request_checksum(request.sending.request);
  // The recorded answer of this test is the request that it belongs to.
  claim.set_status(static_cast<std::uint32_t>(this->current_answered));
  this->Call(
      method, "/claims", claim.SerializeAsString(), Milliseconds(1000),
      [answered](const wire::ControlReply& reply) {
        wire::ClaimRecord record;
        if (reply.result_code() != 0 || !record.ParseFromString(reply.body()))
          record.Clear();
        answered(record);
      });
}

void EntryNode::Answer(std::uint64_t request,
                       bool passed_on,
                       bool not_run,
                       std::uint64_t answered_request) {
  const auto found = this->open.find(request);
  if (found == this->open.end())
    return;
  const Open copy = std::move(found->second);
  this->open.erase(found);
  this->ledger().OnAnswer(copy.sending, not_run, passed_on, answered_request);
  copy.answered(passed_on);
}

// --- TestEstate ---

TestEstate::TestEstate(const ScheduleOptions& options)
    : options(options), world(options.seed) {
  const auto clock = [this] {
    return DriftingClock{
        .offset = std::chrono::seconds(this->world.Random(1000)),
        .speed = 1 + (static_cast<double>(this->world.Random(80)) - 40) / 1e4};
  };
  for (const std::string& name : NamesOf("control", options.controls))
    this->controls.push_back(
        std::make_unique<ControlNode>(*this, name, clock()));
  for (const std::string& name : NamesOf("vm", options.vms))
    this->vms.push_back(std::make_unique<VmNode>(*this, name, clock()));
  for (const std::string& name : NamesOf("entry", options.entries))
    this->entries.push_back(std::make_unique<EntryNode>(*this, name, clock()));
  this->Heal();
}

Node* TestEstate::Find(const std::string& name) {
  for (const auto& node : this->controls) {
    if (node->name() == name)
      return node.get();
  }
  for (const auto& node : this->vms) {
    if (node->name() == name)
      return node.get();
  }
  for (const auto& node : this->entries) {
    if (node->name() == name)
      return node.get();
  }
  return nullptr;
}

ControlNode* TestEstate::Leader() {
  for (const auto& node : this->controls) {
    if (node->IsAlive() && node->core()->Serves(node->LocalNow()))
      return node.get();
  }
  return nullptr;
}

std::set<std::string> TestEstate::Names() const {
  std::set<std::string> names;
  for (const auto& node : this->controls)
    names.insert(node->name());
  for (const auto& node : this->vms)
    names.insert(node->name());
  for (const auto& node : this->entries)
    names.insert(node->name());
  return names;
}

void TestEstate::Heal() {
  this->world.cuts.clear();
  this->world.silent.clear();
  this->world.faults = {};
  for (const auto& node : this->controls)
    node->Start();
  for (const auto& node : this->vms)
    node->Start();
  for (const auto& node : this->entries)
    node->Start();
}

}  // namespace savoryring
