/// What follows from a task's record alone.
#ifndef SAVORYRING_LIBPLACEMENT_TASK_RULES_H_
#define SAVORYRING_LIBPLACEMENT_TASK_RULES_H_

#include <cstdint>
#include <string>

#include "libplacement/placement.pb.h"
#include "savoryring/estate.h"

namespace savoryring {

/// Distinct workers on which a task may fail before it is parked.
inline constexpr int kMostFailedWorkers = 3;

/// Order of pending tasks: urgent first, then the older one.
struct PendingKey {
  bool relaxed = false;  ///< False for urgent tasks.
  std::uint64_t sequence = 0;
  std::string task;

  auto operator<=>(const PendingKey& other) const = default;
};

/// Whether the task will never run again.
bool IsEnded(wire::TaskState state);
/// Whether the task holds resources on a worker.
bool HoldsWorker(wire::TaskState state);
/// Whether the report tells how a run ended whose outcome was unknown.
bool IsLateReport(const wire::TaskRecord& task, const wire::TaskReport& report);
Resources ResourcesOf(const wire::TaskSpec& spec);
wire::TaskSpec ToTaskSpec(const WorkSpec& spec);
std::string NameOf(wire::TaskState state);

/// Whether nothing is harmed when the task runs again from its beginning.
bool MayRunTwice(const wire::TaskSpec& spec);
/// Whether a stop for this cause is for good.
bool IsFinalStop(wire::StopCause cause);
bool SameSpec(const wire::TaskSpec& a, const wire::TaskSpec& b);
/// Whether a running task must stop to become the other; what else changed is
/// taken up in place.
bool NeedsRestart(const wire::TaskSpec& a, const wire::TaskSpec& b);
std::string NameOfCause(wire::StopCause cause);
PendingKey PendingKeyOf(const wire::TaskRecord& task);

}  // namespace savoryring

#endif  // SAVORYRING_LIBPLACEMENT_TASK_RULES_H_
