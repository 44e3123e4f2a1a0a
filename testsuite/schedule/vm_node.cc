#include <utility>

#include "testsuite/schedule/nodes.h"

namespace savoryring {
namespace {

constexpr Milliseconds kPollInterval{200};

}  // namespace

VmNode::VmNode(TestEstate& test_estate, std::string name, DriftingClock clock)
    : Node(test_estate, name, clock),
      worker(test_estate.simulation, test_estate.ledger, name, clock) {}

void VmNode::OnStart() {
  const Mutations& mutations = this->test_estate->options.mutations;
  this->admission = std::make_unique<Admission>(AdmissionOptions{
      .incarnation = this->incarnation, .mutations = mutations.admission});
  this->runner = std::make_unique<TaskRunner>(
      TaskRunnerOptions{.incarnation = this->incarnation,
                        .lease = this->test_estate->options.lease,
                        .mutations = mutations.runner},
      this->LocalNow());
  this->received_attempts.clear();
  this->cache = {};
  this->leaving = false;
  this->leaving_since = kNever;
  this->heartbeat_deadline = this->announce_deadline = this->poll_deadline =
      TimePoint();
}

void VmNode::OnKill() {
  this->admission.reset();
  this->runner.reset();
}

void VmNode::Leave() {
  this->leaving = true;
  this->leaving_since = this->simulation().now();
  this->admission->Leave(this->LocalNow());
  this->RunAdmissionEffects();
  this->Announce();
}

void VmNode::RestartVm() {
  this->Kill();
  this->worker.Restart();
}

void VmNode::OnHeard(const std::string& from) {
  this->liveness.OnAnswer(from);
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
    this->poll_deadline = now + kPollInterval;
    this->CallWorker([this, now] {
      const auto list = this->worker.List();
      this->RunWhenUnfrozen([this, now, list] {
        this->runner->OnWorkerTasks(list, now, this->LocalNow());
        this->RunTaskEffects();
      });
    });
  }
  if (now >= this->heartbeat_deadline)
    this->SendHeartbeat();
  if (now >= this->announce_deadline)
    this->Announce();
  for (const std::string& peer : this->liveness.TakeUnresponsive(now)) {
    this->simulation().stalled_connections.erase(
        {.from = this->name(), .to = peer});
    if (peer == this->test_estate->controls[this->current_control]->name()) {
      this->current_control =
          (this->current_control + 1) % this->test_estate->controls.size();
    }
  }
}

void VmNode::SendHeartbeat() {
  const TimePoint now = this->LocalNow();
  this->heartbeat_deadline = now + kHeartbeatInterval;
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
  ControlNode& to = *this->test_estate->controls[this->current_control];
  this->liveness.OnSent(to.name(), now);
  this->SendOnOwnConnection(to,
                            [&to, heartbeat, incarnation = this->incarnation] {
                              to.OnHeartbeat(heartbeat, incarnation);
                            });
}

void VmNode::Announce() {
  const TimePoint now = this->LocalNow();
  this->announce_deadline = now + kHeartbeatInterval;
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
  for (const auto& entry : this->test_estate->entries) {
    EntryNode* to = entry.get();
    this->liveness.OnSent(to->name(), now);
    this->SendOnOwnConnection(*to, [to, announcement, name = this->name(),
                                    incarnation = this->incarnation,
                                    revision = this->cache.revision()] {
      to->OnAnnouncement(name, incarnation, announcement, revision);
    });
  }
}

void VmNode::OnOrders(const wire::WorkerOrders& orders,
                      const std::string& from) {
  this->liveness.OnAnswer(from);
  if (!orders.leader_link().empty()) {
    for (std::size_t i = 0; i < this->test_estate->controls.size(); ++i) {
      if (this->test_estate->controls[i]->name() == orders.leader_link())
        this->current_control = i;
    }
    return;
  }
  if (orders.version() == 0 && orders.lease_ms() == 0) {
    this->current_control =
        (this->current_control + 1) % this->test_estate->controls.size();
    return;
  }
  this->runner->OnOrders(orders, this->LocalNow());
  this->RunTaskEffects();
}

// A call to the worker on the same VM is carried out even if this process is
// killed meanwhile.
void VmNode::CallWorker(std::function<void()> call) {
  Milliseconds delay =
      this->simulation().RandomTime(Milliseconds(0), Milliseconds(4));
  if (this->simulation().Chance(0.01))
    delay += this->simulation().RandomTime(Milliseconds(10), Milliseconds(800));
  this->simulation().RunAfter(delay, std::move(call));
}

void VmNode::RunTaskEffects() {
  for (const TaskRunnerEffect& effect : this->runner->TakeEffects()) {
    if (const auto* start = std::get_if<StartTask>(&effect)) {
      this->RunWhenUnfrozen([this, copy = *start] {
        this->CallWorker([this, copy] {
          const bool accepted = this->worker.Start(copy.order, copy.lease_end);
          const TaskRun run{.task = copy.order.task(),
                            .epoch = copy.order.epoch()};
          const bool lost = this->simulation().Chance(0.01);
          this->RunWhenUnfrozen([this, run, accepted, lost] {
            this->runner->OnStartResult(run, accepted && !lost,
                                        this->LocalNow());
          });
        });
      });
    } else if (const auto* renew = std::get_if<RenewLease>(&effect)) {
      this->RunWhenUnfrozen([this, copy = *renew] {
        this->CallWorker(
            [this, copy] { this->worker.Renew(copy.run, copy.lease_end); });
      });
    } else if (const auto* stop = std::get_if<StopTask>(&effect)) {
      this->RunWhenUnfrozen([this, run = stop->run] {
        this->CallWorker([this, run] {
          const auto checkpoint = this->worker.CheckpointAndStop(run);
          this->RunWhenUnfrozen([this, run, checkpoint] {
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
  this->latest_senders[attempt.key] = from;
  this->received_attempts.try_emplace(attempt.key,
                                      ReceivedAttempt{.service = service,
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

void VmNode::OnRevocation(const SendRevocation& revocation,
                          const std::string& from) {
  this->latest_senders[revocation.key] = from;
  this->admission->OnRevocation(revocation.key, revocation.endpoint_incarnation,
                                this->LocalNow());
  this->RunAdmissionEffects();
}

void VmNode::RunAdmissionEffects() {
  for (const AdmissionEffect& effect : this->admission->TakeEffects()) {
    if (const auto* run = std::get_if<RunAttempt>(&effect)) {
      this->RunRequest(run->key);
    } else if (const auto* report = std::get_if<ReportAttempt>(&effect)) {
      const auto found = this->received_attempts.find(report->key);
      const std::string from = found == this->received_attempts.end()
                                   ? this->latest_senders[report->key]
                                   : found->second.from;
      const std::uint64_t request = found == this->received_attempts.end()
                                        ? 0
                                        : found->second.sending.request;
      auto* to = static_cast<EntryNode*>(this->test_estate->Find(from));
      const AttemptStatus status{
          .key = report->key, .state = report->state, .code = report->code};
      if (to != nullptr)
        this->Reply(*to, [to, status, request] {
          to->OnAttemptStatus(status, request);
        });
    }
  }
}

void VmNode::RunRequest(const AttemptKey& key) {
  const ReceivedAttempt& request = this->received_attempts.at(key);
  this->RunWhenUnfrozen([this, key, request] {
    this->ledger().OnRequestRun(request.sending, request.repeatable,
                                this->leaving_since, this->simulation().now());
    const Milliseconds length =
        this->simulation().RandomTime(Milliseconds(2), Milliseconds(120));
    this->simulation().RunAfter(
        length, [this, key, start_count = this->start_count] {
          if (this->start_count != start_count)
            return;
          this->RunWhenUnfrozen([this, key] {
            this->admission->OnRunEnded(key, true, this->LocalNow());
            this->RunAdmissionEffects();
          });
        });
  });
}

void VmNode::OnEstateUpdate(const wire::EstateUpdate& update) {
  if (this->cache.Apply(update))
    this->ledger().OnInForce(this->name() + "/cache", update.revision(), "");
}

}  // namespace savoryring
