/// The operators' text: services, batch tasks, monitors, teams, weights.
#ifndef SAVORYRING_ESTATE_H_
#define SAVORYRING_ESTATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "savoryring/time.h"

namespace savoryring {

inline constexpr Milliseconds kDefaultServiceTimeout{1000};
inline constexpr Milliseconds kDefaultTailTarget{100};

struct ServiceSpec {
  std::string name;
  Milliseconds timeout{kDefaultServiceTimeout};  ///< Default of a request.
  Milliseconds tail_target{kDefaultTailTarget};  ///< Wanted 99th percentile.
  std::vector<std::string> depends_on;
};

struct Resources {
  std::uint32_t processors = 0;
  std::uint64_t memory_mb = 0;
  std::uint32_t accelerators = 0;

  bool FitsIn(const Resources& other) const;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  bool operator==(const Resources& other) const = default;
};

/// A batch task, a task class or a monitor.
struct WorkSpec {
  std::string name;
  std::string team;
  Resources resources;
  Milliseconds expected_run{0};  ///< Declared; often far from the truth.
  bool repeatable = true;
  bool urgent = false;
  bool monitor = false;
  std::string command;
  std::vector<std::string> depends_on;
};

/// Where callers hand in jobs of one kind.
struct QueueSpec {
  std::string name;
  std::string host;
  std::string prefix;          ///< Of the path; the job's id follows it.
  std::string service;         ///< Whose workers run the tasks.
  std::uint32_t priority = 0;  ///< 0 comes first.
  std::uint32_t attempts = 1;  ///< Failed runs of a task that fail the job.
  double slack = 1.0;          ///< Wanted time over the longest chain of work.
  Milliseconds latency_target{0};  ///< Added to that.
  Milliseconds timeout{kDefaultServiceTimeout};
};

struct TeamSpec {
  std::string name;
  Resources quota;
};

/// How much the three measures count; they need not sum to one.
struct Weights {
  double tail_latency = 1.0 / 3;
  double throughput = 1.0 / 3;
  double evictions = 1.0 / 3;
};

struct Estate {
  std::vector<ServiceSpec> services;
  std::vector<WorkSpec> tasks;
  std::vector<WorkSpec> task_classes;
  std::vector<WorkSpec> monitors;
  std::vector<TeamSpec> teams;
  std::vector<QueueSpec> queues;
  Weights weights;
};

/// Parses and checks a whole estate text.
/// Throws Error with every problem found; nothing is taken in part.
Estate ParseEstate(std::string_view text);

/// The text's top-level sections in a canonical form, by name. Two texts of
/// the same meaning have equal sections. Throws Error (kMalformedJson).
std::map<std::string, std::string> CanonicalSections(std::string_view text);

/// Lines that say what `after` adds (+), removes (-) and changes (~).
std::vector<std::string> DescribeDifference(const Estate& before,
                                            const Estate& after);

}  // namespace savoryring

#endif  // SAVORYRING_ESTATE_H_
