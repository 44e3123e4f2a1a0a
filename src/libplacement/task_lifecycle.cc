// Task state transitions of ControlState, from submission to the end.

#include <algorithm>
#include <utility>

#include "libplacement/control_state.h"
#include "libplacement/task_rules.h"

namespace savoryring {
namespace {

// Number of distinct tasks that must fail on a worker, without one finishing in
// between, before the worker is quarantined.
constexpr int kQuarantineFailedTasks = 4;

}  // namespace

ApplyResult ControlState::ApplySubmitTask(const wire::SubmitTask& command) {
  if (!command.key().empty()) {
    const auto known = this->task_by_key.find(command.key());
    if (known != this->task_by_key.end())
      return {.task = known->second};
  }
  const std::string id = "task-" + std::to_string(this->index);
  this->CreateTask(id, command.spec()).set_key(command.key());
  if (!command.key().empty())
    this->task_by_key[command.key()] = id;
  return {.task = id};
}

ApplyResult ControlState::ApplyCancelTask(const wire::CancelTask& command) {
  const auto found = this->task_records.find(command.task());
  if (found == this->task_records.end())
    return {.code = ResultCode::kUnknownTask, .task = command.task()};
  if (!IsEnded(found->second.state())) {
    this->BeginStop(found->second, wire::STOP_CAUSE_CANCELLED,
                    "asked by a caller");
  }
  return {.task = command.task()};
}

ApplyResult ControlState::ApplyAssignTasks(const wire::AssignTasks& command) {
  for (const wire::Assignment& assignment : command.assignments())
    this->ApplyAssignment(assignment);
  return {};
}

// Checks the assignment again, as the scheduler decided on an earlier state.
void ControlState::ApplyAssignment(const wire::Assignment& assignment) {
  const auto found = this->task_records.find(assignment.task());
  const auto target = this->worker_states.find(assignment.worker());
  if (found == this->task_records.end() || target == this->worker_states.end())
    return;
  wire::TaskRecord& task = found->second;
  WorkerState& worker = target->second;
  const bool still_valid =
      task.state() == wire::TASK_STATE_PENDING &&
      task.epoch() + 1 == assignment.epoch() && !worker.record.lost() &&
      !worker.record.draining() && !worker.record.leaving() &&
      !this->IsEvacuated(worker) &&
      worker.record.incarnation() == assignment.worker_incarnation();
  if (!still_valid)
    return;
  Resources committed = worker.committed;
  committed += ResourcesOf(task.spec());
  if (!committed.FitsIn(worker.capacity) &&
      !this->mutations.skip_capacity_check)
    return;
  task.set_epoch(assignment.epoch());
  task.set_worker(assignment.worker());
  task.set_worker_incarnation(assignment.worker_incarnation());
  task.set_share(1);
  worker.committed = committed;
  worker.tasks.insert(task.id());
  this->usage_by_team[task.spec().team()] += ResourcesOf(task.spec());
  this->SetState(task, wire::TASK_STATE_ASSIGNED);
  this->AddStep(task, "assigned", assignment.why());
  this->MarkOrdersChanged(assignment.worker());
}

ApplyResult ControlState::ApplyStopTasks(const wire::StopTasks& command) {
  for (const std::string& id : command.tasks()) {
    const auto found = this->task_records.find(id);
    if (found == this->task_records.end() ||
        found->second.state() != wire::TASK_STATE_ASSIGNED)
      continue;
    if (command.cause() == wire::STOP_CAUSE_EVICTED)
      found->second.set_evictions(found->second.evictions() + 1);
    this->BeginStop(found->second, command.cause(), command.why());
  }
  return {};
}

ApplyResult ControlState::ApplyThrottleTask(const wire::ThrottleTask& command) {
  const auto found = this->task_records.find(command.task());
  if (found == this->task_records.end() ||
      found->second.state() != wire::TASK_STATE_ASSIGNED ||
      found->second.epoch() != command.epoch())
    return {.code = ResultCode::kUnknownTask};
  found->second.set_share(command.share());
  this->AddStep(found->second, command.share() < 1 ? "throttled" : "released",
                command.why());
  this->MarkOrdersChanged(found->second.worker());
  return {};
}

ApplyResult ControlState::ApplyReportTasks(const wire::ReportTasks& command) {
  for (const wire::TaskReport& report : command.reports())
    this->ApplyReport(command.worker(), report);
  return {};
}

void ControlState::ApplyReport(const std::string& worker,
                               const wire::TaskReport& report) {
  const auto found = this->task_records.find(report.task());
  if (found == this->task_records.end())
    return;
  wire::TaskRecord& task = found->second;
  if (IsLateReport(task, report)) {
    this->ApplyLateReport(worker, task, report);
    return;
  }
  const bool current = HoldsWorker(task.state()) && task.worker() == worker &&
                       task.epoch() == report.epoch();
  if (!current && !this->mutations.ignore_epochs)
    return;
  const bool has_progressed = report.state() == wire::TASK_FINISHED ||
                              (!report.checkpoint().empty() &&
                               report.checkpoint() != task.checkpoint());
  if (has_progressed)
    task.clear_lost_runs();
  if (!report.checkpoint().empty())
    task.set_checkpoint(report.checkpoint());
  if (report.state() == wire::TASK_RUNNING)
    return;
  if (report.state() == wire::TASK_LOST) {
    this->HandleLostRun(task);
    return;
  }
  this->ReleaseWorker(task);
  WorkerState& worker_state = this->worker_states[worker];
  switch (report.state()) {
    case wire::TASK_FINISHED:
      worker_state.record.clear_failed_tasks();
      worker_state.record.set_quarantined(false);
      if (task.spec().monitor() && !(IsFinalStop(task.stop_cause()))) {
        this->SetState(task, wire::TASK_STATE_PENDING);
        this->AddStep(task, "pending", "a monitor that ended is started again");
        return;
      }
      this->SetState(task, wire::TASK_STATE_FINISHED);
      this->AddStep(task, "finished", "on worker " + worker);
      return;
    case wire::TASK_FAILED: {
      auto* failed_tasks = worker_state.record.mutable_failed_tasks();
      if (std::ranges::find(*failed_tasks, task.id()) == failed_tasks->end())
        *failed_tasks->Add() = task.id();
      if (failed_tasks->size() >= kQuarantineFailedTasks)
        worker_state.record.set_quarantined(true);
      if (std::ranges::find(task.failed_workers(), worker) ==
          task.failed_workers().end())
        task.add_failed_workers(worker);
      this->HandleFailedRun(task);
      return;
    }
    default:
      this->HandleStoppedRun(task);
      return;
  }
}

// A worker that had been declared lost reports how the run ended. The task has
// not been started again since, as its epoch is unchanged.
void ControlState::ApplyLateReport(const std::string& worker,
                                   wire::TaskRecord& task,
                                   const wire::TaskReport& report) {
  if (!report.checkpoint().empty())
    task.set_checkpoint(report.checkpoint());
  this->ended_tasks.erase(task.sequence());
  if (report.state() == wire::TASK_FINISHED) {
    this->SetState(task, wire::TASK_STATE_FINISHED);
    this->AddStep(task, "finished", worker + " came back and told");
    return;
  }
  this->SetState(task, wire::TASK_STATE_PENDING);
  this->AddStep(task, "pending", worker + " came back; the run had stopped");
}

void ControlState::HandleFailedRun(wire::TaskRecord& task) {
  if (IsFinalStop(task.stop_cause())) {
    this->HandleStoppedRun(task);
    return;
  }
  if (task.failed_workers_size() >= kMaxFailedWorkers &&
      !task.spec().monitor()) {
    task.set_parked_why("it failed on " +
                        std::to_string(task.failed_workers_size()) +
                        " different workers");
    this->SetState(task, wire::TASK_STATE_PARKED);
    this->AddStep(task, "parked", task.parked_why());
    return;
  }
  this->SetState(task, wire::TASK_STATE_PENDING);
  this->AddStep(task, "pending", "it failed on its worker");
}

void ControlState::HandleStoppedRun(wire::TaskRecord& task) {
  const wire::StopCause cause = task.stop_cause();
  if (IsFinalStop(cause)) {
    this->SetState(task, wire::TASK_STATE_CANCELLED);
    this->AddStep(task, "cancelled", NameOfStopCause(cause));
    return;
  }
  if (task.has_next_spec()) {
    *task.mutable_spec() = task.next_spec();
    task.clear_next_spec();
    task.clear_lost_runs();
  }
  this->SetState(task, wire::TASK_STATE_PENDING);
  this->AddStep(task, "pending",
                task.checkpoint().empty()
                    ? "stopped without a checkpoint"
                    : "resumes from checkpoint " + task.checkpoint());
}

ApplyResult ControlState::ApplyDecideTask(const wire::DecideTask& command) {
  const auto found = this->task_records.find(command.task());
  const bool awaits_decision =
      found != this->task_records.end() &&
      (found->second.state() == wire::TASK_STATE_OUTCOME_UNKNOWN ||
       (found->second.state() == wire::TASK_STATE_PARKED && command.resume()));
  if (!awaits_decision)
    return {.code = ResultCode::kNothingToDecide, .task = command.task()};
  wire::TaskRecord& task = found->second;
  this->ended_tasks.erase(task.sequence());
  task.clear_failed_workers();
  task.clear_lost_runs();
  task.clear_parked_why();
  this->SetState(task, command.resume() ? wire::TASK_STATE_PENDING
                                        : wire::TASK_STATE_FINISHED);
  this->AddStep(task, command.resume() ? "pending" : "finished",
                "an operator decided so");
  return {.task = command.task()};
}

ApplyResult ControlState::ApplyProveTask(const wire::ProveTask& command) {
  const auto found = this->task_records.find(command.task());
  if (found == this->task_records.end() ||
      !HoldsWorker(found->second.state()) ||
      found->second.epoch() != command.epoch())
    return {.code = ResultCode::kUnknownTask};
  found->second.clear_lost_runs();
  return {};
}

ApplyResult ControlState::ApplyParkTask(const wire::ParkTask& command) {
  const auto found = this->task_records.find(command.task());
  if (found == this->task_records.end() ||
      found->second.state() != wire::TASK_STATE_PENDING)
    return {.code = ResultCode::kUnknownTask};
  found->second.set_parked_why(command.why());
  this->SetState(found->second, wire::TASK_STATE_PARKED);
  this->AddStep(found->second, "parked", command.why());
  return {};
}

void ControlState::BeginStop(wire::TaskRecord& task,
                             wire::StopCause cause,
                             const std::string& reason) {
  if (!HoldsWorker(task.state())) {
    if (IsFinalStop(cause)) {
      task.set_stop_cause(cause);
      this->SetState(task, wire::TASK_STATE_CANCELLED);
      this->AddStep(task, "cancelled", NameOfStopCause(cause) + ": " + reason);
    }
    return;
  }
  // A final stop is never replaced by one after which the task resumes.
  const bool would_resume = task.state() == wire::TASK_STATE_STOPPING &&
                            IsFinalStop(task.stop_cause()) &&
                            !IsFinalStop(cause);
  if (would_resume)
    return;
  task.set_stop_cause(cause);
  this->SetState(task, wire::TASK_STATE_STOPPING);
  this->AddStep(task, "stopping", NameOfStopCause(cause) + ": " + reason);
  this->MarkOrdersChanged(task.worker());
}

}  // namespace savoryring
