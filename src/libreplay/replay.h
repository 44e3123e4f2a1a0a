/// Replays a trace through the placement cores and scores the outcome in the
/// three measures: tail latency, throughput and evictions.
#ifndef SAVORYRING_LIBREPLAY_REPLAY_H_
#define SAVORYRING_LIBREPLAY_REPLAY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libplacement/scheduler.h"
#include "libreplay/trace.h"

namespace savoryring {

struct ReplayReport {
  double late_share = 0;        ///< Samples of services over their target.
  double worst_tail_ratio = 0;  ///< 99th percentile of tail over target.
  double throughput = 0;        ///< Finished part of the batch work, 0 to 1.
  std::uint64_t evictions = 0;
  std::uint64_t throttles = 0;
  std::uint64_t tasks = 0;
  std::uint64_t finished = 0;
  std::uint64_t parked = 0;
  std::uint64_t outcome_unknown = 0;
  std::uint64_t quarantined = 0;
  Milliseconds longest_urgent_wait{0};
  bool capacity_kept = true;
  bool one_place_kept = true;
  double cost = 0;  ///< Weighted by the trace's weights; lower is better.
  std::vector<std::string> session;  ///< One line for each decision applied.
};

/// A named way to schedule; the first is the system's own, the others are
/// baselines and ablations.
struct ReplayPolicy {
  std::string_view name;
  SchedulerOptions options;
  bool baseline = false;
};

std::vector<ReplayPolicy> ReplayPolicies();

/// Deterministic: the same trace and options give the same report.
ReplayReport RunReplay(const Trace& trace, const SchedulerOptions& options);

}  // namespace savoryring

#endif  // SAVORYRING_LIBREPLAY_REPLAY_H_
