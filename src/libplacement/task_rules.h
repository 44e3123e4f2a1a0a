/// Functions of a task's record or specification alone.
#ifndef SAVORYRING_LIBPLACEMENT_TASK_RULES_H_
#define SAVORYRING_LIBPLACEMENT_TASK_RULES_H_

#include <cstdint>
#include <string>

#include "libplacement/placement.pb.h"
#include "savoryring/estate.h"

namespace savoryring {

/// Number of distinct workers on which a task must fail before it is parked.
inline constexpr int kMaxFailedWorkers = 3;

/// Losses in a row from which a task is suspected of taking its workers down.
/// After a single loss, as of a rack or a zone, tasks are placed at once.
inline constexpr std::uint32_t kMinLossesOfSuspect = 2;

/// Sort key of pending tasks: urgent tasks first, then by sequence.
struct PendingKey {
  bool not_urgent = false;
  std::uint64_t sequence = 0;
  std::string task;

  auto operator<=>(const PendingKey& other) const = default;
};

/// Whether the task is finished, cancelled or of unknown outcome. It does not
/// run again unless a late report, an operator or a new estate revision resumes
/// it.
bool IsEnded(wire::TaskState state);
/// Whether the task holds resources on a worker.
bool HoldsWorker(wire::TaskState state);
/// Whether the report says how a run of unknown outcome has ended.
bool IsLateReport(const wire::TaskRecord& task, const wire::TaskReport& report);
Resources ResourcesOf(const wire::TaskSpec& spec);
wire::TaskSpec ToTaskSpec(const WorkSpec& spec);
std::string NameOf(wire::TaskState state);

/// Whether the task may safely run again from its beginning. Monitors always
/// may.
bool IsRepeatable(const wire::TaskSpec& spec);
/// Whether the task is cancelled, rather than resumed, after a stop for this
/// cause.
bool IsFinalStop(wire::StopCause cause);
/// Whether workers that ran the task were lost repeatedly without progress of
/// the task.
bool IsSuspect(const wire::TaskRecord& task);
bool SameSpec(const wire::TaskSpec& a, const wire::TaskSpec& b);
/// Whether a running task must be restarted to change from specification `a` to
/// `b`. Other changes are applied in place.
bool NeedsRestart(const wire::TaskSpec& a, const wire::TaskSpec& b);
std::string NameOfStopCause(wire::StopCause cause);
PendingKey PendingKeyOf(const wire::TaskRecord& task);

}  // namespace savoryring

#endif  // SAVORYRING_LIBPLACEMENT_TASK_RULES_H_
