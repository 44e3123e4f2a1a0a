#include "libjobs/job_table.h"

#include <algorithm>
#include <utility>

#include "libjobs/job_memory.h"
#include "libjobs/job_objectives.h"

namespace savoryring {
namespace {

// How long the outcome of an ended job is kept, in group time.
constexpr std::uint64_t kEndedJobRetentionMs = 900'000;

}  // namespace

std::size_t CountRuns(const JobWorker& worker, const StepKey& key) {
  const auto first = worker.runs.lower_bound({.step = key});
  const auto last = worker.runs.upper_bound({.step = key, .index = UINT32_MAX});
  return static_cast<std::size_t>(std::distance(first, last));
}

std::string TaskNameText(const wire::TaskName& name) {
  return name.job() + "." + std::to_string(name.occurrence()) + "." +
         std::to_string(name.step()) + "." + std::to_string(name.index());
}

bool IsLaterIncarnation(const JobWorker& known,
                        const wire::JobWorkerDescription& reported) {
  const std::int64_t known_born_ms = known.description.born_ms();
  if (reported.replaces_born_ms() != 0 &&
      reported.replaces_born_ms() == known_born_ms)
    return true;
  // An incarnation that was replaced by one with a lower birth stays earlier.
  return reported.born_ms() > known.highest_born_ms ||
         (reported.born_ms() == known_born_ms &&
          known_born_ms == known.highest_born_ms);
}

JobApplyResult JobTable::Apply(const wire::JobCommand& command) {
  this->group_time = std::max(this->group_time, command.group_time_ms());
  JobApplyResult result;
  if (command.has_submit())
    result = this->Submit(command.submit());
  if (!command.cancel().empty())
    result = this->Cancel(command.cancel());
  for (const wire::WorkerEnds& ends : command.ends())
    this->ApplyEnds(ends);
  for (const wire::WorkerCrash& crash : command.crashes())
    this->CountCrash(crash);
  for (const wire::WorkerLoss& loss : command.losses())
    this->MarkWorkerLost(loss);
  for (const wire::JobWorkerDescription& worker : command.workers())
    this->RegisterWorker(worker);
  for (const wire::RecentRun& survivor : command.survivors())
    this->ClearSuspect(survivor);
  for (const wire::GiveUp& give_up : command.give_ups())
    this->GiveUpJob(give_up);
  for (const wire::OccurrenceStart& start : command.occurrences())
    this->BeginOccurrence(start);
  this->StartRuns(command);
  this->ExpireEndedJobs();
  return result;
}

// --- Jobs ---

JobApplyResult JobTable::Submit(const wire::JobSpec& spec) {
  // A job id that was accepted before makes this a resubmission of that job.
  if (this->sequence_of_id.contains(spec.id()))
    return {};
  const std::uint64_t sequence = this->next_sequence++;
  this->sequence_of_id[spec.id()] = sequence;
  Job& job = this->job_table[sequence];
  job.spec = spec;
  job.figures = FiguresOf(spec);
  job.sequence = sequence;
  job.accepted_ms = this->group_time;
  this->RecordEvent({.kind = JobEvent::Kind::kAccepted,
                     .job = spec.id(),
                     .reason = spec.queue()});
  this->SetHeldBytes(job, HeldBytesOf(job));
  if (spec.repeat_count() > 0) {
    this->timed.insert(sequence);
    return {};
  }
  this->pending.insert(sequence);
  this->AddOccurrence(job, 0);
  return {};
}

JobApplyResult JobTable::Cancel(const std::string& id) {
  const auto found = this->sequence_of_id.find(id);
  if (found == this->sequence_of_id.end())
    return {.code = ResultCode::kUnknownJob};
  Job& job = this->job_table.at(found->second);
  if (job.IsOpen())
    this->EndJob(job, wire::JOB_STATE_CANCELLED, "cancelled by its owner");
  return {};
}

void JobTable::AddOccurrence(Job& job, std::uint32_t number) {
  JobOccurrence& occurrence = job.occurrences[number];
  occurrence.steps.reserve(static_cast<std::size_t>(job.spec.steps_size()));
  for (const wire::JobStep& step : job.spec.steps()) {
    StepState& state = occurrence.steps.emplace_back();
    state.tasks.resize(step.count());
    state.waiting = step.count();
  }
  DeriveFigures(job, occurrence);
  this->SetHeldBytes(job, HeldBytesOf(job));
  this->UpdateReady(job, number);
}

void JobTable::SetHeldBytes(Job& job, std::uint64_t bytes) {
  std::uint64_t& of_queue = this->queue_held_bytes[job.spec.queue()];
  of_queue += bytes - job.held_bytes;
  this->total_held_bytes += bytes - job.held_bytes;
  job.held_bytes = bytes;
  if (of_queue == 0)
    this->queue_held_bytes.erase(job.spec.queue());
}

std::uint64_t JobTable::NextExpiryMs() const {
  if (this->ended.empty())
    return 0;
  return this->job_table.at(*this->ended.begin()).ended_ms +
         kEndedJobRetentionMs;
}

void JobTable::DeriveFigures(const Job& job, JobOccurrence& occurrence) {
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    const wire::JobStep& step = job.spec.steps(static_cast<int>(i));
    StepState& state = occurrence.steps[i];
    const auto work_class = static_cast<std::size_t>(WorkClassOf(step));
    const std::size_t running = state.tasks.size() - state.waiting - state.done;
    occurrence.waiting[work_class] += state.waiting * WorkOfTask(step);
    occurrence.running[work_class] +=
        static_cast<double>(running) * WorkOfTask(step);
    occurrence.done_steps += state.IsDone() ? 1 : 0;
    for (const std::uint32_t earlier : step.after()) {
      const bool met = earlier < occurrence.steps.size() &&
                       occurrence.steps[earlier].IsDone();
      state.unmet_dependencies += met ? 0 : 1;
    }
  }
}

void JobTable::BeginOccurrence(const wire::OccurrenceStart& start) {
  const auto found = this->sequence_of_id.find(start.job());
  if (found == this->sequence_of_id.end())
    return;
  Job& job = this->job_table.at(found->second);
  const bool due = job.IsOpen() && start.occurrence() < job.spec.repeat_count();
  const auto next =
      job.done_occurrences + static_cast<std::uint32_t>(job.occurrences.size());
  if (!due || start.occurrence() != next)
    return;
  this->AddOccurrence(job, start.occurrence());
  if (next + 1 == job.spec.repeat_count())
    this->timed.erase(job.sequence);
}

void JobTable::EndJob(Job& job,
                      wire::JobState state,
                      const std::string& reason) {
  job.state = state;
  job.ended_ms = this->group_time;
  job.end_reason = reason;
  this->timed.erase(job.sequence);
  this->pending.erase(job.sequence);
  this->ended.insert(job.sequence);
  const auto first = this->ready.lower_bound({.sequence = job.sequence});
  const auto last = this->ready.lower_bound({.sequence = job.sequence + 1});
  this->ready.erase(first, last);
  std::erase_if(this->suspect_tasks, [&job](const TaskKey& key) {
    return key.step.sequence == job.sequence;
  });
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const StepState& step : occurrence.steps) {
      for (const JobTask& task : step.tasks) {
        if (task.state == JobTaskState::kAssigned)
          this->changed_agents.insert(task.agent);
      }
    }
  }
  this->RecordEvent({.kind = JobEvent::Kind::kJobEnded,
                     .job = job.spec.id(),
                     .reason = wire::JobState_Name(state) + ": " + reason});
  this->DropSpecIfIdle(job);
}

// Frees the payload and the steps of an ended job once none of its tasks runs:
// only the outcome is still needed.
void JobTable::DropSpecIfIdle(Job& job) {
  if (job.IsOpen() || job.assigned > 0)
    return;
  job.occurrences.clear();
  job.figures = {};
  // A message keeps the memory of cleared fields.
  wire::JobSpec spec;
  spec.Swap(&job.spec);
  spec.clear_payload();
  spec.clear_steps();
  job.spec = spec;
  while (job.history.size() > kMaxHistoryEntriesOfEnded) {
    job.history.pop_front();
    job.dropped_history += 1;
  }
  this->SetHeldBytes(job, HeldBytesOf(job));
}

void JobTable::ExpireEndedJobs() {
  while (!this->ended.empty()) {
    const auto found = this->job_table.find(*this->ended.begin());
    const Job& job = found->second;
    if (job.assigned > 0 ||
        this->group_time < job.ended_ms + kEndedJobRetentionMs)
      return;
    this->sequence_of_id.erase(job.spec.id());
    this->SetHeldBytes(found->second, 0);
    this->job_table.erase(found);
    this->ended.erase(this->ended.begin());
  }
}

// --- Workers ---

void JobTable::RegisterWorker(const wire::JobWorkerDescription& description) {
  JobWorker& worker = this->worker_table[description.agent()];
  const wire::JobWorkerDescription& known = worker.description;
  const bool same_incarnation = known.born_ms() == description.born_ms() &&
                                known.instance() == description.instance();
  if (!same_incarnation && !IsLaterIncarnation(worker, description))
    return;
  if (!same_incarnation) {
    this->ReleaseAllRuns(worker, "the worker began a new life");
    worker.acknowledged = 0;
  }
  worker.description = description;
  worker.highest_born_ms =
      std::max(worker.highest_born_ms, description.born_ms());
  worker.lost = false;
  this->changed_agents.insert(description.agent());
}

void JobTable::MarkWorkerLost(const wire::WorkerLoss& loss) {
  const auto found = this->worker_table.find(loss.agent());
  if (found == this->worker_table.end())
    return;
  JobWorker& worker = found->second;
  if (worker.lost || worker.description.born_ms() != loss.born_ms())
    return;
  for (const wire::TaskEnd& known : loss.checkpoints()) {
    const TaskKey key = this->KeyOf(known.task());
    if (!worker.runs.contains(key))
      continue;
    JobTask& task = this->MutableTask(key);
    if (task.run == known.run())
      task.checkpoint = known.checkpoint();
  }
  this->ReleaseAllRuns(worker, loss.why());
  worker.lost = true;
}

// The runs may have been released before, and their tasks placed elsewhere.
void JobTable::CountCrash(const wire::WorkerCrash& crash) {
  const auto found = this->worker_table.find(crash.agent());
  if (found == this->worker_table.end())
    return;
  JobWorker& worker = found->second;
  if (crash.born_ms() <= worker.counted_crash_ms)
    return;
  worker.counted_crash_ms = crash.born_ms();
  this->changed_agents.insert(crash.agent());
  std::set<std::string> jobs;
  for (const wire::RecentRun& recent : crash.recent_runs())
    jobs.insert(recent.task().job());
  this->RecordEvent({.kind = JobEvent::Kind::kWorkerCrashed,
                     .agent = crash.agent(),
                     .reason = std::to_string(crash.recent_runs_size()) +
                               " runs of " + std::to_string(jobs.size()) +
                               " jobs may have begun shortly before",
                     .explained = crash.recent_runs_size() > 0});
  for (const wire::RecentRun& recent : crash.recent_runs()) {
    const TaskKey key = this->KeyOf(recent.task());
    const bool counts = key.step.sequence != 0 &&
                        this->MutableJob(key.step.sequence)->IsOpen() &&
                        this->Task(key).state != JobTaskState::kDone &&
                        this->Task(key).run >= recent.run();
    if (!counts)
      continue;
    JobTask& task = this->MutableTask(key);
    task.crashes += 1;
    task.sole_crashes += jobs.size() == 1 ? 1 : 0;
    this->suspect_tasks.insert(key);
    this->RecordEvent({.kind = JobEvent::Kind::kSuspected,
                       .job = recent.task().job(),
                       .task = TaskNameText(recent.task()),
                       .agent = crash.agent(),
                       .run = recent.run(),
                       .reason = std::to_string(task.crashes) +
                                 " workers have crashed under it, " +
                                 std::to_string(task.sole_crashes) +
                                 " of them under its job alone",
                       .key = key});
  }
}

void JobTable::ClearSuspect(const wire::RecentRun& survivor) {
  const TaskKey key = this->KeyOf(survivor.task());
  if (!this->suspect_tasks.contains(key) ||
      this->Task(key).run != survivor.run())
    return;
  JobTask& task = this->MutableTask(key);
  task.crashes = 0;
  task.sole_crashes = 0;
  this->suspect_tasks.erase(key);
  this->RecordEvent({.kind = JobEvent::Kind::kCleared,
                     .job = survivor.task().job(),
                     .task = TaskNameText(survivor.task()),
                     .agent = task.agent,
                     .run = task.run,
                     .key = key});
}

void JobTable::GiveUpJob(const wire::GiveUp& give_up) {
  const TaskKey key = this->KeyOf(give_up.task());
  if (key.step.sequence == 0)
    return;
  Job& job = *this->MutableJob(key.step.sequence);
  if (job.IsOpen())
    this->EndJob(job, wire::JOB_STATE_FAILED, give_up.why());
}

void JobTable::ReleaseAllRuns(JobWorker& worker, const std::string& reason) {
  if (worker.description.agent().empty())
    return;
  this->RecordEvent({.kind = JobEvent::Kind::kWorkerLost,
                     .agent = worker.description.agent(),
                     .reason = reason});
  const std::set<TaskKey> runs = worker.runs;
  for (const TaskKey& key : runs) {
    JobTask& task = this->MutableTask(key);
    this->RecordEvent({.kind = JobEvent::Kind::kEnded,
                       .job = this->NameOf(key).job(),
                       .task = TaskNameText(this->NameOf(key)),
                       .agent = task.agent,
                       .run = task.run,
                       .run_end = wire::RUN_END_LAPSED,
                       .reason = reason,
                       .key = key});
    this->ReleaseRun(task, key);
    Job& job = *this->MutableJob(key.step.sequence);
    this->UpdateReady(job, key.step);
    this->DropSpecIfIdle(job);
  }
}

// --- Runs ---

std::uint32_t JobTable::NextRun(const TaskKey& key) const {
  return 1 + (this->Step(key.step).gang() ? this->State(key.step).highest_run
                                          : this->Task(key).run);
}

void JobTable::StartRuns(const wire::JobCommand& command) {
  std::map<StepKey, std::vector<wire::TaskStart>> gangs;
  for (const wire::TaskStart& start : command.starts()) {
    const TaskKey key = this->KeyOf(start.task());
    if (key.step.sequence == 0 || !this->IsReady(key.step))
      continue;
    if (command.whole_gangs() && this->Step(key.step).gang()) {
      gangs[key.step].push_back(start);
      continue;
    }
    if (start.run() == this->Task(key).run + 1 &&
        this->CanStart(start, key, {}))
      this->StartRun(start, key);
  }
  for (const auto& [step, starts] : gangs)
    this->StartGang(step, starts);
}

// A worker may have changed since the decision. A gang without one of its
// members would wait for it in vain.
void JobTable::StartGang(const StepKey& step_key,
                         const std::vector<wire::TaskStart>& starts) {
  std::map<std::string, std::uint32_t> planned;  // members, by agent
  const bool whole = starts.size() == this->State(step_key).tasks.size();
  const bool all_can_start =
      whole && std::ranges::all_of(starts, [&](const wire::TaskStart& start) {
        const TaskKey key = this->KeyOf(start.task());
        return start.run() == this->NextRun(key) &&
               this->CanStart(start, key, planned[start.agent()]++);
      });
  if (!all_can_start)
    return;
  for (const wire::TaskStart& start : starts)
    this->StartRun(start, this->KeyOf(start.task()));
}

// `planned`: other tasks of the step that the same command starts on the
// worker.
bool JobTable::CanStart(const wire::TaskStart& start,
                        const TaskKey& key,
                        std::uint32_t planned) const {
  if (this->Task(key).state != JobTaskState::kWaiting)
    return false;
  const JobWorker* worker = this->FindWorker(start.agent());
  if (worker == nullptr || worker->lost || worker->description.draining() ||
      worker->description.born_ms() != start.born_ms())
    return false;
  const wire::JobStep& step = this->Step(key.step);
  if (step.spread_limit() > 0 &&
      CountRuns(*worker, key.step) + planned >= step.spread_limit())
    return false;
  const wire::JobWorkerDescription& size = worker->description;
  const std::uint64_t count = std::uint64_t{planned} + 1;
  const std::uint64_t cpu = step.fills() ? 0 : count * step.cpu_milli();
  const bool fits =
      worker->used_cpu_milli + cpu <= size.cpu_milli() &&
      worker->used_memory_mb + count * step.memory_mb() <= size.memory_mb() &&
      worker->used_accelerators + count * step.accelerators() <=
          size.accelerators();
  return fits || this->mutations.skip_capacity_check;
}

void JobTable::StartRun(const wire::TaskStart& start, const TaskKey& key) {
  Job& job = *this->MutableJob(key.step.sequence);
  JobTask& task = this->MutableTask(key);
  JobWorker& worker = this->worker_table.at(start.agent());
  task.state = JobTaskState::kAssigned;
  task.run = start.run();
  task.agent = start.agent();
  worker.runs.insert(key);
  const wire::JobStep& step = this->Step(key.step);
  this->UpdateUsage(worker, step, true);
  JobOccurrence& occurrence = job.occurrences.at(key.step.occurrence);
  StepState& state = occurrence.steps[key.step.step];
  state.waiting -= 1;
  state.highest_run = std::max(state.highest_run, start.run());
  const auto work_class = static_cast<std::size_t>(WorkClassOf(step));
  occurrence.waiting[work_class] -= WorkOfTask(step);
  occurrence.running[work_class] += WorkOfTask(step);
  job.assigned += 1;
  job.state = wire::JOB_STATE_RUNNING;
  this->pending.erase(job.sequence);
  this->UpdateReady(job, key.step);
  this->changed_agents.insert(start.agent());
  this->RecordEvent({.kind = JobEvent::Kind::kStarted,
                     .job = job.spec.id(),
                     .task = TaskNameText(start.task()),
                     .agent = start.agent(),
                     .run = start.run(),
                     .key = key});
}

void JobTable::ApplyEnds(const wire::WorkerEnds& ends) {
  const auto found = this->worker_table.find(ends.agent());
  if (found == this->worker_table.end())
    return;
  JobWorker& worker = found->second;
  if (worker.description.born_ms() != ends.born_ms())
    return;
  for (const wire::TaskEnd& end : ends.ends()) {
    if (end.number() == 0 || end.number() > worker.acknowledged)
      this->ApplyEnd(ends.agent(), end);
  }
  worker.acknowledged = std::max(worker.acknowledged, ends.up_to());
  this->changed_agents.insert(ends.agent());
}

void JobTable::ApplyEnd(const std::string& agent, const wire::TaskEnd& end) {
  const TaskKey key = this->KeyOf(end.task());
  if (key.step.sequence == 0)
    return;
  Job& job = *this->MutableJob(key.step.sequence);
  JobTask& task = this->MutableTask(key);
  const bool lasting = this->Step(key.step).lasting();
  const bool counts = end.how() == wire::RUN_END_FAILED && job.IsOpen();
  if (task.run != end.run() && !this->mutations.ignore_run_numbers) {
    if (counts)
      this->RecordFailure(job, key, end.run());
    return;
  }
  if (!end.checkpoint().empty())
    task.checkpoint = end.checkpoint();
  const bool assigned_here =
      task.state == JobTaskState::kAssigned && task.agent == agent;
  if (assigned_here) {
    this->ReleaseRun(task, key);
    this->RecordEvent({.kind = JobEvent::Kind::kEnded,
                       .job = job.spec.id(),
                       .task = TaskNameText(end.task()),
                       .agent = agent,
                       .run = end.run(),
                       .run_end = end.how(),
                       .key = key,
                       .lasting = lasting,
                       .job_open = job.IsOpen()});
  }
  // The worker has survived the run.
  if (end.how() == wire::RUN_END_FAILED) {
    wire::RecentRun survivor;
    *survivor.mutable_task() = end.task();
    survivor.set_run(end.run());
    this->ClearSuspect(survivor);
  }
  // A finished run counts even after it was released, unless a newer run of the
  // task has started.
  const bool done = end.how() == wire::RUN_END_DONE && !lasting &&
                    task.state == JobTaskState::kWaiting;
  if (done && job.IsOpen())
    this->FinishTask(job, key);
  else
    this->UpdateReady(job, key.step);
  if (counts)
    this->RecordFailure(job, key, end.run());
  this->DropSpecIfIdle(job);
}

void JobTable::RecordFailure(Job& job, const TaskKey& key, std::uint32_t run) {
  const wire::JobStep& step = this->Step(key.step);
  if (step.lasting())
    return;
  StepState& state =
      job.occurrences.at(key.step.occurrence).steps[key.step.step];
  JobTask& task = state.tasks[key.index];
  if (step.gang()) {
    // A gang fails as a whole: one failure per run, for all members.
    if (state.failed_run >= run)
      return;
    state.failed_run = run;
    for (JobTask& member : state.tasks)
      member.failures += 1;
  } else {
    task.failures += 1;
  }
  if (task.failures >= std::max(1U, job.spec.attempts())) {
    this->EndJob(job, wire::JOB_STATE_FAILED,
                 TaskNameText(this->NameOf(key)) + " failed " +
                     std::to_string(task.failures) + " times");
  }
}

void JobTable::FinishTask(Job& job, const TaskKey& key) {
  JobOccurrence& occurrence = job.occurrences.at(key.step.occurrence);
  StepState& state = occurrence.steps[key.step.step];
  const wire::JobStep& step = this->Step(key.step);
  const auto finish = [&](std::uint32_t index) {
    JobTask& task = state.tasks[index];
    if (task.state == JobTaskState::kDone)
      return;
    if (task.state == JobTaskState::kAssigned)
      this->ReleaseRun(task, {.step = key.step, .index = index});
    task.state = JobTaskState::kDone;
    task.checkpoint.clear();
    this->suspect_tasks.erase({.step = key.step, .index = index});
    state.waiting -= 1;
    state.done += 1;
    occurrence.waiting[static_cast<std::size_t>(WorkClassOf(step))] -=
        WorkOfTask(step);
  };
  finish(key.index);
  if (step.gang()) {
    // A gang finishes as a whole: the first member that is done completes all.
    for (std::uint32_t index = 0; index < state.tasks.size(); ++index)
      finish(index);
  }
  job.has_done_tasks = true;
  this->UpdateReady(job, key.step);
  if (state.IsDone())
    this->FinishStep(job, key.step);
}

void JobTable::FinishStep(Job& job, const StepKey& key) {
  JobOccurrence& occurrence = job.occurrences.at(key.occurrence);
  occurrence.done_steps += 1;
  for (const std::uint32_t dependent : job.figures.dependents[key.step]) {
    occurrence.steps[dependent].unmet_dependencies -= 1;
    this->UpdateReady(job, {.sequence = key.sequence,
                            .occurrence = key.occurrence,
                            .step = dependent});
  }
  if (occurrence.IsDone())
    this->CompleteOccurrence(job, key.occurrence);
}

void JobTable::CompleteOccurrence(Job& job, std::uint32_t number) {
  job.occurrences.erase(number);
  this->SetHeldBytes(job, HeldBytesOf(job));
  job.done_occurrences += 1;
  if (job.done_occurrences >= std::max(1U, job.spec.repeat_count()))
    this->EndJob(job, wire::JOB_STATE_COMPLETED, "every task is done");
}

// Returns the task's resources to the worker and marks the task as waiting.
void JobTable::ReleaseRun(JobTask& task, const TaskKey& key) {
  Job& job = *this->MutableJob(key.step.sequence);
  JobWorker& worker = this->worker_table.at(task.agent);
  this->UpdateUsage(worker, this->Step(key.step), false);
  worker.runs.erase(key);
  this->changed_agents.insert(task.agent);
  job.assigned -= 1;
  task.state = JobTaskState::kWaiting;
  JobOccurrence& occurrence = job.occurrences.at(key.step.occurrence);
  occurrence.steps[key.step.step].waiting += 1;
  const wire::JobStep& step = this->Step(key.step);
  const auto work_class = static_cast<std::size_t>(WorkClassOf(step));
  occurrence.running[work_class] -= WorkOfTask(step);
  occurrence.waiting[work_class] += WorkOfTask(step);
}

void JobTable::UpdateUsage(JobWorker& worker,
                           const wire::JobStep& step,
                           bool add) {
  const auto change = [add](std::uint64_t& sum, std::uint64_t amount) {
    sum = add ? sum + amount : sum - amount;
  };
  change(step.fills() ? worker.best_effort_cpu_milli : worker.used_cpu_milli,
         step.cpu_milli());
  change(worker.used_memory_mb, step.memory_mb());
  change(worker.used_accelerators, step.accelerators());
}

// --- Indexes ---

bool JobTable::IsReady(const StepKey& key) const {
  const Job* job = this->FindSequence(key.sequence);
  if (job == nullptr || !job->IsOpen())
    return false;
  const auto found = job->occurrences.find(key.occurrence);
  return found != job->occurrences.end() &&
         key.step < found->second.steps.size() &&
         found->second.steps[key.step].unmet_dependencies == 0;
}

void JobTable::UpdateReady(const Job& job, const StepKey& key) {
  this->checked_steps += 1;
  const auto found = job.occurrences.find(key.occurrence);
  const bool is_ready = found != job.occurrences.end() &&
                        found->second.steps[key.step].waiting > 0 &&
                        this->IsReady(key);
  if (is_ready)
    this->ready.insert(key);
  else
    this->ready.erase(key);
}

void JobTable::UpdateReady(const Job& job, std::uint32_t occurrence) {
  const auto count = static_cast<std::uint32_t>(job.spec.steps_size());
  for (std::uint32_t step = 0; step < count; ++step) {
    this->UpdateReady(
        job,
        {.sequence = job.sequence, .occurrence = occurrence, .step = step});
  }
}

const Job* JobTable::Find(const std::string& id) const {
  const auto found = this->sequence_of_id.find(id);
  return found == this->sequence_of_id.end()
             ? nullptr
             : &this->job_table.at(found->second);
}

const Job* JobTable::FindSequence(std::uint64_t sequence) const {
  const auto found = this->job_table.find(sequence);
  return found == this->job_table.end() ? nullptr : &found->second;
}

Job* JobTable::MutableJob(std::uint64_t sequence) {
  return &this->job_table.at(sequence);
}

const JobWorker* JobTable::FindWorker(const std::string& agent) const {
  const auto found = this->worker_table.find(agent);
  return found == this->worker_table.end() ? nullptr : &found->second;
}

const StepState& JobTable::State(const StepKey& key) const {
  return this->job_table.at(key.sequence)
      .occurrences.at(key.occurrence)
      .steps.at(key.step);
}

const JobTask& JobTable::Task(const TaskKey& key) const {
  return this->State(key.step).tasks.at(key.index);
}

JobTask& JobTable::MutableTask(const TaskKey& key) {
  return this->job_table.at(key.step.sequence)
      .occurrences.at(key.step.occurrence)
      .steps.at(key.step.step)
      .tasks.at(key.index);
}

const wire::JobStep& JobTable::Step(const StepKey& key) const {
  return this->job_table.at(key.sequence)
      .spec.steps(static_cast<int>(key.step));
}

wire::TaskName JobTable::NameOf(const TaskKey& key) const {
  wire::TaskName name;
  name.set_job(this->job_table.at(key.step.sequence).spec.id());
  name.set_occurrence(key.step.occurrence);
  name.set_step(key.step.step);
  name.set_index(key.index);
  return name;
}

TaskKey JobTable::KeyOf(const wire::TaskName& name) const {
  const Job* job = this->Find(name.job());
  if (job == nullptr)
    return {};
  const auto found = job->occurrences.find(name.occurrence());
  const bool known =
      found != job->occurrences.end() &&
      name.step() < found->second.steps.size() &&
      name.index() < found->second.steps[name.step()].tasks.size();
  if (!known)
    return {};
  return {.step = {.sequence = job->sequence,
                   .occurrence = name.occurrence(),
                   .step = name.step()},
          .index = name.index()};
}

std::uint32_t JobTable::CountPending(const std::string& queue) const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(this->pending, [&](std::uint64_t sequence) {
        return this->job_table.at(sequence).spec.queue() == queue;
      }));
}

void JobTable::RecordEvent(JobEvent event) {
  this->AddHistoryEntry(event);
  this->events.push_back(std::move(event));
}

void JobTable::AddHistoryEntry(const JobEvent& event) {
  const auto found = this->sequence_of_id.find(event.job);
  if (found == this->sequence_of_id.end())
    return;
  Job& job = this->job_table.at(found->second);
  if (job.history.size() >= kMaxHistoryEntries) {
    job.history.pop_front();
    job.dropped_history += 1;
  }
  job.history.push_back({.at_ms = this->group_time,
                         .kind = event.kind,
                         .occurrence = event.key.step.occurrence,
                         .step = event.key.step.step,
                         .index = event.key.index,
                         .run = event.run,
                         .run_end = event.run_end,
                         .agent = event.agent});
}

std::vector<JobEvent> JobTable::TakeEvents() {
  return std::exchange(this->events, {});
}

std::set<std::string> JobTable::TakeChangedAgents() {
  return std::exchange(this->changed_agents, {});
}

}  // namespace savoryring
