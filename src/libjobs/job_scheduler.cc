#include "libjobs/job_scheduler.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

// Upper bound on the ratio of two machines' clock rates over one lease; the
// platform allows a deviation of 2%.
constexpr double kClockDrift = 1.03;
// A run without progress is stuck only after this multiple of its estimate.
constexpr std::uint32_t kStuckEstimateMultiple = 3;
constexpr std::uint32_t kFullPercent = 100;
// A lasting task that ends before it is available would otherwise take the room
// of other work at every decision. It has to be tried again within 3 s.
constexpr Milliseconds kMinRetryDelay{100};
constexpr Milliseconds kMaxRetryDelay{2000};

TimePoint AddWithClockDrift(TimePoint from, Milliseconds span) {
  return from + std::chrono::duration_cast<std::chrono::nanoseconds>(
                    span * kClockDrift);
}

std::string ComparableDescription(const wire::JobWorkerDescription& worker) {
  wire::JobWorkerDescription copy = worker;
  // Differs in every report as it counts down, and affects no decision.
  copy.clear_remaining_ms();
  copy.clear_cold_remaining_ms();
  return copy.SerializeAsString();
}

// A time that can't be represented never comes.
bool IsDue(const wire::JobSpec& spec,
           std::uint32_t occurrence,
           std::int64_t wall_ms) {
  std::int64_t due_ms = 0;
  return !__builtin_mul_overflow(std::int64_t{occurrence}, spec.interval_ms(),
                                 &due_ms) &&
         !__builtin_add_overflow(due_ms, spec.start_at_ms(), &due_ms) &&
         wall_ms >= due_ms;
}

bool IsSameIncarnation(const wire::JobWorkerDescription& a,
                       const wire::JobWorkerDescription& b) {
  return a.born_ms() == b.born_ms() && a.instance() == b.instance();
}

}  // namespace

JobScheduler::JobScheduler(JobSchedulerOptions options,
                           const JobTable& table,
                           TimePoint led_since)
    : options(options),
      colocation_model({.estimates = options.features.coupling_estimates}),
      crash_isolation(options.isolation, led_since),
      other_causes_until(table.suspects().empty()
                             ? led_since
                             : led_since + options.memory_of_other_causes),
      waiting_queue(options.waiting_queue) {
  for (const auto& [agent, worker] : table.workers()) {
    AgentState& agent_state = this->agents[agent];
    agent_state.born_ms = worker.description.born_ms();
    agent_state.max_lease_end =
        this->options.mutations.skip_predecessor_wait
            ? led_since
            : AddWithClockDrift(led_since, this->options.lease);
  }
}

// --- Reports ---

// A report on an abandoned connection may arrive after later ones, with
// outdated information on the worker. Also records the incarnation of the
// agent's process.
bool JobScheduler::IsStaleReport(AgentState& agent_state,
                                 const wire::AgentReport& report,
                                 TimePoint now) const {
  constexpr std::size_t kMaxEarlierIncarnations = 16;
  const std::uint64_t incarnation = report.process_incarnation();
  if (agent_state.earlier_incarnations.contains(incarnation))
    return true;
  if (incarnation == agent_state.incarnation)
    return report.sent_ns() < agent_state.last_report_sent_ns;
  // Incarnations count wall-clock time and reports boot time. Either may go
  // back when a VM restarts, but hardly both while the agent is heard.
  const bool is_from_earlier_process =
      incarnation < agent_state.incarnation &&
      report.sent_ns() < agent_state.last_report_sent_ns &&
      now < agent_state.last_report + this->options.lease;
  if (is_from_earlier_process)
    return true;
  if (agent_state.last_report_sent_ns != 0)
    agent_state.earlier_incarnations.insert(agent_state.incarnation);
  if (agent_state.earlier_incarnations.size() > kMaxEarlierIncarnations)
    agent_state.earlier_incarnations.erase(
        agent_state.earlier_incarnations.begin());
  agent_state.incarnation = incarnation;
  return false;
}

// Proposes the ends in the report that were not proposed yet. The table applies
// them before the losses and registrations of the same command.
void JobScheduler::AddNewEnds(const JobWorker& known,
                              const wire::AgentReport& report,
                              AgentState& agent_state,
                              wire::JobCommand& command) {
  const std::uint64_t seen_end =
      std::max(agent_state.proposed_end, known.acknowledged);
  const bool has_new_ends =
      report.ends().up_to() > seen_end || report.rejected_size() > 0;
  if (!has_new_ends)
    return;
  wire::WorkerEnds* ends = command.add_ends();
  *ends = report.ends();
  ends->set_agent(report.worker().agent());
  ends->set_born_ms(report.worker().born_ms());
  for (const wire::TaskEnd& end : report.rejected())
    *ends->add_ends() = end;
  agent_state.proposed_end = std::max(seen_end, report.ends().up_to());
}

// What a worker runs that is not taken up yet is assigned to nobody.
void JobScheduler::RecordOrphans(const wire::AgentReport& report,
                                 AgentState& agent_state) {
  agent_state.runs.clear();
  agent_state.orphan_stops.clear();
  for (const wire::RunStatus& status : report.runs()) {
    wire::StopOrder& stop = agent_state.orphan_stops.emplace_back();
    *stop.mutable_task() = status.task();
    stop.set_run(status.run());
  }
}

std::optional<wire::JobCommand> JobScheduler::OnReport(
    const JobTable& table,
    const wire::AgentReport& report,
    TimePoint now) {
  const wire::JobWorkerDescription& worker = report.worker();
  AgentState& agent_state = this->agents[worker.agent()];
  const std::uint64_t known_process = agent_state.incarnation;
  if (this->IsStaleReport(agent_state, report, now))
    return std::nullopt;
  if (agent_state.incarnation != known_process)
    agent_state.has_list = false;
  if (this->options.features.coupling_estimates) {
    for (const wire::LearnedImage& learned : report.learned())
      this->colocation_model.MergeLearned(learned);
  }
  const bool is_first_report = agent_state.last_report == TimePoint();
  agent_state.last_report = now;
  agent_state.last_report_sent_ns = report.sent_ns();
  agent_state.lease_granted = false;
  agent_state.description = worker;
  if (worker.instance().empty())
    return std::nullopt;
  agent_state.service = worker.service();
  agent_state.draining = worker.draining();
  agent_state.cold_until = now + Milliseconds(worker.cold_remaining_ms());
  const JobWorker* known = table.FindWorker(worker.agent());
  const bool older_incarnation =
      known != nullptr && !IsSameIncarnation(known->description, worker) &&
      !IsLaterIncarnation(*known, worker);
  if (older_incarnation)
    return std::nullopt;
  if (agent_state.born_ms != worker.born_ms()) {
    agent_state.born_ms = worker.born_ms();
    agent_state.up_since = now;
    agent_state.runs.clear();
    agent_state.orphan_stops.clear();
    agent_state.has_list = false;
    agent_state.proposed_end = 0;
    this->failure_attribution.Forgive(worker.agent());
    this->crash_isolation.OnWorkerReplaced(worker.agent());
    this->worker_speed.Forget(worker.agent());
    agent_state.suspended_until = TimePoint();
  }
  const bool known_incarnation =
      known != nullptr && IsSameIncarnation(known->description, worker);
  const bool registered = known_incarnation && !known->lost;
  wire::JobCommand command;
  agent_state.worker_gone = report.worker_gone();
  if (agent_state.worker_gone) {
    // The first report that this leader hears may have been held up since an
    // earlier process of the agent sent it. The agent repeats it if it is true.
    if (!registered || is_first_report || IsLossInLog(agent_state))
      return std::nullopt;
    AddNewCrash(known, report, agent_state, command);
    AddNewEnds(*known, report, agent_state, command);
    this->AddLoss(table, worker.agent(), "the worker is gone", command);
    return command;
  }
  AddNewCrash(known, report, agent_state, command);
  // A worker that was given up may have ended runs that are not committed. It
  // is taken up again together with its list of ends, so that none of them is
  // started anew.
  const bool skip_ends = this->options.mutations.register_before_ends;
  const bool is_list_missing = report.has_listed() && !report.listed();
  agent_state.has_list = agent_state.has_list || !is_list_missing;
  agent_state.list_is_current = !is_list_missing;
  const bool may_register = !known_incarnation || !is_list_missing || skip_ends;
  const std::string description = ComparableDescription(worker);
  const bool changed =
      !registered || ComparableDescription(known->description) != description;
  const bool proposed = agent_state.proposed_description == description &&
                        now < agent_state.propose_deadline;
  if (changed && !proposed && may_register) {
    *command.add_workers() = worker;
    agent_state.proposed_description = description;
    agent_state.propose_deadline = now + this->options.resend_interval;
  }
  // As long as no lease is granted, the worker keeps no run beyond this.
  if (!registered)
    agent_state.max_lease_end = AddWithClockDrift(now, this->options.lease);
  if (known_incarnation && (registered || (may_register && !skip_ends)))
    AddNewEnds(*known, report, agent_state, command);
  if (registered)
    this->UpdateRuns(table, agent_state, report, now, command);
  else if (!this->options.mutations.ignore_unassigned_runs)
    RecordOrphans(report, agent_state);
  const bool empty = command.ends_size() == 0 && command.workers_size() == 0 &&
                     command.crashes_size() == 0 &&
                     command.survivors_size() == 0;
  if (empty)
    return std::nullopt;
  return command;
}

// Only this leader's view is extended: the agents, whose workers stop earlier,
// know nothing of it.
void JobScheduler::ExtendLeases(std::chrono::nanoseconds busy_time) {
  for (auto& [agent, agent_state] : this->agents)
    agent_state.max_lease_end += busy_time;
}

namespace {

// Measurements are noisy, so that the speed is smoothed exponentially.
double SmoothedSpeed(double speed,
                     const wire::RunStatus& status,
                     const wire::JobStep& step) {
  constexpr double kNewestWeight = 0.5;
  if (!step.fills() || status.pending() || step.cpu_milli() == 0)
    return 1;
  const double measured =
      static_cast<double>(status.measured()) / step.cpu_milli();
  return speed + kNewestWeight * (measured - speed);
}

}  // namespace

void JobScheduler::UpdateRuns(const JobTable& table,
                              AgentState& agent_state,
                              const wire::AgentReport& report,
                              TimePoint now,
                              wire::JobCommand& command) {
  const JobWorker& worker = *table.FindWorker(report.worker().agent());
  agent_state.orphan_stops.clear();
  for (auto& [key, run] : agent_state.runs)
    run.reported = false;
  for (const wire::RunStatus& status : report.runs()) {
    const TaskKey key = table.KeyOf(status.task());
    const bool assigned = key.step.sequence != 0 && worker.runs.contains(key) &&
                          table.Task(key).run == status.run();
    if (!assigned) {
      wire::StopOrder stop;
      *stop.mutable_task() = status.task();
      stop.set_run(status.run());
      agent_state.orphan_stops.push_back(std::move(stop));
      continue;
    }
    TrackedRun& run = agent_state.runs[key];
    const bool new_run = run.run != status.run();
    if (new_run)
      run = {.run = status.run(),
             .counted_until = now,
             .started = now,
             .last_progress = now};
    if (status.percent() != run.percent || status.pending())
      run.last_progress = now;
    if (status.pending())
      run.started = now;
    run.reported = true;
    if (status.survived() && !run.survival_proposed &&
        table.suspects().contains(key)) {
      run.survival_proposed = true;
      wire::RecentRun* survivor = command.add_survivors();
      *survivor->mutable_task() = status.task();
      survivor->set_run(status.run());
    }
    if (!status.pending())
      this->started_jobs.insert(key.step.sequence);
    run.begun = run.begun || !status.pending();
    run.has_start_order = status.described();
    const bool became_available = table.Step(key.step).lasting() &&
                                  status.percent() == kFullPercent &&
                                  run.percent < kFullPercent;
    // A worker without batch tasks never completes a run.
    if (became_available) {
      this->failure_attribution.OnSucceeded(report.worker().agent(),
                                            status.task().job());
      this->lasting_retries.erase(key);
    }
    if (!status.pending())
      this->RecordProgress(table, key, run, status.percent(), now);
    run.percent = status.percent();
    run.measured = status.measured();
    run.speed = SmoothedSpeed(run.speed, status, table.Step(key.step));
    if (run.checkpoint != status.checkpoint()) {
      run.checkpoint = status.checkpoint();
      run.saved_percent = status.percent();
    }
    if (!status.pending()) {
      this->ObserveProgress(table, report.worker().agent(), key, run, false,
                            now);
    }
  }
  const auto mark_end_reported = [&](const wire::TaskEnd& end) {
    const auto found = agent_state.runs.find(table.KeyOf(end.task()));
    if (found == agent_state.runs.end() || found->second.run > end.run())
      return;
    TrackedRun& run = found->second;
    const bool done = end.how() == wire::RUN_END_DONE;
    // Before the end counts as reported, after which no progress is recorded.
    if (done)
      this->RecordProgress(table, found->first, run, kFullPercent, now);
    const bool is_new_end = !std::exchange(run.end_reported, true);
    if (is_new_end && done && run.run == end.run()) {
      this->ObserveProgress(table, report.worker().agent(), found->first, run,
                            true, now);
    }
  };
  for (const wire::TaskEnd& end : report.ends().ends())
    mark_end_reported(end);
  for (const wire::TaskEnd& end : report.rejected())
    mark_end_reported(end);
  std::erase_if(agent_state.runs, [&worker](const auto& item) {
    return !worker.runs.contains(item.first);
  });
  this->MoveStuckRuns(table, report.worker().agent(), agent_state, now);
  this->LearnCouplings(table, report.worker().agent(), agent_state, now);
}

ColocatedRun ToColocatedRun(const std::string& name,
                            const wire::JobStep& step,
                            std::uint32_t measured) {
  constexpr double kMilli = 1000;
  ColocatedRun run{
      .task = name,
      .image = step.image(),
      .best_effort = step.fills(),
      .tail_target_ms = static_cast<double>(step.tail_target_ms())};
  if (step.fills()) {
    run.cpus_used = measured / kMilli;
    run.cpus_requested = step.cpu_milli() / kMilli;
  } else if (step.tail_target_ms() > 0) {
    run.tail_latency_ms = measured;
  }
  return run;
}

void JobScheduler::LearnCouplings(const JobTable& table,
                                  const std::string& agent,
                                  AgentState& agent_state,
                                  TimePoint now) {
  if (now < agent_state.next_learning)
    return;
  agent_state.next_learning = now + this->options.learning_interval;
  std::vector<ColocatedRun> runs;
  for (const auto& [key, run] : agent_state.runs) {
    const wire::JobStep& step = table.Step(key.step);
    if (step.fills() || step.tail_target_ms() > 0) {
      runs.push_back(
          ToColocatedRun(TaskNameText(table.NameOf(key)), step, run.measured));
    }
  }
  this->colocation_model.Learn(agent, runs);
}

void JobScheduler::MoveStuckRuns(const JobTable& table,
                                 const std::string& agent,
                                 AgentState& agent_state,
                                 TimePoint now) {
  for (auto& [key, run] : agent_state.runs) {
    const wire::JobStep& step = table.Step(key.step);
    const bool fully_started = step.lasting() && run.percent == kFullPercent;
    if (run.moving || !run.reported || fully_started || step.fills())
      continue;
    const Milliseconds min_age = std::max(
        this->options.no_progress_timeout,
        Milliseconds(
            step.lasting() ? 0 : kStuckEstimateMultiple * step.estimated_ms()));
    const bool stuck =
        now > run.last_progress + this->options.no_progress_timeout &&
        now > run.started + min_age;
    if (!stuck)
      continue;
    run.moving = true;
    this->moved_runs.push_back(
        {.task = TaskNameText(table.NameOf(key)),
         .agent = agent,
         .why = "no progress at " + std::to_string(run.percent) + "%"});
  }
}

namespace {

// All members of a gang resume from the value of one of them, which is valid
// for each. No value changes while all of them are assigned.
const std::string& CheckpointOf(const JobTable& table, const TaskKey& key) {
  if (table.Step(key.step).gang()) {
    for (const JobTask& member : table.State(key.step).tasks) {
      if (!member.checkpoint.empty())
        return member.checkpoint;
    }
  }
  return table.Task(key).checkpoint;
}

}  // namespace

wire::AgentOrders JobScheduler::OrdersFor(const JobTable& table,
                                          const std::string& agent,
                                          TimePoint now) {
  wire::AgentOrders orders;
  AgentState& agent_state = this->agents[agent];
  const JobWorker* worker = table.FindWorker(agent);
  orders.set_echoed_ns(agent_state.last_report_sent_ns);
  if (worker != nullptr)
    orders.set_counted_crash_ms(worker->counted_crash_ms);
  // A lease granted while a loss is in the log would keep runs going that the
  // loss releases. A report on no worker or on another incarnation is no sign
  // of life of this one.
  const bool current =
      worker != nullptr && !worker->lost && !agent_state.worker_gone &&
      !IsLossInLog(agent_state) &&
      IsSameIncarnation(worker->description, agent_state.description);
  orders.set_overfilled(!current);
  const bool taken_for_earlier =
      worker != nullptr && !agent_state.description.instance().empty() &&
      !IsSameIncarnation(worker->description, agent_state.description) &&
      !IsLaterIncarnation(*worker, agent_state.description);
  if (taken_for_earlier)
    orders.set_known_born_ms(worker->description.born_ms());
  if (!current)
    return orders;
  if (!agent_state.lease_granted) {
    // The agent counts its lease from when it sent this report, which was
    // before it arrived.
    agent_state.max_lease_end =
        AddWithClockDrift(agent_state.last_report, this->options.lease);
    agent_state.lease_granted = true;
  }
  orders.set_lease_ms(static_cast<std::uint32_t>(this->options.lease.count()));
  orders.set_born_ms(agent_state.born_ms);
  orders.set_acknowledged(worker->acknowledged);
  for (const TaskKey& key : worker->runs) {
    const JobTask& task = table.Task(key);
    TrackedRun& run = agent_state.runs[key];
    if (run.run != task.run)
      run = {.run = task.run,
             .counted_until = now,
             .started = now,
             .last_progress = now};
  }
  this->WithdrawUnbegunRuns(table, *worker, agent_state);
  this->WithdrawFromEvacuatedZone(table, *worker, agent_state);
  // Agents of earlier versions know no other word for "start nothing".
  orders.set_overfilled(this->IsEvacuated(*worker) ||
                        this->IsOverfilled(table, *worker, agent_state));
  orders.set_start_within_ms(
      static_cast<std::uint32_t>(this->options.start_validity.count()));
  for (const TaskKey& key : worker->runs) {
    const JobTask& task = table.Task(key);
    const Job& job = *table.FindSequence(key.step.sequence);
    TrackedRun& run = agent_state.runs[key];
    const bool incomplete_gang =
        table.Step(key.step).gang() && table.State(key.step).waiting > 0;
    if (!job.IsOpen() || run.moving || incomplete_gang) {
      wire::StopOrder* stop = orders.add_stops();
      *stop->mutable_task() = table.NameOf(key);
      stop->set_run(task.run);
      continue;
    }
    const bool send =
        !run.end_reported && (!run.reported || !run.has_start_order) &&
        now >= run.last_start_order + this->options.resend_interval;
    if (!send)
      continue;
    run.last_start_order = now;
    const wire::JobStep& step = table.Step(key.step);
    wire::StartOrder* start = orders.add_starts();
    *start->mutable_task() = table.NameOf(key);
    start->set_run(task.run);
    start->set_payload(job.spec.payload());
    start->set_checkpoint(CheckpointOf(table, key));
    start->set_tail_target_ms(step.tail_target_ms());
    start->set_fills(step.fills());
    start->set_image(step.image());
    start->set_cpu_milli(step.cpu_milli());
    start->set_suspect(table.suspects().contains(key));
  }
  for (const wire::StopOrder& stop : agent_state.orphan_stops)
    *orders.add_stops() = stop;
  this->AddLearnedCouplings(table, *worker, agent_state, now, orders);
  return orders;
}

// Only what a step takes from its worker's capacity is counted.
void JobScheduler::Room::Take(const wire::JobStep& step) {
  this->cpu_milli -= step.fills() ? 0 : std::int64_t{step.cpu_milli()};
  this->memory_mb -= static_cast<std::int64_t>(step.memory_mb());
  this->accelerators -= std::int64_t{step.accelerators()};
}

void JobScheduler::Room::Return(const wire::JobStep& step) {
  this->cpu_milli += step.fills() ? 0 : std::int64_t{step.cpu_milli()};
  this->memory_mb += static_cast<std::int64_t>(step.memory_mb());
  this->accelerators += std::int64_t{step.accelerators()};
}

const wire::JobStep* FindStep(const JobTable& table, const StepKey& key) {
  const Job* job = table.FindSequence(key.sequence);
  if (job == nullptr ||
      std::cmp_greater_equal(key.step, job->spec.steps_size()))
    return nullptr;
  return &job->spec.steps(static_cast<int>(key.step));
}

// Room that a worker of this size has left. Runs that are no longer assigned to
// it take room until it has listed their end: those of a worker that was given
// up and taken up again, and members of a gang of which another is done.
JobScheduler::Room JobScheduler::RoomOn(
    const JobTable& table,
    const JobWorker& worker,
    const AgentState& agent_state,
    const wire::JobWorkerDescription& size) const {
  Room room{
      .cpu_milli = std::int64_t{size.cpu_milli()} -
                   static_cast<std::int64_t>(worker.used_cpu_milli),
      .memory_mb = static_cast<std::int64_t>(size.memory_mb()) -
                   static_cast<std::int64_t>(worker.used_memory_mb),
      .accelerators = std::int64_t{size.accelerators()} -
                      static_cast<std::int64_t>(worker.used_accelerators)};
  if (this->options.mutations.ignore_unassigned_runs)
    return room;
  bool known = true;
  const auto take = [&](const StepKey& key) {
    const wire::JobStep* step = FindStep(table, key);
    if (step != nullptr)
      room.Take(*step);
    known = known && step != nullptr;
  };
  for (const wire::StopOrder& stop : agent_state.orphan_stops)
    take(table.KeyOf(stop.task()).step);
  for (const auto& [key, run] : agent_state.runs) {
    const bool assigned =
        worker.runs.contains(key) && table.Task(key).run == run.run;
    if (!assigned && (run.reported || run.begun) && !run.end_reported)
      take(key.step);
  }
  return known ? room
               : Room{.cpu_milli = -1, .memory_mb = -1, .accelerators = -1};
}

// Whether nothing may be started because the worker may have less room than its
// runs need, those that are being stopped or withdrawn included.
bool JobScheduler::IsOverfilled(const JobTable& table,
                                const JobWorker& worker,
                                const AgentState& agent_state) const {
  if (this->options.mutations.skip_withdrawal)
    return false;
  const wire::JobWorkerDescription& size = agent_state.description;
  return !agent_state.has_list ||
         size.born_ms() != worker.description.born_ms() ||
         !RoomOn(table, worker, agent_state, size).Fits();
}

// A worker that has shrunk may start only what fits beside the runs that it has
// begun, those that are being stopped included.
void JobScheduler::WithdrawUnbegunRuns(const JobTable& table,
                                       const JobWorker& worker,
                                       AgentState& agent_state) {
  const wire::JobWorkerDescription& size = agent_state.description;
  if (size.born_ms() != worker.description.born_ms() || !agent_state.has_list ||
      this->options.mutations.skip_withdrawal)
    return;
  Room room = RoomOn(table, worker, agent_state, size);
  for (auto& [key, run] : agent_state.runs) {
    if (room.Fits())
      return;
    if (run.begun || !worker.runs.contains(key))
      continue;
    room.Return(table.Step(key.step));
    if (std::exchange(run.moving, true))
      continue;
    this->moved_runs.push_back({.task = TaskNameText(table.NameOf(key)),
                                .agent = worker.description.agent(),
                                .why = "the worker has shrunk"});
  }
}

// The leader learns from the measurements of all workers; an agent alone would
// learn too slowly. With estimates, orders for a run of an image that is new on
// the worker carry its couplings, so that the run starts by them.
void JobScheduler::AddLearnedCouplings(const JobTable& table,
                                       const JobWorker& worker,
                                       AgentState& agent_state,
                                       TimePoint now,
                                       wire::AgentOrders& orders) const {
  const bool is_due = now >= agent_state.next_learned_send;
  if (!is_due && !this->options.features.coupling_estimates)
    return;
  std::set<std::string> serving_images;
  std::set<std::string> best_effort_images;
  for (const TaskKey& key : worker.runs) {
    const wire::JobStep& step = table.Step(key.step);
    if (step.fills())
      best_effort_images.insert(step.image());
    else if (step.tail_target_ms() > 0)
      serving_images.insert(step.image());
  }
  if (serving_images.empty() || best_effort_images.empty())
    return;
  std::set<std::string> images = serving_images;
  images.insert(best_effort_images.begin(), best_effort_images.end());
  if (!is_due && std::ranges::includes(agent_state.sent_images, images))
    return;
  agent_state.sent_images = std::move(images);
  agent_state.next_learned_send = now + this->options.learned_send_interval;
  for (const std::string& image : serving_images)
    *orders.add_learned() =
        this->colocation_model.ExportLearned(image, best_effort_images);
}

void JobScheduler::OnEvent(const JobEvent& event, TimePoint now) {
  if (event.kind == JobEvent::Kind::kAccepted)
    this->admission.OnAccepted(event.job);
  if (event.kind == JobEvent::Kind::kWorkerLost) {
    this->agents[event.agent].loss_in_log_born_ms = 0;
    this->worker_speed.Forget(event.agent);
  }
  if (event.kind == JobEvent::Kind::kWorkerCrashed)
    this->crash_isolation.OnWorkerCrashed(event.agent, now);
  if (event.kind == JobEvent::Kind::kWorkerCrashed && !event.explained)
    this->other_causes_until = now + this->options.memory_of_other_causes;
  if (event.kind == JobEvent::Kind::kJobEnded)
    this->failure_attribution.OnJobEnded(event.job);
  if (event.kind == JobEvent::Kind::kStarted ||
      event.kind == JobEvent::Kind::kEnded)
    this->changed_steps.insert(event.key.step);
  if (event.kind == JobEvent::Kind::kEnded)
    this->OnRunEnded(event, now);
}

bool JobScheduler::IsOnProbation(const std::string& agent,
                                 TimePoint now) const {
  const std::size_t threshold = this->options.failed_jobs_to_suspend;
  // Spares the usual case the pass over all agents.
  if (this->failure_attribution.CountFailedJobs(agent) < threshold)
    return false;
  const auto found = this->agents.find(agent);
  if (found == this->agents.end())
    return false;
  std::set<std::string> colleagues = {agent};
  for (const auto& [other, state] : this->agents) {
    const bool present = state.last_report != TimePoint() &&
                         now < state.last_report + this->options.lease &&
                         !state.worker_gone;
    if (present && state.service == found->second.service)
      colleagues.insert(other);
  }
  return this->failure_attribution.IsAtFault(agent, colleagues, threshold);
}

void JobScheduler::OnRunEnded(const JobEvent& event, TimePoint now) {
  const bool ran = event.run_end != wire::RUN_END_LAPSED &&
                   event.run_end != wire::RUN_END_REJECTED;
  if (ran)
    this->started_jobs.insert(event.key.step.sequence);
  AgentState& agent_state = this->agents[event.agent];
  // A run that was given up may go on.
  const auto ended = agent_state.runs.find(event.key);
  if (ended != agent_state.runs.end() && ended->second.run == event.run &&
      event.run_end != wire::RUN_END_LAPSED)
    ended->second.end_reported = true;
  // Nothing would remove the evidence on a job that has ended.
  if (!event.job_open)
    return;
  if (event.run_end == wire::RUN_END_DONE)
    this->failure_attribution.OnSucceeded(event.agent, event.job);
  if (event.run_end != wire::RUN_END_FAILED &&
      event.run_end != wire::RUN_END_REJECTED)
    return;
  const auto tracked = agent_state.runs.find(event.key);
  const bool withdrawn = tracked != agent_state.runs.end() &&
                         tracked->second.run == event.run &&
                         tracked->second.moving;
  if (event.run_end == wire::RUN_END_REJECTED &&
      (agent_state.draining || withdrawn))
    return;
  // A lasting task that was fully started may fail at any time, which says
  // nothing about the worker.
  if (event.lasting && tracked != agent_state.runs.end() &&
      tracked->second.run == event.run &&
      tracked->second.percent == kFullPercent)
    return;
  this->failure_attribution.OnFailed(event.agent, event.job);
  if (event.lasting)
    this->DelayRetry(event.key, now);
  if (this->failure_attribution.IsSuspect(event.job) ||
      !this->IsOnProbation(event.agent, now))
    return;
  // A run from before the suspension says nothing about the time since.
  const bool began_before =
      now < agent_state.suspended_until ||
      (tracked != agent_state.runs.end() && tracked->second.run == event.run &&
       tracked->second.started <= agent_state.suspended_since);
  if (began_before)
    return;
  agent_state.suspended_since = now;
  agent_state.suspended_until = now + this->options.suspension_time;
  this->suspended_agents.push_back(event.agent);
}

void JobScheduler::DelayRetry(const TaskKey& key, TimePoint now) {
  constexpr int kMaxDoublings = 10;
  LastingRetry& retry = this->lasting_retries[key];
  const Milliseconds delay =
      kMinRetryDelay * (1 << std::min(retry.ended_runs, kMaxDoublings));
  retry.next_start = now + std::min(delay, kMaxRetryDelay);
  retry.ended_runs += 1;
}

bool JobScheduler::IsRetryDelayed(const TaskKey& key) const {
  const auto found = this->lasting_retries.find(key);
  return found != this->lasting_retries.end() &&
         this->decision_time < found->second.next_start;
}

// --- Decisions ---

std::optional<wire::JobCommand> JobScheduler::Decide(
    const JobTable& table,
    std::int64_t wall_ms,
    std::uint64_t group_time_ms,
    TimePoint now) {
  this->group_time_ms = group_time_ms;
  this->decision_time = now;
  std::erase_if(this->lasting_retries, [&table](const auto& item) {
    const Job* job = table.FindSequence(item.first.step.sequence);
    return job == nullptr || !job->IsOpen();
  });
  if (this->options.features.worker_speeds)
    this->worker_speed.Evaluate(now);
  wire::JobCommand command;
  this->UpdateTests(table, now);
  this->GiveUpJobs(table, command);
  this->DeclareLostWorkers(table, now, command);
  this->StartDueOccurrences(table, wall_ms, command);
  this->DropObsoletePromises(table, now);
  this->PlaceReadySteps(table, now, command);
  const std::size_t moves_before = this->moved_runs.size();
  // Only the next decision sees the capacity that these starts take up.
  if (command.starts_size() == 0) {
    this->MeasureBacklog(table, now);
    this->PreemptRunsForUrgentTasks(table, now);
    this->MoveSlowRuns(table, now);
    this->MoveStragglers(table, now);
  }
  // The same holds for the capacity that these moves take up.
  if (this->moved_runs.size() == moves_before)
    this->MoveLastingRuns(table, now, command);
  const bool empty = command.losses_size() == 0 &&
                     command.occurrences_size() == 0 &&
                     command.starts_size() == 0 && command.give_ups_size() == 0;
  if (empty)
    return std::nullopt;
  return command;
}

void JobScheduler::DeclareLostWorkers(const JobTable& table,
                                      TimePoint now,
                                      wire::JobCommand& command) {
  for (const auto& [agent, worker] : table.workers()) {
    const auto found = this->agents.find(agent);
    if (worker.lost || found == this->agents.end())
      continue;
    const AgentState& agent_state = found->second;
    if (IsLossInLog(agent_state))
      continue;
    const bool lost_early =
        this->options.mutations.give_up_early &&
        now > agent_state.last_report + this->options.unreachable_after;
    if (now > agent_state.max_lease_end || lost_early)
      this->AddLoss(table, agent, "its lease ended", command);
  }
}

void JobScheduler::AddLoss(const JobTable& table,
                           const std::string& agent,
                           const std::string& why,
                           wire::JobCommand& command) {
  wire::WorkerLoss loss = this->MakeWorkerLoss(table, agent, why);
  this->agents[agent].loss_in_log_born_ms = loss.born_ms();
  *command.add_losses() = std::move(loss);
}

wire::WorkerLoss JobScheduler::MakeWorkerLoss(const JobTable& table,
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
    wire::TaskEnd* checkpoint = loss.add_checkpoints();
    *checkpoint->mutable_task() = table.NameOf(key);
    checkpoint->set_run(run.run);
    checkpoint->set_checkpoint(run.checkpoint);
  }
  return loss;
}

bool JobScheduler::MayOpenOccurrence(const JobTable& table,
                                     const Job& job) const {
  constexpr std::size_t kMinOpenOccurrences = 2;
  const std::size_t open = job.occurrences.size();
  return open < kMinOpenOccurrences ||
         ((open + 1) * job.figures.tasks <= this->options.max_open_tasks &&
          table.held_bytes() < this->options.memory.limit_bytes);
}

void JobScheduler::StartDueOccurrences(const JobTable& table,
                                       std::int64_t wall_ms,
                                       wire::JobCommand& command) {
  for (const std::uint64_t sequence : table.timed_jobs()) {
    const Job& job = *table.FindSequence(sequence);
    const auto next = job.done_occurrences +
                      static_cast<std::uint32_t>(job.occurrences.size());
    if (!IsDue(job.spec, next, wall_ms) || !this->MayOpenOccurrence(table, job))
      continue;
    wire::OccurrenceStart* start = command.add_occurrences();
    start->set_job(job.spec.id());
    start->set_occurrence(next);
  }
}

bool JobScheduler::HasStarted(const Job& job) const {
  return this->started_jobs.contains(job.sequence) || job.has_done_tasks;
}

std::uint32_t JobScheduler::CountPending(const JobTable& table,
                                         const std::string& queue) const {
  std::uint32_t count = table.CountPending(queue);
  for (const auto& [sequence, job] : table.jobs()) {
    const bool running = job.state == wire::JOB_STATE_RUNNING &&
                         job.spec.repeat_count() == 0 &&
                         job.spec.queue() == queue;
    if (running && !this->HasStarted(job))
      count += 1;
  }
  return count;
}

std::vector<MovedRun> JobScheduler::TakeMovedRuns() {
  return std::exchange(this->moved_runs, {});
}

std::vector<PreemptedRun> JobScheduler::TakePreemptedRuns() {
  return std::exchange(this->preempted_runs, {});
}

std::vector<std::string> JobScheduler::TakeSuspendedAgents() {
  return std::exchange(this->suspended_agents, {});
}

}  // namespace savoryring
