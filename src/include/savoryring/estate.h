/// The estate: the operators' declaration of services, batch tasks, monitors,
/// teams, queues and weights.
#ifndef SAVORYRING_ESTATE_H_
#define SAVORYRING_ESTATE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "savoryring/time.h"

namespace savoryring {

inline constexpr Milliseconds kDefaultServiceTimeout{1000};
inline constexpr Milliseconds kDefaultTailTarget{100};

struct ServiceSpec {
  std::string name;
  Milliseconds timeout{kDefaultServiceTimeout};  ///< Default request timeout.
  Milliseconds tail_target{kDefaultTailTarget};  ///< Target 99th percentile.
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

/// Declaration of a batch task, a task class or a monitor.
struct WorkSpec {
  std::string name;
  std::string team;
  Resources resources;
  Milliseconds expected_run{0};  ///< Declared estimate, often far off.
  bool repeatable = true;
  bool urgent = false;
  bool monitor = false;
  std::string command;
  std::vector<std::string> depends_on;
};

/// A job queue, addressed by callers by host and path prefix.
struct QueueSpec {
  std::string name;
  std::string host;
  std::string prefix;          ///< URL path before the job id.
  std::string service;         ///< Its workers run the tasks.
  std::uint32_t priority = 0;  ///< 0 is the highest priority.
  std::uint32_t attempts = 1;  ///< Failed runs of a task before the job fails.
  double slack = 1.0;          ///< Factor of the critical path, see below.
  /// The target latency of a job is its critical path * `slack` plus this.
  Milliseconds latency_target{0};
  Milliseconds timeout{kDefaultServiceTimeout};
};

/// Finds a queue without a look at all of them.
class QueueIndex {
 public:
  void Add(const QueueSpec& queue, std::size_t position);

  /// Position of the queue of the host with the longest prefix of `path`.
  std::optional<std::size_t> Find(const std::string& host,
                                  const std::string& path) const;
  /// Position of the first queue with this name.
  std::optional<std::size_t> FindByName(const std::string& name) const;

 private:
  struct HostQueues {
    std::unordered_map<std::string, std::size_t> by_prefix;
    std::set<std::size_t, std::greater<>> prefix_sizes;
  };
  std::unordered_map<std::string, HostQueues> by_host;
  std::unordered_map<std::string, std::size_t> by_name;
};

struct TeamSpec {
  std::string name;
  Resources quota;
};

/// Weights of the three terms of the scheduling cost; they need not sum to one.
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
  QueueIndex queue_index;  ///< Of `queues`; made by IndexQueues().

  void IndexQueues();
};

/// Parses and validates an estate file. Throws Error with all problems found;
/// an estate with any problem is rejected as a whole.
Estate ParseEstate(std::string_view text);

/// An estate text that has been parsed and validated.
struct ParsedEstate {
  Estate estate;
  std::map<std::string, std::string> sections;  ///< See CanonicalSections.
};

/// Does both ParseEstate and CanonicalSections. Throws Error as ParseEstate.
ParsedEstate ParseEstateAndSections(std::string_view text);

/// The top-level sections of an estate file by name, in canonical form: texts
/// that differ only in formatting or key order have equal sections. Throws
/// Error (kMalformedJson).
std::map<std::string, std::string> CanonicalSections(std::string_view text);

enum class DifferenceDetail { kItems, kFields };

/// One line for each item that `after` adds (+), removes (-) or changes (~).
/// With kFields, the line of a changed item is followed by an indented one for
/// each of its fields that differs.
std::vector<std::string> DescribeDifference(
    const Estate& before,
    const Estate& after,
    DifferenceDetail detail = DifferenceDetail::kItems);

}  // namespace savoryring

#endif  // SAVORYRING_ESTATE_H_
