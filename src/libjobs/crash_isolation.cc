#include "libjobs/crash_isolation.h"

#include <algorithm>

namespace savoryring {

CrashIsolation::CrashIsolation(CrashIsolationOptions options,
                               TimePoint led_since)
    : options(options), led_since(led_since) {}

void CrashIsolation::OnRunAssigned(const std::string& agent,
                                   std::uint64_t job,
                                   TimePoint now) {
  Worker& worker = this->workers[agent];
  std::erase_if(worker.starts, [&](const auto& item) {
    return now >= item.second + this->options.quiet_time;
  });
  worker.starts[job] = now;
}

void CrashIsolation::SetTests(const std::map<std::string, std::uint64_t>& jobs,
                              TimePoint now) {
  for (auto& [agent, worker] : this->workers) {
    if (worker.testing && !jobs.contains(agent)) {
      worker.testing = false;
      worker.job = 0;
    }
  }
  for (const auto& [agent, job] : jobs)
    this->StartTest(agent, job, now);
}

void CrashIsolation::StartTest(const std::string& agent,
                               std::uint64_t job,
                               TimePoint now) {
  Worker& worker = this->workers[agent];
  if (worker.testing && worker.job == job)
    return;
  worker.job = job;
  worker.testing = true;
  worker.until = now + this->options.max_test_time;
}

void CrashIsolation::OnWorkerCrashed(const std::string& agent, TimePoint now) {
  const auto found = this->workers.find(agent);
  if (found != this->workers.end() && found->second.testing)
    found->second.crashed_until = now + this->options.max_crash_time;
}

void CrashIsolation::OnWorkerReplaced(const std::string& agent) {
  this->workers.erase(agent);
}

std::uint64_t CrashIsolation::JobUnderTest(const std::string& agent,
                                           TimePoint now) const {
  const auto found = this->workers.find(agent);
  const bool under_test =
      found != this->workers.end() && now < found->second.until;
  return under_test ? found->second.job : 0;
}

bool CrashIsolation::IsQuiet(const Worker& worker,
                             std::uint64_t job,
                             TimePoint now) const {
  if (now < this->led_since + this->options.quiet_time)
    return false;
  return std::ranges::all_of(worker.starts, [&](const auto& item) {
    return item.first == job || now >= item.second + this->options.quiet_time;
  });
}

std::size_t CrashIsolation::CountCrashedWorkers(TimePoint now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->workers,
      [now](const auto& item) { return now < item.second.crashed_until; }));
}

// The workers that have crashed in a test are not among the available ones.
bool CrashIsolation::MayUseAnother(std::size_t worker_count,
                                   TimePoint now) const {
  const auto used = static_cast<std::size_t>(
      std::ranges::count_if(this->workers, [&](const auto& item) {
        return now >= item.second.crashed_until &&
               this->JobUnderTest(item.first, now) != 0;
      }));
  const std::size_t crashed = this->CountCrashedWorkers(now);
  const std::size_t total = worker_count + crashed;
  return used <
             std::max<std::size_t>(1, total / this->options.workers_per_test) &&
         used + crashed <
             std::max<std::size_t>(1, total / this->options.workers_per_crash);
}

bool CrashIsolation::MayTest(const std::string& agent,
                             std::uint64_t job,
                             std::size_t worker_count,
                             TimePoint now) const {
  const std::uint64_t under_test = this->JobUnderTest(agent, now);
  if (under_test != job &&
      (under_test != 0 || !this->MayUseAnother(worker_count, now)))
    return false;
  const auto found = this->workers.find(agent);
  return this->IsQuiet(found == this->workers.end() ? Worker() : found->second,
                       job, now);
}

bool CrashIsolation::Reserve(const std::string& agent,
                             std::uint64_t job,
                             std::size_t worker_count,
                             TimePoint now) {
  const std::uint64_t under_test = this->JobUnderTest(agent, now);
  if (under_test != 0)
    return under_test == job;
  if (!this->MayUseAnother(worker_count, now))
    return false;
  Worker& worker = this->workers[agent];
  worker.job = job;
  worker.testing = false;
  worker.until = now + this->options.reservation_time;
  return true;
}

}  // namespace savoryring
