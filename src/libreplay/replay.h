/// Simulates a recorded trace against the task scheduler and scores the outcome
/// by tail latency, throughput and evictions.
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
  double late_share = 0;        ///< Share of latency samples over the target.
  double worst_tail_ratio = 0;  ///< 99th percentile of latency / target.
  double throughput = 0;        ///< Batch work done / submitted, 0 to 1.
  std::uint64_t evictions = 0;
  std::uint64_t throttles = 0;
  std::uint64_t tasks = 0;
  std::uint64_t finished = 0;
  std::uint64_t parked = 0;
  std::uint64_t outcome_unknown = 0;
  std::uint64_t quarantined = 0;
  Milliseconds longest_urgent_wait{0};
  bool capacity_kept = true;   ///< No worker held more than its capacity.
  bool one_place_kept = true;  ///< No task ran on two workers at once.
  double cost = 0;  ///< Sum weighted as the trace says; lower is better.
  std::vector<std::string> session;  ///< One line for each scheduling decision.
};

/// A named set of scheduler options. The first of ReplayPolicies() is the
/// default scheduler; the others are baselines and ablations of it.
struct ReplayPolicy {
  std::string_view name;
  SchedulerOptions options;
  bool baseline = false;  ///< A simple policy to compare with.
};

std::vector<ReplayPolicy> ReplayPolicies();

/// Deterministic: the same trace and options give the same report.
ReplayReport RunReplay(const Trace& trace, const SchedulerOptions& options);

}  // namespace savoryring

#endif  // SAVORYRING_LIBREPLAY_REPLAY_H_
