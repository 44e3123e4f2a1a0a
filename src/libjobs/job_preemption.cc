// Stops less urgent runs, with their work saved, where tasks of more urgent
// jobs find no worker.

#include <algorithm>
#include <functional>
#include <tuple>

#include "libjobs/job_objectives.h"
#include "libjobs/job_scheduler.h"

namespace savoryring {
namespace {

// About the time that a stop takes. A task that finds room by itself within it
// needs no preemption.
constexpr Milliseconds kMinWaitToPreempt{100};
constexpr Milliseconds kPreemptionCheckInterval{50};
// A run that has got this far frees its room about as soon as a stop would.
constexpr std::uint32_t kNearlyDonePercent = 90;
constexpr double kFullPercent = 100;
// Bounds the time of one check; the tasks after these wait for the next one.
constexpr std::size_t kMaxTasksPerCheck = 64;

HeldResources HeldBy(const wire::JobStep& step) {
  return {.cpu_milli = step.fills() ? 0 : std::int64_t{step.cpu_milli()},
          .memory_mb = static_cast<std::int64_t>(step.memory_mb()),
          .accelerators = std::int64_t{step.accelerators()}};
}

}  // namespace

// The workers with their preemptable runs, in the same order in all vectors.
struct JobScheduler::Sites {
  std::vector<FreeCapacity> capacities;
  std::vector<PreemptionSite> sites;
  std::vector<std::vector<TaskKey>> keys;  // of the runs of each site
  std::uint32_t least_urgent = 0;          // priority of the runs
};

bool JobScheduler::MayBePreempted(const JobTable& table,
                                  const TaskKey& key,
                                  const TrackedRun& run) const {
  const wire::JobStep& step = table.Step(key.step);
  return step.checkpoints() && !step.lasting() && !step.gang() &&
         run.run == table.Task(key).run && !run.moving && !run.end_reported &&
         run.percent < kNearlyDonePercent &&
         table.FindSequence(key.step.sequence)->IsOpen();
}

JobScheduler::Sites JobScheduler::FindSites(const JobTable& table,
                                            TimePoint now) {
  Sites found;
  for (auto& [agent, capacity] : this->FreeCapacities(table, now)) {
    PreemptionSite& site = found.sites.emplace_back();
    std::vector<TaskKey>& keys = found.keys.emplace_back();
    site.free = {.cpu_milli = capacity.cpu_milli,
                 .memory_mb = capacity.memory_mb,
                 .accelerators = capacity.accelerators};
    const std::map<TaskKey, TrackedRun>& runs = this->agents[agent].runs;
    for (const TaskKey& key : capacity.worker->runs) {
      const auto run = runs.find(key);
      if (run == runs.end())
        continue;
      const wire::JobStep& step = table.Step(key.step);
      if (run->second.moving)
        site.free = site.free + HeldBy(step);
      if (!this->MayBePreempted(table, key, run->second))
        continue;
      const Job& job = *table.FindSequence(key.step.sequence);
      const auto total = static_cast<double>(job.figures.total_work);
      const auto left =
          static_cast<double>(RemainingWork(job, key.step.occurrence));
      const std::uint32_t unsaved_percent =
          run->second.percent -
          std::min(run->second.percent, run->second.saved_percent);
      const auto preempted = this->preemptions.find(key);
      site.runs.push_back(
          {.priority = job.spec.priority(),
           .unsaved_work = WorkOfTask(step) * unsaved_percent / kFullPercent,
           .job_share_left = total > 0 ? left / total : 0,
           .preemptions =
               preempted == this->preemptions.end() ? 0 : preempted->second,
           .held = HeldBy(step)});
      keys.push_back(key);
      found.least_urgent = std::max(found.least_urgent, job.spec.priority());
    }
    found.capacities.push_back(std::move(capacity));
  }
  return found;
}

// In the order of placement. Best-effort tasks hold nothing that a preemption
// would surely free for them, and gangs need more than a few runs' room.
std::vector<StepKey> JobScheduler::FindUrgentSteps(
    const JobTable& table,
    std::uint32_t victim_priority,
    TimePoint now) const {
  std::vector<std::tuple<std::uint32_t, Timeliness, std::uint64_t, StepKey>>
      ranked;
  for (const StepKey& key : this->waiting_queue.examined()) {
    const Job& job = *table.FindSequence(key.sequence);
    const wire::JobStep& step = table.Step(key);
    const auto waiting = this->waiting_since.find(key);
    const bool waits = waiting != this->waiting_since.end() &&
                       now >= waiting->second + kMinWaitToPreempt;
    if (!waits || step.fills() || step.gang() ||
        job.spec.priority() >= victim_priority)
      continue;
    const Timeliness timeliness =
        step.lasting()
            ? Timeliness::kOnTime
            : TimelinessOf(job, key.occurrence, this->group_time_ms,
                           this->TypicalSpeed(job.spec.service(), now),
                           this->critical_paths);
    if (timeliness != Timeliness::kWorthless) {
      ranked.emplace_back(job.spec.priority(), timeliness,
                          RemainingWork(job, key.occurrence), key);
    }
  }
  std::ranges::sort(ranked);
  std::vector<StepKey> steps;
  for (const auto& [priority, timeliness, work, key] : ranked)
    steps.push_back(key);
  return steps;
}

// Returns the number of preempted runs.
std::size_t JobScheduler::PreemptFor(const JobTable& table,
                                     const StepKey& key,
                                     std::size_t max_runs,
                                     Sites& sites) {
  const wire::JobStep& step = table.Step(key);
  const Job& job = *table.FindSequence(key.sequence);
  const StepState& state = table.State(key);
  std::size_t preempted = 0;
  std::size_t checked = 0;
  for (std::uint32_t index = 0;
       index < state.tasks.size() && checked < kMaxTasksPerCheck; ++index) {
    const TaskKey task_key{.step = key, .index = index};
    if (state.tasks[index].state != JobTaskState::kWaiting ||
        this->IsRetryDelayed(task_key) ||
        this->MustBeTested(task_key, state.tasks[index]))
      continue;
    checked += 1;
    std::vector<PreemptionSite> usable;
    std::vector<std::size_t> numbers;
    for (std::size_t i = 0; i < sites.sites.size(); ++i) {
      const UnmetConstraint unmet =
          FindUnmetConstraint(table, key, sites.capacities[i]);
      const bool lacks_room = unmet == UnmetConstraint::kNone ||
                              unmet == UnmetConstraint::kProcessors ||
                              unmet == UnmetConstraint::kMemory ||
                              unmet == UnmetConstraint::kAccelerators;
      if (!lacks_room || sites.capacities[i].on_probation)
        continue;
      usable.push_back(sites.sites[i]);
      numbers.push_back(i);
    }
    const auto chosen = ChoosePreemption(job.spec.priority(), HeldBy(step),
                                         usable, max_runs - preempted);
    if (!chosen)
      return preempted;
    const std::size_t number = numbers[chosen->site];
    PreemptionSite& site = sites.sites[number];
    const std::string& agent =
        sites.capacities[number].worker->description.agent();
    for (const std::size_t i : chosen->runs) {
      const TaskKey& victim = sites.keys[number][i];
      this->agents[agent].runs.at(victim).moving = true;
      this->preemptions[victim] += 1;
      this->preempted_runs.push_back(
          {.task = TaskNameText(table.NameOf(victim)),
           .agent = agent,
           .preempting_job = job.spec.id()});
      site.free = site.free + site.runs[i].held;
      preempted += 1;
    }
    // Their room is given away once.
    std::vector<std::size_t> gone = chosen->runs;
    std::ranges::sort(gone, std::greater());
    for (const std::size_t i : gone) {
      site.runs.erase(site.runs.begin() + static_cast<std::ptrdiff_t>(i));
      sites.keys[number].erase(sites.keys[number].begin() +
                               static_cast<std::ptrdiff_t>(i));
    }
    site.free = site.free - HeldBy(step);
    sites.capacities[number].tasks_by_step[key] += 1;
  }
  return preempted;
}

void JobScheduler::PreemptRunsForUrgentTasks(const JobTable& table,
                                             TimePoint now) {
  if (!this->options.features.preemption || now < this->next_preemption_check ||
      table.ready_steps().empty())
    return;
  this->next_preemption_check = now + kPreemptionCheckInterval;
  std::erase_if(this->preemptions, [&table](const auto& item) {
    const Job* job = table.FindSequence(item.first.step.sequence);
    return job == nullptr || !job->IsOpen();
  });
  Sites sites = this->FindSites(table, now);
  std::size_t preempted = 0;
  for (const StepKey& key :
       this->FindUrgentSteps(table, sites.least_urgent, now)) {
    if (preempted >= kMaxPreemptionsPerDecision)
      return;
    preempted += this->PreemptFor(
        table, key, kMaxPreemptionsPerDecision - preempted, sites);
  }
}

}  // namespace savoryring
