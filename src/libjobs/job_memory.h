/// What accepted jobs hold in memory, and whether there is room for another.
#ifndef SAVORYRING_LIBJOBS_JOB_MEMORY_H_
#define SAVORYRING_LIBJOBS_JOB_MEMORY_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "libjobs/job_table.h"

namespace savoryring {

/// Maximum number of history entries of a job; covers a task over several
/// attempts.
inline constexpr std::size_t kMaxHistoryEntries = 24;
/// The same once the job has ended and none of its tasks runs.
inline constexpr std::size_t kMaxHistoryEntriesOfEnded = 6;

/// Estimated memory of the job in the table. Linear in its steps and open
/// occurrences.
std::uint64_t HeldBytesOf(const Job& job);
/// The same for a job that arrives, with its first occurrence open; with the
/// second one if it is repeated.
std::uint64_t HeldBytesOf(const wire::JobSpec& spec);

struct JobMemoryOptions {
  /// Of all jobs that are open, or whose outcome is kept. A snapshot takes
  /// about twice as much again while it is written.
  std::uint64_t limit_bytes = 64U << 20U;
  /// Most of it that the jobs of one queue may hold, so that others have room.
  std::uint64_t queue_percent = 75;
};

/// Why a job finds no memory, and when it should come back.
struct JobMemoryShortage {
  std::uint64_t held_bytes = 0;
  std::uint64_t queue_held_bytes = 0;
  std::chrono::seconds retry_after{1};
};

/// What is held, with the jobs that are proposed and not yet applied.
struct JobMemoryUse {
  std::uint64_t held_bytes = 0;
  std::uint64_t queue_held_bytes = 0;
  /// Until the next ended job is forgotten; unset: none has ended.
  std::optional<Milliseconds> next_expiry;
};

/// Deterministic core. Load: callers whose accepted jobs would fill the memory
/// of every control. Returns nothing if there is room.
std::optional<JobMemoryShortage> FindJobMemoryShortage(
    const JobMemoryOptions& options,
    const JobMemoryUse& use,
    std::uint64_t needed_bytes);

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_JOB_MEMORY_H_
