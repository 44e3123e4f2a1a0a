/// Decides whether failed runs speak against the worker they ran on or against
/// the job they belong to. Answers two loads that look alike on one worker:
/// workers that fail all they start, and jobs that can never be done.
/// Deterministic, soft state of the leader.
#ifndef SAVORYRING_LIBJOBS_FAILURE_ATTRIBUTION_H_
#define SAVORYRING_LIBJOBS_FAILURE_ATTRIBUTION_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "libjobs/job_table.h"

namespace savoryring {

class FailureAttribution {
 public:
  /// A run of the job's task failed on the agent's worker. Failures of a task
  /// on several workers make its job a suspect until the task is done.
  void OnFailed(const std::string& agent,
                const std::string& job,
                const TaskKey& task);
  /// A run of the task was completed on the agent's worker: neither is at
  /// fault.
  void OnDone(const std::string& agent,
              const std::string& job,
              const TaskKey& task);
  /// The worker has shown to be sound, or another took its place.
  void Forgive(const std::string& agent) { this->failures.erase(agent); }
  /// The job has ended. The failures of a suspect are forgotten.
  void OnJobEnded(const std::string& job);

  /// Number of jobs whose failures count against the worker since it last
  /// completed a run.
  std::size_t CountFailedJobs(const std::string& agent) const;

 private:
  // By agent: jobs with failed runs there.
  std::map<std::string, std::set<std::string>> failures;
  // By job: the workers on which each task failed, until it is done.
  std::map<std::string, std::map<TaskKey, std::set<std::string>>> failed_on;

  bool IsSuspect(const std::string& job) const;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_FAILURE_ATTRIBUTION_H_
