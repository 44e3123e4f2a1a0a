#include "testsuite/schedule/job_nodes.h"

#include <algorithm>
#include <utility>

#include "libjobs/job_calls.h"
#include "libjobs/job_table.h"
#include "testsuite/schedule/nodes.h"

namespace savoryring {
namespace {

// Size of every worker.
constexpr WorkerSize kWorkerSize{.cpu_milli = 8000, .memory_mb = 8000};
constexpr Milliseconds kWorkerTick{10};
constexpr Milliseconds kCallTimeout{1000};
// A gateway refuses a call that no leader can have taken after this.
constexpr Milliseconds kRefuseAfter{1200};
// Share of calls that are carried out late, and the longest delay.
constexpr double kLateCalls = 0.02;
constexpr Milliseconds kLatestCall{4000};
// Share of answers that never come.
constexpr double kLostAnswers = 0.02;

}  // namespace

// --- WorkerHost ---

WorkerHost::WorkerHost(TestEstate& all, AgentNode& agent, DriftingClock clock)
    : all(&all), agent(&agent), clock(clock) {}

TimePoint WorkerHost::LocalNow() const {
  return this->clock.Read(this->all->world.now());
}

std::string WorkerHost::LifeName() const {
  return this->agent->name() + "/" + std::to_string(this->born_ms);
}

void WorkerHost::Start() {
  if (this->alive)
    return;
  this->alive = true;
  this->draining = false;
  this->worker = ModelWorker();
  this->born_ms = ToMilliseconds(this->all->world.now());
  this->Announce(this->born_ms);
}

void WorkerHost::Restart(Milliseconds pause) {
  if (!this->alive)
    return;
  this->Advance();
  this->alive = false;
  this->all->world.Trace(this->LifeName() + " dies");
  this->all->job_ledger.OnLifeOver(this->LifeName());
  this->all->world.After(pause, [this] { this->Start(); });
}

void WorkerHost::Drain() {
  if (!this->alive || this->draining)
    return;
  this->draining = true;
  World& world = this->all->world;
  world.After(
      world.RandomTime(Milliseconds(2500), Milliseconds(8000)),
      [this, life = this->born_ms, &world] {
        if (!this->alive || this->born_ms != life)
          return;
        this->agent->OnLeft("i-" + std::to_string(life));
        this->Restart(world.RandomTime(Milliseconds(100), Milliseconds(1000)));
      });
}

// Advances the model, and announces the worker from time to time.
void WorkerHost::Announce(std::int64_t of_life) {
  if (!this->alive || this->born_ms != of_life)
    return;
  this->Advance();
  wire::JobWorkerDescription description;
  description.set_instance("i-" + std::to_string(of_life));
  description.set_born_ms(of_life);
  description.set_service(kService);
  description.set_cpu_milli(kWorkerSize.cpu_milli);
  description.set_memory_mb(kWorkerSize.memory_mb);
  description.set_draining(this->draining);
  this->agent->WhenAwake([this, description, time = this->LocalNow()] {
    this->agent->OnAnnounced(description, time);
  });
  this->all->world.After(kHeartbeat,
                         [this, of_life] { this->Announce(of_life); });
}

void WorkerHost::Advance() {
  if (!this->alive)
    return;
  this->worker.Advance(this->LocalNow());
  JobLedger& ledger = this->all->job_ledger;
  for (const ModelRunChange& change : this->worker.TakeChanges()) {
    this->all->world.Trace(this->LifeName() + " " + TaskNameText(change.task) +
                           " run " + std::to_string(change.run) +
                           (change.began ? " begins" : " ends: ") +
                           (change.began ? "" : RunEndName(change.how)));
    ledger.OnChange(this->LifeName(), kWorkerSize, change);
  }
  ledger.OnNoted(this->LifeName(), this->worker.acknowledged());
}

void WorkerHost::Call(std::int64_t life, WorkerCall call, Answered answered) {
  World& world = this->all->world;
  Milliseconds delay = world.RandomTime(Milliseconds(0), Milliseconds(4));
  if (world.faults.loss > 0 && world.Chance(kLateCalls))
    delay += world.RandomTime(Milliseconds(10), kLatestCall);
  world.After(delay, [this, life, call = std::move(call),
                      answered = std::move(answered)] {
    this->Execute(life, call, answered);
  });
}

void WorkerHost::Execute(std::int64_t life,
                         const WorkerCall& call,
                         const Answered& answered) {
  World& world = this->all->world;
  if (!this->alive)
    return answered(CallOutcome::kConnectionRefused, TimePoint());
  if (life != this->born_ms)
    return answered(CallOutcome::kOtherIncarnation, TimePoint());
  this->Advance();
  const CallOutcome outcome = call(this->worker, this->LocalNow());
  world.Trace(this->LifeName() + " answers " +
              std::to_string(static_cast<int>(outcome)));
  this->Advance();
  if (world.faults.loss > 0 && world.Chance(kLostAnswers))
    return;
  world.After(world.RandomTime(Milliseconds(0), Milliseconds(2)),
              [answered, outcome, time = this->LocalNow()] {
                answered(outcome, time);
              });
}

// --- AgentNode ---

AgentNode::AgentNode(TestEstate& all, std::string name, DriftingClock clock)
    : Node(all, std::move(name), clock), worker(all, *this, clock) {}

void AgentNode::OnStart() {
  this->core = std::make_unique<WorkerAgent>(
      WorkerAgentOptions{.agent = this->name(),
                         .mutations = this->all->options.mutations.agent},
      this->LocalNow());
  this->contact = std::make_unique<LeaderContact>(this->all->Seeds());
  this->reading = {};
  this->known_life = 0;
}

void AgentNode::OnKill() {
  this->core.reset();
  this->contact.reset();
}

void AgentNode::OnTick() {
  const TimePoint now = this->LocalNow();
  this->contact->Add(this->all->Seeds());
  const std::string silent = this->contact->TakeUnresponsive(now);
  if (!silent.empty())
    this->world().silent.erase({.from = this->name(), .to = silent});
  this->worker.Advance();
  this->core->OnTick(now);
  this->RunEffects();
}

void AgentNode::OnAnnounced(const wire::JobWorkerDescription& description,
                            TimePoint worker_time) {
  if (description.born_ms() < this->known_life)
    return;
  this->known_life = description.born_ms();
  this->reading = {.worker = worker_time, .own = this->LocalNow()};
  this->core->OnWorkerAnnounced(description, this->LocalNow());
  this->RunEffects();
}

void AgentNode::OnLeft(const std::string& instance) {
  this->WhenAwake([this, instance] {
    this->core->OnWorkerLeaving(instance, this->LocalNow());
    this->RunEffects();
  });
}

void AgentNode::OnOrders(const wire::AgentOrders& orders,
                         const std::string& from) {
  const TimePoint now = this->LocalNow();
  this->world().Trace(this->name() + " is answered by " + from + " term " +
                      std::to_string(orders.term()) + " leader " +
                      orders.leader_link());
  if (orders.lease_ms() == 0 && orders.term() == 0)
    return this->contact->OnNotLeader(from, orders.leader_link());
  this->contact->OnAnswer(from);
  this->core->OnOrders(orders, now);
  this->RunEffects();
}

TimePoint AgentNode::WorkerTime(TimePoint time) const {
  return this->reading.worker + (time - this->reading.own);
}

void AgentNode::CallWorker(std::int64_t life,
                           WorkerCall call,
                           TimePoint deadline,
                           std::function<void(CallOutcome)> answered) {
  auto settled = std::make_shared<bool>(false);
  const auto settle = [this, settled, answered = std::move(answered),
                       of_life = this->Node::life](CallOutcome outcome) {
    if (this->life != of_life)
      return;
    this->WhenAwake([this, settled, answered, outcome] {
      if (std::exchange(*settled, true))
        return;
      answered(outcome);
      this->RunEffects();
    });
  };
  const auto on_answer = [this, settle, worker_life = life,
                          of_life = this->Node::life](CallOutcome outcome,
                                                      TimePoint worker_time) {
    const bool current = this->IsAlive() && this->life == of_life &&
                         this->known_life == worker_life;
    if (current && worker_time != TimePoint())
      this->reading = {.worker = worker_time, .own = this->LocalNow()};
    settle(outcome);
  };
  this->worker.Call(life, std::move(call), on_answer);
  this->world().After(deadline - this->LocalNow(),
                      [settle] { settle(CallOutcome::kNoAnswer); });
}

void AgentNode::RunEffects() {
  const TimePoint now = this->LocalNow();
  for (AgentEffect& effect : this->core->TakeEffects()) {
    if (auto* report = std::get_if<SendReport>(&effect)) {
      this->Send(std::move(report->report));
    } else if (const auto* start = std::get_if<StartCall>(&effect)) {
      StartCall sent = *start;
      sent.hold_until = this->WorkerTime(start->hold_until);
      this->CallWorker(
          sent.born_ms,
          [sent](ModelWorker& model, TimePoint time) {
            return model.Start(sent, time);
          },
          now + kCallTimeout,
          [this, call = *start](CallOutcome outcome) {
            this->core->OnStartResult(call, outcome, this->LocalNow());
          });
    } else if (const auto* stop = std::get_if<StopCall>(&effect)) {
      this->CallWorker(
          stop->born_ms,
          [call = *stop](ModelWorker& model, TimePoint time) {
            return model.Stop(call, time);
          },
          now + kCallTimeout,
          [this, call = *stop](CallOutcome outcome) {
            this->core->OnStopResult(call, outcome, this->LocalNow());
          });
    } else if (const auto* watch = std::get_if<WatchCall>(&effect)) {
      this->Watch(*watch);
    }
  }
}

// The list is taken when the call is carried out; news are not waited for, so
// that an agent asks more often than the real one.
void AgentNode::Watch(const WatchCall& call) {
  WatchCall sent = call;
  if (call.hold_until != TimePoint())
    sent.hold_until = this->WorkerTime(call.hold_until);
  auto listing = std::make_shared<WorkerListing>();
  this->CallWorker(
      sent.born_ms,
      [sent, listing](ModelWorker& model, TimePoint time) {
        return model.Watch(sent, time, *listing);
      },
      call.answer_deadline,
      [this, call, listing](CallOutcome outcome) {
        this->core->OnWatchResult(call, outcome, *listing, this->LocalNow());
      });
}

void AgentNode::Send(wire::AgentReport report) {
  report.set_process_incarnation(this->incarnation);
  this->world().Trace(this->name() + " reports to " + this->contact->link() +
                      ", worker " + report.worker().instance() +
                      (report.worker_gone() ? " is gone" : ""));
  this->contact->OnSent(this->LocalNow());
  auto* to = static_cast<ControlNode*>(this->all->Find(this->contact->link()));
  this->SendOwn(*to, [to, report] { to->OnAgentReport(report); });
}

// --- GatewayNode ---

void GatewayNode::OnStart() {
  this->StartClient(
      {.links = this->all->Seeds(), .no_leader_timeout = kRefuseAfter});
}

void GatewayNode::OnKill() {
  this->StopClient();
}

void GatewayNode::OnTick() {
  this->TickClient();
}

}  // namespace savoryring
