// Explains to operators and job owners why tasks wait.

#include <algorithm>
#include <map>

#include "libjobs/job_scheduler.h"

namespace savoryring {

std::string JobScheduler::ExplainWaiting(const JobTable& table,
                                         const StepKey& key,
                                         TimePoint now) const {
  const std::string& service = table.FindSequence(key.sequence)->spec.service();
  std::map<std::string, int> reasons;
  int workers = 0;
  for (const auto& [agent, worker] : table.workers()) {
    if (worker.description.service() != service)
      continue;
    workers += 1;
    switch (this->UnavailabilityOf(worker, now)) {
      case Unavailability::kNone:
        break;
      case Unavailability::kLost:
        reasons["lost"] += 1;
        break;
      case Unavailability::kDraining:
        reasons["draining"] += 1;
        break;
      case Unavailability::kUnreachable:
        reasons["not heard of lately"] += 1;
        break;
      case Unavailability::kEvacuated:
        reasons["in an evacuated zone"] += 1;
        break;
      case Unavailability::kSuspended:
        reasons["suspended after failures"] += 1;
        break;
    }
  }
  const wire::JobStep& step = table.Step(key);
  for (const auto& [agent, capacity] : this->FreeCapacities(table, now)) {
    switch (FindUnmetConstraint(table, key, capacity)) {
      case UnmetConstraint::kService:
        break;
      case UnmetConstraint::kLabel:
        reasons["without label " + step.required_label()] += 1;
        break;
      case UnmetConstraint::kProbation:
        reasons["proving themselves after failures"] += 1;
        break;
      case UnmetConstraint::kCrashTest:
        reasons["testing a task whose worker crashed"] += 1;
        break;
      case UnmetConstraint::kSpread:
        reasons["at the step's spread limit"] += 1;
        break;
      case UnmetConstraint::kProcessors:
        reasons["without free processors"] += 1;
        break;
      case UnmetConstraint::kMemory:
        reasons["without free memory"] += 1;
        break;
      case UnmetConstraint::kAccelerators:
        reasons["without free accelerators"] += 1;
        break;
      case UnmetConstraint::kNone:
        if (step.fills() && !this->BestEffortCost(capacity, step))
          reasons["with too little processor time left for it"] += 1;
        else
          reasons["with room"] += 1;
        break;
    }
  }
  std::string text = std::to_string(workers) + " workers of " + service;
  const char* separator = ": ";
  for (const auto& [reason, count] : reasons) {
    text += separator + std::to_string(count) + " " + reason;
    separator = ", ";
  }
  const auto suspects =
      std::ranges::count_if(table.suspects(), [&](const TaskKey& suspect) {
        return suspect.step == key &&
               table.Task(suspect).state == JobTaskState::kWaiting;
      });
  if (suspects > 0) {
    text += "; " + std::to_string(suspects) +
            " tasks are started apart from other jobs, as their worker crashed";
  }
  return text;
}

}  // namespace savoryring
