#include "savoryring/commands.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>
#include <thread>

#include "libbase/events.h"
#include "libbase/json_checker.h"
#include "savoryring/check_command.h"
#include "savoryring/client.h"
#include "savoryring/estate.h"
#include "savoryring/load.h"
#include "savoryring/replay_command.h"
#include "savoryring/result.h"
#include "savoryring/settings.h"

DEFINE_string(server,
              "http://127.0.0.1:8080",
              "address of an entry or control process");
DEFINE_bool(json, false, "print JSON instead of a table");
DEFINE_uint64(estate_version, 0, "version number of the submitted estate");
DEFINE_string(request_id, "", "name under which the submission is recorded");
DEFINE_bool(dry_run,
            false,
            "show what a submission would change, without submitting it");
DEFINE_uint32(wait_ms,
              10000,
              "maximum time to wait until a submission is in force everywhere");
DEFINE_string(team, "", "team of the task; overrides the team of its class");
DEFINE_string(key,
              "",
              "idempotency key; submissions with the same key are one task");
DEFINE_bool(urgent,
            false,
            "place the task before all tasks that are not urgent");
DEFINE_bool(end,
            false,
            "end the drain or the evacuation instead of starting it");
DEFINE_string(policy, "", "policy to replay a trace with");
DEFINE_bool(session, false, "print each placement decision of a replay");
DEFINE_bool(all, false, "compare all policies on a trace");
DEFINE_string(service, "", "service to send load to");
DEFINE_string(path, "/", "request path relative to the service");
DEFINE_string(method, "GET", "HTTP method of the requests");
DEFINE_uint32(requests, 1000, "number of requests to send");
DEFINE_uint32(concurrency, 8, "number of concurrent requests");
DEFINE_uint32(timeout_ms, 1000, "timeout of each request");

namespace savoryring {
namespace {

using nlohmann::json;

constexpr Milliseconds kInForcePollInterval{50};
constexpr std::uint32_t kMaxRequests = 10'000'000;
constexpr std::uint32_t kMaxConcurrency = 512;

const std::string& RequireArgument(const Arguments& arguments,
                                   std::size_t index) {
  if (arguments.size() <= index)
    throw Error(ResultCode::kUnknownCommand, "an argument is missing");
  return arguments[index];
}

void PrintJson(const json& value) {
  std::cout << value.dump(2) << '\n';
}

std::string ToDisplayText(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Prints one row for each object of `rows`, with one column for each of `keys`.
void PrintTable(const json& rows, const std::vector<std::string>& keys) {
  std::vector<std::size_t> widths;
  for (const std::string& key : keys) {
    std::size_t width = key.size();
    for (const json& row : rows)
      width = std::max(width, ToDisplayText(row.value(key, json(""))).size());
    widths.push_back(width);
  }
  const auto print = [&](const auto& text_of_column) {
    for (std::size_t i = 0; i < keys.size(); ++i) {
      std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2)
                << text_of_column(i);
    }
    std::cout << '\n';
  };
  print([&](std::size_t i) { return keys[i]; });
  for (const json& row : rows)
    print([&](std::size_t i) {
      return ToDisplayText(row.value(keys[i], json("")));
    });
}

void PrintDifference(const Estate& submitted) {
  const json current = CallSystem(FLAGS_server, "GET", "/estate");
  const Estate before = ParseEstate(current["estate"].dump());
  const auto differences = DescribeDifference(before, submitted);
  if (FLAGS_json) {
    PrintJson(differences);
    return;
  }
  for (const std::string& line : differences)
    std::cout << line << '\n';
  std::cout << differences.size() << " changes compared to version "
            << current["version"] << '\n';
}

// Waits until all processes apply the revision. Returns false on a timeout.
bool WaitUntilInForce(std::uint64_t version) {
  const TimePoint deadline = BootClock::now() + Milliseconds(FLAGS_wait_ms);
  std::string last_progress;
  while (BootClock::now() < deadline) {
    const json status = CallSystem(FLAGS_server, "GET", "/estate/in-force");
    std::size_t applied = 0;
    for (const json& process : status["processes"])
      applied += process["revision"].get<std::uint64_t>() >= version ? 1 : 0;
    const std::string progress = std::to_string(applied) + " of " +
                                 std::to_string(status["processes"].size()) +
                                 " processes";
    if (!FLAGS_json && progress != last_progress)
      std::cout << "in force on " << progress << '\n';
    last_progress = progress;
    if (applied == status["processes"].size())
      return true;
    std::this_thread::sleep_for(kInForcePollInterval);
  }
  return false;
}

void Submit(const Arguments& arguments) {
  const std::string text = ReadFile(RequireArgument(arguments, 0));
  const Estate submitted = ParseEstate(text);
  if (FLAGS_dry_run) {
    PrintDifference(submitted);
    return;
  }
  if (FLAGS_estate_version == 0)
    throw Error(ResultCode::kMissingKey, "--version=N is required");
  const json body{{"version", FLAGS_estate_version},
                  {"request_id", FLAGS_request_id},
                  {"estate", ParseJson(text)}};
  CallSystem(FLAGS_server, "POST", "/estate", body);
  if (!FLAGS_json)
    std::cout << "version " << FLAGS_estate_version << " is committed\n";
  const bool everywhere = WaitUntilInForce(FLAGS_estate_version);
  if (FLAGS_json) {
    PrintJson({{"version", FLAGS_estate_version},
               {"committed", true},
               {"in_force_everywhere", everywhere}});
  } else if (!everywhere) {
    std::cout << "some processes have not applied the version yet; see "
                 "GET /estate/in-force\n";
  }
}

void Show(const Arguments&) {
  PrintJson(CallSystem(FLAGS_server, "GET", "/estate"));
}

void Status(const Arguments&) {
  const json status = CallSystem(FLAGS_server, "GET", "/status");
  const json tasks = CallSystem(FLAGS_server, "GET", "/tasks");
  if (FLAGS_json) {
    PrintJson({{"status", status}, {"tasks", tasks}});
    return;
  }
  std::cout << "leader " << ToDisplayText(status["leader"]) << ", term "
            << status["term"] << ", revision " << status["revision"] << ", "
            << status["replicas"].size() << " replicas\n";
  for (const json& zone : status["evacuated_zones"])
    std::cout << "zone " << ToDisplayText(zone) << " is evacuated\n";
  std::cout << '\n';
  PrintTable(status["workers"], {"worker", "availability_zone", "rack", "tasks",
                                 "committed", "lease_remaining_ms", "lost",
                                 "quarantined", "draining", "evacuated"});
  std::cout << '\n';
  PrintTable(tasks, {"task", "state", "team", "worker", "epoch", "evictions"});
}

bool IsUnknownJobOrTask(const Error& error) {
  return error.code() == ResultCode::kUnknownJob ||
         error.code() == ResultCode::kUnknownTask;
}

// Returns false, without printing anything, if there is no job `id`.
bool ExplainJob(const std::string& id) {
  json result;
  try {
    result = CallSystem(FLAGS_server, "GET", "/jobs/" + id + "/explain");
  } catch (const Error& error) {
    if (!IsUnknownJobOrTask(error))
      throw;
    return false;
  }
  if (FLAGS_json) {
    PrintJson(result);
    return true;
  }
  std::cout << id << " of queue " << ToDisplayText(result["queue"]) << ": "
            << ToDisplayText(result["state"]);
  if (result.contains("why"))
    std::cout << ", " << ToDisplayText(result["why"]);
  std::cout << "\n\n";
  PrintTable(result["steps"],
             {"occurrence", "step", "tasks", "done", "waiting", "now"});
  std::cout << '\n';
  PrintTable(result["history"], {"at_ms", "what", "task", "run", "worker"});
  if (result["history_dropped"] != 0)
    std::cout << result["history_dropped"]
              << " earlier events are no longer kept\n";
  return true;
}

void Explain(const Arguments& arguments) {
  const std::string& task = RequireArgument(arguments, 0);
  if (ExplainJob(task))
    return;
  const json result =
      CallSystem(FLAGS_server, "GET", "/tasks/" + task + "/explain");
  if (FLAGS_json) {
    PrintJson(result);
    return;
  }
  std::cout << task << ": " << ToDisplayText(result["now"]) << '\n';
  PrintTable(result["steps"], {"log_index", "what", "worker", "epoch", "why"});
}

void Task(const Arguments& arguments) {
  const std::string& action = RequireArgument(arguments, 0);
  const std::string& name = RequireArgument(arguments, 1);
  json response;
  if (action == "submit") {
    json body{{"class", name}, {"key", FLAGS_key}, {"urgent", FLAGS_urgent}};
    if (!FLAGS_team.empty())
      body["team"] = FLAGS_team;
    response = CallSystem(FLAGS_server, "POST", "/tasks", body);
  } else if (action == "show") {
    response = CallSystem(FLAGS_server, "GET", "/tasks/" + name);
  } else if (action == "cancel") {
    response = CallSystem(FLAGS_server, "DELETE", "/tasks/" + name);
  } else if (action == "resume" || action == "settle") {
    response = CallSystem(FLAGS_server, "POST", "/tasks/" + name + "/" + action,
                          json::object());
  } else {
    throw Error(ResultCode::kUnknownCommand, "task " + action);
  }
  if (FLAGS_json || action == "show")
    PrintJson(response);
  else
    std::cout << ToDisplayText(response["task"]) << '\n';
}

void Job(const Arguments& arguments) {
  const std::string& action = RequireArgument(arguments, 0);
  if (action == "list") {
    const json jobs = CallSystem(FLAGS_server, "GET", "/jobs");
    if (FLAGS_json)
      PrintJson(jobs);
    else
      PrintTable(jobs, {"job", "queue", "state", "assigned", "why"});
    return;
  }
  const std::string& name = RequireArgument(arguments, 1);
  if (action == "submit") {
    const json document = ParseJson(ReadFile(name));
    CallSystem(FLAGS_server, "POST", "/jobs", document);
    std::cout << ToDisplayText(document.value("id", json("")))
              << " is accepted\n";
  } else if (action == "show") {
    PrintJson(CallSystem(FLAGS_server, "GET", "/jobs/" + name));
  } else if (action == "cancel") {
    CallSystem(FLAGS_server, "DELETE", "/jobs/" + name);
    std::cout << name << " is cancelled\n";
  } else {
    throw Error(ResultCode::kUnknownCommand, "job " + action);
  }
}

void Drain(const Arguments& arguments) {
  const std::string& worker = RequireArgument(arguments, 0);
  CallSystem(FLAGS_server, FLAGS_end ? "DELETE" : "POST",
             "/workers/" + worker + "/drain", json::object());
  std::cout << worker
            << (FLAGS_end ? " accepts tasks again\n"
                          : " accepts no new tasks\n");
}

void Evacuate(const Arguments& arguments) {
  const std::string& zone = RequireArgument(arguments, 0);
  CallSystem(FLAGS_server, FLAGS_end ? "DELETE" : "POST",
             "/zones/" + zone + "/evacuation");
  std::cout << zone
            << (FLAGS_end ? " is used again\n" : " gets no new tasks\n");
}

void Replay(const Arguments& arguments) {
  RunReplayCommand({.path = RequireArgument(arguments, 0),
                    .policy = FLAGS_policy,
                    .session = FLAGS_session,
                    .all = FLAGS_all,
                    .json = FLAGS_json});
}

double FractionalMilliseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

void Load(const Arguments&) {
  if (FLAGS_service.empty())
    throw Error(ResultCode::kMissingKey, "--service=NAME is required");
  LoadOptions options{
      .url = FLAGS_server,
      .path = "/services/" + FLAGS_service + FLAGS_path,
      .method = FLAGS_method,
      .requests = std::min(FLAGS_requests, kMaxRequests),
      .concurrency = std::min(FLAGS_concurrency, kMaxConcurrency),
      .timeout = Milliseconds(FLAGS_timeout_ms)};
  const LoadReport report = RunLoad(options);
  const double seconds = FractionalMilliseconds(report.elapsed) / 1000;
  json result{
      {"requests", options.requests},
      {"requests_per_second", static_cast<double>(options.requests) / seconds},
      {"p50_ms", FractionalMilliseconds(report.LatencyQuantile(0.5))},
      {"p90_ms", FractionalMilliseconds(report.LatencyQuantile(0.9))},
      {"p99_ms", FractionalMilliseconds(report.LatencyQuantile(0.99))},
      {"max_ms", FractionalMilliseconds(report.LatencyQuantile(1))}};
  for (const auto& [status, count] : report.statuses)
    result["statuses"][std::to_string(status)] = count;
  if (FLAGS_json) {
    PrintJson(result);
    return;
  }
  for (const auto& item : result.items())
    std::cout << std::left << std::setw(22) << item.key() << item.value()
              << '\n';
}

void Codes(const Arguments&) {
  json rows = json::array();
  for (const ResultInfo& info : ResultTable()) {
    rows.push_back({{"number", NumberOf(info.code)},
                    {"name", info.name},
                    {"http_status", info.http_status},
                    {"not_run", info.not_run},
                    {"message", info.message}});
  }
  if (FLAGS_json)
    PrintJson(rows);
  else
    PrintTable(rows, {"number", "name", "http_status", "not_run", "message"});
}

std::string SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return "debug";
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "error";
}

void Events(const Arguments&) {
  json rows = json::array();
  for (const EventInfo& info : EventCatalogue()) {
    rows.push_back({{"number", static_cast<int>(info.event)},
                    {"name", info.name},
                    {"level", SeverityName(info.severity)},
                    {"meaning", info.meaning}});
  }
  if (FLAGS_json)
    PrintJson(rows);
  else
    PrintTable(rows, {"number", "name", "level", "meaning"});
}

constexpr std::array kCommands{
    CliCommand{"check", "check FILE [--against=FILE] [--server=URL]",
               "validate a settings or estate file, and show what can never "
               "match, what contradicts itself and what differs",
               &Check},
    CliCommand{"submit", "submit FILE --version=N [--dry_run] [--wait_ms=N]",
               "submit an estate and wait until it is in force", &Submit},
    CliCommand{"show", "show", "print the estate in force", &Show},
    CliCommand{"status", "status", "show the leader, the workers and the tasks",
               &Status},
    CliCommand{"explain", "explain JOB|TASK",
               "explain the state and placement of a job or task, or why it "
               "can't run",
               &Explain},
    CliCommand{"job", "job submit FILE | job list | job show|cancel ID",
               "submit, list, show or cancel jobs", &Job},
    CliCommand{"task",
               "task submit CLASS [--key=K] [--team=T] [--urgent] | "
               "task show|cancel|resume|settle ID",
               "submit, show or cancel a task; if its outcome is unknown, "
               "resume it or settle it as finished",
               &Task},
    CliCommand{"drain", "drain WORKER [--end]",
               "move all tasks off a worker, or let it accept tasks again",
               &Drain},
    CliCommand{"evacuate", "evacuate ZONE [--end]",
               "move tasks out of an availability zone, or return it",
               &Evacuate},
    CliCommand{"load",
               "load --service=NAME [--path=/] [--method=GET] "
               "[--requests=N] [--concurrency=N] [--timeout_ms=N]",
               "send a fixed number of requests and print a latency table",
               &Load},
    CliCommand{"replay", "replay TRACE [--policy=NAME] [--session] [--all]",
               "replay a recorded trace and score the outcome", &Replay},
    CliCommand{"codes", "codes", "print the table of result codes", &Codes},
    CliCommand{"events", "events", "print the table of log events", &Events},
};

}  // namespace

std::span<const CliCommand> CliCommands() {
  return kCommands;
}

}  // namespace savoryring
