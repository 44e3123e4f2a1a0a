#include "libmembership/worker_watch.h"

#include <algorithm>

namespace savoryring {
namespace {

// Largest difference in the speed of two VMs' clocks that is allowed for.
constexpr double kClockDrift = 0.01;
// The worker itself ends tasks at the lease's end; this is the time it may
// take to have them gone.
constexpr Milliseconds kStopAllowance{200};

std::string RunName(const std::string& task, std::uint64_t epoch) {
  return task + "@" + std::to_string(epoch);
}

}  // namespace

WorkerWatch::WorkerWatch(WorkerWatchOptions options, TimePoint led_since)
    : options(options) {
  if (!options.mutations.skip_predecessor_wait)
    this->predecessor_bound = led_since + this->BoundedLease();
}

void WorkerWatch::OnHeartbeat(const wire::WorkerHeartbeat& heartbeat,
                              std::uint64_t incarnation,
                              bool may_grant,
                              TimePoint now) {
  LiveWorker& worker = this->live[heartbeat.worker().id()];
  worker.incarnation = incarnation;
  if (may_grant)
    worker.lease_bound = now + this->BoundedLease();
  worker.heard_bound = now + this->BoundedLease();
  worker.leaving = heartbeat.leaving();
  worker.running.clear();
  for (const wire::TaskReport& report : heartbeat.reports()) {
    if (report.state() == wire::TASK_RUNNING)
      worker.running.insert(RunName(report.task(), report.epoch()));
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
  if (now < this->predecessor_bound)
    return false;
  const LiveWorker* found = this->Find(worker);
  return found == nullptr ||
         now >= std::max(found->lease_bound, found->heard_bound);
}

bool WorkerWatch::IsRunning(const std::string& worker,
                            const std::string& task,
                            std::uint64_t epoch) const {
  const LiveWorker* found = this->Find(worker);
  return found != nullptr && found->running.contains(RunName(task, epoch));
}

bool WorkerWatch::IsServed(const std::string& service, TimePoint now) const {
  return std::ranges::any_of(this->live, [&](const auto& item) {
    return now < item.second.lease_bound &&
           item.second.serving.contains(service);
  });
}

const LiveWorker* WorkerWatch::Find(const std::string& worker) const {
  const auto found = this->live.find(worker);
  return found == this->live.end() ? nullptr : &found->second;
}

void WorkerWatch::Forget(const std::string& worker) {
  this->live.erase(worker);
}

std::chrono::nanoseconds WorkerWatch::BoundedLease() const {
  const auto drift = std::chrono::duration_cast<std::chrono::nanoseconds>(
      this->options.lease * kClockDrift);
  return std::chrono::nanoseconds(this->options.lease) + drift + kStopAllowance;
}

}  // namespace savoryring
