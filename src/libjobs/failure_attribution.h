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

namespace savoryring {

class FailureAttribution {
 public:
  /// A run of the job failed on the agent's worker. A job with failed runs on
  /// several workers and without a successful one is a suspect.
  void OnFailed(const std::string& agent, const std::string& job);
  /// A run of the job was completed on the agent's worker, or has become
  /// available there: neither is at fault.
  void OnSucceeded(const std::string& agent, const std::string& job);
  /// Another worker took the place of the agent's worker.
  void Forgive(const std::string& agent);
  /// The job has ended. The failures of a suspect are forgotten.
  void OnJobEnded(const std::string& job);

  /// Whether the failures of the job count against no worker.
  bool IsSuspect(const std::string& job) const;
  /// Number of jobs whose failures count against the worker since a run last
  /// succeeded there.
  std::size_t CountFailedJobs(const std::string& agent) const;
  /// Number of failed runs on the worker since a run last succeeded there,
  /// those of suspects included. It accuses nobody, but a run that must not
  /// fail again is better placed where it is low.
  std::size_t CountFailedRuns(const std::string& agent) const;
  /// Whether at least `threshold` failed jobs count against the worker and it
  /// is in the half of its service's workers, `agents`, where most jobs failed.
  /// If more workers than that fail, the jobs are at fault.
  bool IsAtFault(const std::string& agent,
                 const std::set<std::string>& agents,
                 std::size_t threshold) const;
  /// Whether a run of the job failed on the agent's worker and none has
  /// succeeded there since.
  bool HasFailedOn(const std::string& job, const std::string& agent) const;

 private:
  struct JobEvidence {
    bool succeeded = false;  // at least one run, on any worker
    std::set<std::string> failed_on;
  };
  // By agent: jobs with failed runs there.
  std::map<std::string, std::set<std::string>> failures;
  std::map<std::string, JobEvidence> jobs;
  std::map<std::string, std::size_t> failed_runs;  // by agent
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_FAILURE_ATTRIBUTION_H_
