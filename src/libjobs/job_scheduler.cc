#include "libjobs/job_scheduler.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

// Clocks of two machines differ by at most this over one lease; the platform
// allows 2%.
constexpr double kClockDrift = 1.03;
// Share of a step's estimate after which a run without progress is stuck.
constexpr std::uint32_t kStuckEstimates = 3;
constexpr std::uint32_t kFullPercent = 100;
TimePoint Stretched(TimePoint from, Milliseconds span) {
  return from + std::chrono::duration_cast<std::chrono::nanoseconds>(
                    span * kClockDrift);
}

std::string KeyOfDescription(const wire::JobWorkerDescription& worker) {
  wire::JobWorkerDescription copy = worker;
  // The time left counts down in every report and changes no decision.
  copy.clear_remaining_ms();
  return copy.SerializeAsString();
}

bool SameLife(const wire::JobWorkerDescription& a,
              const wire::JobWorkerDescription& b) {
  return a.born_ms() == b.born_ms() && a.instance() == b.instance();
}

}  // namespace

JobScheduler::JobScheduler(JobSchedulerOptions options,
                           const JobTable& table,
                           TimePoint led_since)
    : options(options) {
  for (const auto& [agent, worker] : table.workers()) {
    LiveAgent& live = this->agents[agent];
    live.born_ms = worker.description.born_ms();
    live.lease_bound = this->options.mutations.skip_predecessor_wait
                           ? led_since
                           : Stretched(led_since, this->options.lease);
  }
}

// --- Reports ---

// Over a connection that was given up, a report may come after later ones. What
// it says of the worker is no longer so.
bool JobScheduler::IsOvertaken(LiveAgent& live,
                               const wire::AgentReport& report) {
  constexpr std::size_t kMostEarlier = 16;
  const std::uint64_t incarnation = report.process_incarnation();
  if (live.earlier.contains(incarnation))
    return true;
  if (incarnation == live.incarnation)
    return report.sent_ns() < live.report_ns;
  if (live.report_ns != 0)
    live.earlier.insert(live.incarnation);
  if (live.earlier.size() > kMostEarlier)
    live.earlier.erase(live.earlier.begin());
  live.incarnation = incarnation;
  return false;
}

std::optional<wire::JobCommand> JobScheduler::OnReport(
    const JobTable& table,
    const wire::AgentReport& report,
    TimePoint now) {
  const wire::JobWorkerDescription& worker = report.worker();
  LiveAgent& live = this->agents[worker.agent()];
  if (IsOvertaken(live, report))
    return std::nullopt;
  live.heard = now;
  live.report_ns = report.sent_ns();
  live.granted = false;
  if (worker.instance().empty())
    return std::nullopt;
  const JobWorker* known = table.FindWorker(worker.agent());
  const bool older_life = known != nullptr &&
                          !SameLife(known->description, worker) &&
                          worker.born_ms() < known->description.born_ms();
  if (older_life)
    return std::nullopt;
  if (live.born_ms != worker.born_ms()) {
    live.born_ms = worker.born_ms();
    live.runs.clear();
    live.proposed_end = 0;
    live.failed_jobs.clear();
    live.suspended_until = TimePoint();
  }
  wire::JobCommand command;
  const bool registered =
      known != nullptr && !known->lost && SameLife(known->description, worker);
  live.gone = report.worker_gone();
  if (live.gone) {
    if (registered && live.proposed_loss != worker.born_ms()) {
      live.proposed_loss = worker.born_ms();
      *command.add_losses() =
          this->LossOf(table, worker.agent(), "the worker is gone");
      return command;
    }
    return std::nullopt;
  }
  live.proposed_loss = 0;
  const std::string described = KeyOfDescription(worker);
  const bool changed =
      !registered || KeyOfDescription(known->description) != described;
  const bool proposed =
      live.proposed_description == described && now < live.propose_deadline;
  if (changed && !proposed) {
    *command.add_workers() = worker;
    live.proposed_description = described;
    live.propose_deadline = now + this->options.resend;
  }
  // Until a lease is granted, the worker holds nothing for longer than this.
  if (!registered)
    live.lease_bound = Stretched(now, this->options.lease);
  const std::uint64_t seen =
      std::max(live.proposed_end, registered ? known->acknowledged : 0);
  const bool news = report.ends().up_to() > seen || report.rejected_size() > 0;
  if (registered && news) {
    wire::WorkerEnds* ends = command.add_ends();
    *ends = report.ends();
    ends->set_agent(worker.agent());
    ends->set_born_ms(worker.born_ms());
    for (const wire::TaskEnd& end : report.rejected())
      *ends->add_ends() = end;
    live.proposed_end = std::max(seen, report.ends().up_to());
  }
  if (registered)
    this->TakeRuns(table, live, report, now);
  if (command.ends_size() == 0 && command.workers_size() == 0)
    return std::nullopt;
  return command;
}

namespace {

// Measurements are rough; the last few count.
double FollowSpeed(double speed,
                   const wire::RunStatus& status,
                   const wire::JobStep& step) {
  constexpr double kNewest = 0.5;
  if (!step.fills() || status.pending() || step.cpu_milli() == 0)
    return 1;
  const double measured =
      static_cast<double>(status.measured()) / step.cpu_milli();
  return speed + kNewest * (measured - speed);
}

}  // namespace

void JobScheduler::TakeRuns(const JobTable& table,
                            LiveAgent& live,
                            const wire::AgentReport& report,
                            TimePoint now) {
  const JobWorker& worker = *table.FindWorker(report.worker().agent());
  live.strays.clear();
  for (auto& [key, run] : live.runs)
    run.known = false;
  for (const wire::RunStatus& status : report.runs()) {
    const TaskKey key = table.KeyOf(status.task());
    const bool assigned = key.step.sequence != 0 && worker.runs.contains(key) &&
                          table.Task(key).run == status.run();
    if (!assigned) {
      wire::StopOrder stop;
      *stop.mutable_task() = status.task();
      stop.set_run(status.run());
      live.strays.push_back(std::move(stop));
      continue;
    }
    LiveRun& run = live.runs[key];
    const bool fresh = run.run != status.run();
    if (fresh)
      run = {.run = status.run(), .begun = now, .progressed = now};
    if (status.percent() != run.percent || status.pending())
      run.progressed = now;
    if (status.pending())
      run.begun = now;
    run.known = true;
    if (!status.pending())
      this->begun.insert(key.step.sequence);
    run.described = status.described();
    run.percent = status.percent();
    run.measured = status.measured();
    run.speed = FollowSpeed(run.speed, status, table.Step(key.step));
    run.checkpoint = status.checkpoint();
  }
  const auto note_end = [&](const wire::TaskEnd& end) {
    const auto found = live.runs.find(table.KeyOf(end.task()));
    if (found != live.runs.end() && found->second.run <= end.run())
      found->second.ended = true;
  };
  for (const wire::TaskEnd& end : report.ends().ends())
    note_end(end);
  for (const wire::TaskEnd& end : report.rejected())
    note_end(end);
  std::erase_if(live.runs, [&worker](const auto& item) {
    return !worker.runs.contains(item.first);
  });
  this->FindStuckRuns(table, report.worker().agent(), live, now);
  this->Learn(table, report.worker().agent(), live, now);
}

SharedRun ToSharedRun(const std::string& name,
                      const wire::JobStep& step,
                      std::uint32_t measured) {
  constexpr double kMilli = 1000;
  SharedRun run{.task = name,
                .image = step.image(),
                .fills = step.fills(),
                .tail_target_ms = static_cast<double>(step.tail_target_ms())};
  if (step.fills()) {
    run.processors = measured / kMilli;
    run.wanted = step.cpu_milli() / kMilli;
  } else if (step.tail_target_ms() > 0) {
    run.tail_latency_ms = measured;
  }
  return run;
}

void JobScheduler::Learn(const JobTable& table,
                         const std::string& agent,
                         LiveAgent& live,
                         TimePoint now) {
  if (now < live.next_lesson)
    return;
  live.next_lesson = now + this->options.lesson;
  std::vector<SharedRun> shared;
  for (const auto& [key, run] : live.runs) {
    const wire::JobStep& step = table.Step(key.step);
    if (step.fills() || step.tail_target_ms() > 0) {
      shared.push_back(
          ToSharedRun(TaskNameText(table.NameOf(key)), step, run.measured));
    }
  }
  this->sharing.Learn(agent, shared);
}

void JobScheduler::FindStuckRuns(const JobTable& table,
                                 const std::string& agent,
                                 LiveAgent& live,
                                 TimePoint now) {
  for (auto& [key, run] : live.runs) {
    const wire::JobStep& step = table.Step(key.step);
    const bool at_work = step.lasting() && run.percent == kFullPercent;
    if (run.moving || !run.known || at_work || step.fills())
      continue;
    const Milliseconds patience = std::max(
        this->options.stuck,
        Milliseconds(step.lasting() ? 0
                                    : kStuckEstimates * step.estimated_ms()));
    const bool stuck = now > run.progressed + this->options.stuck &&
                       now > run.begun + patience;
    if (!stuck)
      continue;
    run.moving = true;
    this->moved.push_back(
        {.task = TaskNameText(table.NameOf(key)),
         .agent = agent,
         .why = "no progress at " + std::to_string(run.percent) + "%"});
  }
}

wire::AgentOrders JobScheduler::OrdersFor(const JobTable& table,
                                          const std::string& agent,
                                          TimePoint now) {
  wire::AgentOrders orders;
  LiveAgent& live = this->agents[agent];
  const JobWorker* worker = table.FindWorker(agent);
  orders.set_echoed_ns(live.report_ns);
  const bool current = worker != nullptr && !worker->lost && !live.gone &&
                       worker->description.born_ms() == live.born_ms;
  if (!current)
    return orders;
  if (!live.granted) {
    // The agent counts its lease from before this report was sent.
    live.lease_bound = Stretched(live.heard, this->options.lease);
    live.granted = true;
  }
  orders.set_lease_ms(static_cast<std::uint32_t>(this->options.lease.count()));
  orders.set_born_ms(live.born_ms);
  orders.set_acknowledged(worker->acknowledged);
  for (const TaskKey& key : worker->runs) {
    const JobTask& task = table.Task(key);
    const Job& job = *table.FindSequence(key.step.sequence);
    LiveRun& run = live.runs[key];
    if (run.run != task.run)
      run = {.run = task.run, .begun = now, .progressed = now};
    const bool broken_gang =
        table.Step(key.step).gang() && table.State(key.step).waiting > 0;
    if (!job.IsOpen() || run.moving || broken_gang) {
      wire::StopOrder* stop = orders.add_stops();
      *stop->mutable_task() = table.NameOf(key);
      stop->set_run(task.run);
      continue;
    }
    const bool send = !run.ended && (!run.known || !run.described) &&
                      now >= run.sent + this->options.resend;
    if (!send)
      continue;
    run.sent = now;
    const wire::JobStep& step = table.Step(key.step);
    wire::StartOrder* start = orders.add_starts();
    *start->mutable_task() = table.NameOf(key);
    start->set_run(task.run);
    start->set_payload(job.spec.payload());
    start->set_checkpoint(task.checkpoint);
    start->set_tail_target_ms(step.tail_target_ms());
    start->set_fills(step.fills());
    start->set_image(step.image());
    start->set_cpu_milli(step.cpu_milli());
  }
  for (const wire::StopOrder& stray : live.strays)
    *orders.add_stops() = stray;
  this->AddLearned(table, *worker, live, now, orders);
  return orders;
}

// Every worker teaches the leader; an agent by itself learns too slowly.
void JobScheduler::AddLearned(const JobTable& table,
                              const JobWorker& worker,
                              LiveAgent& live,
                              TimePoint now,
                              wire::AgentOrders& orders) const {
  if (now < live.next_learned)
    return;
  std::set<std::string> serving;
  std::set<std::string> fills;
  for (const TaskKey& key : worker.runs) {
    const wire::JobStep& step = table.Step(key.step);
    if (step.fills())
      fills.insert(step.image());
    else if (step.tail_target_ms() > 0)
      serving.insert(step.image());
  }
  if (serving.empty() || fills.empty())
    return;
  live.next_learned = now + this->options.tell_learned;
  for (const std::string& image : serving)
    *orders.add_learned() = this->sharing.Learned(image, fills);
}

void JobScheduler::OnEvent(const JobEvent& event, TimePoint now) {
  if (event.kind != JobEvent::Kind::kEnded)
    return;
  const bool ran = event.run_end != wire::RUN_END_LAPSED &&
                   event.run_end != wire::RUN_END_REJECTED;
  if (ran)
    this->begun.insert(event.key.step.sequence);
  LiveAgent& live = this->agents[event.agent];
  if (event.run_end == wire::RUN_END_DONE)
    live.failed_jobs.clear();
  if (event.run_end != wire::RUN_END_FAILED &&
      event.run_end != wire::RUN_END_REJECTED)
    return;
  // A task that lasts may fail at any time after it came to work.
  const auto run = live.runs.find(event.key);
  if (event.lasting && run != live.runs.end() &&
      run->second.percent == kFullPercent)
    return;
  // One bad job fails wherever it runs; several show that the worker is bad.
  live.failed_jobs.insert(event.job);
  if (live.failed_jobs.size() < this->options.failures_to_suspend)
    return;
  live.suspended_until = now + this->options.suspension;
  this->suspended.push_back(event.agent);
}

// --- Decisions ---

std::optional<wire::JobCommand> JobScheduler::Decide(
    const JobTable& table,
    std::int64_t wall_ms,
    std::uint64_t group_time_ms,
    TimePoint now) {
  this->group_time_ms = group_time_ms;
  this->decided = now;
  wire::JobCommand command;
  this->GiveUpSilent(table, now, command);
  this->BeginDue(table, wall_ms, command);
  this->Place(table, now, command);
  // What was placed now takes room that the next look sees.
  if (command.starts_size() == 0)
    this->MoveSlowFills(table, now);
  const bool empty = command.losses_size() == 0 &&
                     command.occurrences_size() == 0 &&
                     command.starts_size() == 0;
  if (empty)
    return std::nullopt;
  return command;
}

void JobScheduler::GiveUpSilent(const JobTable& table,
                                TimePoint now,
                                wire::JobCommand& command) {
  for (const auto& [agent, worker] : table.workers()) {
    const auto found = this->agents.find(agent);
    if (worker.lost || found == this->agents.end())
      continue;
    const LiveAgent& live = found->second;
    const bool early = this->options.mutations.give_up_early &&
                       now > live.heard + this->options.quiet;
    if (now > live.lease_bound || early)
      *command.add_losses() = this->LossOf(table, agent, "its lease ended");
  }
}

wire::WorkerLoss JobScheduler::LossOf(const JobTable& table,
                                      const std::string& agent,
                                      const std::string& why) const {
  wire::WorkerLoss loss;
  loss.set_agent(agent);
  loss.set_born_ms(table.FindWorker(agent)->description.born_ms());
  loss.set_why(why);
  const auto found = this->agents.find(agent);
  if (found == this->agents.end())
    return loss;
  for (const auto& [key, run] : found->second.runs) {
    if (run.checkpoint.empty())
      continue;
    wire::TaskEnd* known = loss.add_checkpoints();
    *known->mutable_task() = table.NameOf(key);
    known->set_run(run.run);
    known->set_checkpoint(run.checkpoint);
  }
  return loss;
}

void JobScheduler::BeginDue(const JobTable& table,
                            std::int64_t wall_ms,
                            wire::JobCommand& command) {
  for (const std::uint64_t sequence : table.timed_jobs()) {
    const Job& job = *table.FindSequence(sequence);
    const auto next = job.done_occurrences +
                      static_cast<std::uint32_t>(job.occurrences.size());
    const std::int64_t due =
        job.spec.start_at_ms() + std::int64_t{next} * job.spec.interval_ms();
    if (wall_ms < due)
      continue;
    wire::OccurrenceStart* start = command.add_occurrences();
    start->set_job(job.spec.id());
    start->set_occurrence(next);
  }
}

bool JobScheduler::HasBegun(const Job& job) const {
  if (this->begun.contains(job.sequence))
    return true;
  return std::ranges::any_of(job.occurrences, [](const auto& item) {
    return std::ranges::any_of(
        item.second, [](const StepState& step) { return step.done > 0; });
  });
}

std::uint32_t JobScheduler::CountPending(const JobTable& table,
                                         const std::string& queue) const {
  std::uint32_t count = table.CountPending(queue);
  for (const auto& [sequence, job] : table.jobs()) {
    const bool assigned = job.state == wire::JOB_STATE_RUNNING &&
                          job.spec.repeat_count() == 0 &&
                          job.spec.queue() == queue;
    if (assigned && !this->HasBegun(job))
      count += 1;
  }
  return count;
}

std::vector<MovedRun> JobScheduler::TakeMoved() {
  return std::exchange(this->moved, {});
}

std::vector<std::string> JobScheduler::TakeSuspended() {
  return std::exchange(this->suspended, {});
}

}  // namespace savoryring
