#include "savoryringd/agent_duty.h"

#include <utility>

#include "libbase/events.h"
#include "libjobs/job_table.h"

namespace savoryring {
namespace {

// Concurrent calls to the worker, besides the pending Watch call.
constexpr std::size_t kCallThreads = 3;
// Maximum time that a notice from the worker waits for the loop to process it.
constexpr Milliseconds kLoopTimeout{500};
constexpr Milliseconds kPublishInterval{1000};

WorkerAgentOptions MakeOptions(const Settings& settings) {
  return {.agent = settings.id,
          .coupling_estimates = settings.scheduling.coupling_estimates,
          .hold_duration = settings.timing.worker_hold};
}

void LogUnconfirmed(const wire::JobWorkerDescription& worker) {
  LogEvent(Event::kWorkerUnconfirmed,
           {{"worker", worker.instance()},
            {"born_ms", std::to_string(worker.born_ms())},
            {"service", worker.service()}});
}

}  // namespace

AgentDuty::AgentDuty(Process& process, std::unique_ptr<LocalWorker> worker)
    : process(&process),
      worker(std::move(worker)),
      link({.bind_address = process.settings().agent_link,
            .sender = process.settings().id,
            .incarnation = process.incarnation()}),
      leader_contact(ControlLinksOf(process.settings())),
      core(MakeOptions(process.settings()), BootClock::now()),
      call_pool(kCallThreads),
      watch_pool(1),
      loop(this->link, *this) {}

AgentDuty::~AgentDuty() {
  this->AgentDuty::Stop();
}

void AgentDuty::Start() {
  this->loop.Start();
}

void AgentDuty::Stop() {
  this->loop.Stop();
}

bool AgentDuty::OnWorkerAnnounced(
    const wire::JobWorkerDescription& description) {
  const auto processed = this->loop.Call<bool>(
      [this, description] {
        return this->core.OnWorkerAnnounced(description, BootClock::now());
      },
      BootClock::now() + kLoopTimeout);
  return processed.has_value();
}

bool AgentDuty::OnWorkerLeaving(const std::string& instance) {
  const auto processed = this->loop.Call<bool>(
      [this, instance] {
        this->core.OnWorkerLeaving(instance, BootClock::now());
        return true;
      },
      BootClock::now() + kLoopTimeout);
  return processed.has_value();
}

void AgentDuty::OnMessage(const Received& message, TimePoint now) {
  if (message.envelope.kind() == wire::AGENT_ORDERS)
    this->OnOrders(message, now);
}

void AgentDuty::OnOrders(const Received& message, TimePoint now) {
  wire::AgentOrders orders;
  if (!orders.ParseFromString(message.envelope.body()))
    return;
  const std::string& from = message.origin.address;
  if (orders.lease_ms() == 0 && orders.term() == 0)
    return this->leader_contact.OnNotLeader(from, orders.leader_link());
  if (this->leader_contact.OnAnswer(from)) {
    LogEvent(Event::kLeaderFound,
             {{"leader", from}, {"term", std::to_string(orders.term())}});
  }
  this->core.OnOrders(orders, now);
}

void AgentDuty::OnTick(TimePoint now) {
  this->ApplyReloadedSettings();
  const bool was_heard = this->leader_contact.IsLeaderResponding();
  const std::string silent = this->leader_contact.TakeUnresponsive(now);
  if (!silent.empty()) {
    if (was_heard)
      LogEvent(Event::kLeaderSilent, {{"leader", silent}});
    this->link.ReplaceConnection(silent);
  }
  if (now < this->publish_deadline)
    return;
  this->publish_deadline = now + kPublishInterval;
  Metrics& metrics = this->process->metrics();
  PublishLinkCounters("agent_link", this->link.counters(), metrics);
  metrics.SetGauge("agent_has_lease", this->core.HasLease(now) ? 1 : 0);
  metrics.SetGauge("agent_fill_pace_percent",
                   this->core.lowest_speed_percent());
  if (!this->process->settings().scheduling.coupling_estimates)
    return;
  for (std::size_t i = 0; i < kOverTargetCauses; ++i) {
    const auto cause = static_cast<OverTargetCause>(i);
    metrics.SetGauge(
        std::string("agent_over_target_ms_") + NameOf(cause),
        static_cast<double>(this->core.over_target().TotalMs(cause)));
  }
}

void AgentDuty::ApplyReloadedSettings() {
  if (this->settings_version == this->process->settings_version())
    return;
  this->settings_version = this->process->settings_version();
  this->leader_contact.Add(this->process->control_links());
}

void AgentDuty::OnBatchEnd(TimePoint now) {
  this->core.OnTick(now);
  this->RunEffects(now);
}

void AgentDuty::RunEffects(TimePoint now) {
  for (const DoubtfulStart& start : this->core.TakeDoubtfulStarts()) {
    LogEvent(Event::kJobStartInDoubt, {{"task", TaskNameText(start.task)},
                                       {"run", std::to_string(start.run)}});
  }
  for (const OverTargetSpan& span : this->core.over_target().TakeSpans()) {
    LogEvent(Event::kServingOverTarget,
             {{"task", span.task},
              {"image", span.image},
              {"cause", NameOf(span.cause)},
              {"ms", std::to_string(span.duration.count())},
              {"omitted", std::to_string(span.omitted)}});
  }
  for (AgentEffect& effect : this->core.TakeEffects()) {
    if (auto* report = std::get_if<SendReport>(&effect)) {
      this->SendAgentReport(std::move(*report), now);
    } else if (const auto* confirm = std::get_if<ConfirmCall>(&effect)) {
      this->call_pool.Run([this, call = *confirm] {
        const CallOutcome outcome = this->worker->Confirm(call);
        if (outcome == CallOutcome::kOtherIncarnation)
          LogUnconfirmed(call.worker);
        this->loop.Post([this, call, outcome] {
          this->core.OnConfirmResult(call, outcome, BootClock::now());
        });
      });
    } else if (const auto* start = std::get_if<StartCall>(&effect)) {
      this->call_pool.Run([this, call = *start] {
        const CallOutcome outcome = this->worker->Start(call);
        this->loop.Post([this, call, outcome] {
          this->core.OnStartResult(call, outcome, BootClock::now());
        });
      });
    } else if (const auto* stop = std::get_if<StopCall>(&effect)) {
      this->call_pool.Run([this, call = *stop] {
        const CallOutcome outcome = this->worker->Stop(call);
        this->loop.Post([this, call, outcome] {
          this->core.OnStopResult(call, outcome, BootClock::now());
        });
      });
    } else if (const auto* throttle = std::get_if<ThrottleCall>(&effect)) {
      LogEvent(Event::kJobRunPaced,
               {{"task", TaskNameText(throttle->task)},
                {"percent", std::to_string(throttle->percent)}});
      this->call_pool.Run([this, call = *throttle] {
        const CallOutcome outcome = this->worker->Throttle(call);
        this->loop.Post([this, call, outcome] {
          this->core.OnThrottleResult(call, outcome);
        });
      });
    } else {
      this->watch_pool.Run([this, call = std::get<WatchCall>(effect)] {
        WorkerListing listing;
        const CallOutcome outcome = this->worker->Watch(call, listing);
        this->loop.Post([this, call, outcome, listing = std::move(listing)] {
          this->core.OnWatchResult(call, outcome, listing, BootClock::now());
        });
      });
    }
  }
}

void AgentDuty::SendAgentReport(SendReport effect, TimePoint now) {
  effect.report.set_process(this->process->settings().id);
  effect.report.set_process_incarnation(this->process->incarnation());
  this->link.Send(this->leader_contact.link(), wire::AGENT_REPORT,
                  effect.report.SerializeAsString());
  this->leader_contact.OnSent(now);
}

}  // namespace savoryring
