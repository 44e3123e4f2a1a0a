/// What a job has left to do and until when, from the estimates of its steps.
#ifndef SAVORYRING_LIBJOBS_JOB_OBJECTIVES_H_
#define SAVORYRING_LIBJOBS_JOB_OBJECTIVES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "libjobs/job_table.h"
#include "libjobs/overload_policy.h"

namespace savoryring {

/// Sum of the estimates along the critical path of the steps, in ms. Steps that
/// `states`, if given, shows as done count as 0; best-effort steps take as much
/// longer as `best_effort_speed` is below 1.
std::uint64_t CriticalPathMs(const wire::JobSpec& spec,
                             const std::vector<StepState>* states,
                             double best_effort_speed = 1);

/// How long the owner accepts to wait: the critical path scaled by the queue's
/// slack, plus the queue's latency target.
std::uint64_t LatencyObjectiveMs(const wire::JobSpec& spec);

/// Walks the steps once; kept with the job.
JobFigures FiguresOf(const wire::JobSpec& spec);

/// Critical paths of occurrences, walked again only after a step was done or
/// the speed has changed. Unused ones are forgotten.
class CriticalPaths {
 public:
  /// As CriticalPathMs, for an open occurrence of the job.
  std::uint64_t Of(const Job& job,
                   std::uint32_t occurrence,
                   double best_effort_speed);
  /// Forgets what was not used since the last call.
  void DropUnused();
  /// Steps and dependencies walked so far.
  std::uint64_t walked() const { return this->walked_count; }

 private:
  struct Path {
    std::uint32_t done_steps = 0;
    double best_effort_speed = 1;
    std::uint64_t length_ms = 0;
    bool used = true;
  };
  std::map<std::pair<std::uint64_t, std::uint32_t>, Path> paths;
  std::uint64_t walked_count = 0;
};

/// Whether a task of the job has begun or is done.
bool HasStarted(const Job& job);

/// Whether an occurrence of the job can still meet the objective.
/// `typical_speed`, if known, is the speed of best-effort runs relative to
/// their estimates. Steps of jobs that have started are taken to run at full
/// speed: less is left of them, and what was done would be lost.
Timeliness TimelinessOf(const Job& job,
                        std::uint32_t occurrence,
                        std::uint64_t group_time_ms,
                        std::optional<double> typical_speed,
                        CriticalPaths& paths);

/// CPU time that the tasks of the occurrence which are not done will take by
/// their estimates, in thousandths of a processor times ms. 0 for a job that
/// lasts.
std::uint64_t RemainingWork(const Job& job, std::uint32_t occurrence);

/// The same for the whole occurrence. Walks the steps; see JobFigures.
std::uint64_t TotalWork(const wire::JobSpec& spec);

WorkClass WorkClassOf(const wire::JobStep& step);

/// Estimated work of one task of the step; 0 for one that lasts.
double WorkOfTask(const wire::JobStep& step);

/// The open job in the view of the overload policy, its running tasks taken to
/// be at their beginning.
OpenJob ToOpenJob(const Job& job, double typical_speed, CriticalPaths& paths);

/// The same for a job that arrives at `now_ms`.
OpenJob ToOpenJob(const wire::JobSpec& spec,
                  std::uint64_t now_ms,
                  double typical_speed);

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_JOB_OBJECTIVES_H_
