#include "libplacement/control_state.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

// History entries kept per task for `explain`. Beyond that the oldest are
// dropped, except for the first.
constexpr int kMaxSteps = 24;
// Submitted tasks that are kept after they have ended.
constexpr std::size_t kMaxEndedTasks = 50'000;

Resources ToResources(const wire::WorkerDescription& description) {
  return {.processors = description.processors(),
          .memory_mb = description.memory_mb(),
          .accelerators = description.accelerators()};
}

}  // namespace

ControlState::ControlState(ControlMutations mutations)
    : mutations(mutations), job_table(mutations.jobs) {}

ApplyResult ControlState::Apply(const wire::Command& command,
                                std::uint64_t index) {
  this->index = index;
  switch (command.body_case()) {
    case wire::Command::kSubmitEstate:
      return this->ApplyEstate(ToEstateSubmission(command.submit_estate()),
                               index);
    case wire::Command::kRegisterWorker:
      return this->ApplyRegisterWorker(command.register_worker());
    case wire::Command::kLoseWorker:
      return this->ApplyLoseWorker(command.lose_worker());
    case wire::Command::kSubmitTask:
      return this->ApplySubmitTask(command.submit_task());
    case wire::Command::kCancelTask:
      return this->ApplyCancelTask(command.cancel_task());
    case wire::Command::kAssignTasks:
      return this->ApplyAssignTasks(command.assign_tasks());
    case wire::Command::kStopTasks:
      return this->ApplyStopTasks(command.stop_tasks());
    case wire::Command::kThrottleTask:
      return this->ApplyThrottleTask(command.throttle_task());
    case wire::Command::kReportTasks:
      return this->ApplyReportTasks(command.report_tasks());
    case wire::Command::kParkTask:
      return this->ApplyParkTask(command.park_task());
    case wire::Command::kDrainWorker:
      return this->ApplyDrainWorker(command.drain_worker());
    case wire::Command::kClaimKey:
      return {.claim = this->claim_table.Claim(command.claim_key().claim())};
    case wire::Command::kSettleClaim:
      this->claim_table.Settle(command.settle_claim().claim());
      return {};
    case wire::Command::kDecideTask:
      return this->ApplyDecideTask(command.decide_task());
    case wire::Command::kProveTask:
      return this->ApplyProveTask(command.prove_task());
    case wire::Command::kEvacuateZone:
      return this->ApplyEvacuateZone(command.evacuate_zone());
    case wire::Command::kJobCommand:
      return {.code = this->job_table.Apply(command.job_command()).code};
    case wire::Command::BODY_NOT_SET:
      return {};
  }
  return {};
}

// --- The estate ---

EstateSubmission ToEstateSubmission(wire::SubmitEstate command) {
  return {.version = command.version(),
          .request_id = std::move(*command.mutable_request_id()),
          .highest_wins = command.highest_wins(),
          .prepared = PrepareEstate(std::move(*command.mutable_text()),
                                    std::move(*command.mutable_source()),
                                    command.parsed())};
}

ApplyResult ControlState::ApplyEstate(const EstateSubmission& submission,
                                      std::uint64_t index) {
  this->index = index;
  const std::uint64_t old_revision = this->estate_state.revision();
  const ResultCode code = this->estate_state.Apply(submission);
  if (this->estate_state.revision() != old_revision)
    this->ReconcileEstate();
  return {.code = code};
}

void ControlState::ReconcileEstate() {
  const Estate& estate = this->estate_state.estate();
  std::set<std::string> wanted_ids;
  for (const WorkSpec& spec : estate.tasks)
    this->ReconcileTask(spec, wanted_ids);
  for (const WorkSpec& spec : estate.monitors)
    this->ReconcileTask(spec, wanted_ids);
  for (auto& [id, task] : this->task_records) {
    if (!task.from_estate() || wanted_ids.contains(id))
      continue;
    if (!IsEnded(task.state())) {
      this->BeginStop(
          task, wire::STOP_CAUSE_REMOVED,
          "revision " + std::to_string(this->estate_state.revision()));
    }
  }
  // The records of ended tasks that are not repeatable are kept: an estate text
  // written before the removal may bring the same name back, and the task must
  // not run again then.
  std::erase_if(this->task_records, [&wanted_ids](const auto& item) {
    const wire::TaskRecord& task = item.second;
    return task.from_estate() && !wanted_ids.contains(item.first) &&
           IsEnded(task.state()) && IsRepeatable(task.spec());
  });
}

void ControlState::ReconcileTask(const WorkSpec& spec,
                                 std::set<std::string>& wanted_ids) {
  const wire::TaskSpec wanted_spec = ToTaskSpec(spec);
  wanted_ids.insert(spec.name);
  const auto found = this->task_records.find(spec.name);
  if (found == this->task_records.end()) {
    this->CreateTask(spec.name, wanted_spec).set_from_estate(true);
    return;
  }
  wire::TaskRecord& task = found->second;
  const bool removed = task.stop_cause() == wire::STOP_CAUSE_REMOVED &&
                       task.state() == wire::TASK_STATE_STOPPING;
  if (removed) {
    // Added to the estate again while it was being stopped: it resumes from its
    // checkpoint once the stop is confirmed.
    task.set_stop_cause(wire::STOP_CAUSE_CHANGED);
    *task.mutable_next_spec() = wanted_spec;
    return;
  }
  if (task.state() == wire::TASK_STATE_CANCELLED &&
      task.stop_cause() == wire::STOP_CAUSE_REMOVED) {
    *task.mutable_spec() = wanted_spec;
    this->RescheduleForRevision(task);
    return;
  }
  const wire::TaskSpec& current =
      task.has_next_spec() ? task.next_spec() : task.spec();
  if (SameSpec(current, wanted_spec))
    return;
  if (HoldsWorker(task.state())) {
    if (!NeedsRestart(task.spec(), wanted_spec) &&
        task.state() == wire::TASK_STATE_ASSIGNED) {
      this->usage_by_team[task.spec().team()] -= ResourcesOf(task.spec());
      *task.mutable_spec() = wanted_spec;
      this->usage_by_team[task.spec().team()] += ResourcesOf(task.spec());
      return;
    }
    *task.mutable_next_spec() = wanted_spec;
    this->BeginStop(
        task, wire::STOP_CAUSE_CHANGED,
        "revision " + std::to_string(this->estate_state.revision()));
    return;
  }
  const bool restart = NeedsRestart(task.spec(), wanted_spec) ||
                       task.state() == wire::TASK_STATE_PARKED;
  this->pending_tasks.erase(PendingKeyOf(task));
  *task.mutable_spec() = wanted_spec;
  // A task that is not repeatable does not run again under the same name after
  // it has ended, even if its specification has changed.
  const bool ended_for_good =
      IsEnded(task.state()) && !IsRepeatable(task.spec());
  if (restart && !ended_for_good)
    this->RescheduleForRevision(task);
  else
    this->SetState(task, task.state());
}

// A task whose specification has changed runs with the new one, even if it had
// already ended; a parked task is tried again.
void ControlState::RescheduleForRevision(wire::TaskRecord& task) {
  task.clear_failed_workers();
  task.clear_lost_runs();
  task.clear_parked_why();
  if (task.state() == wire::TASK_STATE_FINISHED)
    task.clear_checkpoint();
  this->SetState(task, wire::TASK_STATE_PENDING);
  this->AddStep(
      task, "pending",
      "changed in revision " + std::to_string(this->estate_state.revision()));
}

// --- Workers ---

ApplyResult ControlState::ApplyRegisterWorker(
    const wire::RegisterWorker& command) {
  const std::string& id = command.description().id();
  WorkerState& worker = this->worker_states[id];
  const bool same_incarnation =
      worker.record.incarnation() == command.incarnation() &&
      !worker.record.lost();
  *worker.record.mutable_description() = command.description();
  worker.capacity = ToResources(command.description());
  worker.record.set_incarnation(command.incarnation());
  worker.record.set_lost(false);
  if (!same_incarnation) {
    worker.record.set_leaving(false);
    this->MarkOrdersChanged(id);
  }
  this->RescheduleParked(worker.capacity);
  return {};
}

// Parked tasks that fitted no worker are tried again when a worker registers
// that has the capacity. Tasks parked because of failures stay parked.
void ControlState::RescheduleParked(const Resources& capacity) {
  const std::set<std::string> parked = this->parked_tasks;
  for (const std::string& id : parked) {
    wire::TaskRecord& task = this->task_records.at(id);
    const bool parked_after_failures =
        task.failed_workers_size() >= kMaxFailedWorkers;
    if (parked_after_failures || !ResourcesOf(task.spec()).FitsIn(capacity))
      continue;
    task.clear_parked_why();
    this->SetState(task, wire::TASK_STATE_PENDING);
    this->AddStep(task, "pending", "a worker joined that it fits");
  }
}

ApplyResult ControlState::ApplyLoseWorker(const wire::LoseWorker& command) {
  const auto found = this->worker_states.find(command.worker());
  const bool stale =
      found == this->worker_states.end() || found->second.record.lost() ||
      found->second.record.incarnation() != command.incarnation();
  if (stale)
    return {.code = ResultCode::kUnknownWorker};
  found->second.record.set_lost(true);
  const std::set<std::string> tasks = found->second.tasks;
  for (const std::string& task : tasks)
    this->HandleLostRun(this->task_records.at(task));
  this->MarkOrdersChanged(command.worker());
  return {};
}

// The worker's lease has certainly ended, so the task is not running anywhere,
// but it is not known whether it had finished. A task that is not repeatable
// waits until its worker comes back and reports, or until an operator decides.
// Resuming from its last checkpoint is not safe, as the lost run may have
// continued from there to the end.
void ControlState::HandleLostRun(wire::TaskRecord& task) {
  const std::string lost_worker = task.worker();
  const bool final_stop = task.state() == wire::TASK_STATE_STOPPING &&
                          IsFinalStop(task.stop_cause());
  this->ReleaseWorker(task);
  if (final_stop) {
    this->SetState(task, wire::TASK_STATE_CANCELLED);
    this->AddStep(task, "cancelled",
                  lost_worker + " lost it while it was stopped");
    return;
  }
  if (!IsRepeatable(task.spec())) {
    this->SetState(task, wire::TASK_STATE_OUTCOME_UNKNOWN);
    this->AddStep(
        task, "outcome unknown",
        lost_worker + " was lost or lost the task, which is not repeatable");
    return;
  }
  task.set_lost_runs(task.lost_runs() + 1);
  if (task.has_next_spec()) {
    *task.mutable_spec() = task.next_spec();
    task.clear_next_spec();
    task.clear_lost_runs();
  }
  std::string reason = lost_worker + " was lost or lost the task";
  if (IsSuspect(task)) {
    reason += ", loss " + std::to_string(task.lost_runs()) +
              " in a row without progress";
    this->repeatedly_lost_tasks.insert(task.id());
  }
  this->SetState(task, wire::TASK_STATE_PENDING);
  this->AddStep(task, "pending", reason);
}

ApplyResult ControlState::ApplyDrainWorker(const wire::DrainWorker& command) {
  const auto found = this->worker_states.find(command.worker());
  if (found == this->worker_states.end())
    return {.code = ResultCode::kUnknownWorker};
  if (command.leaving())
    found->second.record.set_leaving(true);
  else
    found->second.record.set_draining(command.draining());
  if (command.draining() || command.leaving()) {
    this->StopTasks(found->second, "worker " + command.worker());
  } else {
    found->second.record.set_quarantined(false);
    found->second.record.clear_failed_tasks();
  }
  return {};
}

void ControlState::StopTasks(const WorkerState& worker,
                             const std::string& reason) {
  const std::set<std::string> tasks = worker.tasks;
  for (const std::string& task : tasks) {
    this->BeginStop(this->task_records.at(task), wire::STOP_CAUSE_DRAINED,
                    reason);
  }
}

bool ControlState::IsLastZone(const std::string& zone) const {
  std::set<std::string> zones;
  for (const auto& [id, worker] : this->worker_states) {
    if (!worker.record.lost())
      zones.insert(worker.record.description().availability_zone());
  }
  for (const auto& [agent, worker] : this->job_table.workers()) {
    if (!worker.lost)
      zones.insert(worker.description.availability_zone());
  }
  std::erase_if(zones, [this](const std::string& name) {
    return this->evacuated.contains(name);
  });
  return zones.size() == 1 && zones.contains(zone);
}

// Two evacuations may be proposed before either is applied, so that the last
// zone is protected here and not only where the call arrives.
ApplyResult ControlState::ApplyEvacuateZone(const wire::EvacuateZone& command) {
  this->is_evacuation_known = true;
  if (!command.evacuated()) {
    this->evacuated.erase(command.zone());
    return {};
  }
  if (this->evacuated.contains(command.zone()))
    return {};
  if (this->IsLastZone(command.zone()))
    return {.code = ResultCode::kLastZone, .task = command.zone()};
  this->evacuated.insert(command.zone());
  for (const auto& [id, worker] : this->worker_states) {
    if (this->IsEvacuated(worker))
      this->StopTasks(worker, "zone " + command.zone() + " is evacuated");
  }
  return {};
}

// --- Task records and their indexes ---

wire::TaskRecord& ControlState::CreateTask(const std::string& id,
                                           const wire::TaskSpec& spec) {
  wire::TaskRecord& task = this->task_records[id];
  task.set_id(id);
  *task.mutable_spec() = spec;
  task.set_sequence(this->next_sequence++);
  task.set_share(1);
  this->SetState(task, wire::TASK_STATE_PENDING);
  this->AddStep(task, "pending", "accepted");
  return task;
}

void ControlState::SetState(wire::TaskRecord& task, wire::TaskState state) {
  const PendingKey key = PendingKeyOf(task);
  task.set_state(state);
  const bool keeps_stop_cause =
      state == wire::TASK_STATE_STOPPING || state == wire::TASK_STATE_CANCELLED;
  if (!keeps_stop_cause)
    task.set_stop_cause(wire::STOP_CAUSE_UNSPECIFIED);
  if (state == wire::TASK_STATE_PARKED)
    this->parked_tasks.insert(task.id());
  else
    this->parked_tasks.erase(task.id());
  if (state == wire::TASK_STATE_PENDING)
    this->pending_tasks.insert(key);
  else
    this->pending_tasks.erase(key);
  if (IsEnded(state) && !task.from_estate()) {
    this->ended_tasks[task.sequence()] = task.id();
    this->ForgetOldestEndedTask();
  }
}

void ControlState::ForgetOldestEndedTask() {
  if (this->ended_tasks.size() <= kMaxEndedTasks)
    return;
  // The caller may still hold a reference to the task that has just ended. That
  // is never the oldest one, as the limit is far above one.
  const std::string oldest = this->ended_tasks.begin()->second;
  this->ended_tasks.erase(this->ended_tasks.begin());
  const auto found = this->task_records.find(oldest);
  this->task_by_key.erase(found->second.key());
  this->task_records.erase(found);
}

void ControlState::ReleaseWorker(wire::TaskRecord& task) {
  const auto found = this->worker_states.find(task.worker());
  if (found != this->worker_states.end() &&
      found->second.tasks.erase(task.id()) > 0) {
    found->second.committed -= ResourcesOf(task.spec());
    this->usage_by_team[task.spec().team()] -= ResourcesOf(task.spec());
    this->MarkOrdersChanged(task.worker());
  }
  task.clear_worker();
}

void ControlState::AddStep(wire::TaskRecord& task,
                           const std::string& event,
                           const std::string& reason) {
  if (task.steps_size() >= kMaxSteps)
    task.mutable_steps()->DeleteSubrange(1, 1);
  wire::TaskStep* step = task.add_steps();
  step->set_index(this->index);
  step->set_what(event);
  step->set_worker(task.worker());
  step->set_epoch(task.epoch());
  step->set_why(reason);
}

void ControlState::MarkOrdersChanged(const std::string& worker) {
  const auto found = this->worker_states.find(worker);
  if (found == this->worker_states.end())
    return;
  found->second.record.set_orders_version(this->index);
  this->changed_workers.insert(worker);
}

std::set<std::string> ControlState::TakeChangedWorkers() {
  return std::exchange(this->changed_workers, {});
}

std::set<std::string> ControlState::TakeRepeatedlyLostTasks() {
  return std::exchange(this->repeatedly_lost_tasks, {});
}

const wire::TaskRecord* ControlState::FindTask(const std::string& id) const {
  const auto found = this->task_records.find(id);
  return found == this->task_records.end() ? nullptr : &found->second;
}

const WorkerState* ControlState::FindWorker(const std::string& id) const {
  const auto found = this->worker_states.find(id);
  return found == this->worker_states.end() ? nullptr : &found->second;
}

Resources ControlState::TeamUsage(const std::string& team) const {
  const auto found = this->usage_by_team.find(team);
  return found == this->usage_by_team.end() ? Resources{} : found->second;
}

std::vector<wire::TaskOrder> ControlState::OrdersFor(
    const std::string& worker) const {
  std::vector<wire::TaskOrder> orders;
  const WorkerState* state = this->FindWorker(worker);
  if (state == nullptr)
    return orders;
  for (const std::string& id : state->tasks) {
    const wire::TaskRecord& task = this->task_records.at(id);
    wire::TaskOrder& order = orders.emplace_back();
    order.set_task(id);
    order.set_epoch(task.epoch());
    order.set_run(task.state() == wire::TASK_STATE_ASSIGNED);
    order.set_processors(task.spec().processors());
    order.set_memory_mb(task.spec().memory_mb());
    order.set_accelerators(task.spec().accelerators());
    order.set_command(task.spec().command());
    order.set_checkpoint(task.checkpoint());
    order.set_share(task.share());
    order.set_assigned_incarnation(task.worker_incarnation());
  }
  return orders;
}

wire::ControlSnapshot ControlState::Save() const {
  wire::ControlSnapshot snapshot;
  *snapshot.mutable_estate() = this->estate_state.Save();
  *snapshot.mutable_jobs() = this->job_table.Save();
  for (const auto& [id, task] : this->task_records)
    *snapshot.add_tasks() = task;
  for (const auto& [id, worker] : this->worker_states)
    *snapshot.add_workers() = worker.record;
  for (const auto& [key, claim] : this->claim_table.claims())
    *snapshot.add_claims() = claim;
  for (const auto& [key, task] : this->task_by_key) {
    wire::KeyedTask* keyed = snapshot.add_keyed_tasks();
    keyed->set_key(key);
    keyed->set_task(task);
  }
  snapshot.set_evacuation_known(this->is_evacuation_known);
  for (const std::string& zone : this->evacuated)
    snapshot.add_evacuated_zones(zone);
  snapshot.set_next_sequence(this->next_sequence);
  return snapshot;
}

void ControlState::Restore(const wire::ControlSnapshot& snapshot) {
  this->estate_state.Restore(snapshot.estate());
  this->job_table.Restore(snapshot.jobs());
  this->task_records.clear();
  for (const wire::TaskRecord& task : snapshot.tasks())
    this->task_records[task.id()] = task;
  this->worker_states.clear();
  for (const wire::WorkerRecord& worker : snapshot.workers())
    this->worker_states[worker.description().id()].record = worker;
  this->claim_table.Clear();
  for (const wire::ClaimRecord& claim : snapshot.claims())
    this->claim_table.Restore(claim);
  this->task_by_key.clear();
  for (const wire::KeyedTask& keyed : snapshot.keyed_tasks())
    this->task_by_key[keyed.key()] = keyed.task();
  this->is_evacuation_known = snapshot.evacuation_known();
  this->evacuated = {snapshot.evacuated_zones().begin(),
                     snapshot.evacuated_zones().end()};
  this->next_sequence = snapshot.next_sequence();
  this->RebuildIndexes();
}

void ControlState::RebuildIndexes() {
  this->pending_tasks.clear();
  this->parked_tasks.clear();
  this->usage_by_team.clear();
  this->ended_tasks.clear();
  for (auto& [id, worker] : this->worker_states)
    worker.capacity = ToResources(worker.record.description());
  for (const auto& [id, task] : this->task_records) {
    if (task.state() == wire::TASK_STATE_PENDING) {
      this->pending_tasks.insert(PendingKeyOf(task));
    }
    if (task.state() == wire::TASK_STATE_PARKED)
      this->parked_tasks.insert(id);
    if (IsEnded(task.state()) && !task.from_estate())
      this->ended_tasks[task.sequence()] = id;
    if (!HoldsWorker(task.state()))
      continue;
    WorkerState& worker = this->worker_states[task.worker()];
    worker.tasks.insert(id);
    worker.committed += ResourcesOf(task.spec());
    this->usage_by_team[task.spec().team()] += ResourcesOf(task.spec());
  }
}

}  // namespace savoryring
