#include "libjobs/straggler_policy.h"

#include <algorithm>

namespace savoryring {

double StayMs(const StragglerOutlook& outlook,
              const StragglerOptions& options) {
  const double slow_left_ms = std::max(
      options.min_slow_left_ms, options.slow_phase_ms - outlook.slow_for_ms);
  const double done_while_slow_ms = slow_left_ms * outlook.speed;
  if (outlook.left_ms <= done_while_slow_ms)
    return outlook.left_ms / outlook.speed;
  return slow_left_ms + outlook.left_ms - done_while_slow_ms;
}

std::optional<double> MoveGainMs(const StragglerOutlook& outlook,
                                 double other_speed,
                                 const StragglerOptions& options) {
  const double stay_ms = StayMs(outlook, options);
  const double move_ms = options.move_ms +
                         (outlook.restores ? options.restore_ms : 0) +
                         (outlook.left_ms + outlook.lost_ms) / other_speed;
  const double gain_ms = stay_ms - std::max(move_ms, outlook.rest_of_step_ms);
  if (move_ms > stay_ms * options.max_time_fraction ||
      gain_ms < options.min_gain_ms)
    return std::nullopt;
  return gain_ms;
}

}  // namespace savoryring
