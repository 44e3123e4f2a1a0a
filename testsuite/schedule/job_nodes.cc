#include "testsuite/schedule/job_nodes.h"

#include <algorithm>
#include <utility>

#include "libjobs/job_calls.h"
#include "libjobs/job_table.h"
#include "testsuite/schedule/nodes.h"

namespace savoryring {
namespace {

// Capacity of every worker.
constexpr WorkerCapacity kWorkerCapacity{.cpu_milli = 8000, .memory_mb = 8000};
constexpr Milliseconds kCallTimeout{500};
// A gateway refuses a call after this time if no leader can have accepted it.
constexpr Milliseconds kRefuseAfter{1200};
// Longest delay of a call that is carried out late.
constexpr Milliseconds kMaxCallDelay{4000};
// A capacity that has shrunk binds the scheduler after this: the time for which
// calm machines are out of touch, and one heartbeat.
constexpr Milliseconds kShrinkGrace{3000};
// What a worker that has shrunk keeps of its capacity.
constexpr std::uint32_t kMinShrunkPercent = 40;
constexpr std::uint32_t kMaxShrunkPercent = 55;
// A task that crashes its worker takes effect after this, and the worker is
// back after that.
constexpr Milliseconds kMaxCrashDelay{10};
constexpr Milliseconds kCrashedTime{3000};
// What a worker's clock shows when a life begins.
constexpr TimePoint kFirstWorkerTime{std::chrono::minutes(10)};
// Lives that begin in an odd millisecond keep the instance id of the last one.
constexpr std::int64_t kLivesPerNewInstance = 2;
// Probability that the answer to a call is lost.
constexpr double kLostAnswerRate = 0.02;

}  // namespace

// --- WorkerHost ---

WorkerHost::WorkerHost(TestEstate& test_estate,
                       AgentNode& agent,
                       DriftingClock clock)
    : test_estate(&test_estate), agent(&agent), clock(clock) {}

TimePoint WorkerHost::LocalNow() const {
  return kFirstWorkerTime +
         (this->clock.Read(this->test_estate->simulation.now()) -
          this->clock_began);
}

// Whether a call that is meant for the life that began at `born_ms` reaches the
// present one. The worker itself compares instance ids; the agent's client only
// uses connections to the life that is meant, which end with it.
bool WorkerHost::Reaches(std::int64_t born_ms) const {
  if (!this->test_estate->options.mutations.skip_connection_check)
    return born_ms == this->born_ms;
  const auto meant = this->instances.find(born_ms);
  return meant != this->instances.end() &&
         meant->second == this->instances.at(this->born_ms);
}

std::string WorkerHost::IncarnationName() const {
  return this->agent->name() + "/" + std::to_string(this->born_ms);
}

void WorkerHost::Start() {
  if (this->alive)
    return;
  this->alive = true;
  this->draining = false;
  this->crashing = false;
  this->capacity = kWorkerCapacity;
  this->capacity_changes.clear();
  this->shrunk = false;
  this->worker = ModelWorker();
  this->seen_hold_lapses = 0;
  const std::int64_t previous_ms = this->born_ms;
  this->born_ms = ToMilliseconds(this->test_estate->simulation.now());
  this->clock_began = this->clock.Read(this->test_estate->simulation.now());
  const bool keeps_instance =
      previous_ms != 0 && this->born_ms % kLivesPerNewInstance != 0;
  this->instances[this->born_ms] = keeps_instance
                                       ? this->instances.at(previous_ms)
                                       : "i-" + std::to_string(this->born_ms);
  this->fail_starts_until = this->ignore_starts_until =
      this->reject_starts_until = TimePoint();
  this->test_estate->job_ledger.OnIncarnationStarted(
      this->IncarnationName(), kWorkerCapacity,
      this->test_estate->simulation.now());
  this->test_estate->job_ledger.OnZone(this->IncarnationName(), this->zone);
  this->Announce(this->born_ms);
}

void WorkerHost::Restart(Milliseconds pause) {
  if (!this->alive)
    return;
  this->Advance();
  this->alive = false;
  this->test_estate->simulation.Trace(this->IncarnationName() + " dies");
  this->test_estate->job_ledger.OnIncarnationEnded(
      this->IncarnationName(), this->test_estate->simulation.now());
  this->test_estate->simulation.RunAfter(pause, [this] { this->Start(); });
}

void WorkerHost::Drain() {
  if (!this->alive || this->draining)
    return;
  this->draining = true;
  Simulation& simulation = this->test_estate->simulation;
  simulation.Trace(this->IncarnationName() + " drains");
  this->test_estate->job_ledger.OnDraining(this->IncarnationName());
  simulation.RunAfter(
      simulation.RandomTime(Milliseconds(2500), Milliseconds(8000)),
      [this, born_ms = this->born_ms, &simulation] {
        if (!this->alive || this->born_ms != born_ms)
          return;
        this->agent->OnWorkerLeaving(this->instances.at(born_ms));
        this->Restart(
            simulation.RandomTime(Milliseconds(100), Milliseconds(1000)));
      });
}

void WorkerHost::FailStarts(Milliseconds length) {
  this->SetFaulty(this->fail_starts_until, length);
}

void WorkerHost::IgnoreStarts(Milliseconds length) {
  this->SetFaulty(this->ignore_starts_until, length);
}

void WorkerHost::RejectStarts(Milliseconds length) {
  this->SetFaulty(this->reject_starts_until, length);
}

void WorkerHost::SetFaulty(TimePoint& until, Milliseconds length) {
  if (!this->alive)
    return;
  until = this->test_estate->simulation.now() + length;
  this->test_estate->simulation.Trace(this->IncarnationName() +
                                      " is faulty until " +
                                      std::to_string(ToMilliseconds(until)));
  this->test_estate->job_ledger.OnFaulty(this->IncarnationName(), until);
}

// Advances the model and announces the worker, at every heartbeat interval.
void WorkerHost::Announce(std::int64_t born_ms) {
  if (!this->alive || this->born_ms != born_ms)
    return;
  this->Advance();
  wire::JobWorkerDescription description;
  description.set_instance(this->instances.at(born_ms));
  description.set_born_ms(born_ms);
  description.set_service(kService);
  description.set_availability_zone(this->zone);
  description.set_cpu_milli(this->capacity.cpu_milli);
  description.set_memory_mb(this->capacity.memory_mb);
  description.set_draining(this->draining);
  this->agent->RunWhenUnfrozen([this, description, time = this->LocalNow()] {
    this->agent->OnWorkerAnnounced(description, time);
  });
  this->test_estate->simulation.RunAfter(
      kHeartbeatInterval, [this, born_ms] { this->Announce(born_ms); });
}

void WorkerHost::Shrink(Milliseconds length) {
  if (!this->alive || this->shrunk)
    return;
  Simulation& simulation = this->test_estate->simulation;
  simulation.Trace(this->IncarnationName() + " shrinks");
  this->shrunk = true;
  const std::uint32_t percent =
      kMinShrunkPercent + static_cast<std::uint32_t>(simulation.Random(
                              kMaxShrunkPercent - kMinShrunkPercent + 1));
  this->SetCapacity({.cpu_milli = kWorkerCapacity.cpu_milli * percent / 100,
                     .memory_mb = kWorkerCapacity.memory_mb * percent / 100});
  simulation.RunAfter(length, [this, born_ms = this->born_ms] {
    if (!this->alive || this->born_ms != born_ms)
      return;
    this->shrunk = false;
    this->SetCapacity(kWorkerCapacity);
  });
}

void WorkerHost::SetCapacity(const WorkerCapacity& capacity) {
  const TimePoint now = this->test_estate->simulation.now();
  this->capacity_changes.push_back({.before = this->capacity, .at = now});
  this->capacity = capacity;
  this->test_estate->job_ledger.OnCapacity(this->IncarnationName(), capacity,
                                           now);
}

// The largest capacity that the worker had lately.
WorkerCapacity WorkerHost::Limit() const {
  const TimePoint now = this->test_estate->simulation.now();
  WorkerCapacity limit = this->capacity;
  for (const CapacityChange& change : this->capacity_changes) {
    if (now >= change.at + kShrinkGrace + kHeartbeatInterval)
      continue;
    limit.cpu_milli = std::max(limit.cpu_milli, change.before.cpu_milli);
    limit.memory_mb = std::max(limit.memory_mb, change.before.memory_mb);
  }
  return limit;
}

void WorkerHost::Advance() {
  if (!this->alive)
    return;
  this->worker.Advance(this->LocalNow());
  JobLedger& ledger = this->test_estate->job_ledger;
  for (const ModelRunChange& change : this->worker.TakeChanges()) {
    this->test_estate->simulation.Trace(
        this->IncarnationName() + " " + TaskNameText(change.task) + " run " +
        std::to_string(change.run) + (change.started ? " begins" : " ends: ") +
        (change.started ? "" : RunEndName(change.how)));
    ledger.OnRunChange(this->IncarnationName(), this->Limit(), change,
                       this->test_estate->simulation.now());
  }
  if (this->worker.hold_lapses() != this->seen_hold_lapses) {
    this->seen_hold_lapses = this->worker.hold_lapses();
    this->test_estate->simulation.Trace(this->IncarnationName() +
                                        " hold expires");
    ledger.OnHoldLapsed(this->IncarnationName());
  }
  ledger.OnEndsAcknowledged(this->IncarnationName(),
                            this->worker.acknowledged());
}

void WorkerHost::Call(std::int64_t born_ms,
                      WorkerCall call,
                      AnswerCallback on_outcome) {
  Simulation& simulation = this->test_estate->simulation;
  Milliseconds delay = simulation.RandomTime(Milliseconds(0), Milliseconds(4));
  if (simulation.faults.loss_rate > 0 &&
      simulation.Chance(simulation.faults.late_call_rate))
    delay += simulation.RandomTime(Milliseconds(10), kMaxCallDelay);
  simulation.RunAfter(delay, [this, born_ms, call = std::move(call),
                              on_outcome = std::move(on_outcome)] {
    this->Execute(born_ms, call, on_outcome);
  });
}

void WorkerHost::CallStart(const StartCall& call, AnswerCallback on_outcome) {
  const Simulation& simulation = this->test_estate->simulation;
  const bool fails = simulation.now() < this->fail_starts_until;
  const WorkerCall execute = [call, fails](ModelWorker& model, TimePoint now) {
    return model.Start(call, now, fails);
  };
  if (simulation.now() < this->reject_starts_until) {
    return this->Call(
        call.born_ms,
        [](ModelWorker&, TimePoint) { return CallOutcome::kRejected; },
        std::move(on_outcome));
  }
  if (simulation.now() >= this->ignore_starts_until)
    return this->Call(call.born_ms, execute, std::move(on_outcome));
  constexpr double kExecutedLateRate = 0.5;
  Simulation& random = this->test_estate->simulation;
  if (!random.Chance(kExecutedLateRate))
    return;
  random.RunAfter(random.RandomTime(Milliseconds(10), kMaxCallDelay),
                  [this, born_ms = call.born_ms, execute] {
                    this->Execute(born_ms, execute,
                                  [](CallOutcome, TimePoint) {});
                  });
}

void WorkerHost::Execute(std::int64_t born_ms,
                         const WorkerCall& call,
                         const AnswerCallback& on_outcome) {
  Simulation& simulation = this->test_estate->simulation;
  if (!this->alive)
    return on_outcome(CallOutcome::kConnectionRefused, TimePoint());
  if (!this->Reaches(born_ms))
    return on_outcome(CallOutcome::kOtherIncarnation, TimePoint());
  // The worker of an agent that is down advances only at its announcements. Its
  // runs that have ended by now do not count as running when this one starts.
  for (const auto& node : this->test_estate->agents)
    node->worker.Advance();
  const CallOutcome outcome = call(this->worker, this->LocalNow());
  simulation.Trace(this->IncarnationName() + " answers " +
                   std::to_string(static_cast<int>(outcome)));
  this->Advance();
  this->CrashIfDue();
  if (simulation.faults.loss_rate > 0 && simulation.Chance(kLostAnswerRate))
    return;
  simulation.RunAfter(simulation.RandomTime(Milliseconds(0), Milliseconds(2)),
                      [on_outcome, outcome, time = this->LocalNow()] {
                        on_outcome(outcome, time);
                      });
}

void WorkerHost::CrashIfDue() {
  if (this->crashing || !this->worker.IsCrashing())
    return;
  this->crashing = true;
  Simulation& simulation = this->test_estate->simulation;
  simulation.RunAfter(simulation.RandomTime(Milliseconds(1), kMaxCrashDelay),
                      [this, born_ms = this->born_ms] {
                        if (this->born_ms == born_ms)
                          this->Restart(kCrashedTime);
                      });
}

// --- AgentNode ---

AgentNode::AgentNode(TestEstate& test_estate,
                     std::string name,
                     DriftingClock clock)
    : Node(test_estate, std::move(name), clock),
      worker(test_estate, *this, clock) {}

void AgentNode::OnStart() {
  this->core = std::make_unique<WorkerAgent>(
      WorkerAgentOptions{
          .agent = this->name(),
          .mutations = this->test_estate->options.mutations.agent},
      this->LocalNow());
  this->contact =
      std::make_unique<LeaderContact>(this->test_estate->ControlSeeds());
  this->clock_reading = {};
  this->known_born_ms = 0;
  this->announced_clock_reading = {};
  this->announced_born_ms = 0;
}

void AgentNode::OnKill() {
  this->core.reset();
  this->contact.reset();
}

void AgentNode::OnTick() {
  const TimePoint now = this->LocalNow();
  this->contact->Add(this->test_estate->ControlSeeds());
  const std::string silent = this->contact->TakeUnresponsive(now);
  if (!silent.empty())
    this->simulation().stalled_connections.erase(
        {.from = this->name(), .to = silent});
  this->worker.Advance();
  this->core->OnTick(now);
  this->RunEffects();
}

void AgentNode::OnWorkerAnnounced(const wire::JobWorkerDescription& description,
                                  TimePoint worker_time) {
  if (description.born_ms() < this->known_born_ms)
    return;
  const ClockReading reading{.worker = worker_time, .own = this->LocalNow()};
  if (description.born_ms() == this->known_born_ms) {
    this->clock_reading = reading;
  } else {
    this->announced_born_ms = description.born_ms();
    this->announced_clock_reading = reading;
  }
  this->core->OnWorkerAnnounced(description, this->LocalNow());
  this->RunEffects();
}

void AgentNode::HearForeignAnnouncement() {
  wire::JobWorkerDescription description;
  description.set_instance("i-foreign");
  // Later than that of any worker.
  constexpr Milliseconds kAhead{3'600'000};
  description.set_born_ms(ToMilliseconds(this->simulation().now() + kAhead));
  constexpr double kKnownServiceRate = 0.5;
  description.set_service(
      this->simulation().Chance(kKnownServiceRate) ? kService : "elsewhere");
  description.set_cpu_milli(kWorkerCapacity.cpu_milli);
  description.set_memory_mb(kWorkerCapacity.memory_mb);
  this->RunWhenUnfrozen([this, description] {
    this->OnWorkerAnnounced(description, kFirstWorkerTime);
  });
}

void AgentNode::OnWorkerLeaving(const std::string& instance) {
  this->RunWhenUnfrozen([this, instance] {
    this->core->OnWorkerLeaving(instance, this->LocalNow());
    this->RunEffects();
  });
}

void AgentNode::OnOrders(const wire::AgentOrders& orders,
                         const std::string& from) {
  const TimePoint now = this->LocalNow();
  this->simulation().Trace(this->name() + " is answered by " + from + " term " +
                           std::to_string(orders.term()) + " leader " +
                           orders.leader_link());
  if (orders.lease_ms() == 0 && orders.term() == 0)
    return this->contact->OnNotLeader(from, orders.leader_link());
  this->contact->OnAnswer(from);
  this->core->OnOrders(orders, now);
  this->RunEffects();
}

TimePoint AgentNode::WorkerTime(TimePoint time) const {
  return this->clock_reading.worker + (time - this->clock_reading.own);
}

void AgentNode::CallWorker(std::int64_t born_ms,
                           WorkerCall call,
                           TimePoint deadline,
                           std::function<void(CallOutcome)> on_outcome) {
  this->worker.Call(
      born_ms, std::move(call),
      this->ExpectAnswer(born_ms, deadline, std::move(on_outcome)));
}

AnswerCallback AgentNode::ExpectAnswer(
    std::int64_t born_ms,
    TimePoint deadline,
    std::function<void(CallOutcome)> on_outcome) {
  auto settled = std::make_shared<bool>(false);
  const auto settle = [this, settled, on_outcome = std::move(on_outcome),
                       call_start_count =
                           this->start_count](CallOutcome outcome) {
    if (this->start_count != call_start_count)
      return;
    this->RunWhenUnfrozen([this, settled, on_outcome, outcome] {
      if (std::exchange(*settled, true))
        return;
      on_outcome(outcome);
      this->RunEffects();
    });
  };
  this->simulation().RunAfter(deadline - this->LocalNow(),
                              [settle] { settle(CallOutcome::kNoAnswer); });
  return [this, settle, worker_born_ms = born_ms,
          call_start_count = this->start_count](CallOutcome outcome,
                                                TimePoint worker_time) {
    const bool current = this->IsAlive() &&
                         this->start_count == call_start_count &&
                         this->known_born_ms == worker_born_ms;
    if (current && worker_time != TimePoint())
      this->clock_reading = {.worker = worker_time, .own = this->LocalNow()};
    settle(outcome);
  };
}

void AgentNode::Confirm(const ConfirmCall& call) {
  const std::int64_t born_ms = call.worker.born_ms();
  this->CallWorker(
      born_ms,
      [token = call.token](ModelWorker& model, TimePoint now) {
        WorkerListing listing;
        return model.Watch({.token = token}, now, listing);
      },
      call.answer_deadline,
      [this, call, born_ms](CallOutcome outcome) {
        if (outcome == CallOutcome::kDone && this->announced_born_ms != born_ms)
          outcome = CallOutcome::kNoAnswer;
        if (outcome == CallOutcome::kDone) {
          this->known_born_ms = born_ms;
          this->clock_reading = this->announced_clock_reading;
        }
        this->core->OnConfirmResult(call, outcome, this->LocalNow());
      });
}

void AgentNode::RunEffects() {
  const TimePoint now = this->LocalNow();
  for (AgentEffect& effect : this->core->TakeEffects()) {
    if (auto* report = std::get_if<SendReport>(&effect)) {
      this->Send(std::move(report->report));
    } else if (const auto* confirm = std::get_if<ConfirmCall>(&effect)) {
      this->Confirm(*confirm);
    } else if (const auto* start = std::get_if<StartCall>(&effect)) {
      StartCall sent = *start;
      sent.hold_until = this->WorkerTime(start->hold_until);
      this->worker.CallStart(
          sent, this->ExpectAnswer(sent.born_ms, now + kCallTimeout,
                                   [this, call = *start](CallOutcome outcome) {
                                     this->core->OnStartResult(
                                         call, outcome, this->LocalNow());
                                   }));
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

// The listing is taken when the call is carried out, and names the life that
// answers. Unlike a real worker, the model does not hold the call until
// something changes, so agents poll more often here.
void AgentNode::Watch(const WatchCall& call) {
  WatchCall sent = call;
  if (call.hold_until != TimePoint())
    sent.hold_until = this->WorkerTime(call.hold_until);
  auto listing = std::make_shared<WorkerListing>();
  this->CallWorker(
      sent.born_ms,
      [this, sent, listing](ModelWorker& model, TimePoint time) {
        const CallOutcome outcome = model.Watch(sent, time, *listing);
        return sent.born_ms == this->worker.current_born_ms()
                   ? outcome
                   : CallOutcome::kOtherIncarnation;
      },
      call.answer_deadline,
      [this, call, listing](CallOutcome outcome) {
        this->core->OnWatchResult(call, outcome, *listing, this->LocalNow());
      });
}

void AgentNode::Send(wire::AgentReport report) {
  report.set_process_incarnation(this->incarnation);
  this->simulation().Trace(
      this->name() + " reports to " + this->contact->link() + ", worker " +
      report.worker().instance() + (report.worker_gone() ? " is gone" : ""));
  this->contact->OnSent(this->LocalNow());
  auto* to =
      static_cast<ControlNode*>(this->test_estate->Find(this->contact->link()));
  this->SendOnOwnConnection(*to, [to, report] { to->OnAgentReport(report); });
}

// --- GatewayNode ---

void GatewayNode::OnStart() {
  this->StartClient({.links = this->test_estate->ControlSeeds(),
                     .no_leader_timeout = kRefuseAfter});
}

void GatewayNode::OnKill() {
  this->StopClient();
}

void GatewayNode::OnTick() {
  this->TickClient();
}

}  // namespace savoryring
