#include "libjobs/job_calls.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <nlohmann/json.hpp>
#include <string_view>

namespace savoryring {
namespace {

// Limit on the tasks of one step; a larger count is taken for a mistake of the
// sender.
constexpr std::uint32_t kMaxTasksPerStep = 100'000;

wire::JobCommand MakeSubmitCommand(const wire::JobCall& call,
                                   const QueueMatch& match) {
  wire::JobCommand command;
  wire::JobSpec& spec = *command.mutable_submit();
  spec = call.submit();
  spec.set_id(match.id);
  ApplyQueueSettings(*match.queue, spec);
  ValidateJob(spec);
  return command;
}

JobAnswer DescribeQueue(const QueueMatch& match,
                        const JobTable& table,
                        const JobScheduler& scheduler) {
  const nlohmann::json body{
      {"pending_jobs", scheduler.CountPending(table, match.queue->name)}};
  return {.status = 200, .body = body.dump()};
}

}  // namespace

QueueMatch FindQueue(const Estate& estate,
                     const std::string& host,
                     const std::string& path) {
  const auto position = estate.queue_index.Find(host, path);
  if (!position)
    throw Error(ResultCode::kUnknownQueue, host + path);
  QueueMatch match{.queue = &estate.queues[*position]};
  match.id = path.substr(match.queue->prefix.size());
  return match;
}

std::variant<wire::JobCommand, JobAnswer> ReadJobCall(
    const wire::JobCall& call,
    const Estate& estate,
    const JobTable& table,
    const JobScheduler& scheduler) {
  const QueueMatch match = FindQueue(estate, call.host(), call.path());
  if (call.has_submit()) {
    if (match.id.empty())
      throw Error(ResultCode::kMalformedJob, "the job has no id");
    return MakeSubmitCommand(call, match);
  }
  if (match.id.empty())
    return DescribeQueue(match, table, scheduler);
  const Job* job = table.Find(match.id);
  if (job == nullptr)
    throw Error(ResultCode::kUnknownJob, match.id);
  if (call.cancel()) {
    wire::JobCommand command;
    command.set_cancel(match.id);
    return command;
  }
  const nlohmann::json body{{"state", JobStateName(job->state)}};
  return JobAnswer{.status = 200, .body = body.dump()};
}

void ApplyQueueSettings(const QueueSpec& queue, wire::JobSpec& spec) {
  constexpr double kPercent = 100;
  spec.set_queue(queue.name);
  spec.set_service(queue.service);
  spec.set_priority(queue.priority);
  spec.set_attempts(queue.attempts);
  spec.set_slack_percent(
      static_cast<std::uint32_t>(std::lround(queue.slack * kPercent)));
  spec.set_latency_target_ms(
      static_cast<std::uint32_t>(queue.latency_target.count()));
}

void ValidateJob(const wire::JobSpec& spec) {
  const auto fail = [](const std::string& reason) {
    throw Error(ResultCode::kMalformedJob, reason);
  };
  if (spec.steps_size() == 0)
    fail("the job has no steps");
  for (int number = 0; number < spec.steps_size(); ++number) {
    const wire::JobStep& step = spec.steps(number);
    if (step.count() == 0 || step.count() > kMaxTasksPerStep)
      fail("step " + std::to_string(number) + " has no valid count");
    for (const std::uint32_t after : step.after()) {
      if (after >= static_cast<std::uint32_t>(number))
        fail("step " + std::to_string(number) + " waits for a later step");
    }
  }
}

void CheckJobTasks(const wire::JobSpec& spec,
                   const JobTable& table,
                   std::uint64_t max_tasks) {
  std::uint64_t tasks = 0;
  for (const wire::JobStep& step : spec.steps())
    tasks += step.count();
  if (tasks > max_tasks && table.Find(spec.id()) == nullptr) {
    throw Error(ResultCode::kMalformedJob,
                "the job has " + std::to_string(tasks) +
                    " tasks; the limit is " + std::to_string(max_tasks));
  }
}

std::string JobStateName(wire::JobState state) {
  switch (state) {
    case wire::JOB_STATE_RUNNING:
      return "running";
    case wire::JOB_STATE_COMPLETED:
      return "completed";
    case wire::JOB_STATE_FAILED:
      return "failed";
    case wire::JOB_STATE_CANCELLED:
      return "cancelled";
    default:
      return "pending";
  }
}

std::string RunEndName(wire::RunEnd run_end) {
  constexpr std::string_view kPrefix = "RUN_END_";
  std::string name = wire::RunEnd_Name(run_end).substr(kPrefix.size());
  std::ranges::transform(name, name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

}  // namespace savoryring
