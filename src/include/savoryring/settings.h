/// Settings of one daemon process, read from a JSON file.
#ifndef SAVORYRING_SETTINGS_H_
#define SAVORYRING_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "savoryring/time.h"

namespace savoryring {

/// Where a duty listens: `http` for people and programs, `link` for other
/// savoryring processes; both are "IP:PORT".
struct DutyAddress {
  std::string http;
  std::string link;
};

struct EndpointSettings {
  DutyAddress address;
  std::string worker_url;  ///< Empty where the VM runs no tasks.
};

struct ControlPeer {
  std::string id;
  std::string link;
};

/// How controls are found where nobody lists them all.
struct DiscoverySettings {
  std::vector<std::string> seeds;  ///< HTTP addresses of some controls.
  std::uint16_t control_port = 0;  ///< Link port, the same on every control.
  bool bootstrap =
      false;  ///< Whether the whole system starts for the first time.
};

/// Addresses where the platform and its callers reach this process, and where
/// this process reaches the platform; empty where they do not.
struct PlatformSettings {
  std::string callers;  ///< Job calls.
  std::string ready;    ///< The balancer's question.
  std::string control;  ///< Operators, or the worker beside an agent.
  std::string worker;   ///< The worker beside an agent.
};

struct TimingSettings {
  Milliseconds heartbeat{500};  ///< Endpoint process to control and entries.
  Milliseconds worker_lease{3000};
  Milliseconds election{400};  ///< Least election timeout of a replica.
  Milliseconds replica_heartbeat{80};
  Milliseconds drain{10000};          ///< Longest wait of a graceful shutdown.
  Milliseconds balancer_notice{500};  ///< Listener stays open this long.
  Milliseconds acknowledge{150};      ///< Wait before a connection is replaced.
  Milliseconds agent_lease{6000};     ///< A worker runs on without its leader.
  Milliseconds worker_hold{4000};     ///< A worker runs on without its agent.
};

struct LimitSettings {
  std::uint64_t body_bytes = 1U << 20U;
  std::uint64_t snapshot_after_entries = 4000;
  std::uint32_t queue_per_slot = 2;
};

struct LogSettings {
  std::string level = "info";
  std::string file;  ///< Empty: standard error; "-": standard output.
  std::string format = "text";  ///< "text", or "json": one object a line.
};

struct Settings {
  std::string id;
  std::string availability_zone;
  std::string rack;
  std::string data_folder;
  std::optional<DutyAddress> entry;
  std::optional<DutyAddress> control;
  std::optional<EndpointSettings> endpoint;
  std::string gateway_link;  ///< Set where the process takes job calls.
  std::string agent_link;    ///< Set where the process runs jobs' tasks.
  std::optional<DiscoverySettings> discovery;
  std::optional<PlatformSettings> platform;
  std::vector<std::string> entries;
  std::vector<ControlPeer> controls;
  TimingSettings timing;
  LimitSettings limits;
  LogSettings log;
  std::string trace_file;    ///< Empty: spans are not written.
  std::string metrics_http;  ///< Empty: no address for metrics alone.
};

/// Parses and checks a whole settings text.
/// Throws Error with every problem found.
Settings ParseSettings(std::string_view text);

/// Links of the controls that the settings name: listed ones or seeds.
std::vector<std::string> ControlLinksOf(const Settings& settings);

/// Reads a whole file. Throws Error (kUnreadableFile).
std::string ReadFile(const std::string& path);

}  // namespace savoryring

#endif  // SAVORYRING_SETTINGS_H_
