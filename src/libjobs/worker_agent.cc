#include "libjobs/worker_agent.h"

#include <algorithm>
#include <utility>

#include "libjobs/job_table.h"

namespace savoryring {
namespace {

// Calls to the worker that are open at one time, beside the watch.
constexpr std::size_t kMostOpenCalls = 4;
// Ends that come together are collected for this long.
constexpr Milliseconds kWatchGap{10};
// What the answer to a watch may take beyond its wait.
constexpr Milliseconds kWatchGrace{700};
// A stop that was answered shows in a list of this much later.
constexpr Milliseconds kStopSettle{300};

bool SameLife(const wire::JobWorkerDescription& a,
              const wire::JobWorkerDescription& b) {
  return a.born_ms() == b.born_ms() && a.instance() == b.instance();
}

}  // namespace

WorkerAgent::WorkerAgent(WorkerAgentOptions options, TimePoint now)
    : options(std::move(options)),
      // An agent before this one may have held the worker just now.
      held_until(now + this->options.hold) {}

// --- The worker ---

bool WorkerAgent::OnAnnounced(wire::JobWorkerDescription description,
                              TimePoint now) {
  description.set_agent(this->options.agent);
  if (this->worker && !SameLife(*this->worker, description)) {
    if (description.born_ms() < this->worker->born_ms())
      return false;
    this->ForgetWorker();
    this->held_until = now;
  }
  if (this->worker && SameLife(*this->worker, description) &&
      this->worker->draining())
    description.set_draining(true);
  const bool changed = !this->worker || this->worker->SerializeAsString() !=
                                            description.SerializeAsString();
  this->worker = std::move(description);
  this->news = this->news || changed;
  this->Advance(now);
  return true;
}

void WorkerAgent::OnLeft(const std::string& instance, TimePoint now) {
  if (!this->worker || this->worker->instance() != instance)
    return;
  this->worker->set_draining(true);
  this->left = true;
  this->news = true;
  this->Advance(now);
}

void WorkerAgent::ForgetOrders() {
  this->starts.clear();
  this->stops.clear();
  this->lease_end = TimePoint();
}

// What was ordered under a lease that has ended may run elsewhere by now.
void WorkerAgent::EndLease(TimePoint now) {
  const bool over = this->lease_end != TimePoint() && now >= this->lease_end;
  if (over && !this->options.mutations.keep_old_orders)
    this->ForgetOrders();
}

void WorkerAgent::ForgetWorker() {
  this->ForgetOrders();
  this->listed.clear();
  this->ended.clear();
  this->rejected.clear();
  this->acknowledged = 0;
  this->has_list = false;
  this->list_current = false;
  this->refused = false;
  this->left = false;
  this->replaced = false;
  this->watching = false;
  this->watch_deadline = TimePoint();
  this->pacer = BestEffortThrottler();
}

bool WorkerAgent::IsOfThisLife(std::int64_t born_ms) const {
  return this->worker && this->worker->born_ms() == born_ms;
}

void WorkerAgent::NoteAnswer(CallOutcome outcome, TimePoint now) {
  if (outcome == CallOutcome::kNoAnswer) {
    this->list_current = false;
    return;
  }
  if (outcome == CallOutcome::kRefused) {
    if (!this->refused)
      this->refused_since = now;
    this->refused = true;
    this->list_current = false;
    return;
  }
  this->refused = false;
  if (outcome == CallOutcome::kNotThisLife) {
    this->replaced = true;
    this->list_current = false;
  }
}

// Whether this life of the worker surely runs nothing.
bool WorkerAgent::IsGone(TimePoint now) const {
  if (this->replaced || (this->left && this->refused))
    return true;
  if (this->refused && now > this->refused_since + this->options.refused)
    return true;
  return !this->list_current &&
         now > this->held_until + this->options.hold_margin;
}

// --- Orders ---

void WorkerAgent::OnOrders(const wire::AgentOrders& orders, TimePoint now) {
  if (orders.term() < this->token || !this->worker)
    return;
  // Also orders without a lease tell the token that calls need.
  this->token = orders.term();
  // The leader may have given up the worker's runs on that report.
  if (orders.echoed_ns() <= this->gone_report_ns)
    return;
  this->EndLease(now);
  const TimePoint end =
      FromNanoseconds(orders.echoed_ns()) + Milliseconds(orders.lease_ms());
  // Orders that travelled for longer than their lease are not carried out.
  if (orders.born_ms() != this->worker->born_ms() || now >= end)
    return;
  this->lease_end = std::max(this->lease_end, end);
  this->acknowledged = std::max(this->acknowledged, orders.acknowledged());
  std::erase_if(this->ended, [this](const wire::TaskEnd& end) {
    return end.number() <= this->acknowledged;
  });
  for (const wire::LearnedImage& learned : orders.learned())
    this->pacer.MergeLearned(learned);
  for (const wire::StartOrder& start : orders.starts()) {
    const std::string name = TaskNameText(start.task());
    const auto stop = this->stops.find(name);
    const bool stopped =
        stop != this->stops.end() && stop->second.run >= start.run();
    if (stopped || this->HasEnded(name, start.run()))
      continue;
    Ordered& ordered = this->starts[name];
    if (ordered.order.run() > start.run())
      continue;
    if (ordered.order.run() != start.run())
      ordered = {};
    ordered.order = start;
  }
  for (const wire::StopOrder& stop : orders.stops()) {
    const std::string name = TaskNameText(stop.task());
    if (this->HasEnded(name, stop.run()))
      continue;
    Stopping& stopping = this->stops[name];
    if (stopping.run >= stop.run())
      continue;
    stopping = {.task = stop.task(), .run = stop.run()};
  }
  this->Advance(now);
}

TimePoint WorkerAgent::HoldUntil(TimePoint now) const {
  const TimePoint most = now + this->options.hold;
  return this->options.mutations.hold_beyond_lease
             ? most
             : std::min(most, this->lease_end);
}

void WorkerAgent::Bar(const wire::TaskName& task,
                      std::uint32_t run,
                      TimePoint confirmed) {
  this->stops[TaskNameText(task)] = {
      .task = task, .run = run, .confirmed = confirmed};
}

bool WorkerAgent::HasEnded(const std::string& task, std::uint32_t run) const {
  return std::ranges::any_of(this->ended, [&](const wire::TaskEnd& end) {
    return end.run() >= run && TaskNameText(end.task()) == task;
  });
}

void WorkerAgent::Advance(TimePoint now) {
  if (!this->worker)
    return;
  this->EndLease(now);
  if (this->HasLease(now)) {
    this->CallStops(now);
    this->CallStarts(now);
  }
  this->CallWatch(now);
}

void WorkerAgent::CallStarts(TimePoint now) {
  std::size_t open = 0;
  for (const auto& [name, ordered] : this->starts)
    open += ordered.calling ? 1 : 0;
  for (auto& [name, ordered] : this->starts) {
    const bool wait = ordered.calling || ordered.confirmed ||
                      now < ordered.retry_deadline ||
                      this->stops.contains(name);
    if (wait || this->worker->draining() || open >= kMostOpenCalls)
      continue;
    ordered.calling = true;
    open += 1;
    const TimePoint until = this->HoldUntil(now);
    this->held_until = std::max(this->held_until, until);
    this->effects.emplace_back(StartCall{.born_ms = this->worker->born_ms(),
                                         .order = ordered.order,
                                         .token = this->token,
                                         .hold_until = until});
  }
}

void WorkerAgent::CallStops(TimePoint now) {
  for (auto& [name, stopping] : this->stops) {
    const auto start = this->starts.find(name);
    const bool starting = start != this->starts.end() && start->second.calling;
    const bool wait = stopping.calling || starting ||
                      stopping.confirmed != TimePoint() ||
                      now < stopping.retry_deadline;
    if (wait)
      continue;
    stopping.calling = true;
    this->effects.emplace_back(StopCall{.born_ms = this->worker->born_ms(),
                                        .task = stopping.task,
                                        .run = stopping.run,
                                        .token = this->token});
  }
}

void WorkerAgent::CallWatch(TimePoint now) {
  const bool idle = this->token == 0;
  if (this->watching || idle || now < this->watch_deadline)
    return;
  this->watching = true;
  this->watch_sent = now;
  // While a call may be on its way unanswered, none may hold for longer.
  const bool hold =
      this->HasLease(now) && (this->list_current || !this->has_list);
  const TimePoint until = hold ? this->HoldUntil(now) : TimePoint();
  this->held_until = std::max(this->held_until, until);
  const Milliseconds wait =
      this->list_current ? this->options.watch : Milliseconds(0);
  this->effects.emplace_back(
      WatchCall{.born_ms = this->worker->born_ms(),
                .token = this->token,
                .acknowledged = this->acknowledged,
                .hold_until = until,
                .news_deadline = now + wait,
                .answer_deadline = now + wait + kWatchGrace});
}

// --- Outcomes ---

void WorkerAgent::OnStarted(const StartCall& call,
                            CallOutcome outcome,
                            TimePoint now) {
  if (!this->IsOfThisLife(call.born_ms))
    return;
  this->NoteAnswer(outcome, now);
  const std::string name = TaskNameText(call.order.task());
  const auto found = this->starts.find(name);
  if (found == this->starts.end() ||
      found->second.order.run() != call.order.run())
    return;
  Ordered& ordered = found->second;
  ordered.calling = false;
  ordered.retry_deadline = now + this->options.retry;
  if (outcome == CallOutcome::kDone) {
    ordered.confirmed = true;
    if (call.order.fills()) {
      this->pacer.OnRunStarted(name, call.order.run());
      this->SendPaces(this->pacer.OnBestEffortRunAdded(this->PacedRuns(), now));
    }
    this->news = true;
  }
  if (outcome == CallOutcome::kNoAnswer || outcome == CallOutcome::kRefused)
    ordered.unsure = true;
  if (outcome == CallOutcome::kEndedBefore) {
    // Its end is in the next list, unless it was stopped before it began.
    this->Bar(call.order.task(), call.order.run(), now);
    this->starts.erase(found);
  }
  if (outcome == CallOutcome::kRejected) {
    const bool unsure = ordered.unsure;
    this->starts.erase(found);
    if (unsure) {
      // An earlier call may still be carried out; a stop bars that run.
      this->Bar(call.order.task(), call.order.run(), TimePoint());
    } else {
      this->AddRejected(call.order.task(), call.order.run());
    }
  }
  this->Advance(now);
}

void WorkerAgent::OnStopped(const StopCall& call,
                            CallOutcome outcome,
                            TimePoint now) {
  if (!this->IsOfThisLife(call.born_ms))
    return;
  this->NoteAnswer(outcome, now);
  const std::string name = TaskNameText(call.task);
  const auto found = this->stops.find(name);
  if (found == this->stops.end() || found->second.run != call.run)
    return;
  Stopping& stopping = found->second;
  stopping.calling = false;
  stopping.retry_deadline = now + this->options.retry;
  if (outcome == CallOutcome::kDone) {
    stopping.confirmed = now;
    const auto start = this->starts.find(name);
    if (start != this->starts.end() && start->second.order.run() <= call.run)
      this->starts.erase(start);
    // Looks again soon, for the end that the stop brings about.
    this->watch_deadline = std::min(this->watch_deadline, now);
  }
  this->Advance(now);
}

void WorkerAgent::OnWatched(const WatchCall& call,
                            CallOutcome outcome,
                            const WorkerListing& listing,
                            TimePoint now) {
  if (!this->IsOfThisLife(call.born_ms))
    return;
  this->watching = false;
  this->NoteAnswer(outcome, now);
  if (outcome != CallOutcome::kDone) {
    this->watch_deadline = now + this->options.retry;
    this->news = this->news || this->has_list;
    this->Advance(now);
    return;
  }
  this->watch_deadline = now + kWatchGap;
  this->has_list = true;
  this->list_current = true;
  this->listed.clear();
  for (const ListedRun& run : listing.running)
    this->listed[TaskNameText(run.task)] = run;
  const std::size_t before = this->ended.size();
  this->ended.clear();
  for (const wire::TaskEnd& end : listing.ended) {
    if (end.number() <= this->acknowledged)
      continue;
    const std::string name = TaskNameText(end.task());
    this->ended.push_back(end);
    this->pacer.OnRunEnded(name);
    const auto start = this->starts.find(name);
    if (start != this->starts.end() && start->second.order.run() <= end.run())
      this->starts.erase(start);
    const auto stop = this->stops.find(name);
    if (stop != this->stops.end() && stop->second.run <= end.run())
      this->stops.erase(stop);
  }
  this->news = this->news || this->ended.size() != before;
  // A stopped run that neither runs nor has ended here never began.
  std::erase_if(this->stops, [&](const auto& item) {
    const Stopping& stopping = item.second;
    const auto running = this->listed.find(item.first);
    const bool still_runs =
        running != this->listed.end() && running->second.run <= stopping.run;
    const bool settled = stopping.confirmed != TimePoint() &&
                         this->watch_sent > stopping.confirmed + kStopSettle;
    if (!settled || still_runs)
      return false;
    this->AddRejected(stopping.task, stopping.run);
    return true;
  });
  this->SendPaces(this->pacer.OnRunsListed(this->PacedRuns(), now));
  this->Advance(now);
}

void WorkerAgent::AddRejected(const wire::TaskName& task, std::uint32_t run) {
  wire::TaskEnd end;
  *end.mutable_task() = task;
  end.set_run(run);
  end.set_how(wire::RUN_END_REJECTED);
  this->rejected.push_back(std::move(end));
  this->news = true;
}

// The listed runs, and fills that have begun since.
std::vector<MeasuredRun> WorkerAgent::PacedRuns() const {
  std::vector<MeasuredRun> runs;
  for (const auto& [name, run] : this->listed) {
    const auto start = this->starts.find(name);
    const bool known =
        start != this->starts.end() && start->second.order.run() == run.run;
    const wire::StartOrder order =
        known ? start->second.order : wire::StartOrder();
    runs.push_back({.task = name,
                    .run = run.run,
                    .image = order.image(),
                    .best_effort = order.fills(),
                    .cpu_milli = order.cpu_milli(),
                    .tail_target_ms = order.tail_target_ms(),
                    .measured = run.measured});
  }
  for (const auto& [name, ordered] : this->starts) {
    const wire::StartOrder& order = ordered.order;
    const bool fresh = ordered.confirmed && order.fills() &&
                       this->ListedRunNumber(name) != order.run();
    if (!fresh)
      continue;
    runs.push_back({.task = name,
                    .run = order.run(),
                    .image = order.image(),
                    .best_effort = true,
                    .cpu_milli = order.cpu_milli()});
  }
  return runs;
}

void WorkerAgent::SendPaces(const std::vector<SpeedChange>& changes) {
  for (const SpeedChange& change : changes) {
    const auto start = this->starts.find(change.task);
    if (start == this->starts.end())
      continue;
    this->effects.emplace_back(PaceCall{.born_ms = this->worker->born_ms(),
                                        .task = start->second.order.task(),
                                        .run = change.run,
                                        .percent = change.percent,
                                        .token = this->token});
  }
}

void WorkerAgent::OnPaced(const PaceCall& call, CallOutcome outcome) {
  if (outcome != CallOutcome::kDone && this->IsOfThisLife(call.born_ms))
    this->pacer.OnSpeedChangeFailed(TaskNameText(call.task));
}

void WorkerAgent::OnTick(TimePoint now) {
  this->Advance(now);
  if (this->news || now >= this->report_deadline)
    this->Report(now);
}

void WorkerAgent::Report(TimePoint now) {
  this->news = false;
  this->report_deadline = now + this->options.report;
  SendReport effect;
  wire::AgentReport& report = effect.report;
  report.set_sent_ns(ToNanoseconds(now));
  report.mutable_worker()->set_agent(this->options.agent);
  if (this->worker)
    *report.mutable_worker() = *this->worker;
  if (this->worker && this->IsGone(now)) {
    report.set_worker_gone(true);
    this->gone_report_ns = report.sent_ns();
    this->ForgetOrders();
    this->listed.clear();
    this->rejected.clear();
  }
  for (const auto& [name, run] : this->listed) {
    const auto start = this->starts.find(name);
    wire::RunStatus* status = report.add_runs();
    *status->mutable_task() = run.task;
    status->set_run(run.run);
    status->set_checkpoint(run.checkpoint);
    status->set_percent(run.percent);
    status->set_measured(run.measured);
    status->set_described(start != this->starts.end() &&
                          start->second.order.run() == run.run);
  }
  for (const auto& [name, ordered] : this->starts) {
    if (this->ListedRunNumber(name) == ordered.order.run())
      continue;
    wire::RunStatus* status = report.add_runs();
    *status->mutable_task() = ordered.order.task();
    status->set_run(ordered.order.run());
    status->set_pending(!ordered.confirmed);
    status->set_described(true);
  }
  wire::WorkerEnds* ends = report.mutable_ends();
  for (const wire::TaskEnd& end : this->ended) {
    *ends->add_ends() = end;
    ends->set_up_to(std::max(ends->up_to(), end.number()));
  }
  for (wire::TaskEnd& end : this->rejected)
    *report.add_rejected() = std::move(end);
  this->rejected.clear();
  this->effects.emplace_back(std::move(effect));
}

std::uint32_t WorkerAgent::ListedRunNumber(const std::string& task) const {
  const auto found = this->listed.find(task);
  return found == this->listed.end() ? 0 : found->second.run;
}

std::vector<AgentEffect> WorkerAgent::TakeEffects() {
  return std::exchange(this->effects, {});
}

}  // namespace savoryring
