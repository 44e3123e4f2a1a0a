// Tasks that may crash their workers: counting, testing and giving up.

#include "libjobs/job_scheduler.h"

namespace savoryring {

// Proposes the crash in the report if it was not proposed yet. The table counts
// it before it applies the losses and registrations of the same command.
void JobScheduler::AddNewCrash(const JobWorker* known,
                               const wire::AgentReport& report,
                               AgentState& agent_state,
                               wire::JobCommand& command) {
  const std::int64_t born_ms = report.crash().born_ms();
  if (known == nullptr || born_ms <= known->counted_crash_ms ||
      born_ms <= agent_state.proposed_crash_ms)
    return;
  *command.add_crashes() = report.crash();
  command.mutable_crashes()->rbegin()->set_agent(report.worker().agent());
  agent_state.proposed_crash_ms = born_ms;
}

bool JobScheduler::MustBeGivenUp(const JobTask& task) const {
  const std::uint32_t more =
      this->decision_time < this->other_causes_until ? 1 : 0;
  return task.crashes >= this->options.max_crashes ||
         (task.crashes >= this->options.crashes_to_give_up + more &&
          task.sole_crashes >= this->options.sole_crashes_to_give_up + more);
}

bool JobScheduler::MustBeTested(const TaskKey& key, const JobTask& task) const {
  if (task.crashes != 1 ||
      this->crash_isolation.CountCrashedWorkers(this->decision_time) > 0)
    return task.crashes > 0;
  const auto found = this->test_deadlines.find(key);
  return found == this->test_deadlines.end() ||
         this->decision_time < found->second;
}

void JobScheduler::GiveUpJobs(const JobTable& table,
                              wire::JobCommand& command) const {
  std::uint64_t given_up = 0;
  for (const TaskKey& key : table.suspects()) {
    const JobTask& task = table.Task(key);
    if (key.step.sequence == given_up || !this->MustBeGivenUp(task))
      continue;
    given_up = key.step.sequence;
    wire::GiveUp* give_up = command.add_give_ups();
    *give_up->mutable_task() = table.NameOf(key);
    give_up->set_why(std::to_string(task.crashes) +
                     " workers crashed when they started " +
                     TaskNameText(give_up->task()));
  }
}

void JobScheduler::UpdateTests(const JobTable& table, TimePoint now) {
  std::map<std::string, std::uint64_t> jobs;
  for (const TaskKey& key : table.suspects()) {
    const JobTask& task = table.Task(key);
    if (task.state == JobTaskState::kAssigned) {
      jobs[task.agent] = key.step.sequence;
      this->test_deadlines.erase(key);
    } else {
      this->test_deadlines.try_emplace(key,
                                       now + this->options.max_wait_for_test);
    }
  }
  std::erase_if(this->test_deadlines, [&table](const auto& item) {
    return !table.suspects().contains(item.first);
  });
  this->crash_isolation.SetTests(jobs, now);
}

}  // namespace savoryring
