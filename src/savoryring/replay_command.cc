#include "savoryring/replay_command.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "libreplay/replay.h"
#include "savoryring/result.h"
#include "savoryring/settings.h"

namespace savoryring {
namespace {

using nlohmann::ordered_json;

ordered_json ToJson(const ReplayReport& report) {
  return {{"cost", report.cost},
          {"late_share", report.late_share},
          {"tail_over_target", report.worst_tail_ratio},
          {"throughput", report.throughput},
          {"evictions", report.evictions},
          {"throttles", report.throttles},
          {"tasks", report.tasks},
          {"finished", report.finished},
          {"parked", report.parked},
          {"outcome_unknown", report.outcome_unknown},
          {"quarantined_workers", report.quarantined},
          {"longest_urgent_wait_ms", report.longest_urgent_wait.count()},
          {"capacity_kept", report.capacity_kept},
          {"one_place_kept", report.one_place_kept}};
}

ReplayPolicy FindPolicy(const std::string& name) {
  const std::vector<ReplayPolicy> policies = ReplayPolicies();
  if (name.empty())
    return policies.front();
  const auto found = std::ranges::find(policies, name, &ReplayPolicy::name);
  if (found == policies.end())
    throw Error(ResultCode::kUnknownCommand, "policy " + name);
  return *found;
}

void PrintRow(std::string_view name, const ReplayReport& report) {
  std::cout << std::left << std::setw(24) << name << std::right << std::fixed
            << std::setprecision(4) << std::setw(9) << report.cost
            << std::setw(10) << report.late_share << std::setw(10)
            << report.worst_tail_ratio << std::setw(10) << report.throughput
            << std::setw(7) << report.evictions << std::setw(8)
            << report.longest_urgent_wait.count() << '\n';
}

void PrintComparison(const Trace& trace) {
  std::cout << "policy                       cost      late  p99/tgt   "
               "through  evict  urg_ms\n";
  for (const ReplayPolicy& policy : ReplayPolicies())
    PrintRow(policy.name, RunReplay(trace, policy.options));
}

}  // namespace

void RunReplayCommand(const ReplayCommandOptions& options) {
  const Trace trace = ParseTrace(ReadFile(options.path));
  if (options.all) {
    PrintComparison(trace);
    return;
  }
  const ReplayPolicy policy = FindPolicy(options.policy);
  const ReplayReport report = RunReplay(trace, policy.options);
  if (options.session) {
    for (const std::string& line : report.session)
      std::cout << line << '\n';
  }
  const ordered_json report_json = ToJson(report);
  if (options.json) {
    std::cout << report_json.dump(2) << '\n';
    return;
  }
  for (const auto& item : report_json.items())
    std::cout << std::left << std::setw(24) << item.key() << item.value()
              << '\n';
}

}  // namespace savoryring
