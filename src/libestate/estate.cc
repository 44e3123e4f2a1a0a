#include "savoryring/estate.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libbase/json_checker.h"
#include "libbase/paced_work.h"
#include "libestate/estate_document.h"

namespace savoryring {
namespace {

// Largest resources that an estate may request; larger values are taken for
// typing errors.
constexpr std::uint64_t kMaxProcessors = 4096;
constexpr std::uint64_t kMaxMemoryMb = 64ULL << 20U;
constexpr std::uint64_t kMaxAccelerators = 1024;
constexpr std::uint64_t kMaxQuota = UINT32_MAX;

class EstateParser {
 public:
  /// `document` must outlive the parser.
  explicit EstateParser(const nlohmann::json& document)
      : root(document, "", this->problems) {}

  Estate Parse() {
    this->root.AllowKeys({"services", "tasks", "task_classes", "monitors",
                          "teams", "weights", "queues"});
    this->ParseTeams();
    this->ParseServices();
    this->ParseQueues();
    this->estate.tasks = this->ParseWorkSection("tasks", WorkKind::kTask);
    this->estate.task_classes =
        this->ParseWorkSection("task_classes", WorkKind::kClass);
    this->estate.monitors =
        this->ParseWorkSection("monitors", WorkKind::kMonitor);
    this->ParseWeights();
    this->CheckDependencies();
    this->problems.ThrowIfAny();
    this->estate.IndexQueues();
    return std::move(this->estate);
  }

 private:
  enum class WorkKind { kTask, kClass, kMonitor };

  std::string ParseName(const ObjectView& view) {
    std::string name = view.String("name", true);
    const bool valid = std::ranges::all_of(name, [](unsigned char c) {
      return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
    if (!valid) {
      view.Report(ResultCode::kOutOfRange, "name",
                  "use letters, digits, '-', '_' and '.'");
    }
    return name;
  }

  void ParseTeams() {
    for (const ObjectView& view : this->root.Objects("teams")) {
      view.AllowKeys({"name", "quota"});
      TeamSpec team;
      team.name = this->ParseName(view);
      const ObjectView quota = view.Object("quota");
      quota.AllowKeys({"processors", "memory_mb", "accelerators"});
      team.quota = this->ParseResources(quota, kMaxQuota, kMaxQuota, 0);
      if (!this->team_names.insert(team.name).second)
        view.Report(ResultCode::kDuplicateName, "name", team.name);
      this->estate.teams.push_back(std::move(team));
    }
  }

  Resources ParseResources(const ObjectView& view,
                           std::uint64_t max_processors,
                           std::uint64_t max_memory_mb,
                           std::uint64_t min_size) {
    Resources size;
    size.processors = static_cast<std::uint32_t>(view.Integer(
        "processors", min_size, {.min = min_size, .max = max_processors}));
    size.memory_mb = view.Integer("memory_mb", min_size,
                                  {.min = min_size, .max = max_memory_mb});
    size.accelerators = static_cast<std::uint32_t>(
        view.Integer("accelerators", 0, {.max = kMaxAccelerators}));
    return size;
  }

  void ParseServices() {
    for (const ObjectView& view : this->root.Objects("services")) {
      view.AllowKeys({"name", "timeout_ms", "tail_target_ms", "depends_on"});
      ServiceSpec service;
      service.name = this->ParseName(view);
      service.timeout = view.Time("timeout_ms", service.timeout);
      service.tail_target = view.Time("tail_target_ms", service.tail_target);
      service.depends_on = view.Strings("depends_on");
      this->AddName(service.name, view, service.depends_on);
      this->estate.services.push_back(std::move(service));
    }
  }

  void ParseQueues() {
    std::set<std::pair<std::string, std::string>> host_prefixes;
    std::set<std::string> service_names;
    for (const ServiceSpec& service : this->estate.services)
      service_names.insert(service.name);
    for (const ObjectView& view : this->root.Objects("queues")) {
      view.AllowKeys({"name", "host", "prefix", "service", "priority",
                      "attempts", "slack", "latency_target_ms", "timeout_ms"});
      QueueSpec queue;
      queue.name = view.String("name", true);
      queue.host = view.String("host", true);
      queue.prefix = view.String("prefix", true);
      queue.service = view.String("service", true);
      queue.priority =
          static_cast<std::uint32_t>(view.Integer("priority", 0, {}));
      queue.attempts = static_cast<std::uint32_t>(
          view.Integer("attempts", queue.attempts, {.min = 1}));
      queue.slack = view.Number("slack", queue.slack);
      queue.latency_target = Milliseconds(
          static_cast<std::int64_t>(view.Integer("latency_target_ms", 0, {})));
      queue.timeout = view.Time("timeout_ms", queue.timeout);
      if (!host_prefixes.emplace(queue.host, queue.prefix).second)
        view.Report(ResultCode::kDuplicateName, "prefix", queue.prefix);
      if (!service_names.contains(queue.service)) {
        view.Report(ResultCode::kDanglingDependency, "service",
                    "there is no service " + queue.service);
      }
      this->estate.queues.push_back(std::move(queue));
    }
  }

  std::vector<WorkSpec> ParseWorkSection(std::string_view section,
                                         WorkKind kind) {
    std::vector<WorkSpec> work;
    for (const ObjectView& view : this->root.Objects(section))
      work.push_back(this->ParseWorkSpec(view, kind));
    return work;
  }

  WorkSpec ParseWorkSpec(const ObjectView& view, WorkKind kind) {
    if (kind == WorkKind::kMonitor) {
      view.AllowKeys({"name", "team", "processors", "memory_mb", "accelerators",
                      "urgent", "command", "depends_on"});
    } else {
      view.AllowKeys({"name", "team", "processors", "memory_mb", "accelerators",
                      "expected_run_ms", "repeatable", "urgent", "command",
                      "depends_on"});
    }
    WorkSpec spec;
    spec.name = this->ParseName(view);
    spec.team = view.String("team", true);
    spec.resources =
        this->ParseResources(view, kMaxProcessors, kMaxMemoryMb, 1);
    if (kind != WorkKind::kMonitor) {
      spec.repeatable = view.Boolean("repeatable", false);
      if (view.Has("expected_run_ms"))
        spec.expected_run = view.Time("expected_run_ms", Milliseconds(1));
    }
    spec.urgent = view.Boolean("urgent", false);
    spec.monitor = kind == WorkKind::kMonitor;
    spec.command = view.String("command", true);
    spec.depends_on = view.Strings("depends_on");
    if (!spec.team.empty() && !this->team_names.contains(spec.team)) {
      view.Report(ResultCode::kDanglingDependency, "team",
                  "there is no team " + spec.team);
    }
    this->CheckQuota(view, spec);
    if (kind == WorkKind::kClass) {
      if (!this->class_names.insert(spec.name).second)
        view.Report(ResultCode::kDuplicateName, "name", spec.name);
    } else {
      this->AddName(spec.name, view, spec.depends_on);
    }
    return spec;
  }

  void CheckQuota(const ObjectView& view, const WorkSpec& spec) {
    const auto team =
        std::ranges::find(this->estate.teams, spec.team, &TeamSpec::name);
    if (team != this->estate.teams.end() && !spec.resources.FitsIn(team->quota))
      view.Report(ResultCode::kImpossibleSize, "processors",
                  "larger than the quota of team " + spec.team);
  }

  void AddName(const std::string& name,
               const ObjectView& view,
               const std::vector<std::string>& depends_on) {
    const bool added =
        this->names
            .emplace(name, Node{.pointer = view.PointerTo("depends_on"),
                                .depends_on = depends_on})
            .second;
    if (!added)
      view.Report(ResultCode::kDuplicateName, "name", name);
  }

  void ParseWeights() {
    const ObjectView view = this->root.Object("weights");
    view.AllowKeys({"tail_latency", "throughput", "evictions"});
    Weights& weights = this->estate.weights;
    weights.tail_latency = view.Number("tail_latency", weights.tail_latency);
    weights.throughput = view.Number("throughput", weights.throughput);
    weights.evictions = view.Number("evictions", weights.evictions);
  }

  // A name that others may depend on, and what it depends on itself.
  struct Node {
    std::string pointer;
    std::vector<std::string> depends_on;
    enum class VisitState {
      kUnvisited,
      kOnPath,
      kFinished
    } visit_state = VisitState::kUnvisited;
  };

  void CheckDependencies() {
    for (const auto& [name, node] : this->names)
      this->CheckDependenciesExist(node);
    for (const WorkSpec& work : this->estate.task_classes) {
      this->CheckDependenciesExist({.pointer = "/task_classes/" + work.name,
                                    .depends_on = work.depends_on});
    }
    for (auto& [name, node] : this->names)
      this->FindCycles(name, node);
  }

  void CheckDependenciesExist(const Node& node) {
    CountParts(1 + node.depends_on.size());
    for (const std::string& target : node.depends_on) {
      if (!this->names.contains(target)) {
        this->problems.Add(ResultCode::kDanglingDependency, node.pointer,
                           "there is no " + target);
      }
    }
  }

  // Depth-first search for cycles. The stack is explicit because an estate may
  // contain a dependency chain of many thousand tasks.
  void FindCycles(const std::string& name, Node& start) {
    struct Frame {
      std::string name;
      Node* node;
      std::size_t next_dependency = 0;
    };
    if (start.visit_state != Node::VisitState::kUnvisited)
      return;
    std::vector<Frame> stack{{.name = name, .node = &start}};
    start.visit_state = Node::VisitState::kOnPath;
    while (!stack.empty()) {
      Frame& frame = stack.back();
      if (frame.next_dependency == frame.node->depends_on.size()) {
        frame.node->visit_state = Node::VisitState::kFinished;
        stack.pop_back();
        continue;
      }
      const std::string& target =
          frame.node->depends_on[frame.next_dependency++];
      const auto found = this->names.find(target);
      if (found == this->names.end())
        continue;
      if (found->second.visit_state == Node::VisitState::kOnPath) {
        this->problems.Add(
            ResultCode::kDependencyCycle, frame.node->pointer,
            frame.name + " and " + target + " depend on each other");
      } else if (found->second.visit_state == Node::VisitState::kUnvisited) {
        found->second.visit_state = Node::VisitState::kOnPath;
        stack.push_back({.name = target, .node = &found->second});
      }
    }
  }

  ProblemList problems;
  ObjectView root;
  Estate estate;
  std::map<std::string, Node> names;
  std::set<std::string> team_names;
  std::set<std::string> class_names;
};

// Content of each item, by its kind and name.
using ItemDescriptions = std::map<std::string, nlohmann::json>;

nlohmann::json DescribeResources(const Resources& resources) {
  return {{"processors", resources.processors},
          {"memory_mb", resources.memory_mb},
          {"accelerators", resources.accelerators}};
}

nlohmann::json DescribeWork(const WorkSpec& spec) {
  nlohmann::json description = DescribeResources(spec.resources);
  description["team"] = spec.team;
  description["expected_run_ms"] = spec.expected_run.count();
  description["repeatable"] = spec.repeatable;
  description["urgent"] = spec.urgent;
  description["command"] = spec.command;
  description["depends_on"] = spec.depends_on;
  return description;
}

nlohmann::json DescribeQueue(const QueueSpec& queue) {
  return {{"host", queue.host},
          {"prefix", queue.prefix},
          {"service", queue.service},
          {"priority", queue.priority},
          {"attempts", queue.attempts},
          {"slack", queue.slack},
          {"latency_target_ms", queue.latency_target.count()},
          {"timeout_ms", queue.timeout.count()}};
}

ItemDescriptions DescribeEstate(const Estate& estate) {
  ItemDescriptions items;
  for (const ServiceSpec& service : estate.services) {
    items["service " + service.name] = {
        {"timeout_ms", service.timeout.count()},
        {"tail_target_ms", service.tail_target.count()},
        {"depends_on", service.depends_on}};
  }
  for (const WorkSpec& work : estate.tasks)
    items["task " + work.name] = DescribeWork(work);
  for (const WorkSpec& work : estate.task_classes)
    items["task class " + work.name] = DescribeWork(work);
  for (const WorkSpec& work : estate.monitors)
    items["monitor " + work.name] = DescribeWork(work);
  for (const TeamSpec& team : estate.teams)
    items["team " + team.name] = DescribeResources(team.quota);
  for (const QueueSpec& queue : estate.queues)
    items["queue " + queue.name] = DescribeQueue(queue);
  items["weights"] = {{"tail_latency", estate.weights.tail_latency},
                      {"throughput", estate.weights.throughput},
                      {"evictions", estate.weights.evictions}};
  return items;
}

void AddChangedFields(const nlohmann::json& before,
                      const nlohmann::json& after,
                      std::vector<std::string>& lines) {
  for (const auto& [key, value] : after.items()) {
    if (before.at(key) != value) {
      lines.push_back("    " + key + ": " + before.at(key).dump() + " -> " +
                      value.dump());
    }
  }
}

}  // namespace

bool Resources::FitsIn(const Resources& other) const {
  return this->processors <= other.processors &&
         this->memory_mb <= other.memory_mb &&
         this->accelerators <= other.accelerators;
}

Resources& Resources::operator+=(const Resources& other) {
  this->processors += other.processors;
  this->memory_mb += other.memory_mb;
  this->accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  this->processors -= other.processors;
  this->memory_mb -= other.memory_mb;
  this->accelerators -= other.accelerators;
  return *this;
}

std::map<std::string, std::string> SectionsOf(const nlohmann::json& document) {
  std::map<std::string, std::string> sections;
  for (const auto& item : document.items())
    sections[item.key()] = DumpInParts(item.value());
  return sections;
}

void QueueIndex::Add(const QueueSpec& queue, std::size_t position) {
  HostQueues& queues = this->by_host[queue.host];
  queues.by_prefix.try_emplace(queue.prefix, position);
  queues.prefix_sizes.insert(queue.prefix.size());
  this->by_name.try_emplace(queue.name, position);
}

std::optional<std::size_t> QueueIndex::Find(const std::string& host,
                                            const std::string& path) const {
  const auto queues = this->by_host.find(host);
  if (queues == this->by_host.end())
    return std::nullopt;
  const HostQueues& candidates = queues->second;
  for (auto size = candidates.prefix_sizes.lower_bound(path.size());
       size != candidates.prefix_sizes.end(); ++size) {
    CountParts();
    const auto found = candidates.by_prefix.find(path.substr(0, *size));
    if (found != candidates.by_prefix.end())
      return found->second;
  }
  return std::nullopt;
}

std::optional<std::size_t> QueueIndex::FindByName(
    const std::string& name) const {
  const auto found = this->by_name.find(name);
  if (found == this->by_name.end())
    return std::nullopt;
  return found->second;
}

void Estate::IndexQueues() {
  this->queue_index = {};
  for (std::size_t i = 0; i < this->queues.size(); ++i) {
    CountParts();
    this->queue_index.Add(this->queues[i], i);
  }
}

Estate ParseEstateDocument(const nlohmann::json& document) {
  return EstateParser(document).Parse();
}

Estate ParseEstate(std::string_view text) {
  return ParseEstateDocument(ParseJson(text));
}

ParsedEstate ParseEstateAndSections(std::string_view text) {
  nlohmann::json document = ParseJson(text);
  ParsedEstate parsed{.estate = ParseEstateDocument(document),
                      .sections = SectionsOf(document)};
  ReleaseInParts(document);
  return parsed;
}

std::map<std::string, std::string> CanonicalSections(std::string_view text) {
  return SectionsOf(ParseJson(text));
}

std::vector<std::string> DescribeDifference(const Estate& before,
                                            const Estate& after,
                                            DifferenceDetail detail) {
  const ItemDescriptions old_items = DescribeEstate(before);
  const ItemDescriptions new_items = DescribeEstate(after);
  std::vector<std::string> lines;
  for (const auto& [name, content] : old_items) {
    const auto found = new_items.find(name);
    if (found == new_items.end()) {
      lines.push_back("- " + name);
    } else if (found->second != content) {
      lines.push_back("~ " + name);
      if (detail == DifferenceDetail::kFields)
        AddChangedFields(content, found->second, lines);
    }
  }
  for (const auto& [name, content] : new_items) {
    if (!old_items.contains(name))
      lines.push_back("+ " + name);
  }
  return lines;
}

}  // namespace savoryring
