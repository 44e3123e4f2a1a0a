#include "libcontrol/control_core.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace savoryring {
namespace {

constexpr Milliseconds kDecideInterval{20};
// A process is considered live for this long after its last message.
constexpr Milliseconds kProcessTimeout{3000};
// Well below the time after which a sender asks another replica.
constexpr Milliseconds kProgressInterval{100};
// A leader that does not serve for this long between two ticks may have missed
// reports. Agents wait twice as long for an answer.
constexpr Milliseconds kBusyTime{200};
// An agent that does not hear the leader issues no start call later than this
// after the report that the order answers. With the time after which a worker
// rejects such a call (2 s), less than the 5 s after which nothing may start in
// an evacuated zone.
constexpr Milliseconds kStartValidity{2000};

}  // namespace

ControlCore::ControlCore(ControlOptions options,
                         StoredReplica stored,
                         TimePoint now)
    : options(std::move(options)),
      log_replica(this->options.replica, std::move(stored), now),
      control_state(this->options.mutations) {
  if (!this->options.availability_zones.empty())
    this->options.jobs.start_validity = kStartValidity;
  const std::string& snapshot = this->log_replica.snapshot_state();
  if (!snapshot.empty()) {
    wire::ControlSnapshot saved;
    if (!saved.ParseFromString(snapshot))
      throw Error(ResultCode::kDamagedLog, "the snapshot can't be read");
    this->control_state.Restore(saved);
  }
  this->last_applied = this->log_replica.first_index() - 1;
  this->stored_index = this->log_replica.last_index();
}

void ControlCore::OnReplicaMessage(const wire::ReplicaMessage& message,
                                   TimePoint now) {
  this->log_replica.Receive(message, now);
}

void ControlCore::OnHeartbeat(const wire::WorkerHeartbeat& heartbeat,
                              std::uint64_t incarnation,
                              TimePoint now) {
  const std::string& id = heartbeat.worker().id();
  this->UpdateLeadership();
  if (!this->Serves(now)) {
    SendOrders redirect{.worker = id};
    redirect.orders.set_leader_link(this->LeaderLink());
    this->effects.emplace_back(std::move(redirect));
    return;
  }
  this->sent_orders_versions[id] = heartbeat.orders_version();
  this->Propose(this->scheduler->OnHeartbeat(this->control_state, heartbeat,
                                             incarnation, now));
  const bool grant_lease =
      this->scheduler->MayGrantLease(this->control_state, id, incarnation);
  this->AddOrders(id, heartbeat.sent_boottime_ns(), grant_lease);
}

void ControlCore::OnCall(wire::ControlCall call,
                         std::uint64_t call_token,
                         TimePoint now) {
  this->UpdateLeadership();
  if (!this->Serves(now)) {
    ReplyToCall redirect{.call_token = call_token,
                         .reply = MakeErrorReply(ResultCode::kNoLeader, "")};
    redirect.reply.set_leader_link(this->LeaderLink());
    this->effects.emplace_back(std::move(redirect));
    return;
  }
  if (call.method() == "PING") {
    wire::ControlReply answer;
    answer.set_status(200);
    this->ReplyAsLeader(call_token, std::move(answer));
    return;
  }
  try {
    if (call.method() == "JOB") {
      this->OnJobCall(call, call_token, now);
      return;
    }
    if (SubmitsEstate(call)) {
      this->OnEstateCall(std::move(call), call_token, now);
      return;
    }
    if (QueriesEstate(call)) {
      this->OnEstateQuery(call, call_token, now);
      return;
    }
    const ControlView view = this->MakeView(now);
    auto command = ParseCommand(call, view);
    if (!command) {
      this->ReplyAsLeader(call_token, AnswerQuery(call, view));
      return;
    }
    this->ProposeCall(*command, call, call_token, now);
  } catch (const Error& failure) {
    this->ReplyAsLeader(call_token,
                        MakeErrorReply(failure.code(), failure.what()));
  }
}

void ControlCore::ReplyAsLeader(std::uint64_t call_token,
                                wire::ControlReply reply) {
  reply.set_estate_revision(this->control_state.estate().revision());
  this->effects.emplace_back(
      ReplyToCall{.call_token = call_token, .reply = std::move(reply)});
}

// --- Jobs ---

void ControlCore::OnJobCall(const wire::ControlCall& call,
                            std::uint64_t call_token,
                            TimePoint now) {
  wire::JobCall job_call;
  if (!job_call.ParseFromString(call.body()))
    throw Error(ResultCode::kDamagedMessage, "job call");
  const EstateState& estate = this->control_state.estate();
  if (estate.revision() == 0)
    throw Error(ResultCode::kNoEstate, "");
  auto outcome = ReadJobCall(job_call, estate.estate(),
                             this->control_state.jobs(), *this->job_scheduler);
  if (const auto* answer = std::get_if<JobAnswer>(&outcome)) {
    wire::ControlReply reply;
    reply.set_status(static_cast<std::uint32_t>(answer->status));
    reply.set_body(answer->body);
    this->ReplyAsLeader(call_token, std::move(reply));
    return;
  }
  wire::Command command;
  *command.mutable_job_command() =
      std::get<wire::JobCommand>(std::move(outcome));
  const wire::JobCommand& job_command = command.job_command();
  if (job_command.has_submit() &&
      this->RefuseJobIfOverloaded(job_command.submit(), call, call_token, now))
    return;
  this->ProposeCall(command, call, call_token, now);
}

// Nothing is proposed for a refused job, so that it never runs.
bool ControlCore::RefuseJobIfOverloaded(const wire::JobSpec& spec,
                                        const wire::ControlCall& call,
                                        std::uint64_t call_token,
                                        TimePoint now) {
  const ArrivalDecision decision = this->job_scheduler->AdmitJob(
      this->control_state.jobs(), spec, call.may_refuse(), this->GroupTime(now),
      now);
  const auto* refusal = std::get_if<RefuseJob>(&decision);
  if (refusal == nullptr)
    return false;
  const auto seconds = std::to_string(refusal->retry_after.count());
  wire::ControlReply reply = MakeErrorReply(
      ResultCode::kOverloaded,
      spec.id() +
          (refusal->lacks_memory ? " finds no memory" : " would end too late") +
          "; come back in " + seconds + " s");
  reply.set_retry_after_ms(
      static_cast<std::uint32_t>(Milliseconds(refusal->retry_after).count()));
  this->ReplyAsLeader(call_token, std::move(reply));
  if (refusal->lacks_memory) {
    this->ReportMemoryShortage(spec, seconds);
    return true;
  }
  const auto whole = [](double amount) {
    return std::to_string(static_cast<std::uint64_t>(amount));
  };
  this->ReportEvent(Event::kJobRefused,
                    {{"job", spec.id()},
                     {"queue", spec.queue()},
                     {"end_ms", std::to_string(refusal->estimate.end_ms)},
                     {"objective_ms", std::to_string(refusal->objective_ms)},
                     {"work_ahead", whole(refusal->estimate.work_ahead)},
                     {"rate_milli", whole(refusal->estimate.rate)},
                     {"retry_after_s", seconds}});
  return true;
}

void ControlCore::ReportMemoryShortage(const wire::JobSpec& spec,
                                       const std::string& retry_after_s) {
  const JobTable& jobs = this->control_state.jobs();
  const auto& queues = jobs.held_bytes_by_queue();
  const auto largest = std::ranges::max_element(
      queues, {}, [](const auto& item) { return item.second; });
  std::vector<Field> fields{
      {"job", spec.id()},
      {"queue", spec.queue()},
      {"why", "memory"},
      {"held_bytes", std::to_string(jobs.held_bytes())},
      {"limit_bytes", std::to_string(this->options.jobs.memory.limit_bytes)}};
  if (largest != queues.end()) {
    fields.push_back({"largest_queue", largest->first});
    fields.push_back({"its_bytes", std::to_string(largest->second)});
  }
  fields.push_back({"retry_after_s", retry_after_s});
  this->ReportEvent(Event::kJobRefused, std::move(fields));
}

void ControlCore::ProposeCall(wire::Command& command,
                              const wire::ControlCall& call,
                              std::uint64_t call_token,
                              TimePoint now) {
  if (command.job_command().has_submit()) {
    CheckJobTasks(command.job_command().submit(), this->control_state.jobs(),
                  this->options.max_job_tasks);
  }
  if (command.has_job_command())
    command.mutable_job_command()->set_group_time_ms(this->GroupTime(now));
  const auto index = this->log_replica.Propose(command.SerializeAsString());
  if (command.job_command().has_submit()) {
    this->job_scheduler->OnJobProposed(this->control_state.jobs(),
                                       command.job_command().submit(),
                                       this->GroupTime(now), now);
  }
  this->pending_calls.emplace(*index,
                              this->MakePendingCall(call, call_token, now));
}

ControlCore::PendingCall ControlCore::MakePendingCall(
    const wire::ControlCall& call,
    std::uint64_t call_token,
    TimePoint now) const {
  PendingCall pending{
      .term = this->log_replica.term(),
      .call_token = call_token,
      .estate_revision = this->control_state.estate().revision(),
      .next_progress =
          call.accepts_progress() ? now + kProgressInterval : kNever};
  pending.call.set_method(call.method());
  pending.call.set_path(call.path());
  return pending;
}

// The senders would otherwise ask other replicas after a while.
void ControlCore::ReportProgress(TimePoint now) {
  for (auto& [index, pending] : this->pending_calls)
    this->ReportProgressOf(pending, now);
  for (auto& [task, open] : this->document_calls) {
    for (PendingCall& pending : open.calls)
      this->ReportProgressOf(pending, now);
  }
}

void ControlCore::ReportProgressOf(PendingCall& pending, TimePoint now) {
  if (now < pending.next_progress)
    return;
  pending.next_progress = now + kProgressInterval;
  ReplyToCall progress{.call_token = pending.call_token};
  progress.reply.set_in_progress(true);
  this->effects.emplace_back(std::move(progress));
}

void ControlCore::OnAgentReport(const wire::AgentReport& report,
                                TimePoint now) {
  const std::string& agent = report.worker().agent();
  this->UpdateLeadership();
  if (!this->Serves(now) && this->log_replica.IsLeader()) {
    this->held_reports[agent] = report;
    return;
  }
  if (!this->Serves(now)) {
    SendAgentOrders redirect{.agent = agent};
    redirect.orders.set_leader_link(this->LeaderLink());
    this->effects.emplace_back(std::move(redirect));
    return;
  }
  this->reporting_agents.insert(agent);
  if (auto command = this->job_scheduler->OnReport(this->control_state.jobs(),
                                                   report, now))
    this->ProposeJobs(std::move(*command), now);
  this->AddAgentOrders(agent, now);
}

// A leader regains its lease within a round trip, or steps down soon.
void ControlCore::HandleHeldReports(TimePoint now) {
  if (this->log_replica.IsLeader() && !this->Serves(now))
    return;
  for (const auto& [agent, report] : std::exchange(this->held_reports, {}))
    this->OnAgentReport(report, now);
}

// Reports that arrived meanwhile were not read, or not answered.
void ControlCore::ExtendLeasesIfBusy(TimePoint now) {
  if (!this->Serves(now))
    return;
  const TimePoint since = std::exchange(this->served_until, now);
  if (since != kNever && now > since + kBusyTime)
    this->job_scheduler->ExtendLeases(now - since);
}

void ControlCore::AddAgentOrders(const std::string& agent, TimePoint now) {
  SendAgentOrders effect{.agent = agent};
  effect.orders =
      this->job_scheduler->OrdersFor(this->control_state.jobs(), agent, now);
  effect.orders.set_term(this->log_replica.term());
  this->effects.emplace_back(std::move(effect));
}

std::uint64_t ControlCore::GroupTime(TimePoint now) const {
  const auto leading_time =
      RemainingTime(this->log_replica.leader_since(), now);
  return this->group_time_base +
         static_cast<std::uint64_t>(leading_time.count());
}

void ControlCore::ProposeJobs(wire::JobCommand command, TimePoint now) {
  wire::Command entry;
  command.set_group_time_ms(this->GroupTime(now));
  *entry.mutable_job_command() = std::move(command);
  this->log_replica.Propose(entry.SerializeAsString());
}

// Waits until the previous decision has been applied, so that the next one is
// based on its result.
void ControlCore::DecideJobs(TimePoint now) {
  if (!this->Serves(now) || this->last_applied < this->last_job_decision_index)
    return;
  auto command = this->job_scheduler->Decide(
      this->control_state.jobs(), this->unix_ms, this->GroupTime(now), now);
  for (const MovedRun& run : this->job_scheduler->TakeMovedRuns()) {
    this->ReportEvent(
        Event::kJobRunMoved,
        {{"task", run.task}, {"worker", run.agent}, {"why", run.why}});
    if (run.stop_now && this->reporting_agents.contains(run.agent))
      this->AddAgentOrders(run.agent, now);
  }
  for (const PreemptedRun& run : this->job_scheduler->TakePreemptedRuns())
    this->ReportEvent(Event::kJobRunPreempted, {{"task", run.task},
                                                {"worker", run.agent},
                                                {"for", run.preempting_job}});
  this->ReportSpeedChanges();
  if (!command)
    return;
  this->ProposeJobs(std::move(*command), now);
  this->last_job_decision_index = this->log_replica.last_index();
}

void ControlCore::ReportSpeedChanges() {
  for (const WorkerSpeedChange& change :
       this->job_scheduler->TakeSpeedChanges()) {
    constexpr double kFullPercent = 100;
    const auto percent = std::lround(change.speed * kFullPercent);
    this->ReportEvent(
        change.slow ? Event::kJobWorkerSlow : Event::kJobWorkerRecovered,
        {{"worker", change.worker},
         {"speed_percent", std::to_string(percent)}});
  }
}

std::size_t ControlCore::CountSlowWorkers() const {
  return this->job_scheduler ? this->job_scheduler->CountSlowWorkers() : 0;
}

// The scheduler's state must follow the table while this replica leads, also
// while its leader lease has lapsed.
void ControlCore::ProcessJobEvents(TimePoint now) {
  const std::vector<JobEvent> events =
      this->control_state.mutable_jobs().TakeEvents();
  if (!this->job_scheduler || !this->was_leader)
    return;
  for (const JobEvent& event : events) {
    this->job_scheduler->OnEvent(event, now);
    this->ReportJobEvent(event);
  }
  for (const std::string& agent : this->job_scheduler->TakeSuspendedAgents())
    this->ReportEvent(Event::kJobWorkerSuspended, {{"worker", agent}});
}

void ControlCore::ReportJobEvent(const JobEvent& event) {
  const auto run_fields = [&event] {
    return std::vector<Field>{{"job", event.job},
                              {"task", event.task},
                              {"run", std::to_string(event.run)},
                              {"worker", event.agent}};
  };
  switch (event.kind) {
    case JobEvent::Kind::kAccepted:
      return this->ReportEvent(Event::kJobAccepted,
                               {{"job", event.job}, {"queue", event.reason}});
    case JobEvent::Kind::kJobEnded:
    case JobEvent::Kind::kCancelled:
      return this->ReportEvent(Event::kJobEnded,
                               {{"job", event.job}, {"why", event.reason}});
    case JobEvent::Kind::kStarted:
      return this->ReportEvent(Event::kJobRunStarted, run_fields());
    case JobEvent::Kind::kEnded: {
      std::vector<Field> fields = run_fields();
      fields.push_back({"how", RunEndName(event.run_end)});
      if (!event.reason.empty())
        fields.push_back({"why", event.reason});
      return this->ReportEvent(Event::kJobRunEnded, std::move(fields));
    }
    case JobEvent::Kind::kWorkerLost:
      return this->ReportEvent(Event::kJobWorkerLost, {{"worker", event.agent},
                                                       {"why", event.reason}});
    case JobEvent::Kind::kWorkerCrashed:
      return this->ReportEvent(
          Event::kJobWorkerCrashed,
          {{"worker", event.agent}, {"why", event.reason}});
    case JobEvent::Kind::kCleared:
      return this->ReportEvent(Event::kJobTaskCleared, run_fields());
    case JobEvent::Kind::kSuspected: {
      std::vector<Field> fields = run_fields();
      fields.push_back({"why", event.reason});
      return this->ReportEvent(Event::kJobTaskSuspected, std::move(fields));
    }
  }
}

void ControlCore::OnProcessRevision(const std::string& name,
                                    std::uint64_t revision,
                                    TimePoint now) {
  this->processes[name] = {.revision = revision,
                           .valid_until = now + kProcessTimeout};
}

void ControlCore::OnTick(TimePoint now, std::int64_t unix_ms) {
  this->unix_ms = unix_ms;
  this->log_replica.Tick(now);
  this->UpdateLeadership();
  this->HandleHeldReports(now);
  this->ExtendLeasesIfBusy(now);
  this->ProposeCheckedEstates(now);
  if (this->Serves(now))
    this->ReportProgress(now);
  if (this->Serves(now))
    this->RecordKnowledgeOfEvacuation();
  this->DecideJobs(now);
  const bool decide = this->Serves(now) && now >= this->decide_deadline &&
                      this->last_applied >= this->last_decision_index;
  if (!decide)
    return;
  this->decide_deadline = now + kDecideInterval;
  this->Propose(this->scheduler->Decide(this->control_state, now));
  this->last_decision_index = this->log_replica.last_index();
}

void ControlCore::TransferLeadership(TimePoint now) {
  this->log_replica.TransferLeadership(now);
  this->UpdateLeadership();
}

void ControlCore::UpdateLeadership() {
  const bool is_leader = this->log_replica.IsLeader();
  const std::uint64_t term = this->log_replica.term();
  const bool lost_leadership =
      this->was_leader && (!is_leader || this->scheduler_term != term);
  if (lost_leadership) {
    this->ReportEvent(Event::kLostLeadership,
                      "term " + std::to_string(this->scheduler_term));
    // These entries may still be committed by the next leader, so the callers
    // are told that the command was proposed.
    for (const auto& [index, pending] : this->pending_calls) {
      ReplyToCall rejection{.call_token = pending.call_token,
                            .reply = MakeErrorReply(ResultCode::kNoLeader, "")};
      rejection.reply.set_proposed(true);
      this->effects.emplace_back(std::move(rejection));
    }
    this->pending_calls.clear();
    this->proposed_estates.clear();
    this->RejectDocumentCalls();
  }
  if (is_leader && this->scheduler_term != term) {
    this->scheduler_term = term;
    this->last_decision_index = 0;
    this->sent_orders_versions.clear();
    this->scheduler.emplace(this->options.scheduler,
                            this->log_replica.leader_since());
    this->job_scheduler.reset();
    this->reporting_agents.clear();
    this->served_until = kNever;
    this->ReportEvent(Event::kBecameLeader, "term " + std::to_string(term));
  }
  this->was_leader = is_leader;
  // Committed entries may not be applied yet. A job scheduler that starts with
  // an outdated job table would declare live workers lost.
  const bool applied_all =
      this->last_applied >= this->log_replica.commit_index();
  if (is_leader && !this->job_scheduler && applied_all &&
      this->log_replica.IsCaughtUp()) {
    this->job_scheduler.emplace(this->options.jobs, this->control_state.jobs(),
                                this->log_replica.leader_since());
    this->job_scheduler->SetEvacuatedZones(
        this->control_state.evacuated_zones());
    this->group_time_base = this->control_state.jobs().group_time_ms();
    this->last_job_decision_index = 0;
  }
}

ReplicaOutput ControlCore::TakeOutput(TimePoint now) {
  return this->log_replica.TakeOutput(now);
}

void ControlCore::OnStored(const ReplicaOutput& output, TimePoint now) {
  if (output.NeedsStore())
    this->log_replica.OnStored(now);
  if (output.restore)
    this->StartRestoration(*output.snapshot);
  for (const wire::LogEntry& entry : output.append)
    this->PrepareEntry(entry);
  this->unapplied.insert(this->unapplied.end(), output.committed.begin(),
                         output.committed.end());
  this->settled = !output.NeedsStore() && output.committed.empty();
  if (this->ApplyDelivered())
    this->OnApplied(now);
}

// Applies what was delivered, up to an estate that is not prepared yet. Returns
// whether any entry was applied.
bool ControlCore::ApplyDelivered() {
  const std::uint64_t before = this->last_applied;
  while (!this->restoration && !this->unapplied.empty()) {
    const wire::LogEntry& entry = this->unapplied.front();
    this->PrepareEntry(entry);
    if (!this->IsPrepared(entry))
      break;
    this->ApplyCommitted(entry);
    this->unapplied.pop_front();
  }
  this->log_replica.SetDeliveryPaused(this->restoration ||
                                      !this->unapplied.empty());
  return this->last_applied != before;
}

void ControlCore::OnApplied(TimePoint now) {
  // Job events are processed before a job scheduler may be created, so that
  // events of entries from earlier leaders are discarded.
  this->ProcessJobEvents(now);
  this->UpdateLeadership();
  this->DecideJobs(now);
  this->CompactIfLong();
}

std::vector<ControlEffect> ControlCore::TakeEffects(TimePoint now) {
  const auto changed = this->control_state.TakeChangedWorkers();
  if (this->Serves(now)) {
    for (const std::string& worker : changed) {
      if (this->sent_orders_versions.contains(worker))
        this->AddOrders(worker, 0, false);
    }
  }
  const auto agents = this->control_state.mutable_jobs().TakeChangedAgents();
  const auto evacuated_zones = std::exchange(this->newly_evacuated_zones, {});
  if (this->Serves(now)) {
    for (const std::string& zone : evacuated_zones)
      this->NotifyAgentsIn(zone, now);
    for (const std::string& agent : agents) {
      if (this->reporting_agents.contains(agent))
        this->AddAgentOrders(agent, now);
    }
  }
  return std::exchange(this->effects, {});
}

void ControlCore::ApplyCommitted(const wire::LogEntry& entry) {
  this->last_applied = entry.index();
  this->applied_log_bytes += entry.ByteSizeLong();
  if (entry.has_membership()) {
    std::string voters;
    for (const wire::Member& voter : entry.membership().voters())
      voters += (voters.empty() ? "" : " ") + voter.id();
    this->ReportEvent(
        entry.index() == 1 ? Event::kGroupFormed : Event::kReplicaReplaced,
        voters);
  }
  ApplyResult result;
  if (SubmitsEstate(entry))
    this->ApplyEstate(entry, result);
  else if (!entry.command().empty())
    this->ApplyCommand(entry, result);
  const auto [first, last] = this->pending_calls.equal_range(entry.index());
  if (first == last)
    return;
  for (auto pending = first; pending != last; ++pending)
    this->AnswerPendingCall(pending->second, entry, result);
  this->pending_calls.erase(first, last);
  std::erase_if(this->proposed_estates, [&entry](const auto& item) {
    return item.second == entry.index();
  });
}

void ControlCore::AnswerPendingCall(const PendingCall& pending,
                                    const wire::LogEntry& entry,
                                    const ApplyResult& result) {
  ReplyToCall answer{.call_token = pending.call_token};
  if (pending.term == entry.term()) {
    answer.reply = AnswerApplied(pending.call, result);
    answer.reply.set_estate_revision(pending.estate_revision);
  } else {
    answer.reply = MakeErrorReply(ResultCode::kNoLeader, "");
    answer.reply.set_proposed(true);
  }
  this->effects.emplace_back(std::move(answer));
}

void ControlCore::ApplyCommand(const wire::LogEntry& entry,
                               ApplyResult& result) {
  wire::Command command;
  if (!command.ParseFromString(entry.command()))
    throw Error(ResultCode::kDamagedLog, "a committed command");
  const std::set<std::string> zones = this->control_state.evacuated_zones();
  result = this->control_state.Apply(command, entry.index());
  for (const std::string& id : this->control_state.TakeRepeatedlyLostTasks()) {
    this->ReportEvent(
        Event::kTaskLostRepeatedly,
        id + ": " +
            std::to_string(this->control_state.FindTask(id)->lost_runs()) +
            " losses in a row without progress");
  }
  if (result.code == ResultCode::kOk)
    this->ReportCommandEvents(command);
  if (command.has_evacuate_zone())
    this->OnZonesChanged(zones);
}

void ControlCore::OnZonesChanged(const std::set<std::string>& before) {
  const std::set<std::string>& zones = this->control_state.evacuated_zones();
  if (zones == before)
    return;
  for (const std::string& zone : zones) {
    if (before.contains(zone))
      continue;
    this->newly_evacuated_zones.insert(zone);
    this->ReportEvent(Event::kZoneEvacuated, {{"zone", zone}});
  }
  for (const std::string& zone : before) {
    if (!zones.contains(zone))
      this->ReportEvent(Event::kZoneReturned, {{"zone", zone}});
  }
  if (this->job_scheduler)
    this->job_scheduler->SetEvacuatedZones(zones);
}

// A leader that takes over while a voter is down could not ask that one, and an
// operator may want to evacuate just then.
void ControlCore::RecordKnowledgeOfEvacuation() {
  const bool is_due = !this->options.availability_zones.empty() &&
                      !this->control_state.evacuation_known() &&
                      this->knowledge_term != this->log_replica.term() &&
                      this->log_replica.VotersKnowEvacuation();
  if (!is_due)
    return;
  this->knowledge_term = this->log_replica.term();
  wire::Command command;
  command.mutable_evacuate_zone();
  this->Propose({command});
}

// Start orders that an agent holds are withdrawn without waiting for its next
// report.
void ControlCore::NotifyAgentsIn(const std::string& zone, TimePoint now) {
  for (const auto& [agent, worker] : this->control_state.jobs().workers()) {
    if (worker.description.availability_zone() == zone &&
        this->reporting_agents.contains(agent))
      this->AddAgentOrders(agent, now);
  }
}

void ControlCore::ReportCommandEvents(const wire::Command& command) {
  if (command.has_lose_worker())
    this->ReportEvent(Event::kWorkerLost, command.lose_worker().worker());
  if (command.has_register_worker()) {
    this->ReportEvent(Event::kWorkerRegistered,
                      command.register_worker().description().id());
  }
  if (command.has_park_task())
    this->ReportEvent(Event::kTaskParked, command.park_task().task());
  if (command.stop_tasks().cause() == wire::STOP_CAUSE_EVICTED) {
    for (const std::string& task : command.stop_tasks().tasks())
      this->ReportEvent(Event::kTaskEvicted,
                        task + ": " + command.stop_tasks().why());
  }
  if (!command.has_report_tasks())
    return;
  for (const wire::TaskReport& report : command.report_tasks().reports()) {
    if (report.state() != wire::TASK_RUNNING) {
      this->ReportEvent(Event::kTaskEnded,
                        report.task() + " epoch " +
                            std::to_string(report.epoch()) + " " +
                            wire::TaskRunState_Name(report.state()));
    }
  }
  const std::string& id = command.report_tasks().worker();
  const WorkerState* worker = this->control_state.FindWorker(id);
  if (worker != nullptr && worker->record.quarantined())
    this->ReportEvent(Event::kWorkerQuarantined, id);
}

void ControlCore::Propose(const std::vector<wire::Command>& commands) {
  for (const wire::Command& command : commands)
    this->log_replica.Propose(command.SerializeAsString());
}

void ControlCore::CompactIfLong() {
  const bool has_many_entries =
      this->last_applied + 1 >=
      this->log_replica.first_index() + this->options.snapshot_after_entries;
  // The cost of a snapshot is thus in proportion to that of the log.
  const bool is_large =
      this->applied_log_bytes >=
      std::max<std::uint64_t>(this->options.snapshot_after_bytes,
                              this->log_replica.snapshot_state().size());
  // The entries read at startup may take most of the disk, and compaction
  // rewrites those that are not applied yet.
  const bool applied_stored = this->last_applied >= this->stored_index;
  if (!applied_stored || (!has_many_entries && !is_large))
    return;
  this->applied_log_bytes = 0;
  this->log_replica.Compact(this->last_applied,
                            this->control_state.Save().SerializeAsString());
  this->ReportEvent(Event::kSnapshotTaken,
                    "index " + std::to_string(this->last_applied));
}

void ControlCore::AddOrders(const std::string& worker,
                            std::uint64_t echoed_boottime_ns,
                            bool grant_lease) {
  SendOrders effect{.worker = worker};
  wire::WorkerOrders& orders = effect.orders;
  orders.set_sent_boottime_ns(echoed_boottime_ns);
  if (grant_lease) {
    orders.set_lease_ms(static_cast<std::uint32_t>(
        this->options.scheduler.watch.lease.count()));
  }
  const WorkerState* known = this->control_state.FindWorker(worker);
  const std::uint64_t version =
      known == nullptr ? 0 : known->record.orders_version();
  orders.set_version(version);
  std::uint64_t& sent = this->sent_orders_versions[worker];
  if (version != sent) {
    orders.set_has_orders(true);
    for (wire::TaskOrder& order : this->control_state.OrdersFor(worker))
      *orders.add_orders() = std::move(order);
    sent = version;
  }
  this->effects.emplace_back(std::move(effect));
}

bool ControlCore::Serves(TimePoint now) const {
  return this->scheduler && this->job_scheduler &&
         this->log_replica.IsCaughtUp() && this->unapplied.empty() &&
         !this->restoration &&
         this->scheduler_term == this->log_replica.term() &&
         this->log_replica.HasLease(now);
}

bool ControlCore::IsReady(TimePoint now) const {
  return this->log_replica.IsVoter() &&
         (this->Serves(now) || !this->log_replica.leader_id().empty());
}

std::string ControlCore::LeaderLink() const {
  const auto found =
      this->options.replica_links.find(this->log_replica.leader_id());
  if (found != this->options.replica_links.end())
    return found->second;
  // With open membership a replica's id is its link address.
  return this->options.replica.open_membership ? this->log_replica.leader_id()
                                               : "";
}

void ControlCore::ReportEvent(Event event, std::vector<Field> fields) {
  this->effects.emplace_back(
      OperatorEvent{.event = event, .fields = std::move(fields)});
}

void ControlCore::ReportEvent(Event event, const std::string& detail) {
  this->effects.emplace_back(OperatorEvent{.event = event, .detail = detail});
}

ControlView ControlCore::MakeView(TimePoint now) const {
  return {.state = this->control_state,
          .scheduler = *this->scheduler,
          .job_scheduler = *this->job_scheduler,
          .replica = this->log_replica,
          .processes = this->processes,
          .availability_zones = this->options.availability_zones,
          .now = now};
}

}  // namespace savoryring
