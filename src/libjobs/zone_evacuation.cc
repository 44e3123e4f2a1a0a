#include "libjobs/zone_evacuation.h"

#include <algorithm>

namespace savoryring {

std::optional<std::uint32_t> NextTaskToMove(
    const std::vector<LastingTaskPlace>& tasks,
    std::uint32_t disruption_budget) {
  const auto budget = std::max<std::ptrdiff_t>(1, disruption_budget);
  const bool moving = std::ranges::count(tasks, LastingTaskPlace::kMoving) > 0;
  if (moving || std::ranges::count(tasks, LastingTaskPlace::kAway) >= budget)
    return std::nullopt;
  const auto found = std::ranges::find(tasks, LastingTaskPlace::kMustMove);
  if (found == tasks.end())
    return std::nullopt;
  return static_cast<std::uint32_t>(found - tasks.begin());
}

void ZoneEvacuation::DropPromisesIf(
    const std::function<bool(const TaskKey&, const Promise&)>& is_obsolete) {
  std::erase_if(this->promised, [&is_obsolete](const auto& item) {
    return is_obsolete(item.first, item.second);
  });
}

}  // namespace savoryring
