#include "libplacement/task_runner.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

// Part of the lease before its end in which tasks are being stopped.
constexpr int kStopShareDivisor = 4;
// Part of the lease after which the worker's own lease is renewed.
constexpr int kRenewDivisor = 3;
constexpr Milliseconds kStopRetry{500};
// How long an ended run is told on that is in the orders no more: the leader
// may have taken this worker for lost and not know how the run ended.
constexpr Milliseconds kTellEnded{10'000};

TaskRun RunOf(const wire::TaskOrder& order) {
  return {.task = order.task(), .epoch = order.epoch()};
}

}  // namespace

TaskRunner::TaskRunner(TaskRunnerOptions options, TimePoint now)
    : options(options), started(now) {}

void TaskRunner::OnOrders(const wire::WorkerOrders& orders, TimePoint now) {
  if (orders.lease_ms() > 0 && orders.sent_boottime_ns() > 0) {
    // Counted from when this process asked, so that no delay on the way can
    // make the lease longer than the leader thinks.
    const TimePoint until = FromNanoseconds(orders.sent_boottime_ns()) +
                            Milliseconds(orders.lease_ms());
    this->lease_end = std::max(this->lease_end, until);
  }
  if (orders.has_orders() && orders.version() >= this->version) {
    this->version = orders.version();
    this->has_orders = true;
    for (auto& [run, local] : this->runs) {
      if (local.ordered)
        local.forget_deadline = now + kTellEnded;
      local.ordered = false;
    }
    for (const wire::TaskOrder& order : orders.orders())
      this->TakeOrder(order, now);
  }
  this->OnTick(now);
}

void TaskRunner::TakeOrder(const wire::TaskOrder& order, TimePoint now) {
  const auto [place, added] = this->runs.try_emplace(RunOf(order));
  LocalRun& local = place->second;
  local.order = order;
  local.ordered = true;
  if (!added)
    return;
  const bool foreign =
      order.assigned_incarnation() != this->options.incarnation;
  if (foreign && !this->options.mutations.restart_unknown) {
    // Ordered of the process that was here before. It may run at the worker,
    // and the worker's list will say so; it must not be started again.
    local.phase = Phase::kMissing;
    local.lease_given = this->started + this->options.lease;
    local.start_answered = now;
  }
}

void TaskRunner::OnWorkerTasks(const std::vector<WorkerTask>& tasks,
                               TimePoint asked,
                               TimePoint now) {
  for (const WorkerTask& task : tasks)
    this->TakeWorkerTask(task, now);
  this->MarkMissing(tasks, asked, now);
  this->OnTick(now);
}

void TaskRunner::TakeWorkerTask(const WorkerTask& task, TimePoint now) {
  const auto found = this->runs.find(task.run);
  if (found == this->runs.end()) {
    if (task.state != wire::TASK_RUNNING || !this->has_orders)
      return;
    // Runs at the worker, but nobody ordered it any more.
    LocalRun& stray = this->runs[task.run];
    stray.order.set_task(task.run.task);
    stray.order.set_epoch(task.run.epoch);
    stray.ordered = false;
    stray.phase = Phase::kRunning;
    this->Stop(task.run, stray, now);
    return;
  }
  LocalRun& local = found->second;
  if (!task.checkpoint.empty())
    local.checkpoint = task.checkpoint;
  if (local.phase == Phase::kEnded || local.phase == Phase::kOrdered)
    return;
  if (task.state == wire::TASK_RUNNING) {
    if (local.phase == Phase::kMissing || local.phase == Phase::kStarting)
      local.phase = Phase::kRunning;
    return;
  }
  this->End(local, task.state);
}

// A run that the worker does not list may still be started by a request on
// its way there, until the lease that went with that request has ended.
void TaskRunner::MarkMissing(const std::vector<WorkerTask>& tasks,
                             TimePoint asked,
                             TimePoint now) {
  for (auto& [run, local] : this->runs) {
    const bool expected = local.phase == Phase::kRunning ||
                          local.phase == Phase::kStopping ||
                          local.phase == Phase::kMissing;
    const bool listed =
        std::ranges::find(tasks, run, &WorkerTask::run) != tasks.end();
    if (!expected || listed || asked <= local.start_answered)
      continue;
    if (local.phase != Phase::kMissing) {
      local.phase = Phase::kMissing;
      continue;
    }
    if (asked > local.lease_given && now > local.lease_given)
      this->End(local, wire::TASK_LOST);
  }
}

void TaskRunner::OnStartResult(const TaskRun& run,
                               bool accepted,
                               TimePoint now) {
  const auto found = this->runs.find(run);
  if (found == this->runs.end() || found->second.phase != Phase::kStarting)
    return;
  LocalRun& local = found->second;
  local.start_answered = now;
  local.phase = accepted ? Phase::kRunning : Phase::kMissing;
}

// A stop is also answered for a run that had just finished by itself: how the
// run ended, the worker's next list tells.
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
    local.retry_deadline = now + kStopRetry;
}

void TaskRunner::OnTick(TimePoint now) {
  for (auto& [run, local] : this->runs)
    this->Advance(run, local, now);
  std::erase_if(this->runs, [now](const auto& item) {
    return item.second.phase == Phase::kEnded && !item.second.ordered &&
           now >= item.second.forget_deadline;
  });
  this->Renew(now);
}

void TaskRunner::Advance(const TaskRun& run, LocalRun& local, TimePoint now) {
  const bool may_run =
      local.ordered && local.order.run() &&
      (now < this->StopTime() || this->options.mutations.ignore_lease);
  switch (local.phase) {
    case Phase::kOrdered:
      if (may_run)
        this->Start(local, now);
      else if (!local.ordered || !local.order.run())
        this->End(local, wire::TASK_STOPPED);
      return;
    case Phase::kRunning:
      if (!may_run) {
        this->Stop(run, local, now);
      } else if (local.order.share() != local.applied_share) {
        local.applied_share = local.order.share();
        this->effects.emplace_back(
            ThrottleRun{.run = run, .share = local.applied_share});
      }
      return;
    case Phase::kStarting:
    case Phase::kMissing:
      if (!may_run && now >= local.retry_deadline) {
        this->effects.emplace_back(StopTask{.run = run});
        local.retry_deadline = now + kStopRetry;
      }
      return;
    case Phase::kStopping:
      if (now >= local.retry_deadline)
        this->Stop(run, local, now);
      return;
    case Phase::kEnded:
      return;
  }
}

void TaskRunner::Start(LocalRun& local, TimePoint) {
  local.phase = Phase::kStarting;
  local.lease_given = this->lease_end;
  local.applied_share = 1;
  this->effects.emplace_back(
      StartTask{.order = local.order, .lease_end = this->lease_end});
}

void TaskRunner::Stop(const TaskRun& run, LocalRun& local, TimePoint now) {
  local.phase = Phase::kStopping;
  local.retry_deadline = now + 4 * kStopRetry;
  this->effects.emplace_back(StopTask{.run = run});
}

void TaskRunner::End(LocalRun& local, wire::TaskRunState state) {
  local.phase = Phase::kEnded;
  local.end = state;
  this->news = true;
}

void TaskRunner::Renew(TimePoint now) {
  if (now < this->renew_deadline || !this->HasLease(now))
    return;
  this->renew_deadline = now + this->options.lease / kRenewDivisor;
  for (auto& [run, local] : this->runs) {
    if (local.phase != Phase::kRunning || local.lease_given >= this->lease_end)
      continue;
    local.lease_given = this->lease_end;
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
    report.set_state(running ? wire::TASK_RUNNING : local.end);
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

TimePoint TaskRunner::StopTime() const {
  if (this->lease_end == TimePoint())
    return TimePoint();
  return this->lease_end - this->options.lease / kStopShareDivisor;
}

}  // namespace savoryring
