// What an agent reports on a crash of its worker.

#include "libjobs/job_table.h"
#include "libjobs/worker_agent.h"

namespace savoryring {

bool WorkerAgent::MayHaveBegunRecently(const StartState& start_state) const {
  const bool refused =
      this->connection_refused && start_state.call_sent >= this->refused_since;
  if (start_state.call_open && !refused)
    return true;
  if (start_state.begun_by == TimePoint())
    return false;
  return start_state.begun_by == kNever ||
         this->last_heard <= start_state.begun_by + this->options.crash_window;
}

// Whether the worker was heard after the time in which the run would have
// crashed it.
bool WorkerAgent::HasSurvived(const StartState& start_state) const {
  return start_state.begun_by != TimePoint() &&
         start_state.begun_by != kNever &&
         this->last_heard > start_state.begun_by + this->options.survival_time;
}

// Records that this incarnation has ended without notice, with the runs that
// may have caused that. A worker that drains may end without a crash.
void WorkerAgent::RecordCrash() {
  if (this->leaving || this->worker->draining())
    return;
  if (this->crash && this->crash->born_ms() == this->worker->born_ms())
    return;
  wire::WorkerCrash& recorded = this->crash.emplace();
  recorded.set_agent(this->options.agent);
  recorded.set_born_ms(this->worker->born_ms());
  const auto add = [&recorded](const wire::TaskName& task, std::uint32_t run) {
    wire::RecentRun* recent = recorded.add_recent_runs();
    *recent->mutable_task() = task;
    recent->set_run(run);
  };
  for (const auto& [name, start_state] : this->starts) {
    if (this->MayHaveBegunRecently(start_state))
      add(start_state.order.task(), start_state.order.run());
  }
  // An unanswered start that was given up may be carried out late.
  for (const auto& [name, stop_state] : this->stops) {
    const bool may_begin = stop_state.confirmed_at == TimePoint() &&
                           !this->starts.contains(name) &&
                           this->ListedRunNumber(name) != stop_state.run;
    if (may_begin)
      add(stop_state.task, stop_state.run);
  }
}

}  // namespace savoryring
