// Connects the waiting queue to the job table, and remembers what found no
// worker in the decision in progress.

#include <algorithm>
#include <iterator>
#include <utility>

#include "libjobs/job_objectives.h"
#include "libjobs/job_scheduler.h"

namespace savoryring {

WaitingRank JobScheduler::RankOf(const JobTable& table,
                                 std::uint64_t sequence,
                                 std::uint32_t occurrence,
                                 TimePoint now) const {
  const Job& job = *table.FindSequence(sequence);
  // A lasting task is needed as much on its last restart as on its first start.
  const Timeliness timeliness =
      job.figures.has_lasting_steps
          ? Timeliness::kOnTime
          : TimelinessOf(job, occurrence, this->group_time_ms,
                         this->TypicalSpeed(job.spec.service(), now),
                         this->critical_paths);
  return {.priority = job.spec.priority(),
          .timeliness = timeliness,
          .remaining_work = RemainingWork(job, occurrence),
          .due_ms = job.accepted_ms + job.figures.objective_ms,
          .sequence = sequence,
          .occurrence = occurrence};
}

// In the order of the queue.
std::vector<StepKey> JobScheduler::StepsWithSuspects(
    const JobTable& table) const {
  std::set<std::pair<WaitingRank, StepKey>> ranked;
  for (const TaskKey& suspect : table.suspects()) {
    const WaitingRank* rank = this->waiting_queue.RankOf(suspect.step);
    if (rank != nullptr && table.ready_steps().contains(suspect.step))
      ranked.insert({*rank, suspect.step});
  }
  std::vector<StepKey> steps;
  for (const auto& [rank, key] : ranked)
    steps.push_back(key);
  return steps;
}

// A step that is ready again later waits anew. Steps of jobs that have ended
// are never ready again, and are forgotten a few at a time.
void JobScheduler::ForgetPlacedSteps(const JobTable& table) {
  constexpr int kCheckedPerDecision = 256;
  for (const StepKey& key : std::exchange(this->changed_steps, {})) {
    if (!table.ready_steps().contains(key))
      this->waiting_since.erase(key);
  }
  auto waiting = this->waiting_since.lower_bound(this->next_to_forget);
  for (int i = 0;
       i < kCheckedPerDecision && waiting != this->waiting_since.end(); ++i) {
    waiting = table.ready_steps().contains(waiting->first)
                  ? std::next(waiting)
                  : this->waiting_since.erase(waiting);
  }
  this->next_to_forget =
      waiting == this->waiting_since.end() ? StepKey() : waiting->first;
}

JobScheduler::Demand JobScheduler::DemandOf(const JobTable& table,
                                            const StepKey& key) {
  const wire::JobStep& step = table.Step(key);
  return {.service = table.FindSequence(key.sequence)->spec.service(),
          .label = step.required_label(),
          .image = step.fills() ? step.image() : "",
          .fills = step.fills(),
          .cpu_milli = step.cpu_milli(),
          .memory_mb = step.memory_mb(),
          .accelerators = step.accelerators()};
}

// Whether a worker that has no room for `other` has none for this either. How
// much a best-effort task would get is estimated, and may not follow its size.
bool JobScheduler::Demand::CoversOrEquals(const Demand& other) const {
  return this->service == other.service && this->label == other.label &&
         this->fills == other.fills && this->image == other.image &&
         (this->fills ? this->cpu_milli == other.cpu_milli
                      : this->cpu_milli >= other.cpu_milli) &&
         this->memory_mb >= other.memory_mb &&
         this->accelerators >= other.accelerators;
}

// Rooms only shrink within a decision. A worker that tests a job's suspects
// accepts tasks of that job alone.
bool JobScheduler::IsKnownToFitNowhere(const JobTable& table,
                                       const StepKey& key) const {
  if (this->fits_nowhere.empty())
    return false;
  const auto suspect =
      table.suspects().lower_bound({.step = {.sequence = key.sequence}});
  if (suspect != table.suspects().end() &&
      suspect->step.sequence == key.sequence)
    return false;
  const Demand demand = DemandOf(table, key);
  return std::ranges::any_of(
      this->fits_nowhere,
      [&demand](const Demand& other) { return demand.CoversOrEquals(other); });
}

void JobScheduler::RecordFitsNowhere(const JobTable& table,
                                     const StepKey& key) {
  constexpr std::size_t kMaxDemands = 64;
  // Such a step may lack workers without one of its tasks, not room.
  if (table.Step(key).spread_limit() == 0 &&
      this->fits_nowhere.size() < kMaxDemands)
    this->fits_nowhere.push_back(DemandOf(table, key));
}

}  // namespace savoryring
