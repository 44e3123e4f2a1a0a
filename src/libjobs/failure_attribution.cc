#include "libjobs/failure_attribution.h"

#include <algorithm>

namespace savoryring {

void FailureAttribution::OnFailed(const std::string& agent,
                                  const std::string& job) {
  this->failures[agent].insert(job);
  this->failed_runs[agent] += 1;
  this->jobs[job].failed_on.insert(agent);
}

void FailureAttribution::OnSucceeded(const std::string& agent,
                                     const std::string& job) {
  this->Forgive(agent);
  JobEvidence& evidence = this->jobs[job];
  evidence.succeeded = true;
  evidence.failed_on.erase(agent);
}

void FailureAttribution::Forgive(const std::string& agent) {
  this->failures.erase(agent);
  this->failed_runs.erase(agent);
}

void FailureAttribution::OnJobEnded(const std::string& job) {
  if (this->IsSuspect(job)) {
    for (auto& [agent, failed_jobs] : this->failures)
      failed_jobs.erase(job);
  }
  this->jobs.erase(job);
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

std::size_t FailureAttribution::CountFailedRuns(
    const std::string& agent) const {
  const auto found = this->failed_runs.find(agent);
  return found == this->failed_runs.end() ? 0 : found->second;
}

bool FailureAttribution::IsAtFault(const std::string& agent,
                                   const std::set<std::string>& agents,
                                   std::size_t threshold) const {
  const std::size_t failed_jobs = this->CountFailedJobs(agent);
  if (failed_jobs < threshold)
    return false;
  const auto worse = static_cast<std::size_t>(
      std::ranges::count_if(agents, [&](const std::string& other) {
        const std::size_t count = this->CountFailedJobs(other);
        return count > failed_jobs || (count == failed_jobs && other < agent);
      }));
  return worse < std::max<std::size_t>(1, agents.size() / 2);
}

bool FailureAttribution::HasFailedOn(const std::string& job,
                                     const std::string& agent) const {
  const auto found = this->jobs.find(job);
  return found != this->jobs.end() && found->second.failed_on.contains(agent);
}

bool FailureAttribution::IsSuspect(const std::string& job) const {
  const auto found = this->jobs.find(job);
  return found != this->jobs.end() && !found->second.succeeded &&
         found->second.failed_on.size() > 1;
}

}  // namespace savoryring
