#include "libjobs/job_memory.h"

#include <algorithm>

namespace savoryring {
namespace {

// Of a node of a map or set, with its allocation.
constexpr std::uint64_t kNodeBytes = 64;
// Names of agents are longer than what a string holds itself.
constexpr std::uint64_t kAgentNameBytes = 48;
constexpr std::uint64_t kPercent = 100;
// While only open jobs hold memory, it may become free at any time.
constexpr std::chrono::seconds kUsualRetry{5};
constexpr std::chrono::seconds kMaxRetry{60};

std::uint64_t SpecBytes(const wire::JobSpec& spec) {
  std::uint64_t bytes = spec.SpaceUsedLong();
  for (const wire::JobStep& step : spec.steps()) {
    bytes +=
        sizeof(std::vector<std::uint32_t>) +
        sizeof(std::uint32_t) * static_cast<std::uint64_t>(step.after_size());
  }
  return bytes;
}

std::uint64_t BytesWithoutOccurrences(const wire::JobSpec& spec,
                                      std::size_t history_entries) {
  return sizeof(Job) + 2 * kNodeBytes + SpecBytes(spec) +
         history_entries * (sizeof(JobHistoryEntry) + kAgentNameBytes);
}

std::uint64_t OccurrenceBytes(std::uint64_t steps, std::uint64_t tasks) {
  return sizeof(JobOccurrence) + kNodeBytes +
         steps * (sizeof(StepState) + sizeof(StepKey) + kNodeBytes) +
         tasks * (sizeof(JobTask) + kAgentNameBytes);
}

}  // namespace

std::uint64_t HeldBytesOf(const Job& job) {
  const bool dropped = !job.IsOpen() && job.assigned == 0;
  const auto steps = static_cast<std::uint64_t>(job.spec.steps_size());
  return BytesWithoutOccurrences(job.spec, dropped ? kMaxHistoryEntriesOfEnded
                                                   : kMaxHistoryEntries) +
         job.occurrences.size() * OccurrenceBytes(steps, job.figures.tasks);
}

std::uint64_t HeldBytesOf(const wire::JobSpec& spec) {
  std::uint64_t tasks = 0;
  for (const wire::JobStep& step : spec.steps())
    tasks += step.count();
  const std::uint64_t occurrences =
      std::clamp<std::uint64_t>(spec.repeat_count(), 1, 2);
  const auto steps = static_cast<std::uint64_t>(spec.steps_size());
  return BytesWithoutOccurrences(spec, kMaxHistoryEntries) +
         occurrences * OccurrenceBytes(steps, tasks);
}

std::optional<JobMemoryShortage> FindJobMemoryShortage(
    const JobMemoryOptions& options,
    const JobMemoryUse& use,
    std::uint64_t needed_bytes) {
  const std::uint64_t queue_limit =
      options.limit_bytes / kPercent * options.queue_percent;
  const bool fits = use.held_bytes + needed_bytes <= options.limit_bytes &&
                    use.queue_held_bytes + needed_bytes <= queue_limit;
  if (fits)
    return std::nullopt;
  const std::chrono::seconds retry =
      use.next_expiry
          ? std::chrono::ceil<std::chrono::seconds>(*use.next_expiry)
          : kUsualRetry;
  return JobMemoryShortage{
      .held_bytes = use.held_bytes,
      .queue_held_bytes = use.queue_held_bytes,
      .retry_after = std::clamp(retry, std::chrono::seconds(1), kMaxRetry)};
}

}  // namespace savoryring
