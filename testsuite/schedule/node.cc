#include "testsuite/schedule/node.h"

#include <utility>

#include "libjobs/jobs.pb.h"
#include "testsuite/schedule/nodes.h"

namespace savoryring {
namespace {

constexpr Milliseconds kTick{10};

bool ChangesNothing(const std::string& method, const std::string& body) {
  wire::JobCall call;
  return method == "GET" || (method == "JOB" && call.ParseFromString(body) &&
                             !call.has_submit() && !call.cancel());
}

}  // namespace

Node::Node(TestEstate& test_estate, std::string name, DriftingClock clock)
    : test_estate(&test_estate), node_name(std::move(name)), clock(clock) {}

void Node::Start() {
  if (this->alive || this->retired)
    return;
  this->alive = true;
  this->simulation().Trace(this->node_name + " starts");
  this->start_count += 1;
  this->frozen_until = TimePoint();
  this->incarnation = this->test_estate->next_incarnation++;
  this->OnStart();
  this->Tick(this->start_count);
}

void Node::Kill() {
  if (!this->alive)
    return;
  this->alive = false;
  this->simulation().Trace(this->node_name + " is killed");
  this->OnKill();
  this->ledger().ForgetProcess(this->node_name);
}

void Node::Retire() {
  this->Kill();
  this->retired = true;
}

void Node::Freeze(Milliseconds length) {
  this->frozen_until = this->simulation().now() + length;
}

TimePoint Node::LocalNow() const {
  return this->clock.Read(this->simulation().now());
}

void Node::Tick(std::uint64_t expected_start_count) {
  if (!this->alive || this->start_count != expected_start_count)
    return;
  this->RunWhenUnfrozen([this] { this->OnTick(); });
  const auto jitter =
      std::chrono::microseconds(this->simulation().Random(2000));
  this->simulation().RunAfter(kTick + jitter, [this, expected_start_count] {
    this->Tick(expected_start_count);
  });
}

void Node::RunWhenUnfrozen(std::function<void()> action) {
  const std::uint64_t expected_start_count = this->start_count;
  if (!this->alive)
    return;
  const TimePoint now = this->simulation().now();
  if (now >= this->frozen_until) {
    action();
    return;
  }
  this->simulation().RunAfter(this->frozen_until - now,
                              [this, expected_start_count, action] {
                                if (this->start_count == expected_start_count)
                                  this->RunWhenUnfrozen(action);
                              });
}

void Node::SendOnOwnConnection(Node& to, std::function<void()> deliver) {
  // A freeze can come between the decision to send and the sending.
  this->RunWhenUnfrozen([this, &to, deliver] {
    this->simulation().Transmit(
        {.from = this->node_name, .to = to.name()},
        {.from = this->node_name, .to = to.name()},
        [&to, deliver] { to.RunWhenUnfrozen(deliver); });
  });
}

void Node::Reply(Node& to, std::function<void()> deliver) {
  this->RunWhenUnfrozen([this, &to, deliver] {
    this->simulation().Transmit(
        {.from = this->node_name, .to = to.name()},
        {.from = to.name(), .to = this->node_name},
        [&to, deliver] { to.RunWhenUnfrozen(deliver); });
  });
}

Simulation& Node::simulation() const {
  return this->test_estate->simulation;
}

Ledger& Node::ledger() const {
  return this->test_estate->ledger;
}

// --- CallerNode ---

void ControlClientNode::StartClient(ControlClientOptions options) {
  options.mutations = this->test_estate->options.mutations.client;
  this->client = std::make_unique<ControlClient>(std::move(options));
}

void ControlClientNode::StopClient() {
  this->client.reset();
  this->pending_calls.clear();
}

void ControlClientNode::TickClient() {
  if (this->test_estate->options.open_membership)
    this->client->AddLinks(this->test_estate->ControlSeeds());
  this->client->OnTick(this->LocalNow());
  this->RunClientEffects();
}

void ControlClientNode::Call(const std::string& method,
                             const std::string& path,
                             const std::string& body,
                             Milliseconds timeout,
                             std::function<void(wire::ControlReply)> on_reply) {
  wire::ControlCall call;
  call.set_call_id(this->next_call++);
  call.set_method(method);
  call.set_path(path);
  call.set_body(body);
  this->pending_calls[call.call_id()] = {
      .sent = this->simulation().now(),
      .changes_nothing = ChangesNothing(method, body),
      .on_reply = std::move(on_reply)};
  const TimePoint now = this->LocalNow();
  this->client->OnCall(call, now + timeout, now);
  this->RunClientEffects();
}

void ControlClientNode::OnControlReply(const std::string& from,
                                       const wire::ControlReply& reply,
                                       TimePoint replied) {
  const auto pending = this->pending_calls.find(reply.call_id());
  if (pending != this->pending_calls.end())
    pending->second.replied = replied;
  this->client->OnReply(from, reply, this->LocalNow());
  this->RunClientEffects();
}

void ControlClientNode::RunClientEffects() {
  for (const ControlClientEffect& effect : this->client->TakeEffects()) {
    if (const auto* send = std::get_if<SendCall>(&effect)) {
      auto* to = static_cast<ControlNode*>(this->test_estate->Find(send->link));
      this->SendOnOwnConnection(*to, [this, to, call = send->call] {
        to->OnCall(call,
                   [this, to, id = call.call_id()](wire::ControlReply reply) {
                     reply.set_call_id(id);
                     to->Reply(*this, [this, from = to->name(), reply,
                                       replied = this->simulation().now()] {
                       this->OnControlReply(from, reply, replied);
                     });
                   });
      });
    } else if (const auto* replace =
                   std::get_if<ReplaceControlConnection>(&effect)) {
      this->simulation().stalled_connections.erase(
          {.from = this->name(), .to = replace->link});
    } else {
      const wire::ControlReply& reply = std::get<DeliverReply>(effect).reply;
      const auto found = this->pending_calls.find(reply.call_id());
      if (found == this->pending_calls.end())
        continue;
      const PendingCall pending = std::move(found->second);
      this->pending_calls.erase(found);
      this->RecordDecision(pending, reply);
      pending.on_reply(reply);
    }
  }
}

// A change that waits for its commit may be decided again by the next leader;
// nobody sees an effect before that has replied. If the network loses or
// reorders messages, a query too can be decided long after it was sent. The
// caller then relies on the revision from the answer on.
void ControlClientNode::RecordDecision(const PendingCall& pending,
                                       const wire::ControlReply& reply) {
  if (reply.estate_revision() == 0)
    return;
  const TimePoint ordered_shown =
      pending.changes_nothing ? pending.sent : pending.replied;
  this->ledger().OnDecided(
      {.process = this->name() + "/" + std::to_string(this->start_count),
       .sent = pending.sent,
       .shown = this->simulation().faults.in_order ? ordered_shown
                                                   : this->simulation().now(),
       .revision = reply.estate_revision()});
}

}  // namespace savoryring
