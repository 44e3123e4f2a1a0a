#include "libjobs/worker_agent.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libjobs/job_table.h"

namespace savoryring {
namespace {

// Limit on concurrent start calls to the worker.
constexpr std::size_t kMaxOpenStartCalls = 4;
// A worker that leaves this many start calls in a row without an answer may do
// so for long; the run, and those that were not issued yet, are placed
// elsewhere.
constexpr int kMaxUnansweredStartCalls = 2;
// Delay between two watch calls, so that ends that occur together are listed
// in one answer.
constexpr Milliseconds kWatchInterval{10};
// Time allowed for the answer to a watch call, on top of its wait.
constexpr Milliseconds kWatchAnswerMargin{700};
// Time allowed for the answer to a confirm call, and for the check of a new
// connection before it.
constexpr Milliseconds kConfirmTimeout{1400};
// A listing requested more than this after the answer to a stop call shows the
// effect of that stop.
constexpr Milliseconds kStopVisibleDelay{300};
// The worker lists at most this many ends in one answer, as its protocol says.
constexpr std::size_t kMaxListedEnds = 500;

bool SameIncarnation(const wire::JobWorkerDescription& a,
                     const wire::JobWorkerDescription& b) {
  return a.born_ms() == b.born_ms() && a.instance() == b.instance();
}

// What is reported at once when it changes. Only whether the worker is cold is,
// not for how long.
std::string ReportedDescription(const wire::JobWorkerDescription& worker) {
  wire::JobWorkerDescription copy = worker;
  copy.set_cold_remaining_ms(worker.cold_remaining_ms() > 0 ? 1 : 0);
  return copy.SerializeAsString();
}

}  // namespace

WorkerAgent::WorkerAgent(WorkerAgentOptions options, TimePoint now)
    : options(std::move(options)),
      // A previous agent process may have called the worker just before this
      // one started.
      predecessor_calls_end(now + this->options.hold_duration +
                            this->options.hold_margin),
      held_until(now + this->options.hold_duration),
      answered_report_ns(ToNanoseconds(now)),
      last_active(now),
      throttler({.coupling_estimates = this->options.coupling_estimates}) {}

// What the worker announced while this process was paused may be processed
// after the orders of that time.
void WorkerAgent::NoticePause(TimePoint now) {
  if (now > this->last_active + this->options.max_pause)
    this->hear_worker_by = now + this->options.announcement_wait;
  this->last_active = now;
}

// --- The worker ---

bool WorkerAgent::OnWorkerAnnounced(wire::JobWorkerDescription description,
                                    TimePoint now) {
  this->NoticePause(now);
  description.set_agent(this->options.agent);
  if (this->worker && SameIncarnation(*this->worker, description)) {
    // A worker keeps its service for life.
    if (description.service() != this->worker->service())
      return false;
    this->UpdateWorker(std::move(description), now);
    this->IssueCalls(now);
    return true;
  }
  // An announcement of an earlier life may come late.
  const bool other_is_likelier =
      this->candidate && !this->IsCandidate(description) &&
      description.born_ms() < this->candidate->born_ms() &&
      now < this->candidate_deadline;
  if (other_is_likelier)
    return true;
  if (this->options.mutations.skip_confirmation) {
    this->ReplaceWorker(std::move(description), now);
    this->IssueCalls(now);
    return true;
  }
  if (!this->IsCandidate(description))
    this->next_confirm = now;
  else if (this->candidate->draining())
    description.set_draining(true);
  this->candidate = std::move(description);
  this->candidate_deadline = now + this->options.announcement_wait;
  this->IssueCalls(now);
  return true;
}

bool WorkerAgent::IsCandidate(
    const wire::JobWorkerDescription& description) const {
  return this->candidate && SameIncarnation(*this->candidate, description);
}

void WorkerAgent::IssueConfirmCall(TimePoint now) {
  if (this->candidate && now >= this->candidate_deadline)
    this->candidate.reset();
  const bool no_token = this->token == 0;
  if (!this->candidate || this->confirm_open || no_token ||
      now < this->next_confirm)
    return;
  this->confirm_open = true;
  this->effects.emplace_back(
      ConfirmCall{.worker = *this->candidate,
                  .token = this->token,
                  .answer_deadline = now + kConfirmTimeout});
}

void WorkerAgent::OnConfirmResult(const ConfirmCall& call,
                                  CallOutcome outcome,
                                  TimePoint now) {
  this->confirm_open = false;
  // It may have announced itself again since, and so may another one.
  const bool is_candidate = this->IsCandidate(call.worker);
  if (outcome == CallOutcome::kDone) {
    this->ReplaceWorker(is_candidate ? *this->candidate : call.worker, now);
  } else {
    this->next_confirm = now + this->options.retry_delay;
  }
  const bool settled = outcome == CallOutcome::kDone ||
                       outcome == CallOutcome::kOtherIncarnation;
  if (settled && is_candidate)
    this->candidate.reset();
  this->IssueCalls(now);
}

void WorkerAgent::ReplaceWorker(wire::JobWorkerDescription description,
                                TimePoint now) {
  if (this->worker) {
    this->RecordCrash();
    this->ForgetWorker();
    this->held_until = now;
  }
  this->UpdateWorker(std::move(description), now);
}

void WorkerAgent::UpdateWorker(wire::JobWorkerDescription description,
                               TimePoint now) {
  if (this->worker && SameIncarnation(*this->worker, description)) {
    description.set_draining(description.draining() ||
                             this->worker->draining());
    description.set_replaces_born_ms(this->worker->replaces_born_ms());
  }
  this->HoldStartsIfUnknown(description, now);
  const bool changed = !this->worker || ReportedDescription(*this->worker) !=
                                            ReportedDescription(description);
  this->worker = std::move(description);
  this->last_heard = now;
  this->report_pending = this->report_pending || changed;
}

// The leader may have assigned runs for which there is no room any more, and
// withdraws them when it learns of that. The worker may have shrunk before this
// process heard it for the first time.
void WorkerAgent::HoldStartsIfUnknown(
    const wire::JobWorkerDescription& description,
    TimePoint now) {
  const bool paused = now < this->hear_worker_by;
  this->hear_worker_by = TimePoint();
  const bool known = this->worker && !paused &&
                     SameIncarnation(*this->worker, description) &&
                     description.cpu_milli() >= this->worker->cpu_milli() &&
                     description.memory_mb() >= this->worker->memory_mb() &&
                     description.accelerators() >= this->worker->accelerators();
  if (known)
    return;
  this->unknown_room_ns = ToNanoseconds(now);
  this->report_pending = true;
}

void WorkerAgent::OnWorkerLeaving(const std::string& instance, TimePoint now) {
  if (this->candidate && this->candidate->instance() == instance)
    this->candidate.reset();
  if (!this->worker || this->worker->instance() != instance)
    return;
  this->worker->set_draining(true);
  this->leaving = true;
  this->report_pending = true;
  this->IssueCalls(now);
}

void WorkerAgent::ForgetOrders() {
  for (const auto& [name, start_state] : this->starts) {
    if (start_state.call_open || start_state.maybe_started ||
        start_state.confirmed)
      this->doubtful_runs[name] = start_state.order.run();
  }
  for (const auto& [name, stop_state] : this->stops) {
    if (stop_state.confirmed_at != TimePoint())
      continue;
    std::uint32_t& run = this->doubtful_runs[name];
    run = std::max(run, stop_state.run);
  }
  this->starts.clear();
  this->stops.clear();
  this->lease_end = TimePoint();
}

// Drops the orders received under a lease that has expired: the leader may have
// reassigned those runs to other workers.
void WorkerAgent::EndExpiredLease(TimePoint now) {
  const bool over = this->lease_end != TimePoint() && now >= this->lease_end;
  if (over && !this->options.mutations.keep_orders_past_lease)
    this->ForgetOrders();
}

void WorkerAgent::ForgetWorker() {
  this->ForgetOrders();
  this->doubtful_runs.clear();
  this->listed.clear();
  this->ended.clear();
  this->rejections.clear();
  this->acknowledged = 0;
  this->has_list = false;
  this->list_is_current = false;
  this->ends_are_cut = false;
  this->connection_refused = false;
  this->leaving = false;
  this->replaced = false;
  this->watch_open = false;
  this->watch_hold_until = TimePoint();
  this->next_watch = TimePoint();
  this->unknown_room_ns = 0;
  this->overfilled = false;
  this->unanswered_start_calls = 0;
  this->life_to_replace = 0;
  this->throttler.OnWorkerReplaced();
  this->over_target_monitor.OnWorkerReplaced();
}

bool WorkerAgent::IsCurrentIncarnation(std::int64_t born_ms) const {
  return this->worker && this->worker->born_ms() == born_ms;
}

void WorkerAgent::RecordOutcome(CallOutcome outcome, TimePoint now) {
  if (outcome == CallOutcome::kNoAnswer) {
    this->list_is_current = false;
    return;
  }
  if (outcome == CallOutcome::kConnectionRefused) {
    if (!this->connection_refused)
      this->refused_since = now;
    this->last_refused = now;
    this->connection_refused = true;
    this->list_is_current = false;
    return;
  }
  this->connection_refused = false;
  if (outcome == CallOutcome::kOtherIncarnation) {
    this->replaced = true;
    this->list_is_current = false;
    return;
  }
  this->last_heard = now;
}

// Whether it is certain that this worker incarnation runs nothing.
bool WorkerAgent::IsWorkerGone(TimePoint now) const {
  if (this->replaced || (this->leaving && this->connection_refused))
    return true;
  // Time alone shows nothing: this process may have been frozen since.
  if (this->connection_refused &&
      this->last_refused >= this->refused_since + this->options.refused_timeout)
    return true;
  const TimePoint held = std::max(this->held_until, this->watch_hold_until);
  return !this->list_is_current && now > held + this->options.hold_margin;
}

// --- Orders ---

// Orders that newer ones have overtaken may start runs whose rejection the
// leader has processed since. So may orders that answer an earlier process of
// the agent; if that ran before its VM restarted, they echo a time that is
// still to come.
bool WorkerAgent::IsOvertaken(const wire::AgentOrders& orders,
                              TimePoint now) const {
  return orders.echoed_ns() < this->answered_report_ns ||
         orders.echoed_ns() > ToNanoseconds(now);
}

void WorkerAgent::OnOrders(const wire::AgentOrders& orders, TimePoint now) {
  this->NoticePause(now);
  if (orders.term() < this->token)
    return;
  if (orders.term() > this->token)
    this->learned_report_ns = 0;
  // Orders without a lease also carry the token, which every call needs.
  this->token = orders.term();
  this->IssueConfirmCall(now);
  if (!this->worker)
    return;
  if (this->crash && orders.counted_crash_ms() >= this->crash->born_ms())
    this->crash.reset();
  if (this->IsOvertaken(orders, now))
    return;
  this->answered_report_ns = orders.echoed_ns();
  if (this->learned_report_ns != 0 &&
      orders.echoed_ns() >= this->learned_report_ns)
    this->learned_reported_term = this->token;
  if (orders.known_born_ms() != 0 &&
      orders.known_born_ms() != this->life_to_replace) {
    this->life_to_replace = orders.known_born_ms();
    this->life_to_replace_heard = now;
  }
  // Skips orders that answer the latest `worker_gone` report or an earlier one:
  // on that report the leader may have released the worker's runs.
  if (orders.echoed_ns() <= this->last_gone_report_ns)
    return;
  this->EndExpiredLease(now);
  const TimePoint end =
      FromNanoseconds(orders.echoed_ns()) + Milliseconds(orders.lease_ms());
  // Orders for another incarnation, or received after their lease expired, are
  // ignored.
  if (orders.born_ms() != this->worker->born_ms() || now >= end)
    return;
  if (orders.echoed_ns() >= this->unknown_room_ns)
    this->unknown_room_ns = 0;
  this->overfilled = orders.overfilled();
  this->start_deadline = orders.start_within_ms() == 0
                             ? kNever
                             : FromNanoseconds(orders.echoed_ns()) +
                                   Milliseconds(orders.start_within_ms());
  this->lease_end = std::max(this->lease_end, end);
  this->acknowledged = std::max(this->acknowledged, orders.acknowledged());
  std::erase_if(this->ended, [this](const wire::TaskEnd& end) {
    return end.number() <= this->acknowledged;
  });
  std::erase_if(this->rejections, [&orders](const auto& item) {
    const std::uint64_t first_report_ns = item.second.first_report_ns;
    return first_report_ns != 0 && orders.echoed_ns() >= first_report_ns;
  });
  for (const wire::LearnedImage& learned : orders.learned())
    this->throttler.MergeLearned(learned);
  for (const wire::StartOrder& start : orders.starts()) {
    const std::string name = TaskNameText(start.task());
    const auto stop = this->stops.find(name);
    const bool stopped =
        stop != this->stops.end() && stop->second.run >= start.run();
    // The leader may not know of the rejection yet, or may already have
    // assigned the task to another worker.
    if (stopped || this->HasEnded(name, start.run()) ||
        this->IsRejected(name, start.run()))
      continue;
    StartState& start_state = this->starts[name];
    if (start_state.order.run() > start.run())
      continue;
    if (start_state.order.run() != start.run())
      start_state = {};
    start_state.order = start;
    if (!this->predecessor_runs_listed)
      start_state.maybe_started = true;
    const auto doubtful = this->doubtful_runs.find(name);
    if (doubtful != this->doubtful_runs.end()) {
      if (doubtful->second == start.run())
        start_state.maybe_started = true;
      this->doubtful_runs.erase(doubtful);
    }
  }
  for (const wire::StopOrder& stop : orders.stops()) {
    const std::string name = TaskNameText(stop.task());
    if (this->HasEnded(name, stop.run()))
      continue;
    StopState& stop_state = this->stops[name];
    if (stop_state.run >= stop.run())
      continue;
    stop_state = {.task = stop.task(), .run = stop.run()};
  }
  this->IssueCalls(now);
}

bool WorkerAgent::MayIssueStarts(TimePoint now) const {
  if (this->options.mutations.start_when_shrunk)
    return true;
  return this->unknown_room_ns == 0 && !this->overfilled &&
         now >= this->hear_worker_by && now < this->start_deadline;
}

TimePoint WorkerAgent::HoldDeadline(TimePoint now) const {
  const TimePoint latest = now + this->options.hold_duration;
  return this->options.mutations.hold_beyond_lease
             ? latest
             : std::min(latest, this->lease_end);
}

void WorkerAgent::AddStop(const wire::TaskName& task,
                          std::uint32_t run,
                          TimePoint confirmed_at) {
  this->stops[TaskNameText(task)] = {
      .task = task, .run = run, .confirmed_at = confirmed_at};
}

bool WorkerAgent::HasEnded(const std::string& task, std::uint32_t run) const {
  return std::ranges::any_of(this->ended, [&](const wire::TaskEnd& end) {
    return end.run() >= run && TaskNameText(end.task()) == task;
  });
}

bool WorkerAgent::IsRejected(const std::string& task, std::uint32_t run) const {
  const auto found = this->rejections.find(task);
  return found != this->rejections.end() && found->second.run >= run;
}

void WorkerAgent::IssueCalls(TimePoint now) {
  this->NoticePause(now);
  this->IssueConfirmCall(now);
  if (!this->worker)
    return;
  this->EndExpiredLease(now);
  if (this->worker->draining())
    this->StopUnstartedRuns();
  if (this->HasLease(now)) {
    this->IssueStopCalls(now);
    this->IssueStartCalls(now);
  }
  this->IssueWatchCall(now);
}

// A draining worker gets no new runs, but may stay for many seconds. The leader
// assigned these runs before it knew, and places them elsewhere once they are
// stopped. An earlier process of this agent may have started some of them:
// these are listed, or a stop prevents them from starting late.
void WorkerAgent::StopUnstartedRuns() {
  if (!this->list_is_current)
    return;
  std::erase_if(this->starts, [this](const auto& item) {
    const auto& [name, start_state] = item;
    const wire::StartOrder& order = start_state.order;
    if (start_state.confirmed || start_state.call_open ||
        this->stops.contains(name) ||
        this->ListedRunNumber(name) == order.run())
      return false;
    this->AddStop(order.task(), order.run(), TimePoint());
    return true;
  });
}

void WorkerAgent::IssueStartCalls(TimePoint now) {
  if (!this->MayIssueStarts(now))
    return;
  std::size_t open = 0;
  for (const auto& [name, start_state] : this->starts)
    open += start_state.call_open ? 1 : 0;
  for (auto& [name, start_state] : this->starts) {
    const bool not_due = start_state.call_open || start_state.confirmed ||
                         now < start_state.next_attempt ||
                         this->stops.contains(name);
    if (not_due || this->worker->draining() || open >= kMaxOpenStartCalls)
      continue;
    start_state.call_open = true;
    start_state.call_sent = now;
    start_state.call_number = ++this->last_start_call;
    open += 1;
    const TimePoint hold_until =
        std::min(this->HoldDeadline(now), now + this->options.start_window);
    this->held_until = std::max(this->held_until, hold_until);
    this->effects.emplace_back(StartCall{.born_ms = this->worker->born_ms(),
                                         .order = start_state.order,
                                         .token = this->token,
                                         .hold_until = hold_until,
                                         .number = start_state.call_number});
  }
}

// A worker that answers no starts would let each run wait for its own
// time-outs. Runs ordered later are tried again.
void WorkerAgent::StopUnissuedRuns() {
  if (!this->has_list)
    return;
  std::erase_if(this->starts, [this](const auto& item) {
    const auto& [name, start_state] = item;
    const wire::StartOrder& order = start_state.order;
    if (start_state.call_number != 0 || this->stops.contains(name) ||
        this->ListedRunNumber(name) == order.run())
      return false;
    this->AddStop(order.task(), order.run(), TimePoint());
    return true;
  });
}

void WorkerAgent::CountUnansweredStart(const StartCall& call,
                                       CallOutcome outcome) {
  if (outcome == CallOutcome::kConnectionRefused)
    return;
  if (outcome != CallOutcome::kNoAnswer) {
    this->unanswered_start_calls = 0;
    return;
  }
  if (call.number > this->counted_start_call) {
    this->unanswered_start_calls += 1;
    this->counted_start_call = this->last_start_call;
  }
  if (this->unanswered_start_calls >= kMaxUnansweredStartCalls)
    this->StopUnissuedRuns();
}

void WorkerAgent::IssueStopCalls(TimePoint now) {
  for (auto& [name, stop_state] : this->stops) {
    const auto start = this->starts.find(name);
    const bool starting =
        start != this->starts.end() && start->second.call_open;
    const bool not_due = stop_state.call_open || starting ||
                         stop_state.confirmed_at != TimePoint() ||
                         now < stop_state.next_attempt;
    if (not_due)
      continue;
    stop_state.call_open = true;
    this->effects.emplace_back(StopCall{.born_ms = this->worker->born_ms(),
                                        .task = stop_state.task,
                                        .run = stop_state.run,
                                        .token = this->token});
  }
}

void WorkerAgent::IssueWatchCall(TimePoint now) {
  const bool no_token = this->token == 0;
  if (this->watch_open || no_token || now < this->next_watch)
    return;
  this->watch_open = true;
  this->watch_sent = now;
  // After an unanswered call, watch calls do not extend the hold until one is
  // answered, so that the hold of an unreachable worker expires.
  const bool extend_hold =
      this->HasLease(now) && (this->list_is_current || !this->has_list);
  const TimePoint hold_until =
      extend_hold ? this->HoldDeadline(now) : TimePoint();
  this->watch_hold_until = hold_until;
  const TimePoint wait_deadline = this->WatchDeadline(now);
  this->effects.emplace_back(
      WatchCall{.born_ms = this->worker->born_ms(),
                .token = this->token,
                .acknowledged = this->acknowledged,
                .hold_until = hold_until,
                .wait_deadline = wait_deadline,
                .answer_deadline = wait_deadline + kWatchAnswerMargin});
}

// Stops of runs that are not listed are settled by the first listing that shows
// their effect, which no end announces.
TimePoint WorkerAgent::WatchDeadline(TimePoint now) const {
  if (!this->list_is_current)
    return now;
  TimePoint deadline = now + this->options.max_watch_wait;
  for (const auto& [name, start_state] : this->starts) {
    const bool awaited = start_state.order.suspect() && start_state.confirmed &&
                         !this->HasSurvived(start_state);
    if (awaited) {
      const TimePoint survived =
          start_state.begun_by + this->options.survival_time + kWatchInterval;
      deadline = std::min(deadline, std::max(now, survived));
    }
  }
  // Ends that did not fit appear once the leader has acknowledged others.
  if (this->ends_are_cut)
    return deadline;
  for (const auto& [name, stop_state] : this->stops) {
    if (this->StillRuns(name, stop_state.run))
      continue;
    const bool confirmed = stop_state.confirmed_at != TimePoint();
    const TimePoint visible =
        (confirmed ? stop_state.confirmed_at : now) + kStopVisibleDelay;
    deadline = std::min(deadline, std::max(now, visible));
  }
  return deadline;
}

bool WorkerAgent::StillRuns(const std::string& task, std::uint32_t run) const {
  const auto found = this->listed.find(task);
  return found != this->listed.end() && found->second.run <= run;
}

// --- Outcomes ---

void WorkerAgent::OnStartResult(const StartCall& call,
                                CallOutcome outcome,
                                TimePoint now) {
  if (!this->IsCurrentIncarnation(call.born_ms))
    return;
  this->RecordOutcome(outcome, now);
  this->CountUnansweredStart(call, outcome);
  const std::string name = TaskNameText(call.order.task());
  const auto found = this->starts.find(name);
  // A call of a lease that has expired is not the latest call for its run.
  if (found == this->starts.end() || found->second.call_number != call.number)
    return;
  StartState& start_state = found->second;
  start_state.call_open = false;
  start_state.next_attempt = now + this->options.retry_delay;
  if (outcome == CallOutcome::kDone) {
    start_state.confirmed = true;
    start_state.RecordBegun(now);
    if (call.order.fills()) {
      this->throttler.OnRunStarted(name, call.order.run());
      this->IssueThrottleCalls(
          this->throttler.OnBestEffortRunAdded(this->RunsToThrottle(), now));
    }
    this->report_pending = true;
  }
  if (outcome == CallOutcome::kNoAnswer) {
    start_state.maybe_started = true;
    start_state.begun_by = kNever;
    start_state.unanswered_calls += 1;
  } else if (outcome == CallOutcome::kConnectionRefused) {
    // The worker's process may be about to listen; `refused_timeout` decides.
    start_state.maybe_started = true;
  } else {
    start_state.unanswered_calls = 0;
  }
  const bool give_up =
      start_state.unanswered_calls >= kMaxUnansweredStartCalls &&
      this->ListedRunNumber(name) != call.order.run();
  if (outcome == CallOutcome::kAlreadyEnded) {
    // The end of the run is in the next listing, unless the run was stopped
    // before it started.
    this->AddStop(call.order.task(), call.order.run(), now);
    this->starts.erase(found);
  }
  if (give_up) {
    // The worker may still execute an unanswered call; a stop prevents that run
    // from starting.
    this->starts.erase(found);
    this->AddStop(call.order.task(), call.order.run(), TimePoint());
  }
  if (outcome == CallOutcome::kRejected)
    this->OnStartRejected(name, now);
  this->IssueCalls(now);
}

// A rejection says nothing about other calls, of this process or an earlier
// one. A run that one of them may have started is kept if the worker lists it,
// and stopped otherwise; before the first list it waits. Only a run that no
// call can have started is reported as rejected.
void WorkerAgent::OnStartRejected(const std::string& name, TimePoint now) {
  StartState& start_state = this->starts.at(name);
  if (start_state.maybe_started && !this->has_list) {
    start_state.next_attempt = kNever;
    return;
  }
  const wire::StartOrder order = start_state.order;
  if (this->ListedRunNumber(name) == order.run()) {
    start_state.confirmed = true;
    start_state.RecordBegun(now);
    return;
  }
  if (start_state.maybe_started) {
    this->doubtful_starts.push_back({.task = order.task(), .run = order.run()});
    this->AddStop(order.task(), order.run(), TimePoint());
  } else {
    this->AddRejection(order.task(), order.run());
  }
  this->starts.erase(name);
}

void WorkerAgent::OnStopResult(const StopCall& call,
                               CallOutcome outcome,
                               TimePoint now) {
  if (!this->IsCurrentIncarnation(call.born_ms))
    return;
  this->RecordOutcome(outcome, now);
  const std::string name = TaskNameText(call.task);
  const auto found = this->stops.find(name);
  if (found == this->stops.end() || found->second.run != call.run)
    return;
  StopState& stop_state = found->second;
  stop_state.call_open = false;
  stop_state.next_attempt = now + this->options.retry_delay;
  if (outcome == CallOutcome::kDone) {
    stop_state.confirmed_at = now;
    const auto start = this->starts.find(name);
    if (start != this->starts.end() && start->second.order.run() <= call.run)
      this->starts.erase(start);
    // Requests a listing soon, for the end caused by the stop.
    this->next_watch = std::min(this->next_watch, now);
  }
  this->IssueCalls(now);
}

void WorkerAgent::OnWatchResult(const WatchCall& call,
                                CallOutcome outcome,
                                const WorkerListing& listing,
                                TimePoint now) {
  if (!this->IsCurrentIncarnation(call.born_ms))
    return;
  this->watch_open = false;
  this->RecordOutcome(outcome, now);
  // A worker that rejects a watch call has done nothing.
  if (outcome != CallOutcome::kRejected && outcome != CallOutcome::kStaleToken)
    this->held_until = std::max(this->held_until, call.hold_until);
  this->watch_hold_until = TimePoint();
  // The holder of the newer token may have extended the hold just now.
  if (outcome == CallOutcome::kStaleToken) {
    this->held_until =
        std::max(this->held_until, now + this->options.hold_duration);
  }
  if (outcome != CallOutcome::kDone) {
    this->list_is_current = false;
    this->next_watch = now + this->options.retry_delay;
    this->report_pending = this->report_pending || this->has_list;
    this->IssueCalls(now);
    return;
  }
  this->next_watch = now + kWatchInterval;
  if (this->life_to_replace != 0 &&
      this->watch_sent >= this->life_to_replace_heard) {
    this->worker->set_replaces_born_ms(std::exchange(this->life_to_replace, 0));
    this->report_pending = true;
  }
  if (!std::exchange(this->has_list, true)) {
    this->report_pending = true;
    for (auto& [name, start_state] : this->starts)
      start_state.next_attempt = std::min(start_state.next_attempt, now);
  }
  this->list_is_current = true;
  this->ends_are_cut = listing.ended.size() >= kMaxListedEnds;
  this->predecessor_runs_listed =
      this->predecessor_runs_listed ||
      (!this->ends_are_cut && this->watch_sent > this->predecessor_calls_end);
  this->listed.clear();
  for (const ListedRun& run : listing.running) {
    const std::string name = TaskNameText(run.task);
    this->listed[name] = run;
    const auto start = this->starts.find(name);
    if (start != this->starts.end() && start->second.order.run() == run.run)
      start->second.RecordBegun(now);
  }
  for (auto& [name, start_state] : this->starts) {
    const bool news = start_state.order.suspect() &&
                      !start_state.survival_reported &&
                      this->HasSurvived(start_state);
    start_state.survival_reported = start_state.survival_reported || news;
    this->report_pending = this->report_pending || news;
  }
  const std::size_t ends_before = this->ended.size();
  this->ended.clear();
  for (const wire::TaskEnd& end : listing.ended) {
    if (end.number() <= this->acknowledged)
      continue;
    const std::string name = TaskNameText(end.task());
    this->ended.push_back(end);
    this->throttler.OnRunEnded(name);
    const auto start = this->starts.find(name);
    if (start != this->starts.end() && start->second.order.run() <= end.run())
      this->starts.erase(start);
    const auto stop = this->stops.find(name);
    if (stop != this->stops.end() && stop->second.run <= end.run())
      this->stops.erase(stop);
  }
  this->report_pending =
      this->report_pending || this->ended.size() != ends_before;
  // A stopped run that the worker lists neither as running nor as ended has
  // never started here; it is reported as rejected. Its end may be among those
  // that did not fit into the list.
  std::erase_if(this->stops, [&](const auto& item) {
    const StopState& stop_state = item.second;
    const bool settled =
        stop_state.confirmed_at != TimePoint() && !this->ends_are_cut &&
        this->watch_sent > stop_state.confirmed_at + kStopVisibleDelay;
    if (!settled || this->StillRuns(item.first, stop_state.run))
      return false;
    this->AddRejection(stop_state.task, stop_state.run);
    return true;
  });
  const std::vector<MeasuredRun> runs = this->RunsToThrottle();
  this->IssueThrottleCalls(this->throttler.OnRunsListed(runs, now));
  if (this->options.coupling_estimates) {
    this->over_target_monitor.OnRunsListed(
        runs, this->throttler.colocation_model(), now);
  }
  this->IssueCalls(now);
}

void WorkerAgent::AddRejection(const wire::TaskName& task, std::uint32_t run) {
  Rejection& rejection = this->rejections[TaskNameText(task)];
  if (rejection.run >= run)
    return;
  rejection = {.task = task, .run = run};
  this->report_pending = true;
}

// The listed runs, and best-effort runs started since that listing.
std::vector<MeasuredRun> WorkerAgent::RunsToThrottle() const {
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
  for (const auto& [name, start_state] : this->starts) {
    const wire::StartOrder& order = start_state.order;
    const bool started_since = start_state.confirmed && order.fills() &&
                               this->ListedRunNumber(name) != order.run();
    if (!started_since)
      continue;
    runs.push_back({.task = name,
                    .run = order.run(),
                    .image = order.image(),
                    .best_effort = true,
                    .cpu_milli = order.cpu_milli()});
  }
  return runs;
}

void WorkerAgent::IssueThrottleCalls(const std::vector<SpeedChange>& changes) {
  for (const SpeedChange& change : changes) {
    const auto start = this->starts.find(change.task);
    if (start == this->starts.end())
      continue;
    this->effects.emplace_back(ThrottleCall{.born_ms = this->worker->born_ms(),
                                            .task = start->second.order.task(),
                                            .run = change.run,
                                            .percent = change.percent,
                                            .token = this->token});
  }
}

void WorkerAgent::OnThrottleResult(const ThrottleCall& call,
                                   CallOutcome outcome) {
  if (outcome != CallOutcome::kDone && this->IsCurrentIncarnation(call.born_ms))
    this->throttler.OnSpeedChangeFailed(TaskNameText(call.task));
}

void WorkerAgent::OnTick(TimePoint now) {
  this->IssueCalls(now);
  const bool allowed = now >= this->earliest_report;
  if ((this->report_pending && allowed) || now >= this->next_report)
    this->IssueReport(now);
}

void WorkerAgent::IssueReport(TimePoint now) {
  this->report_pending = false;
  this->next_report = now + this->options.report_interval;
  SendReport effect;
  wire::AgentReport& report = effect.report;
  report.set_sent_ns(ToNanoseconds(now));
  report.mutable_worker()->set_agent(this->options.agent);
  if (this->worker)
    *report.mutable_worker() = *this->worker;
  report.set_listed(this->has_list && this->list_is_current);
  if (this->worker && this->IsWorkerGone(now)) {
    report.set_worker_gone(true);
    this->last_gone_report_ns = report.sent_ns();
    if (this->replaced || this->connection_refused)
      this->RecordCrash();
    this->ForgetOrders();
    this->listed.clear();
    this->rejections.clear();
  }
  for (const auto& [name, run] : this->listed) {
    const auto start = this->starts.find(name);
    wire::RunStatus* status = report.add_runs();
    *status->mutable_task() = run.task;
    status->set_run(run.run);
    status->set_checkpoint(run.checkpoint);
    status->set_percent(run.percent);
    status->set_measured(run.measured);
    const bool described =
        start != this->starts.end() && start->second.order.run() == run.run;
    status->set_described(described);
    status->set_survived(described && this->HasSurvived(start->second));
  }
  for (const auto& [name, start_state] : this->starts) {
    if (this->ListedRunNumber(name) == start_state.order.run())
      continue;
    wire::RunStatus* status = report.add_runs();
    *status->mutable_task() = start_state.order.task();
    status->set_run(start_state.order.run());
    status->set_pending(!start_state.confirmed);
    status->set_described(true);
  }
  if (this->crash)
    *report.mutable_crash() = *this->crash;
  this->AddLearned(report);
  wire::WorkerEnds* ends = report.mutable_ends();
  for (const wire::TaskEnd& end : this->ended) {
    *ends->add_ends() = end;
    ends->set_up_to(std::max(ends->up_to(), end.number()));
  }
  for (auto& [name, rejection] : this->rejections) {
    if (rejection.first_report_ns == 0)
      rejection.first_report_ns = report.sent_ns();
    wire::TaskEnd* end = report.add_rejected();
    *end->mutable_task() = rejection.task;
    end->set_run(rejection.run);
    end->set_how(wire::RUN_END_REJECTED);
  }
  const int delayed_runs =
      std::max(0, report.runs_size() - this->options.runs_without_delay);
  this->earliest_report = now + std::min<std::chrono::nanoseconds>(
                                    this->options.report_interval,
                                    this->options.delay_per_run * delayed_runs);
  this->effects.emplace_back(std::move(effect));
}

// A new leader knows nothing of what earlier leaders have learned. It gets the
// couplings of the serving images here once, until it has answered.
void WorkerAgent::AddLearned(wire::AgentReport& report) {
  if (!this->options.coupling_estimates || this->token == 0 ||
      this->learned_reported_term == this->token)
    return;
  std::set<std::string> serving_images;
  for (const MeasuredRun& run : this->RunsToThrottle()) {
    if (run.tail_target_ms > 0)
      serving_images.insert(run.image);
  }
  std::vector<wire::LearnedImage> learned =
      this->throttler.colocation_model().ExportMeasured(serving_images);
  if (learned.empty())
    return;
  if (this->learned_report_ns == 0)
    this->learned_report_ns = report.sent_ns();
  for (wire::LearnedImage& image : learned)
    *report.add_learned() = std::move(image);
}

std::uint32_t WorkerAgent::ListedRunNumber(const std::string& task) const {
  const auto found = this->listed.find(task);
  return found == this->listed.end() ? 0 : found->second.run;
}

std::vector<DoubtfulStart> WorkerAgent::TakeDoubtfulStarts() {
  return std::exchange(this->doubtful_starts, {});
}

std::vector<AgentEffect> WorkerAgent::TakeEffects() {
  return std::exchange(this->effects, {});
}

}  // namespace savoryring
