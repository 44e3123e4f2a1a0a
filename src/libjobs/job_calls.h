/// Callers' job calls: finds the queue that a call addresses and converts the
/// call to a command or an answer. Stateless.
#ifndef SAVORYRING_LIBJOBS_JOB_CALLS_H_
#define SAVORYRING_LIBJOBS_JOB_CALLS_H_

#include <optional>
#include <string>
#include <variant>

#include "libjobs/job_scheduler.h"
#include "libjobs/job_table.h"
#include "savoryring/estate.h"

namespace savoryring {

/// Queue and job that a call addresses.
struct QueueMatch {
  const QueueSpec* queue = nullptr;
  std::string id;  ///< Job id; empty if the call addresses the queue itself.
};

/// Finds the queue of the host with the longest matching prefix. Throws Error
/// (kUnknownQueue).
QueueMatch FindQueue(const Estate& estate,
                     const std::string& host,
                     const std::string& path);

struct JobAnswer {
  int status = 200;
  std::string body;
};

/// Returns a command to commit, or an immediate answer. Throws Error
/// (kUnknownQueue, kUnknownJob, kMalformedJob).
std::variant<wire::JobCommand, JobAnswer> ReadJobCall(
    const wire::JobCall& call,
    const Estate& estate,
    const JobTable& table,
    const JobScheduler& scheduler);

/// Copies the settings of the queue into the job.
void ApplyQueueSettings(const QueueSpec& queue, wire::JobSpec& spec);

/// Throws Error (kMalformedJob) if the steps are missing or invalid.
void ValidateJob(const wire::JobSpec& spec);

/// Throws Error (kMalformedJob) if the steps have more than `max_tasks` tasks
/// together. Applies to new jobs only: one that is in the table was accepted.
void CheckJobTasks(const wire::JobSpec& spec,
                   const JobTable& table,
                   std::uint64_t max_tasks);

/// "pending", "running", "completed", "failed" or "cancelled".
std::string JobStateName(wire::JobState state);

/// "done", "failed", "stopped" and so on.
std::string RunEndName(wire::RunEnd run_end);

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_JOB_CALLS_H_
