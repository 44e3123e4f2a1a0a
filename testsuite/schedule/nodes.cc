#include "testsuite/schedule/nodes.h"

#include <algorithm>
#include <utility>

#include "libbase/checksum.h"

namespace savoryring {
namespace {

constexpr Milliseconds kTick{10};
constexpr Milliseconds kElection{300};
constexpr Milliseconds kReplicaHeartbeat{60};

bool IsReply(const wire::ReplicaMessage& message) {
  return message.has_hello_reply() || message.has_vote_reply() ||
         message.has_append_reply();
}

}  // namespace

std::vector<std::string> NamesOf(const std::string& kind, int count) {
  std::vector<std::string> names;
  for (int i = 1; i <= count; ++i)
    names.push_back(kind + "-" + std::to_string(i));
  return names;
}

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
