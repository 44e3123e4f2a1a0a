#include "libmembership/worker_watch.h"

#include <algorithm>

namespace savoryring {
namespace {

// Largest tolerated difference in the rate of two VMs' clocks.
constexpr double kMaxClockDrift = 0.01;
// A worker stops its tasks by itself when its lease ends; this is the time
// that it may take to stop them.
constexpr Milliseconds kStopAllowance{200};

std::string RunKey(const std::string& task, std::uint64_t epoch) {
  return task + "@" + std::to_string(epoch);
}

}  // namespace

WorkerWatch::WorkerWatch(WorkerWatchOptions options, TimePoint leader_since)
    : options(options) {
  if (!options.mutations.skip_predecessor_wait)
    this->predecessor_lease_bound = leader_since + this->MaxLeaseDuration();
}

void WorkerWatch::OnHeartbeat(const wire::WorkerHeartbeat& heartbeat,
                              std::uint64_t incarnation,
                              bool grant_lease,
                              TimePoint now) {
  LiveWorker& worker = this->live_workers[heartbeat.worker().id()];
  worker.incarnation = incarnation;
  if (grant_lease)
    worker.lease_bound = now + this->MaxLeaseDuration();
  worker.presence_bound = now + this->MaxLeaseDuration();
  worker.leaving = heartbeat.leaving();
  worker.running.clear();
  for (const wire::TaskReport& report : heartbeat.reports()) {
    if (report.state() == wire::TASK_RUNNING)
      worker.running.insert(RunKey(report.task(), report.epoch()));
  }
  worker.serving = {heartbeat.serving().begin(), heartbeat.serving().end()};
  worker.usage.clear();
  for (const wire::TaskUsage& usage : heartbeat.usage())
    worker.usage[usage.task()] = usage;
  worker.measurements.clear();
  for (const wire::ServiceMeasurement& item : heartbeat.measurements())
    worker.measurements[item.service()] = item;
}

bool WorkerWatch::IsLost(const std::string& worker, TimePoint now) const {
  if (now < this->predecessor_lease_bound)
    return false;
  const LiveWorker* found = this->Find(worker);
  return found == nullptr ||
         now >= std::max(found->lease_bound, found->presence_bound);
}

bool WorkerWatch::IsRunning(const std::string& worker,
                            const std::string& task,
                            std::uint64_t epoch) const {
  const LiveWorker* found = this->Find(worker);
  return found != nullptr && found->running.contains(RunKey(task, epoch));
}

bool WorkerWatch::IsServed(const std::string& service, TimePoint now) const {
  return std::ranges::any_of(this->live_workers, [&](const auto& item) {
    return now < item.second.lease_bound &&
           item.second.serving.contains(service);
  });
}

const LiveWorker* WorkerWatch::Find(const std::string& worker) const {
  const auto found = this->live_workers.find(worker);
  return found == this->live_workers.end() ? nullptr : &found->second;
}

void WorkerWatch::Remove(const std::string& worker) {
  this->live_workers.erase(worker);
}

std::chrono::nanoseconds WorkerWatch::MaxLeaseDuration() const {
  const auto drift = std::chrono::duration_cast<std::chrono::nanoseconds>(
      this->options.lease * kMaxClockDrift);
  return std::chrono::nanoseconds(this->options.lease) + drift + kStopAllowance;
}

}  // namespace savoryring
