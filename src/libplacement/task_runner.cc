#include "libplacement/task_runner.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

// Tasks are stopped when less than this part of the lease remains.
constexpr int kStopMarginDivisor = 4;
// Part of the lease after which the lease given to the worker is renewed.
constexpr int kRenewalIntervalDivisor = 3;
constexpr Milliseconds kStopRetryDelay{500};
// How long an ended run is still reported after it was removed from the orders.
// The leader may have declared this worker lost without knowing how the run
// ended.
constexpr Milliseconds kEndedReportPeriod{10'000};

TaskRun RunOf(const wire::TaskOrder& order) {
  return {.task = order.task(), .epoch = order.epoch()};
}

}  // namespace

TaskRunner::TaskRunner(TaskRunnerOptions options, TimePoint now)
    : options(options), start_time(now) {}

void TaskRunner::OnOrders(const wire::WorkerOrders& orders, TimePoint now) {
  if (orders.lease_ms() > 0 && orders.sent_boottime_ns() > 0) {
    // Counted from when this process sent its request, so that no network delay
    // can make the lease longer than the leader assumes.
    const TimePoint new_lease_end = FromNanoseconds(orders.sent_boottime_ns()) +
                                    Milliseconds(orders.lease_ms());
    this->lease_end = std::max(this->lease_end, new_lease_end);
  }
  if (orders.has_orders() && orders.version() >= this->version) {
    this->version = orders.version();
    this->orders_received = true;
    for (auto& [run, local] : this->runs) {
      if (local.ordered)
        local.report_deadline = now + kEndedReportPeriod;
      local.ordered = false;
    }
    for (const wire::TaskOrder& order : orders.orders())
      this->ApplyOrder(order, now);
  }
  this->OnTick(now);
}

void TaskRunner::ApplyOrder(const wire::TaskOrder& order, TimePoint now) {
  const auto [iterator, inserted] = this->runs.try_emplace(RunOf(order));
  LocalRun& local = iterator->second;
  local.order = order;
  local.ordered = true;
  if (!inserted)
    return;
  const bool from_predecessor =
      order.assigned_incarnation() != this->options.incarnation;
  if (from_predecessor && !this->options.mutations.start_predecessor_orders) {
    // Assigned to a previous incarnation of this process. The worker may
    // already run it, which its list will show; it must not be started again.
    local.phase = Phase::kUnconfirmed;
    local.granted_lease_end = this->start_time + this->options.lease;
    local.start_answer_time = now;
  }
}

void TaskRunner::OnWorkerTasks(const std::vector<WorkerTask>& tasks,
                               TimePoint request_time,
                               TimePoint now) {
  for (const WorkerTask& task : tasks)
    this->ApplyWorkerTask(task, now);
  this->HandleUnlistedRuns(tasks, request_time, now);
  this->OnTick(now);
}

void TaskRunner::ApplyWorkerTask(const WorkerTask& task, TimePoint now) {
  const auto found = this->runs.find(task.run);
  if (found == this->runs.end()) {
    if (task.state != wire::TASK_RUNNING || !this->orders_received)
      return;
    // Orphaned run: the worker runs it, but it is no longer ordered.
    LocalRun& orphan = this->runs[task.run];
    orphan.order.set_task(task.run.task);
    orphan.order.set_epoch(task.run.epoch);
    orphan.ordered = false;
    orphan.phase = Phase::kRunning;
    this->StopRun(task.run, orphan, now);
    return;
  }
  LocalRun& local = found->second;
  if (!task.checkpoint.empty())
    local.checkpoint = task.checkpoint;
  if (local.phase == Phase::kEnded || local.phase == Phase::kOrdered)
    return;
  if (task.state == wire::TASK_RUNNING) {
    if (local.phase == Phase::kUnconfirmed || local.phase == Phase::kStarting)
      local.phase = Phase::kRunning;
    return;
  }
  this->MarkEnded(local, task.state);
}

// A run that the worker does not list may still be started by a request in
// flight, until the lease that was sent with the request has ended.
void TaskRunner::HandleUnlistedRuns(const std::vector<WorkerTask>& tasks,
                                    TimePoint request_time,
                                    TimePoint now) {
  for (auto& [run, local] : this->runs) {
    const bool expected = local.phase == Phase::kRunning ||
                          local.phase == Phase::kStopping ||
                          local.phase == Phase::kUnconfirmed;
    const bool listed =
        std::ranges::find(tasks, run, &WorkerTask::run) != tasks.end();
    if (!expected || listed || request_time <= local.start_answer_time)
      continue;
    if (local.phase != Phase::kUnconfirmed) {
      local.phase = Phase::kUnconfirmed;
      continue;
    }
    if (request_time > local.granted_lease_end && now > local.granted_lease_end)
      this->MarkEnded(local, wire::TASK_LOST);
  }
}

void TaskRunner::OnStartResult(const TaskRun& run,
                               bool accepted,
                               TimePoint now) {
  const auto found = this->runs.find(run);
  if (found == this->runs.end() || found->second.phase != Phase::kStarting)
    return;
  LocalRun& local = found->second;
  local.start_answer_time = now;
  local.phase = accepted ? Phase::kRunning : Phase::kUnconfirmed;
}

// The worker also acknowledges a stop for a run that has just finished by
// itself. How the run ended is taken from the worker's next list.
void TaskRunner::OnStopResult(const TaskRun& run,
                              bool stopped,
                              const std::string& checkpoint,
                              TimePoint now) {
  const auto found = this->runs.find(run);
  if (found == this->runs.end() || found->second.phase == Phase::kEnded)
    return;
  LocalRun& local = found->second;
  if (!checkpoint.empty())
    local.checkpoint = checkpoint;
  if (!stopped)
    local.stop_retry_time = now + kStopRetryDelay;
}

void TaskRunner::OnTick(TimePoint now) {
  for (auto& [run, local] : this->runs)
    this->Advance(run, local, now);
  std::erase_if(this->runs, [now](const auto& item) {
    return item.second.phase == Phase::kEnded && !item.second.ordered &&
           now >= item.second.report_deadline;
  });
  this->RenewLeases(now);
}

void TaskRunner::Advance(const TaskRun& run, LocalRun& local, TimePoint now) {
  const bool may_run =
      local.ordered && local.order.run() &&
      (now < this->StopDeadline() || this->options.mutations.ignore_lease);
  switch (local.phase) {
    case Phase::kOrdered:
      if (may_run)
        this->StartRun(local, now);
      else if (!local.ordered || !local.order.run())
        this->MarkEnded(local, wire::TASK_STOPPED);
      return;
    case Phase::kRunning:
      if (!may_run) {
        this->StopRun(run, local, now);
      } else if (local.order.share() != local.applied_share) {
        local.applied_share = local.order.share();
        this->effects.emplace_back(
            ThrottleRun{.run = run, .share = local.applied_share});
      }
      return;
    case Phase::kStarting:
    case Phase::kUnconfirmed:
      if (!may_run && now >= local.stop_retry_time) {
        this->effects.emplace_back(StopTask{.run = run});
        local.stop_retry_time = now + kStopRetryDelay;
      }
      return;
    case Phase::kStopping:
      if (now >= local.stop_retry_time)
        this->StopRun(run, local, now);
      return;
    case Phase::kEnded:
      return;
  }
}

void TaskRunner::StartRun(LocalRun& local, TimePoint) {
  local.phase = Phase::kStarting;
  local.granted_lease_end = this->lease_end;
  local.applied_share = 1;
  this->effects.emplace_back(
      StartTask{.order = local.order, .lease_end = this->lease_end});
}

void TaskRunner::StopRun(const TaskRun& run, LocalRun& local, TimePoint now) {
  local.phase = Phase::kStopping;
  local.stop_retry_time = now + 4 * kStopRetryDelay;
  this->effects.emplace_back(StopTask{.run = run});
}

void TaskRunner::MarkEnded(LocalRun& local, wire::TaskRunState end_state) {
  local.phase = Phase::kEnded;
  local.end_state = end_state;
  this->run_ended = true;
}

void TaskRunner::RenewLeases(TimePoint now) {
  if (now < this->next_renewal_time || !this->HasLease(now))
    return;
  this->next_renewal_time = now + this->options.lease / kRenewalIntervalDivisor;
  for (auto& [run, local] : this->runs) {
    if (local.phase != Phase::kRunning ||
        local.granted_lease_end >= this->lease_end)
      continue;
    local.granted_lease_end = this->lease_end;
    this->effects.emplace_back(
        RenewLease{.run = run, .lease_end = this->lease_end});
  }
}

std::vector<TaskRunnerEffect> TaskRunner::TakeEffects() {
  return std::exchange(this->effects, {});
}

std::vector<wire::TaskReport> TaskRunner::Reports() const {
  std::vector<wire::TaskReport> reports;
  for (const auto& [run, local] : this->runs) {
    const bool running =
        local.phase == Phase::kRunning || local.phase == Phase::kStopping;
    if (!running && local.phase != Phase::kEnded)
      continue;
    wire::TaskReport& report = reports.emplace_back();
    report.set_task(run.task);
    report.set_epoch(run.epoch);
    report.set_state(running ? wire::TASK_RUNNING : local.end_state);
    report.set_checkpoint(local.checkpoint);
  }
  return reports;
}

bool TaskRunner::HasLease(TimePoint now) const {
  return now < this->lease_end;
}

bool TaskRunner::HasRunning() const {
  return std::ranges::any_of(this->runs, [](const auto& item) {
    return item.second.phase != Phase::kEnded &&
           item.second.phase != Phase::kOrdered;
  });
}

TimePoint TaskRunner::StopDeadline() const {
  if (this->lease_end == TimePoint())
    return TimePoint();
  return this->lease_end - this->options.lease / kStopMarginDivisor;
}

}  // namespace savoryring
