#include "savoryring/settings.h"

#include <algorithm>
#include <fstream>
#include <iterator>

#include "libbase/address.h"
#include "libbase/json_checker.h"

namespace savoryring {
namespace {

std::string Address(const ObjectView& view, std::string_view key) {
  std::string text = view.String(key, true);
  if (!text.empty() && !IsAddress(text))
    view.Report(ResultCode::kOutOfRange, key, "expected IP:PORT");
  return text;
}

// The HTTP address is optional for the control duty in a process with
// "platform" settings, as that has its own control address.
DutyAddress ParseDuty(const ObjectView& view, bool needs_http) {
  view.AllowKeys({"http", "link"});
  DutyAddress address{.link = Address(view, "link")};
  if (needs_http || view.Has("http"))
    address.http = Address(view, "http");
  return address;
}

std::string ParseLink(const ObjectView& view) {
  view.AllowKeys({"link"});
  return Address(view, "link");
}

DiscoverySettings ParseDiscovery(const ObjectView& view) {
  view.AllowKeys({"seeds", "control_port", "bootstrap"});
  DiscoverySettings discovery;
  discovery.seeds = view.Strings("seeds");
  for (const std::string& seed : discovery.seeds) {
    if (!IsAddress(seed))
      view.Report(ResultCode::kOutOfRange, "seeds", "expected IP:PORT");
  }
  if (discovery.seeds.empty())
    view.Report(ResultCode::kMissingKey, "seeds", "name at least one seed");
  discovery.control_port = static_cast<std::uint16_t>(
      view.Integer("control_port", 0, {.min = 1, .max = UINT16_MAX}));
  discovery.bootstrap = view.Boolean("bootstrap", false);
  return discovery;
}

PlatformSettings ParsePlatform(const ObjectView& view) {
  view.AllowKeys({"callers", "ready", "control", "worker"});
  const auto optional_address = [&view](std::string_view key) {
    return view.Has(key) ? Address(view, key) : std::string();
  };
  return {.callers = optional_address("callers"),
          .ready = optional_address("ready"),
          .control = optional_address("control"),
          .worker = optional_address("worker")};
}

EndpointSettings ParseEndpoint(const ObjectView& view) {
  view.AllowKeys({"http", "link", "worker_url"});
  EndpointSettings endpoint;
  endpoint.address = {.http = Address(view, "http"),
                      .link = Address(view, "link")};
  endpoint.worker_url = view.String("worker_url", false);
  return endpoint;
}

TimingSettings ParseTiming(const ObjectView& view) {
  view.AllowKeys({"heartbeat_ms", "worker_lease_ms", "election_ms",
                  "replica_heartbeat_ms", "drain_ms", "balancer_notice_ms",
                  "acknowledge_ms", "agent_lease_ms", "worker_hold_ms"});
  TimingSettings timing;
  timing.heartbeat = view.Time("heartbeat_ms", timing.heartbeat);
  timing.worker_lease = view.Time("worker_lease_ms", timing.worker_lease);
  timing.election = view.Time("election_ms", timing.election);
  timing.replica_heartbeat =
      view.Time("replica_heartbeat_ms", timing.replica_heartbeat);
  timing.drain = view.Time("drain_ms", timing.drain);
  timing.balancer_notice =
      view.Time("balancer_notice_ms", timing.balancer_notice);
  timing.acknowledge = view.Time("acknowledge_ms", timing.acknowledge);
  timing.agent_lease = view.Time("agent_lease_ms", timing.agent_lease);
  timing.worker_hold = view.Time("worker_hold_ms", timing.worker_hold);
  if (timing.worker_lease < 3 * timing.heartbeat) {
    view.Report(ResultCode::kOutOfRange, "worker_lease_ms",
                "must be at least three times heartbeat_ms");
  }
  if (timing.election < 3 * timing.replica_heartbeat) {
    view.Report(ResultCode::kOutOfRange, "election_ms",
                "must be at least three times replica_heartbeat_ms");
  }
  return timing;
}

void ParseClientLimits(const ObjectView& view, LimitSettings& limits) {
  // Below the descriptors that a process may have.
  constexpr std::uint64_t kMaxConnections = 16'384;
  constexpr std::uint64_t kMinBodyMemoryBytes = 256U << 10U;
  constexpr std::uint64_t kMaxBodyMemoryBytes = 1U << 30U;
  constexpr std::uint64_t kMinHeaderBytes = 4096;
  constexpr std::uint64_t kMaxHeaderBytes = 1U << 20U;
  limits.connections = static_cast<std::uint32_t>(view.Integer(
      "connections", limits.connections, {.min = 1, .max = kMaxConnections}));
  limits.body_memory_bytes =
      view.Integer("body_memory_bytes",
                   std::max(limits.body_memory_bytes, 2 * limits.body_bytes),
                   {.min = kMinBodyMemoryBytes, .max = kMaxBodyMemoryBytes});
  limits.header_bytes =
      view.Integer("header_bytes", limits.header_bytes,
                   {.min = kMinHeaderBytes, .max = kMaxHeaderBytes});
  limits.idle = view.Time("idle_ms", limits.idle);
  limits.receive = view.Time("receive_ms", limits.receive);
  limits.job_tasks = static_cast<std::uint32_t>(
      view.Integer("job_tasks", limits.job_tasks, {.min = 1}));
  // Leaves room for the largest job.
  constexpr std::uint64_t kMinMemoryMb = 64;
  limits.memory_mb = static_cast<std::uint32_t>(
      view.Integer("memory_mb", limits.memory_mb, {.min = kMinMemoryMb}));
  // A quarter is kept for small bodies.
  if (limits.body_memory_bytes < 2 * limits.body_bytes) {
    view.Report(ResultCode::kOutOfRange, "body_memory_bytes",
                "must be at least twice body_bytes");
  }
}

LimitSettings ParseLimits(const ObjectView& view) {
  view.AllowKeys({"body_bytes", "snapshot_after_entries",
                  "snapshot_after_bytes", "queue_per_slot", "connections",
                  "body_memory_bytes", "header_bytes", "idle_ms", "receive_ms",
                  "job_tasks", "memory_mb"});
  constexpr std::uint64_t kMaxBodyBytes = 64U << 20U;
  LimitSettings limits;
  limits.body_bytes = view.Integer("body_bytes", limits.body_bytes,
                                   {.min = 1, .max = kMaxBodyBytes});
  limits.snapshot_after_entries = view.Integer(
      "snapshot_after_entries", limits.snapshot_after_entries, {.min = 10});
  limits.snapshot_after_bytes = view.Integer(
      "snapshot_after_bytes", limits.snapshot_after_bytes, {.min = 4096});
  limits.queue_per_slot = static_cast<std::uint32_t>(
      view.Integer("queue_per_slot", limits.queue_per_slot, {.max = 1000}));
  ParseClientLimits(view, limits);
  return limits;
}

SchedulingSettings ParseScheduling(const ObjectView& view) {
  view.AllowKeys(
      {"admission", "preemption", "coupling_estimates", "worker_speeds"});
  return {.admission = view.Boolean("admission", false),
          .preemption = view.Boolean("preemption", false),
          .coupling_estimates = view.Boolean("coupling_estimates", false),
          .worker_speeds = view.Boolean("worker_speeds", false)};
}

LogSettings ParseLog(const ObjectView& view) {
  view.AllowKeys({"level", "file", "format"});
  LogSettings log;
  if (view.Has("level"))
    log.level = view.String("level", true);
  if (log.level != "debug" && log.level != "info" && log.level != "warning" &&
      log.level != "error") {
    view.Report(ResultCode::kOutOfRange, "level",
                "must be debug, info, warning or error");
  }
  log.file = view.String("file", false);
  if (view.Has("format"))
    log.format = view.String("format", true);
  if (log.format != "text" && log.format != "json")
    view.Report(ResultCode::kOutOfRange, "format", "must be text or json");
  return log;
}

void ParseDuties(const ObjectView& view, Settings& settings) {
  const std::vector<std::string> duties = view.Strings("duties");
  if (duties.empty())
    view.Report(ResultCode::kMissingKey, "duties", "name at least one duty");
  for (const std::string& duty : duties) {
    if (duty == "entry") {
      settings.entry = ParseDuty(view.Object("entry"), true);
    } else if (duty == "control") {
      settings.control =
          ParseDuty(view.Object("control"), !view.Has("platform"));
    } else if (duty == "endpoint") {
      settings.endpoint = ParseEndpoint(view.Object("endpoint"));
    } else if (duty == "gateway") {
      settings.gateway_link = ParseLink(view.Object("gateway"));
    } else if (duty == "agent") {
      settings.agent_link = ParseLink(view.Object("agent"));
    } else {
      view.Report(ResultCode::kOutOfRange, "duties",
                  "unknown duty " + duty +
                      "; known are entry, control, endpoint, gateway and "
                      "agent");
    }
  }
}

void ParsePeers(const ObjectView& view, Settings& settings) {
  settings.entries = view.Strings("entries");
  for (const std::string& link : settings.entries) {
    if (!IsAddress(link))
      view.Report(ResultCode::kOutOfRange, "entries", "expected IP:PORT");
  }
  for (const ObjectView& peer : view.Objects("controls")) {
    peer.AllowKeys({"id", "link"});
    settings.controls.push_back(
        {.id = peer.String("id", true), .link = Address(peer, "link")});
  }
  const std::size_t count = settings.controls.size();
  if (settings.discovery && count == 0)
    return;
  if (count != 1 && count != 3 && count != 5)
    view.Report(ResultCode::kOutOfRange, "controls", "list 1, 3 or 5 replicas");
}

void CheckControl(const ObjectView& view, const Settings& settings) {
  if (!settings.control)
    return;
  if (settings.data_folder.empty())
    view.Report(ResultCode::kMissingKey, "data_folder", "needed by control");
  if (settings.discovery)
    return;
  if (std::ranges::find(settings.controls, settings.id, &ControlPeer::id) ==
      settings.controls.end()) {
    view.Report(ResultCode::kDanglingDependency, "controls",
                "this process has the control duty but is not listed");
  }
}

}  // namespace

Settings ParseSettings(std::string_view text) {
  const nlohmann::json document = ParseJson(text);
  ProblemList problems;
  const ObjectView view(document, "", problems);
  view.AllowKeys({"id",
                  "availability_zone",
                  "rack",
                  "duties",
                  "data_folder",
                  "entry",
                  "control",
                  "endpoint",
                  "entries",
                  "controls",
                  "timing",
                  "limits",
                  "log",
                  "trace_file",
                  "gateway",
                  "agent",
                  "discovery",
                  "platform",
                  "metrics",
                  "scheduling",
                  "availability_zones"});
  Settings settings;
  settings.id = view.String("id", true);
  settings.availability_zone = view.String("availability_zone", true);
  settings.rack = view.String("rack", false);
  settings.data_folder = view.String("data_folder", false);
  settings.trace_file = view.String("trace_file", false);
  ParseDuties(view, settings);
  if (view.Has("discovery"))
    settings.discovery = ParseDiscovery(view.Object("discovery"));
  if (view.Has("metrics")) {
    const ObjectView metrics = view.Object("metrics");
    metrics.AllowKeys({"http"});
    settings.metrics_http = Address(metrics, "http");
  }
  if (view.Has("platform"))
    settings.platform = ParsePlatform(view.Object("platform"));
  ParsePeers(view, settings);
  settings.timing = ParseTiming(view.Object("timing"));
  settings.limits = ParseLimits(view.Object("limits"));
  settings.scheduling = ParseScheduling(view.Object("scheduling"));
  settings.availability_zones = view.Strings("availability_zones");
  settings.log = ParseLog(view.Object("log"));
  CheckControl(view, settings);
  problems.ThrowIfAny();
  return settings;
}

std::vector<std::string> ControlLinksOf(const Settings& settings) {
  std::vector<std::string> links;
  for (const ControlPeer& peer : settings.controls)
    links.push_back(peer.link);
  if (!settings.discovery)
    return links;
  const std::string port = std::to_string(settings.discovery->control_port);
  for (const std::string& seed : settings.discovery->seeds)
    links.push_back(seed.substr(0, seed.rfind(':') + 1) + port);
  return links;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    throw Error(ResultCode::kUnreadableFile, path);
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

}  // namespace savoryring
