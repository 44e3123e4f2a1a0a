/// Decides which lasting tasks leave the evacuated zones, and when.
///
/// Load: an operator evacuates and returns zones at any time, while workers of
/// any zone are lost, restart or have no room. Every decision sees all tasks of
/// a step, so that losses of other causes count against its disruption budget.
/// Deterministic: reads no clock.
#ifndef SAVORYRING_LIBJOBS_ZONE_EVACUATION_H_
#define SAVORYRING_LIBJOBS_ZONE_EVACUATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libjobs/job_table.h"
#include "savoryring/time.h"

namespace savoryring {

/// Where a task of a lasting step stands.
enum class LastingTaskPlace {
  kStays,     ///< Available outside of the evacuated zones.
  kMustMove,  ///< Available in an evacuated zone.
  kMoving,    ///< On its way out of an evacuated zone, or perhaps so.
  kAway       ///< Not available for another reason.
};

/// Returns the index of the task that is to be moved now, if any. Tasks are
/// moved one at a time, and only while fewer tasks than `disruption_budget` are
/// away for other reasons; a budget of 0 counts as 1.
std::optional<std::uint32_t> NextTaskToMove(
    const std::vector<LastingTaskPlace>& tasks,
    std::uint32_t disruption_budget);

/// The evacuated zones, and the rooms promised to tasks that leave them.
class ZoneEvacuation {
 public:
  /// A room that no other task gets until the task has been placed there.
  struct Promise {
    std::string agent;
    TimePoint deadline;
  };

  void SetZones(std::set<std::string> zones) {
    this->evacuated = std::move(zones);
  }
  const std::set<std::string>& zones() const { return this->evacuated; }
  bool Contains(const std::string& zone) const {
    return this->evacuated.contains(zone);
  }

  void AddPromise(const TaskKey& task,
                  const std::string& agent,
                  TimePoint deadline) {
    this->promised[task] = {.agent = agent, .deadline = deadline};
  }
  bool HasPromise(const TaskKey& task) const {
    return this->promised.contains(task);
  }
  void DropPromise(const TaskKey& task) { this->promised.erase(task); }
  /// Drops the promises that are kept, too old, or of no use any more.
  void DropPromisesIf(
      const std::function<bool(const TaskKey&, const Promise&)>& is_obsolete);
  const std::map<TaskKey, Promise>& promises() const { return this->promised; }

 private:
  std::set<std::string> evacuated;
  std::map<TaskKey, Promise> promised;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_ZONE_EVACUATION_H_
