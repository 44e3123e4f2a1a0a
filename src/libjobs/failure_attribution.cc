#include "libjobs/failure_attribution.h"

#include <algorithm>

namespace savoryring {

void FailureAttribution::OnFailed(const std::string& agent,
                                  const std::string& job,
                                  const TaskKey& task) {
  this->failures[agent].insert(job);
  this->failed_on[job][task].insert(agent);
}

void FailureAttribution::OnDone(const std::string& agent,
                                const std::string& job,
                                const TaskKey& task) {
  this->Forgive(agent);
  const auto found = this->failed_on.find(job);
  if (found == this->failed_on.end())
    return;
  found->second.erase(task);
  if (found->second.empty())
    this->failed_on.erase(found);
}

void FailureAttribution::OnJobEnded(const std::string& job) {
  if (this->IsSuspect(job)) {
    for (auto& [agent, jobs] : this->failures)
      jobs.erase(job);
  }
  this->failed_on.erase(job);
}

std::size_t FailureAttribution::CountFailedJobs(
    const std::string& agent) const {
  const auto found = this->failures.find(agent);
  if (found == this->failures.end())
    return 0;
  return static_cast<std::size_t>(std::ranges::count_if(
      found->second,
      [this](const std::string& job) { return !this->IsSuspect(job); }));
}

bool FailureAttribution::IsSuspect(const std::string& job) const {
  const auto found = this->failed_on.find(job);
  return found != this->failed_on.end() &&
         std::ranges::any_of(found->second, [](const auto& item) {
           return item.second.size() > 1;
         });
}

}  // namespace savoryring
