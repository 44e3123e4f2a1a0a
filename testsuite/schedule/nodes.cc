#include "testsuite/schedule/nodes.h"

#include <algorithm>
#include <utility>

#include "libbase/checksum.h"

namespace savoryring {
namespace {

constexpr Milliseconds kElection{300};
constexpr Milliseconds kReplicaHeartbeat{60};

bool HasLossOf(const std::string& agent, const wire::LogEntry& entry) {
  wire::Command command;
  return command.ParseFromString(entry.command()) &&
         std::ranges::any_of(
             command.job_command().losses(),
             [&agent](const auto& loss) { return loss.agent() == agent; });
}

std::string DescribePart(const wire::TransferPart& part) {
  return ", part of " + std::to_string(part.index()) + " at " +
         std::to_string(part.offset()) + " of " +
         std::to_string(part.total_bytes());
}

bool IsReply(const wire::ReplicaMessage& message) {
  return message.has_hello_reply() || message.has_vote_reply() ||
         message.has_append_reply();
}

}  // namespace

std::vector<std::string> NodeNames(const std::string& kind, int count) {
  std::vector<std::string> names;
  for (int i = 1; i <= count; ++i)
    names.push_back(kind + "-" + std::to_string(i));
  return names;
}

// --- ControlNode ---

ControlNode::ControlNode(TestEstate& test_estate,
                         std::string name,
                         DriftingClock clock)
    : Node(test_estate, std::move(name), clock) {}

void ControlNode::OnAgentReport(const wire::AgentReport& report) {
  this->control->OnAgentReport(report, this->LocalNow());
  this->Flush();
}

void ControlNode::LoseDisk() {
  const std::uint64_t old = this->disk.incarnation;
  this->disk = {};
  if (this->test_estate->options.mutations.keep_disk_identity)
    this->disk.incarnation = old;
}

void ControlNode::OnStart() {
  if (this->disk.incarnation == 0)
    this->disk.incarnation = 1000 + this->incarnation;
  const ScheduleOptions& options = this->test_estate->options;
  const bool open = options.open_membership;
  const auto names = open ? this->test_estate->ControlSeeds()
                          : NodeNames("control", options.controls);
  const bool first_start = !this->has_started;
  this->has_started = true;
  ControlOptions control_options{
      .replica = {.self = {.id = this->name(),
                           .incarnation = this->disk.incarnation},
                  .configured_ids = names,
                  .heartbeat_interval = kReplicaHeartbeat,
                  .election_timeout = kElection,
                  .seed = this->simulation().Random(1U << 30U),
                  .may_form_group =
                      !open || (first_start && this->may_form_group),
                  .open_membership = open,
                  .mutations = options.mutations.replica},
      .scheduler = {.watch = {.lease = options.lease,
                              .mutations = options.mutations.watch}},
      .jobs = {.mutations = options.mutations.job_scheduler},
      .snapshot_after_entries = options.snapshot_after_entries,
      .availability_zones = options.availability_zones,
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
  this->pending_calls.clear();
}

void ControlNode::OnTick() {
  this->control->OnTick(this->LocalNow(),
                        ToMilliseconds(this->simulation().now()));
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
  const std::uint64_t call_token = this->next_call_token++;
  this->pending_calls[call_token] = std::move(reply);
  this->control->OnCall(call, call_token, this->LocalNow());
  this->Flush();
}

void ControlNode::Flush() {
  const bool early = this->test_estate->options.mutations.reply_before_sync;
  bool loss_sent = false;
  while (true) {
    const ReplicaOutput output = this->control->TakeOutput(this->LocalNow());
    // The process may crash before the records are stored, or after that but
    // before any message is sent.
    const double crash = this->simulation().faults.crash_rate;
    if (early)
      this->Send(output);
    if (output.NeedsStore() && this->simulation().Chance(crash))
      return this->Kill();
    this->Store(output);
    if (output.NeedsStore() && this->simulation().Chance(crash))
      return this->Kill();
    this->control->OnStored(output, this->LocalNow());
    this->CheckInvariants(output);
    if (!early)
      this->Send(output);
    loss_sent = loss_sent || this->IsAwaitedLoss(output);
    if (this->control->IsSettled())
      break;
  }
  this->RunEffects();
  if (!loss_sent)
    return;
  this->simulation().Trace(this->name() + " freezes after a loss");
  this->freeze_after_loss_of.clear();
  this->Freeze(this->freeze_length);
}

bool ControlNode::IsAwaitedLoss(const ReplicaOutput& output) const {
  return !this->freeze_after_loss_of.empty() &&
         this->control->replica().IsLeader() &&
         std::ranges::any_of(
             output.append, [this](const wire::LogEntry& entry) {
               return HasLossOf(this->freeze_after_loss_of, entry);
             });
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

void ControlNode::CheckInvariants(const ReplicaOutput& output) {
  for (const wire::LogEntry& entry : output.committed)
    this->ledger().OnApplied(entry.index(),
                             Checksum(entry.SerializeAsString()));
  const EstateState& estate = this->control->state().estate();
  if (estate.revision() > 0)
    this->ledger().OnInForce(this->name(), estate.revision(), estate.text());
}

void ControlNode::TraceMessage(const OutgoingReplicaMessage& outgoing) const {
  const wire::ReplicaMessage& message = outgoing.message;
  std::string line = this->name() + " to " + outgoing.to + " term " +
                     std::to_string(message.term());
  if (message.has_append_request()) {
    const wire::AppendRequest& request = message.append_request();
    line += " append after " + std::to_string(request.previous_index()) + ": " +
            std::to_string(request.entries_size());
    if (request.has_part())
      line += DescribePart(request.part());
  } else if (message.has_snapshot_request()) {
    line += " snapshot";
    if (message.snapshot_request().has_part())
      line += DescribePart(message.snapshot_request().part());
  } else if (message.has_append_reply()) {
    const wire::AppendReply& reply = message.append_reply();
    line += std::string(reply.accepted() ? " accepted" : " rejected") + " at " +
            std::to_string(reply.match_index());
    if (reply.part_index() != 0) {
      line += ", holds " + std::to_string(reply.held_part_bytes()) + " of " +
              std::to_string(reply.part_index());
    }
  } else {
    line += " message " + std::to_string(static_cast<int>(message.body_case()));
  }
  this->simulation().Trace(line);
}

void ControlNode::Send(const ReplicaOutput& output) {
  for (const OutgoingReplicaMessage& outgoing : output.messages) {
    this->TraceMessage(outgoing);
    auto* to = static_cast<ControlNode*>(this->test_estate->Find(outgoing.to));
    const auto deliver = [to, message = outgoing.message] {
      to->OnReplicaMessage(message);
    };
    if (IsReply(outgoing.message))
      this->Reply(*to, deliver);
    else
      this->SendOnOwnConnection(*to, deliver);
  }
}

void ControlNode::RunEffects() {
  for (ControlEffect& effect : this->control->TakeEffects(this->LocalNow())) {
    if (const auto* orders = std::get_if<SendOrders>(&effect)) {
      auto* to = static_cast<VmNode*>(this->test_estate->Find(orders->worker));
      this->Reply(*to, [to, copy = orders->orders, from = this->name()] {
        to->OnOrders(copy, from);
      });
    } else if (const auto* agent = std::get_if<SendAgentOrders>(&effect)) {
      auto* to = static_cast<AgentNode*>(this->test_estate->Find(agent->agent));
      this->Reply(*to, [to, copy = agent->orders, from = this->name()] {
        to->OnOrders(copy, from);
      });
    } else if (const auto* reply = std::get_if<ReplyToCall>(&effect)) {
      const auto found = this->pending_calls.find(reply->call_token);
      if (found == this->pending_calls.end())
        continue;
      found->second(reply->reply);
      if (!reply->reply.in_progress())
        this->pending_calls.erase(found);
    } else if (auto* task = std::get_if<DocumentTask>(&effect)) {
      this->RunTask(std::make_shared<DocumentTask>(std::move(*task)));
    } else if (std::holds_alternative<OperatorEvent>(effect)) {
      this->TraceEvent(std::get<OperatorEvent>(effect));
    }
  }
}

void ControlNode::RunTask(const std::shared_ptr<DocumentTask>& task) {
  const Milliseconds longest = this->test_estate->options.document_time;
  const Milliseconds time =
      longest == Milliseconds(0)
          ? longest
          : this->simulation().RandomTime(Milliseconds(0), longest);
  const std::uint64_t expected_start_count = this->start_count;
  this->simulation().RunAfter(time, [this, task, expected_start_count] {
    if (this->start_count != expected_start_count)
      return;
    this->RunWhenUnfrozen([this, task] {
      this->control->OnDocumentResult(RunDocumentTask(std::move(*task)),
                                      this->LocalNow());
      this->Flush();
    });
  });
}

void ControlNode::TraceEvent(const OperatorEvent& event) {
  const auto info =
      std::ranges::find(EventCatalogue(), event.event, &EventInfo::event);
  std::string line =
      this->name() + " " + std::string(info->name) + " " + event.detail;
  for (const Field& field : event.fields)
    line += " " + std::string(field.name) + "=" + field.value;
  this->simulation().Trace(line);
}

// --- TestEstate ---

TestEstate::TestEstate(const ScheduleOptions& options)
    : options(options), simulation(options.seed) {
  for (const std::string& name : NodeNames("control", options.controls)) {
    this->controls.push_back(
        std::make_unique<ControlNode>(*this, name, this->CreateClock()));
    this->controls.back()->AllowGroupFormation();
  }
  for (const std::string& name : NodeNames("vm", options.vms)) {
    this->vms.push_back(
        std::make_unique<VmNode>(*this, name, this->CreateClock()));
  }
  for (const std::string& name : NodeNames("entry", options.entries)) {
    this->entries.push_back(
        std::make_unique<EntryNode>(*this, name, this->CreateClock()));
  }
  for (const std::string& name : NodeNames("agent", options.agents)) {
    this->agents.push_back(
        std::make_unique<AgentNode>(*this, name, this->CreateClock()));
    const auto& zones = options.availability_zones;
    if (!zones.empty()) {
      this->agents.back()->worker.zone =
          zones[(this->agents.size() - 1) % zones.size()];
    }
  }
  for (const std::string& name : NodeNames("gateway", options.gateways)) {
    this->gateways.push_back(
        std::make_unique<GatewayNode>(*this, name, this->CreateClock()));
  }
  this->Heal();
}

DriftingClock TestEstate::CreateClock() {
  return {.offset = std::chrono::seconds(this->simulation.Random(1000)),
          .speed = 1 + (static_cast<double>(this->simulation.Random(80)) - 40) /
                           1e4};
}

void TestEstate::AddControl() {
  const auto count = this->controls.size() + 1;
  this->controls.push_back(std::make_unique<ControlNode>(
      *this, "control-" + std::to_string(count), this->CreateClock()));
  this->controls.back()->Start();
}

std::vector<std::string> TestEstate::ControlSeeds() const {
  constexpr std::size_t kMaxSeeds = 3;
  std::vector<std::string> seeds;
  for (const auto& node : this->controls) {
    if (!node->IsRetired() && seeds.size() < kMaxSeeds)
      seeds.push_back(node->name());
  }
  return seeds;
}

std::size_t TestEstate::FullVoterCount() const {
  const auto staying = static_cast<std::size_t>(std::ranges::count_if(
      this->controls, [](const auto& node) { return !node->IsRetired(); }));
  if (!this->options.open_membership)
    return staying;
  const std::size_t voters = std::min(staying, ReplicaOptions().max_voters);
  return voters - (voters % 2 == 0 ? 1 : 0);
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
  this->simulation.cut_directions.clear();
  this->simulation.stalled_connections.clear();
  this->simulation.faults = {};
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
