// Checks over time that lasting tasks run.

#include <algorithm>

#include "libjobs/job_table.h"
#include "testsuite/schedule/job_ledger.h"
#include "testsuite/schedule/ledger.h"

namespace savoryring {
namespace {

// The users ask that a lasting task runs again within these times.
constexpr Milliseconds kMaxWithoutRun{3000};
constexpr Milliseconds kCalmBefore{4000};
constexpr Milliseconds kRestartTime{6000};
// They ask for it where there is capacity twice over.
constexpr std::size_t kMinWorkersWithRoom = 2;

std::string TaskText(const std::string& job, int step, std::uint32_t index) {
  return job + ".0." + std::to_string(step) + "." + std::to_string(index);
}

}  // namespace

void JobLedger::OnFault(TimePoint until) {
  this->calm_since = std::max(this->calm_since, until);
}

void JobLedger::CheckLastingTasks(TimePoint now) {
  for (const auto& [id, job] : this->known_jobs) {
    const bool expected =
        job.accepted && !job.cancel_sent && !this->MayBeGivenUp(job);
    for (int step = 0; expected && step < job.spec.steps_size(); ++step) {
      if (job.spec.steps(step).lasting())
        this->CheckLastingStep(job, step, now);
    }
  }
  for (auto& [name, incarnation] : this->incarnations)
    incarnation.peak_used = incarnation.used;
}

void JobLedger::CheckLastingStep(const KnownJob& job, int step, TimePoint now) {
  const auto workers = this->WorkersWithRoom(job, step, now);
  const bool could_run = now >= this->calm_since + kCalmBefore &&
                         workers.size() >= kMinWorkersWithRoom;
  for (std::uint32_t index = 0; index < job.spec.steps(step).count(); ++index) {
    const std::string task = TaskText(job.spec.id(), step, index);
    const auto ended = this->last_ends.find(task);
    const bool restarting =
        ended != this->last_ends.end() && now < ended->second + kRestartTime;
    if (!could_run || restarting || this->running_on.contains(task)) {
      this->owed_since.erase(task);
      continue;
    }
    const TimePoint owed = this->owed_since.emplace(task, now).first->second;
    if (now <= owed + kMaxWithoutRun)
      continue;
    const TimePoint without_run =
        ended == this->last_ends.end() ? job.accepted_at : ended->second;
    std::string text = "lost: " + task + " is to last and does not run since " +
                       std::to_string(ToMilliseconds(without_run)) + ", now " +
                       std::to_string(ToMilliseconds(now)) + ", with room on";
    for (const std::string& worker : workers)
      text += " " + worker;
    throw Violation(text);
  }
}

std::vector<std::string> JobLedger::WorkersWithRoom(const KnownJob& job,
                                                    int step_number,
                                                    TimePoint now) const {
  const wire::JobStep& step = job.spec.steps(step_number);
  const std::string step_name =
      job.spec.id() + ".0." + std::to_string(step_number);
  std::vector<std::string> workers;
  for (const auto& [name, incarnation] : this->incarnations) {
    const auto runs = incarnation.runs_of_step.find(step_name);
    const bool spread_reached = step.spread_limit() > 0 &&
                                runs != incarnation.runs_of_step.end() &&
                                runs->second >= step.spread_limit();
    const WorkerCapacity& used = incarnation.peak_used;
    const bool has_room =
        !incarnation.draining && !spread_reached &&
        !this->unusable_zones.contains(incarnation.zone) &&
        now >= incarnation.sound_since + kCalmBefore &&
        used.cpu_milli + step.cpu_milli() <= incarnation.capacity.cpu_milli &&
        used.memory_mb + step.memory_mb() <= incarnation.capacity.memory_mb;
    if (has_room)
      workers.push_back(name);
  }
  return workers;
}

}  // namespace savoryring
