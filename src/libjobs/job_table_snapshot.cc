// Saving the job table to a snapshot, and restoring it.

#include <algorithm>

#include "libjobs/job_memory.h"
#include "libjobs/job_objectives.h"
#include "libjobs/job_table.h"

namespace savoryring {

namespace {

void SaveSteps(const std::vector<StepState>& steps,
               wire::StoredOccurrence* stored) {
  for (const StepState& step : steps) {
    wire::StoredStep* stored_step = stored->add_steps();
    stored_step->set_failed_run(step.failed_run);
    for (const JobTask& task : step.tasks) {
      wire::StoredTask* stored_task = stored_step->add_tasks();
      stored_task->set_state(static_cast<std::uint32_t>(task.state));
      stored_task->set_run(task.run);
      stored_task->set_failures(task.failures);
      stored_task->set_agent(task.agent);
      stored_task->set_checkpoint(task.checkpoint);
      stored_task->set_crashes(task.crashes);
      stored_task->set_sole_crashes(task.sole_crashes);
    }
  }
}

void SaveHistory(const Job& job, wire::StoredJob* stored) {
  stored->set_dropped_moments(job.dropped_history);
  for (const JobHistoryEntry& entry : job.history) {
    wire::StoredMoment* stored_entry = stored->add_moments();
    stored_entry->set_at_ms(entry.at_ms);
    stored_entry->set_kind(static_cast<std::uint32_t>(entry.kind));
    stored_entry->set_occurrence(entry.occurrence);
    stored_entry->set_step(entry.step);
    stored_entry->set_index(entry.index);
    stored_entry->set_run(entry.run);
    stored_entry->set_how(entry.run_end);
    stored_entry->set_agent(entry.agent);
  }
}

void RestoreHistory(const wire::StoredJob& stored, Job& job) {
  job.dropped_history = stored.dropped_moments();
  for (const wire::StoredMoment& stored_entry : stored.moments()) {
    job.history.push_back(
        {.at_ms = stored_entry.at_ms(),
         .kind = static_cast<JobEvent::Kind>(stored_entry.kind()),
         .occurrence = stored_entry.occurrence(),
         .step = stored_entry.step(),
         .index = stored_entry.index(),
         .run = stored_entry.run(),
         .run_end = stored_entry.how(),
         .agent = stored_entry.agent()});
  }
}

StepState RestoreStep(const wire::StoredStep& stored) {
  StepState step;
  step.failed_run = stored.failed_run();
  for (const wire::StoredTask& task : stored.tasks()) {
    const auto state = static_cast<JobTaskState>(task.state());
    step.tasks.push_back({.state = state,
                          .run = task.run(),
                          .failures = task.failures(),
                          .agent = task.agent(),
                          .checkpoint = task.checkpoint(),
                          .crashes = task.crashes(),
                          .sole_crashes = task.sole_crashes()});
    step.highest_run = std::max(step.highest_run, task.run());
    step.done += state == JobTaskState::kDone ? 1 : 0;
    step.waiting += state == JobTaskState::kWaiting ? 1 : 0;
  }
  return step;
}

}  // namespace

wire::JobSnapshot JobTable::Save() const {
  wire::JobSnapshot snapshot;
  snapshot.set_group_time_ms(this->group_time);
  snapshot.set_next_sequence(this->next_sequence);
  for (const auto& [sequence, job] : this->job_table) {
    wire::StoredJob* stored = snapshot.add_jobs();
    *stored->mutable_spec() = job.spec;
    stored->set_state(job.state);
    stored->set_sequence(sequence);
    stored->set_accepted_ms(job.accepted_ms);
    stored->set_ended_ms(job.ended_ms);
    stored->set_done_occurrences(job.done_occurrences);
    stored->set_end_why(job.end_reason);
    SaveHistory(job, stored);
    for (const auto& [number, occurrence] : job.occurrences) {
      wire::StoredOccurrence* stored_occurrence = stored->add_occurrences();
      stored_occurrence->set_number(number);
      SaveSteps(occurrence.steps, stored_occurrence);
    }
  }
  for (const auto& [agent, worker] : this->worker_table) {
    wire::StoredWorker* stored = snapshot.add_workers();
    *stored->mutable_description() = worker.description;
    stored->set_lost(worker.lost);
    stored->set_acknowledged(worker.acknowledged);
    stored->set_counted_crash_ms(worker.counted_crash_ms);
    stored->set_highest_born_ms(worker.highest_born_ms);
  }
  return snapshot;
}

void JobTable::Restore(const wire::JobSnapshot& snapshot) {
  *this = JobTable(this->mutations);
  this->group_time = snapshot.group_time_ms();
  this->next_sequence = std::max<std::uint64_t>(1, snapshot.next_sequence());
  for (const wire::StoredWorker& stored : snapshot.workers()) {
    JobWorker& worker = this->worker_table[stored.description().agent()];
    worker.description = stored.description();
    worker.lost = stored.lost();
    worker.acknowledged = stored.acknowledged();
    worker.counted_crash_ms = stored.counted_crash_ms();
    worker.highest_born_ms =
        std::max(stored.highest_born_ms(), worker.description.born_ms());
  }
  for (const wire::StoredJob& stored : snapshot.jobs())
    this->RestoreJob(stored);
}

void JobTable::RestoreJob(const wire::StoredJob& stored) {
  Job& job = this->job_table[stored.sequence()];
  job.spec = stored.spec();
  job.figures = FiguresOf(job.spec);
  job.state = stored.state();
  job.sequence = stored.sequence();
  job.accepted_ms = stored.accepted_ms();
  job.ended_ms = stored.ended_ms();
  job.done_occurrences = stored.done_occurrences();
  job.end_reason = stored.end_why();
  RestoreHistory(stored, job);
  this->sequence_of_id[job.spec.id()] = job.sequence;
  for (const wire::StoredOccurrence& saved : stored.occurrences()) {
    JobOccurrence& occurrence = job.occurrences[saved.number()];
    for (const wire::StoredStep& step : saved.steps())
      occurrence.steps.push_back(RestoreStep(step));
    DeriveFigures(job, occurrence);
    job.has_done_tasks =
        job.has_done_tasks ||
        std::ranges::any_of(occurrence.steps, [](const StepState& step) {
          return step.done > 0;
        });
  }
  this->SetHeldBytes(job, HeldBytesOf(job));
  if (!job.IsOpen())
    this->ended.insert(job.sequence);
  else if (job.spec.repeat_count() >
           job.done_occurrences + job.occurrences.size())
    this->timed.insert(job.sequence);
  if (job.state == wire::JOB_STATE_PENDING && job.spec.repeat_count() == 0)
    this->pending.insert(job.sequence);
  for (const auto& [number, occurrence] : job.occurrences)
    this->RestoreRuns(job, number);
}

void JobTable::RestoreRuns(Job& job, std::uint32_t number) {
  const std::vector<StepState>& steps = job.occurrences.at(number).steps;
  for (std::uint32_t step = 0; step < steps.size(); ++step) {
    const StepKey key{
        .sequence = job.sequence, .occurrence = number, .step = step};
    for (std::uint32_t index = 0; index < steps[step].tasks.size(); ++index) {
      const JobTask& task = steps[step].tasks[index];
      if (task.crashes > 0 && job.IsOpen() && task.state != JobTaskState::kDone)
        this->suspect_tasks.insert({.step = key, .index = index});
      if (task.state != JobTaskState::kAssigned)
        continue;
      JobWorker& worker = this->worker_table[task.agent];
      worker.runs.insert({.step = key, .index = index});
      this->UpdateUsage(worker, this->Step(key), true);
      job.assigned += 1;
    }
  }
  this->UpdateReady(job, number);
}

}  // namespace savoryring
