// Feeds the progress of runs to the core that learns the speeds of workers.

#include <algorithm>

#include "libjobs/job_scheduler.h"

namespace savoryring {

// Runs whose progress says nothing about their worker are left out: those that
// wait for others (gangs) or for users (lasting tasks), that fetch their data
// from another rack, or whose job may never succeed.
void JobScheduler::ObserveProgress(const JobTable& table,
                                   const std::string& agent,
                                   const TaskKey& key,
                                   const TrackedRun& run,
                                   bool done,
                                   TimePoint now) {
  if (!this->options.features.worker_speeds)
    return;
  const wire::JobStep& step = table.Step(key.step);
  const Job& job = *table.FindSequence(key.step.sequence);
  const auto& labels = table.FindWorker(agent)->description.labels();
  const bool far_from_data =
      !step.data_rack().empty() &&
      std::ranges::find(labels, step.data_rack()) == labels.end();
  if (step.lasting() || step.gang() || far_from_data ||
      this->failure_attribution.IsSuspect(job.spec.id()))
    return;
  const RunProgress progress{.worker = agent,
                             .task = key,
                             .run = run.run,
                             .image = step.image(),
                             .best_effort = step.fills(),
                             .cpu_fraction = run.speed,
                             .estimated_ms = step.estimated_ms(),
                             .percent = run.percent,
                             .resumed = !table.Task(key).checkpoint.empty(),
                             .started = run.started};
  if (done)
    this->worker_speed.OnDone(progress, now);
  else
    this->worker_speed.OnProgress(progress, now);
}

}  // namespace savoryring
