#include "libjobs/job_objectives.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace savoryring {
namespace {

std::uint64_t ExpectedMs(const wire::JobStep& step, double best_effort_speed) {
  if (!step.fills() || best_effort_speed >= 1)
    return step.estimated_ms();
  return static_cast<std::uint64_t>(
      std::lround(step.estimated_ms() / best_effort_speed));
}

}  // namespace

std::uint64_t CriticalPathMs(const wire::JobSpec& spec,
                             const std::vector<StepState>* states,
                             double best_effort_speed) {
  std::vector<std::uint64_t> path_ms;
  std::uint64_t longest_ms = 0;
  for (const wire::JobStep& step : spec.steps()) {
    std::uint64_t predecessors_ms = 0;
    for (const std::uint32_t predecessor : step.after())
      predecessors_ms = std::max(predecessors_ms, path_ms[predecessor]);
    const bool done = states != nullptr && (*states)[path_ms.size()].IsDone();
    path_ms.push_back(predecessors_ms +
                      (done ? 0 : ExpectedMs(step, best_effort_speed)));
    longest_ms = std::max(longest_ms, path_ms.back());
  }
  return longest_ms;
}

std::uint64_t LatencyObjectiveMs(const wire::JobSpec& spec) {
  return CriticalPathMs(spec, nullptr) * spec.slack_percent() / 100 +
         spec.latency_target_ms();
}

JobFigures FiguresOf(const wire::JobSpec& spec) {
  JobFigures figures{.objective_ms = LatencyObjectiveMs(spec),
                     .total_work = TotalWork(spec)};
  figures.dependents.resize(static_cast<std::size_t>(spec.steps_size()));
  for (std::uint32_t number = 0; number < figures.dependents.size(); ++number) {
    const wire::JobStep& step = spec.steps(static_cast<int>(number));
    figures.tasks += step.count();
    figures.has_lasting_steps = figures.has_lasting_steps || step.lasting();
    figures.has_finite_steps = figures.has_finite_steps || !step.lasting();
    for (const std::uint32_t earlier : step.after()) {
      if (earlier < figures.dependents.size())
        figures.dependents[earlier].push_back(number);
    }
  }
  return figures;
}

std::uint64_t CriticalPaths::Of(const Job& job,
                                std::uint32_t occurrence,
                                double best_effort_speed) {
  const JobOccurrence& state = job.occurrences.at(occurrence);
  const auto [found, added] =
      this->paths.try_emplace({job.sequence, occurrence});
  Path& path = found->second;
  path.used = true;
  const bool valid = !added && path.done_steps == state.done_steps &&
                     path.best_effort_speed == best_effort_speed;
  if (valid)
    return path.length_ms;
  path.done_steps = state.done_steps;
  path.best_effort_speed = best_effort_speed;
  path.length_ms = CriticalPathMs(job.spec, &state.steps, best_effort_speed);
  this->walked_count += state.steps.size();
  for (const std::vector<std::uint32_t>& dependents : job.figures.dependents)
    this->walked_count += dependents.size();
  return path.length_ms;
}

void CriticalPaths::DropUnused() {
  for (auto path = this->paths.begin(); path != this->paths.end();) {
    const bool used = std::exchange(path->second.used, false);
    path = used ? std::next(path) : this->paths.erase(path);
  }
}

bool HasStarted(const Job& job) {
  return job.assigned > 0 || job.done_occurrences > 0 || job.has_done_tasks;
}

// Under overload, ordering by due time alone would make every job late: the
// tasks of all jobs would share the workers. Therefore jobs that can still meet
// their objective are placed first, and among them those with the least work
// left, so that as many as possible are finished in time.
Timeliness TimelinessOf(const Job& job,
                        std::uint32_t occurrence,
                        std::uint64_t group_time_ms,
                        std::optional<double> typical_speed,
                        CriticalPaths& paths) {
  // Only fresh jobs that have not started are on time beyond their objective.
  const bool started = !typical_speed || HasStarted(job);
  const double speed = started ? 1 : *typical_speed;
  return TimelinessAt({.accepted_ms = job.accepted_ms,
                       .objective_ms = job.figures.objective_ms,
                       .critical_path_ms = paths.Of(job, occurrence, speed),
                       .started = started},
                      group_time_ms);
}

// The sums may fall short of 0 by a rounding error.
std::uint64_t RemainingWork(const Job& job, std::uint32_t occurrence) {
  const JobOccurrence& state = job.occurrences.at(occurrence);
  double work = 0;
  for (std::size_t i = 0; i < kWorkClasses; ++i)
    work += state.waiting[i] + state.running[i];
  constexpr double kMaxWork = 1e18;
  return static_cast<std::uint64_t>(std::clamp(work, 0.0, kMaxWork));
}

std::uint64_t TotalWork(const wire::JobSpec& spec) {
  std::uint64_t work = 0;
  for (const wire::JobStep& step : spec.steps()) {
    if (!step.lasting())
      work +=
          std::uint64_t{step.count()} * step.estimated_ms() * step.cpu_milli();
  }
  return work;
}

WorkClass WorkClassOf(const wire::JobStep& step) {
  return step.fills() ? WorkClass::kBestEffort : WorkClass::kReserving;
}

double WorkOfTask(const wire::JobStep& step) {
  return step.lasting() ? 0.0
                        : static_cast<double>(step.estimated_ms()) *
                              static_cast<double>(step.cpu_milli());
}

OpenJob ToOpenJob(const Job& job, double typical_speed, CriticalPaths& paths) {
  const bool started = HasStarted(job);
  const double speed = started ? 1 : typical_speed;
  OpenJob open{.priority = job.spec.priority(),
               .accepted_ms = job.accepted_ms,
               .objective_ms = job.figures.objective_ms,
               .started = started};
  for (const auto& [number, occurrence] : job.occurrences) {
    open.critical_path_ms =
        std::max(open.critical_path_ms, paths.Of(job, number, speed));
    for (std::size_t i = 0; i < kWorkClasses; ++i) {
      open.waiting[i] += std::max(0.0, occurrence.waiting[i]);
      open.running[i] += std::max(0.0, occurrence.running[i]);
    }
  }
  return open;
}

OpenJob ToOpenJob(const wire::JobSpec& spec,
                  std::uint64_t now_ms,
                  double typical_speed) {
  OpenJob open{
      .priority = spec.priority(),
      .accepted_ms = now_ms,
      .objective_ms = LatencyObjectiveMs(spec),
      .critical_path_ms = CriticalPathMs(spec, nullptr, typical_speed)};
  for (const wire::JobStep& step : spec.steps()) {
    open.waiting[static_cast<std::size_t>(WorkClassOf(step))] +=
        step.count() * WorkOfTask(step);
  }
  return open;
}

}  // namespace savoryring
