/// Settings of a savoryringd process, read from a JSON file.
#ifndef SAVORYRING_SETTINGS_H_
#define SAVORYRING_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "savoryring/time.h"

namespace savoryring {

/// Listening addresses of a duty, both "IP:PORT": `http` for clients, `link`
/// for other savoryring processes.
struct DutyAddress {
  std::string http;
  std::string link;
};

struct EndpointSettings {
  DutyAddress address;
  std::string worker_url;  ///< Empty if the VM runs no tasks.
};

struct ControlPeer {
  std::string id;
  std::string link;
};

/// Discovery of control replicas that are not listed in the settings.
struct DiscoverySettings {
  std::vector<std::string> seeds;  ///< HTTP addresses of some replicas.
  std::uint16_t control_port = 0;  ///< Link port of every replica.
  bool bootstrap = false;          ///< Whether replicas may form a new group.
};

/// Addresses used between this process and the platform it runs on; empty where
/// there is no such connection.
struct PlatformSettings {
  std::string callers;  ///< Listens for job calls.
  std::string ready;    ///< Listens for the load balancer's checks.
  std::string control;  ///< Listens for operators, or for the agent's worker.
  std::string worker;   ///< Address of the agent's worker.
};

struct TimingSettings {
  Milliseconds heartbeat{500};  ///< From endpoints to controls and entries.
  Milliseconds worker_lease{3000};
  Milliseconds election{400};  ///< Minimum election timeout of a replica.
  Milliseconds replica_heartbeat{80};
  Milliseconds drain{10000};  ///< Time limit of a graceful shutdown.
  /// Time that listeners stay open after /readyz starts to fail, so that the
  /// load balancer notices.
  Milliseconds balancer_notice{500};
  /// Time an attempt may stay unacknowledged before its connection is replaced.
  Milliseconds acknowledge{150};
  /// Time a worker keeps running without contact to the leader.
  Milliseconds agent_lease{6000};
  /// Time a worker keeps running without contact to its agent.
  Milliseconds worker_hold{4000};
};

struct LimitSettings {
  std::uint64_t body_bytes = 1U << 20U;
  /// The log is compacted into a snapshot at this number of entries, or at
  /// this size.
  std::uint64_t snapshot_after_entries = 4000;
  std::uint64_t snapshot_after_bytes = 8U << 20U;
  std::uint32_t queue_per_slot = 2;
  std::uint32_t connections = 1024;  ///< Of HTTP clients, of all listeners.
  /// Memory for the request bodies of all listeners.
  std::uint64_t body_memory_bytes = 32U << 20U;
  /// Memory of one connection. A half holds what arrives, the other half 64
  /// bytes for each header: enough for 16,384 bytes in lines of 20 bytes.
  std::uint64_t header_bytes = 112U << 10U;
  Milliseconds idle{15'000};   ///< A connection without any byte is closed.
  Milliseconds receive{5000};  ///< From the first line to the last header.
  std::uint32_t job_tasks = 10'000;  ///< Of all steps of a job together.
  std::uint32_t memory_mb = 256;     ///< That the process may use.

  /// Of all accepted jobs. A snapshot takes about twice as much again while it
  /// is written.
  std::uint64_t JobMemoryBytes() const {
    constexpr std::uint64_t kJobShare = 4;
    return (std::uint64_t{this->memory_mb} << 20U) / kJobShare;
  }
};

/// Optional parts of job scheduling; see docs/OPERATIONS.md.
struct SchedulingSettings {
  bool admission = false;           ///< Refuse jobs that would end too late.
  bool preemption = false;          ///< Urgent tasks take the room of others.
  bool coupling_estimates = false;  ///< Estimate unmeasured interference.
  bool worker_speeds = false;       ///< Learn the speed of each worker.
};

struct LogSettings {
  std::string level = "info";
  std::string file;  ///< Empty: standard error; "-": standard output.
  std::string format = "text";  ///< "text", or "json": one object per line.
};

struct Settings {
  std::string id;
  std::string availability_zone;
  std::string rack;
  std::string data_folder;
  std::optional<DutyAddress> entry;
  std::optional<DutyAddress> control;
  std::optional<EndpointSettings> endpoint;
  std::string gateway_link;  ///< Set if the process has the gateway duty.
  std::string agent_link;    ///< Set if the process has the agent duty.
  std::optional<DiscoverySettings> discovery;
  std::optional<PlatformSettings> platform;
  std::vector<std::string> entries;
  std::vector<ControlPeer> controls;
  TimingSettings timing;
  LimitSettings limits;
  SchedulingSettings scheduling;
  /// Zones that operators may evacuate. Empty: evacuation is off.
  std::vector<std::string> availability_zones;
  LogSettings log;
  std::string trace_file;    ///< Empty: tracing is off.
  std::string metrics_http;  ///< Empty: no separate metrics listener.
};

/// Parses and validates a settings file. Throws Error with all problems found.
Settings ParseSettings(std::string_view text);

/// Link addresses of the listed controls and, with discovery, those derived
/// from the seeds and the control port.
std::vector<std::string> ControlLinksOf(const Settings& settings);

/// Reads a whole file. Throws Error (kUnreadableFile).
std::string ReadFile(const std::string& path);

}  // namespace savoryring

#endif  // SAVORYRING_SETTINGS_H_
