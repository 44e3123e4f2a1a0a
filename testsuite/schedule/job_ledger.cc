#include "testsuite/schedule/job_ledger.h"

#include <algorithm>

#include "libjobs/job_table.h"
#include "testsuite/schedule/ledger.h"

namespace savoryring {
namespace {

std::string StepName(const wire::TaskName& task) {
  return task.job() + "." + std::to_string(task.occurrence()) + "." +
         std::to_string(task.step());
}

// Nothing may begin in an evacuated zone later than this after the
// acknowledgement.
constexpr Milliseconds kMaxEvacuationTime{5000};
// The users' limits on a task that crashes its workers: when its job may be
// given up, and how often it may be started after three crashes.
constexpr std::uint32_t kCrashesToGiveUp = 2;
constexpr std::uint32_t kCrashesThatCount = 3;
constexpr std::uint32_t kMaxStartsAfterCrashes = 2;

std::string TaskText(const std::string& job,
                     std::uint32_t occurrence,
                     std::uint32_t step,
                     std::uint32_t index) {
  wire::TaskName name;
  name.set_job(job);
  name.set_occurrence(occurrence);
  name.set_step(step);
  name.set_index(index);
  return TaskNameText(name);
}

}  // namespace

// --- Clients ---

void JobLedger::OnSent(const wire::JobSpec& spec) {
  KnownJob& job = this->known_jobs[spec.id()];
  job.spec = spec;
  job.sent += 1;
}

void JobLedger::OnAccepted(const std::string& id, TimePoint now) {
  KnownJob& job = this->known_jobs.at(id);
  if (!job.accepted)
    job.accepted_at = now;
  job.accepted = true;
}

void JobLedger::OnRefused(const std::string& id) {
  KnownJob& job = this->known_jobs.at(id);
  job.refused += 1;
  if (job.started && job.refused == job.sent)
    throw Violation("refused: " + id + " has run");
}

void JobLedger::OnCancelSent(const std::string& job) {
  this->known_jobs.at(job).cancel_sent = true;
}

void JobLedger::OnCancelled(const std::string& job) {
  this->known_jobs.at(job).cancelled = true;
}

void JobLedger::OnStateShown(const std::string& id, const std::string& state) {
  const KnownJob& job = this->known_jobs.at(id);
  if (state == "completed" && !this->IsAllDone(job))
    throw Violation("shown: " + id + " is not completed");
  if (state == "failed" && !this->HasFailed(job))
    throw Violation("shown: " + id + " has not failed");
  if (state == "cancelled" && !job.cancel_sent)
    throw Violation("shown: nobody cancelled " + id);
}

// --- Workers ---

void JobLedger::OnRunChange(const std::string& incarnation_name,
                            const WorkerCapacity& capacity,
                            const ModelRunChange& change,
                            TimePoint now) {
  Incarnation& incarnation = this->incarnations[incarnation_name];
  if (change.started)
    this->OnRunStarted(incarnation, incarnation_name, capacity, change, now);
  else
    this->OnRunEnded(incarnation, change, now);
}

void JobLedger::OnRunStarted(Incarnation& incarnation,
                             const std::string& incarnation_name,
                             const WorkerCapacity& capacity,
                             const ModelRunChange& change,
                             TimePoint now) {
  this->starts += 1;
  const std::string task = TaskNameText(change.task);
  const auto evacuated = this->evacuated_since.find(incarnation.zone);
  if (evacuated != this->evacuated_since.end() &&
      now > evacuated->second + kMaxEvacuationTime) {
    throw Violation("evacuated: " + task + " starts on " + incarnation_name +
                    " in zone " + incarnation.zone + ", evacuated since " +
                    std::to_string(ToMilliseconds(evacuated->second)));
  }
  const auto found = this->known_jobs.find(change.task.job());
  if (found == this->known_jobs.end())
    throw Violation("unasked: " + task);
  KnownJob& job = found->second;
  job.started = true;
  const auto [existing, is_new] =
      this->running_on.emplace(task, incarnation_name);
  if (!is_new) {
    throw Violation("twice: " + task + " starts on " + incarnation_name +
                    " and runs on " + existing->second);
  }
  incarnation.running.insert(task);
  this->CheckStart(job, change);
  this->CheckCrashes(task);
  const wire::JobStep& step =
      job.spec.steps(static_cast<int>(change.task.step()));
  incarnation.used.cpu_milli += step.cpu_milli();
  incarnation.used.memory_mb += step.memory_mb();
  incarnation.peak_used.cpu_milli =
      std::max(incarnation.peak_used.cpu_milli, incarnation.used.cpu_milli);
  incarnation.peak_used.memory_mb =
      std::max(incarnation.peak_used.memory_mb, incarnation.used.memory_mb);
  if (incarnation.used.cpu_milli > capacity.cpu_milli ||
      incarnation.used.memory_mb > capacity.memory_mb)
    throw Violation("capacity: " + task + " overfills " + incarnation_name);
  const std::uint32_t runs_of_step =
      ++incarnation.runs_of_step[StepName(change.task)];
  if (step.spread_limit() > 0 && runs_of_step > step.spread_limit())
    throw Violation("spread: " + task + " on " + incarnation_name);
}

void JobLedger::CheckStart(const KnownJob& job,
                           const ModelRunChange& change) const {
  const std::string task = TaskNameText(change.task);
  if (job.refused == job.sent)
    throw Violation("refused: " + task + " runs all the same");
  if (this->acknowledged_done.contains(task))
    throw Violation("again: " + task + " starts after its noted end");
  const wire::JobStep& step =
      job.spec.steps(static_cast<int>(change.task.step()));
  for (const std::uint32_t after : step.after()) {
    if (!this->IsStepDone(job, change.task.occurrence(), after))
      throw Violation("order: " + task + " starts too early");
  }
  const auto failures = this->acknowledged_failures.find(task);
  const bool attempts_exhausted =
      failures != this->acknowledged_failures.end() &&
      failures->second >= job.spec.attempts();
  if (attempts_exhausted && !step.lasting())
    throw Violation("attempts: " + task + " starts once more");
}

void JobLedger::CheckCrashes(const std::string& task) {
  const auto found = this->crashes.find(task);
  if (found == this->crashes.end() || found->second < kCrashesThatCount)
    return;
  if (++this->starts_after_crashes[task] > kMaxStartsAfterCrashes) {
    throw Violation("crashes: " + task + " starts again after " +
                    std::to_string(found->second) + " workers have crashed");
  }
}

void JobLedger::OnRunEnded(Incarnation& incarnation,
                           const ModelRunChange& change,
                           TimePoint now) {
  const std::string task = TaskNameText(change.task);
  const KnownJob& job = this->known_jobs.at(change.task.job());
  const wire::JobStep& step =
      job.spec.steps(static_cast<int>(change.task.step()));
  this->running_on.erase(task);
  incarnation.running.erase(task);
  if (step.lasting())
    this->last_ends[task] = now;
  incarnation.used.cpu_milli -= step.cpu_milli();
  incarnation.used.memory_mb -= step.memory_mb();
  incarnation.runs_of_step[StepName(change.task)] -= 1;
  incarnation.ends[change.number] = {.task = task, .how = change.how};
  if (change.how == wire::RUN_END_DONE)
    this->done.insert(task);
  if (change.how == wire::RUN_END_FAILED)
    this->failures[task] += 1;
  if (change.how == wire::RUN_END_LAPSED)
    this->lapsed_runs += 1;
}

void JobLedger::OnEndsAcknowledged(const std::string& incarnation_name,
                                   std::uint64_t up_to) {
  Incarnation& incarnation = this->incarnations[incarnation_name];
  for (; incarnation.acknowledged_up_to < up_to;
       ++incarnation.acknowledged_up_to) {
    const auto found =
        incarnation.ends.find(incarnation.acknowledged_up_to + 1);
    if (found == incarnation.ends.end())
      throw Violation("noted: an end that " + incarnation_name +
                      " never listed");
    const bool is_void = found->first <= incarnation.void_up_to;
    if (found->second.how == wire::RUN_END_DONE && !is_void)
      this->acknowledged_done.insert(found->second.task);
    if (found->second.how == wire::RUN_END_FAILED)
      this->acknowledged_failures[found->second.task] += 1;
  }
}

void JobLedger::OnHoldLapsed(const std::string& incarnation_name) {
  Incarnation& incarnation = this->incarnations[incarnation_name];
  if (!incarnation.ends.empty())
    incarnation.void_up_to = incarnation.ends.rbegin()->first;
}

void JobLedger::OnIncarnationStarted(const std::string& incarnation,
                                     const WorkerCapacity& capacity,
                                     TimePoint now) {
  Incarnation& started = this->incarnations[incarnation];
  started.capacity = capacity;
  started.sound_since = now;
}

void JobLedger::OnCapacity(const std::string& incarnation,
                           const WorkerCapacity& capacity,
                           TimePoint now) {
  Incarnation& changed = this->incarnations[incarnation];
  changed.capacity = capacity;
  changed.sound_since = std::max(changed.sound_since, now);
}

void JobLedger::OnDraining(const std::string& incarnation) {
  this->incarnations[incarnation].draining = true;
}

void JobLedger::OnZone(const std::string& incarnation,
                       const std::string& zone) {
  this->incarnations[incarnation].zone = zone;
}

void JobLedger::OnEvacuationSent(const std::string& zone) {
  this->unusable_zones.insert(zone);
}

void JobLedger::OnZoneEvacuated(const std::string& zone, TimePoint now) {
  this->evacuated_since[zone] = now;
}

void JobLedger::OnZoneReturnSent(const std::string& zone) {
  this->evacuated_since.erase(zone);
}

void JobLedger::OnZoneInUse(const std::string& zone, TimePoint now) {
  this->unusable_zones.erase(zone);
  for (auto& [name, incarnation] : this->incarnations) {
    if (incarnation.zone == zone)
      incarnation.sound_since = std::max(incarnation.sound_since, now);
  }
}

void JobLedger::OnFaulty(const std::string& incarnation, TimePoint until) {
  Incarnation& faulty = this->incarnations[incarnation];
  faulty.sound_since = std::max(faulty.sound_since, until);
}

void JobLedger::OnIncarnationEnded(const std::string& incarnation_name,
                                   TimePoint now) {
  for (const std::string& task : this->incarnations[incarnation_name].running) {
    this->running_on.erase(task);
    this->last_ends[task] = now;
    const std::string& payload =
        this->known_jobs.at(task.substr(0, task.find('.'))).spec.payload();
    const auto index = std::stoul(task.substr(task.find_last_of('.') + 1));
    if (ReadBehaviour(payload).crashing_task == index + 1)
      this->crashes[task] += 1;
  }
  this->incarnations.erase(incarnation_name);
}

// --- Completion ---

bool JobLedger::IsStepDone(const KnownJob& job,
                           std::uint32_t occurrence,
                           std::uint32_t step) const {
  const std::uint32_t count = job.spec.steps(static_cast<int>(step)).count();
  for (std::uint32_t index = 0; index < count; ++index) {
    if (!this->done.contains(TaskText(job.spec.id(), occurrence, step, index)))
      return false;
  }
  return true;
}

bool JobLedger::IsAllDone(const KnownJob& job) const {
  const std::uint32_t occurrences = std::max(1U, job.spec.repeat_count());
  const auto steps = static_cast<std::uint32_t>(job.spec.steps_size());
  for (std::uint32_t number = 0; number < occurrences; ++number) {
    for (std::uint32_t step = 0; step < steps; ++step) {
      if (!this->IsStepDone(job, number, step))
        return false;
    }
  }
  return true;
}

bool JobLedger::MayBeGivenUp(const KnownJob& job) const {
  return std::ranges::any_of(this->crashes, [&job](const auto& item) {
    return item.first.starts_with(job.spec.id() + ".") &&
           item.second >= kCrashesToGiveUp;
  });
}

bool JobLedger::HasFailed(const KnownJob& job) const {
  if (this->MayBeGivenUp(job))
    return true;
  return std::ranges::any_of(this->failures, [&job](const auto& item) {
    return item.first.starts_with(job.spec.id() + ".") &&
           item.second >= job.spec.attempts();
  });
}

void JobLedger::CheckAllDone() const {
  for (const auto& [id, job] : this->known_jobs) {
    if (!job.accepted)
      continue;
    const bool running =
        std::ranges::any_of(this->running_on, [&id = id](const auto& item) {
          return item.first.starts_with(id + ".");
        });
    if (job.cancelled) {
      if (running)
        throw Violation("cancelled: " + id + " runs on");
      continue;
    }
    const wire::JobStep& first = job.spec.steps(0);
    if (job.cancel_sent || this->MayBeGivenUp(job))
      continue;
    if (first.lasting()) {
      for (std::uint32_t index = 0; index < first.count(); ++index) {
        if (!this->running_on.contains(TaskText(id, 0, 0, index)))
          throw Violation("lost: a task of " + id + " does not run");
      }
      continue;
    }
    if (!this->IsAllDone(job) && !this->HasFailed(job))
      throw Violation("lost: " + id + " is not done");
  }
}

}  // namespace savoryring
