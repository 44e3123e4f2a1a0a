#include "testsuite/schedule/nodes.h"

#include <algorithm>
#include <utility>

#include "libbase/checksum.h"

namespace savoryring {
namespace {

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

// --- ControlNode ---

ControlNode::ControlNode(TestEstate& all, std::string name, DriftingClock clock)
    : Node(all, std::move(name), clock) {}

void ControlNode::OnAgentReport(const wire::AgentReport& report) {
  this->control->OnAgentReport(report, this->LocalNow());
  this->Flush();
}

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
  const bool open = options.open_membership;
  const auto names =
      open ? this->all->Seeds() : NamesOf("control", options.controls);
  const bool first_start = !this->had_disk;
  this->had_disk = true;
  ControlOptions control_options{
      .replica = {.self = {.id = this->name(),
                           .incarnation = this->disk.incarnation},
                  .configured_ids = names,
                  .heartbeat_interval = kReplicaHeartbeat,
                  .election_timeout = kElection,
                  .seed = this->world().Random(1U << 30U),
                  .may_form_group = !open || (first_start && this->is_founder),
                  .open_membership = open,
                  .mutations = options.mutations.replica},
      .scheduler = {.watch = {.lease = options.lease,
                              .mutations = options.mutations.watch}},
      .jobs = {.mutations = options.mutations.job_scheduler},
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
  this->control->OnTick(this->LocalNow(), ToMilliseconds(this->world().now()));
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
    } else if (const auto* agent = std::get_if<SendAgentOrders>(&effect)) {
      auto* to = static_cast<AgentNode*>(this->all->Find(agent->agent));
      this->Reply(*to, [to, copy = agent->orders, from = this->name()] {
        to->OnOrders(copy, from);
      });
    } else if (const auto* reply = std::get_if<ReplyToCall>(&effect)) {
      const auto found = this->tickets.find(reply->call_token);
      if (found == this->tickets.end())
        continue;
      found->second(reply->reply);
      this->tickets.erase(found);
    } else {
      this->TraceNote(std::get<OperatorEvent>(effect));
    }
  }
}

void ControlNode::TraceNote(const OperatorEvent& note) {
  const auto info =
      std::ranges::find(EventCatalogue(), note.event, &EventInfo::event);
  std::string line =
      this->name() + " " + std::string(info->name) + " " + note.detail;
  for (const Field& field : note.fields)
    line += " " + std::string(field.name) + "=" + field.value;
  this->world().Trace(line);
}

// --- TestEstate ---

TestEstate::TestEstate(const ScheduleOptions& options)
    : options(options), world(options.seed) {
  for (const std::string& name : NamesOf("control", options.controls)) {
    this->controls.push_back(
        std::make_unique<ControlNode>(*this, name, this->NewClock()));
    this->controls.back()->MakeFounder();
  }
  for (const std::string& name : NamesOf("vm", options.vms)) {
    this->vms.push_back(
        std::make_unique<VmNode>(*this, name, this->NewClock()));
  }
  for (const std::string& name : NamesOf("entry", options.entries)) {
    this->entries.push_back(
        std::make_unique<EntryNode>(*this, name, this->NewClock()));
  }
  for (const std::string& name : NamesOf("agent", options.agents)) {
    this->agents.push_back(
        std::make_unique<AgentNode>(*this, name, this->NewClock()));
  }
  for (const std::string& name : NamesOf("gateway", options.gateways)) {
    this->gateways.push_back(
        std::make_unique<GatewayNode>(*this, name, this->NewClock()));
  }
  this->Heal();
}

DriftingClock TestEstate::NewClock() {
  return {
      .offset = std::chrono::seconds(this->world.Random(1000)),
      .speed = 1 + (static_cast<double>(this->world.Random(80)) - 40) / 1e4};
}

void TestEstate::AddControl() {
  const auto count = this->controls.size() + 1;
  this->controls.push_back(std::make_unique<ControlNode>(
      *this, "control-" + std::to_string(count), this->NewClock()));
  this->controls.back()->Start();
}

std::vector<std::string> TestEstate::Seeds() const {
  constexpr std::size_t kMostSeeds = 3;
  std::vector<std::string> seeds;
  for (const auto& node : this->controls) {
    if (!node->IsRetired() && seeds.size() < kMostSeeds)
      seeds.push_back(node->name());
  }
  return seeds;
}

std::size_t TestEstate::MostVoters() const {
  const auto staying = static_cast<std::size_t>(std::ranges::count_if(
      this->controls, [](const auto& node) { return !node->IsRetired(); }));
  if (!this->options.open_membership)
    return staying;
  const std::size_t most = std::min(staying, ReplicaOptions().max_voters);
  return most - (most % 2 == 0 ? 1 : 0);
}

namespace {

template <typename Nodes>
Node* FindIn(const Nodes& nodes, const std::string& name) {
  const auto found = std::ranges::find_if(
      nodes, [&name](const auto& node) { return node->name() == name; });
  return found == nodes.end() ? nullptr : found->get();
}

}  // namespace

Node* TestEstate::Find(const std::string& name) {
  for (Node* node : {FindIn(this->controls, name), FindIn(this->vms, name),
                     FindIn(this->entries, name), FindIn(this->agents, name),
                     FindIn(this->gateways, name)}) {
    if (node != nullptr)
      return node;
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
  for (const auto& node : this->agents)
    names.insert(node->name());
  for (const auto& node : this->gateways)
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
  for (const auto& node : this->gateways)
    node->Start();
  for (const auto& node : this->agents) {
    node->Start();
    node->worker.Start();
  }
}

}  // namespace savoryring
