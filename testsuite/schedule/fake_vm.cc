#include "testsuite/schedule/fake_vm.h"

#include <sstream>
#include <utility>

namespace savoryring {

FakeWorker::FakeWorker(Simulation& simulation,
                       Ledger& ledger,
                       std::string name,
                       DriftingClock clock)
    : simulation(&simulation),
      ledger(&ledger),
      name(std::move(name)),
      clock(clock) {}

bool FakeWorker::Start(const wire::TaskOrder& order, TimePoint lease_end) {
  const TaskRun run{.task = order.task(), .epoch = order.epoch()};
  const TimePoint now = this->clock.Read(this->simulation->now());
  if (this->tasks.contains(run))
    return true;
  if (lease_end <= now)
    return false;
  Running& task = this->tasks[run];
  task.size = {.processors = order.processors(),
               .memory_mb = order.memory_mb()};
  task.started_at = now;
  task.lease_end = lease_end;
  task.generation = this->next_generation++;
  task.checkpoint = order.checkpoint();
  if (!task.checkpoint.empty())
    task.work_done = Milliseconds(std::stoll(task.checkpoint));
  this->ledger->OnTaskStart(this->name, run.task, task.size, this->capacity);
  this->WatchLease(run, task.generation);
  if (order.command() == "watch") {
    task.ends = false;
    return true;
  }
  if (order.command() == "fail") {
    this->End(run, task, wire::TASK_FAILED);
    return true;
  }
  std::istringstream words(order.command());
  std::int64_t length = 0;
  std::string repeatable;
  words >> length >> repeatable;
  task.repeatable = repeatable == "yes";
  const Milliseconds remaining =
      std::max(Milliseconds(1), Milliseconds(length) - task.work_done);
  this->simulation->RunAfter(remaining, [this, run,
                                         generation = task.generation] {
    const auto found = this->tasks.find(run);
    if (found != this->tasks.end() && found->second.generation == generation &&
        found->second.state == wire::TASK_RUNNING)
      this->End(run, found->second, wire::TASK_FINISHED);
  });
  return true;
}

void FakeWorker::WatchLease(const TaskRun& run, std::uint64_t generation) {
  const auto found = this->tasks.find(run);
  const bool gone = found == this->tasks.end() ||
                    found->second.generation != generation ||
                    found->second.state != wire::TASK_RUNNING;
  if (gone)
    return;
  const TimePoint now = this->clock.Read(this->simulation->now());
  if (now >= found->second.lease_end) {
    this->End(run, found->second, wire::TASK_STOPPED);
    return;
  }
  const TimePoint until = this->clock.SimulatedTimeOf(found->second.lease_end);
  this->simulation->RunAfter(
      until - this->simulation->now() + std::chrono::microseconds(10),
      [this, run, generation] { this->WatchLease(run, generation); });
}

void FakeWorker::Renew(const TaskRun& run, TimePoint lease_end) {
  const auto found = this->tasks.find(run);
  if (found != this->tasks.end())
    found->second.lease_end = lease_end;
}

std::optional<std::string> FakeWorker::CheckpointAndStop(const TaskRun& run) {
  const auto found = this->tasks.find(run);
  if (found == this->tasks.end())
    return std::nullopt;
  Running& task = found->second;
  if (task.state == wire::TASK_RUNNING) {
    const TimePoint now = this->clock.Read(this->simulation->now());
    task.checkpoint = std::to_string(
        (task.work_done + RemainingTime(task.started_at, now)).count());
    this->End(run, task, wire::TASK_STOPPED);
  }
  return task.checkpoint;
}

std::vector<WorkerTask> FakeWorker::List() const {
  std::vector<WorkerTask> list;
  for (const auto& [run, task] : this->tasks) {
    list.push_back(
        {.run = run, .state = task.state, .checkpoint = task.checkpoint});
  }
  return list;
}

void FakeWorker::Restart() {
  for (auto& [run, task] : this->tasks) {
    if (task.state == wire::TASK_RUNNING)
      this->End(run, task, wire::TASK_STOPPED);
  }
  this->tasks.clear();
}

void FakeWorker::End(const TaskRun& run,
                     Running& task,
                     wire::TaskRunState state) {
  task.state = state;
  this->ledger->OnTaskEnd(this->name, run.task, task.size,
                          state == wire::TASK_FINISHED, task.repeatable);
}

}  // namespace savoryring
