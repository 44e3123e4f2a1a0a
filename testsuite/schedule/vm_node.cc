#include <utility>

#include "testsuite/schedule/nodes.h"

namespace savoryring {
namespace {

constexpr Milliseconds kPoll{200};

}  // namespace

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
  for (const std::string& peer : this->liveness.TakeUnresponsive(now)) {
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
  this->liveness.OnAnswer(from);
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

void VmNode::OnBar(const SendRevocation& bar, const std::string& from) {
  this->askers[bar.key] = from;
  this->admission->OnRevocation(bar.key, bar.endpoint_incarnation,
                                this->LocalNow());
  this->RunAdmissionEffects();
}

void VmNode::RunAdmissionEffects() {
  for (const AdmissionEffect& effect : this->admission->TakeEffects()) {
    if (const auto* run = std::get_if<RunAttempt>(&effect)) {
      this->RunRequest(run->key);
    } else if (const auto* tell = std::get_if<ReportAttempt>(&effect)) {
      const auto kept_place = this->kept.find(tell->key);
      const std::string from = kept_place == this->kept.end()
                                   ? this->askers[tell->key]
                                   : kept_place->second.from;
      const std::uint64_t request = kept_place == this->kept.end()
                                        ? 0
                                        : kept_place->second.sending.request;
      auto* to = static_cast<EntryNode*>(this->all->Find(from));
      const AttemptStatus news{
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

}  // namespace savoryring
