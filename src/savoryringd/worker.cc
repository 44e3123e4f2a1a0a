#include "savoryringd/worker.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "libbase/json_checker.h"
#include "libtransport/http.h"

namespace savoryring {
namespace {

using nlohmann::json;

constexpr Milliseconds kTimeout{2000};
constexpr int kOk = 200;
constexpr int kCreated = 201;

struct JsonResponse {
  int status = 0;
  json body;
};

// Null if the body is not JSON.
json ParseBody(const std::string& body) {
  try {
    return ParseJson(body);
  } catch (const Error&) {
    return nullptr;
  }
}

// Returns nullopt if the worker does not answer.
std::optional<JsonResponse> CallWorker(const std::string& url,
                                       const std::string& method,
                                       const std::string& path,
                                       const json& body) {
  HttpRequest request;
  request.method = method;
  request.path = path;
  if (!body.is_null()) {
    request.headers.push_back(
        {.name = "Content-Type", .value = "application/json"});
    request.body = body.dump();
  }
  try {
    const HttpResponse response = SendHttp(url, request, kTimeout);
    return JsonResponse{.status = response.status,
                        .body = ParseBody(response.body)};
  } catch (const Error&) {
    return std::nullopt;
  }
}

std::string PathOf(const TaskRun& run, const std::string& action) {
  const std::string path =
      "/tasks/" + run.task + "/" + std::to_string(run.epoch);
  return action.empty() ? path : path + "/" + action;
}

std::string StringIn(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : "";
}

// Zero if there is no number that the type can hold.
template <typename Number>
Number NumberIn(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number())
    return Number{};
  const double number = found->get<double>();
  // As a double, the limit may round up to a number that does not fit.
  const bool fits =
      number >= 0 &&
      number < static_cast<double>(std::numeric_limits<Number>::max());
  return fits ? found->get<Number>() : Number{};
}

wire::TaskRunState ParseState(const std::string& name) {
  if (name == "running")
    return wire::TASK_RUNNING;
  if (name == "finished")
    return wire::TASK_FINISHED;
  if (name == "failed")
    return wire::TASK_FAILED;
  if (name == "stopped")
    return wire::TASK_STOPPED;
  return wire::TASK_RUN_UNKNOWN;
}

}  // namespace

HttpWorker::HttpWorker(std::string url) : url(std::move(url)) {}

std::optional<WorkerSize> HttpWorker::Describe() {
  const auto answer = CallWorker(this->url, "GET", "/worker", {});
  if (!answer || answer->status != kOk || !answer->body.is_object())
    return std::nullopt;
  return WorkerSize{
      .processors = NumberIn<std::uint32_t>(answer->body, "processors"),
      .memory_mb = NumberIn<std::uint64_t>(answer->body, "memory_mb"),
      .accelerators = NumberIn<std::uint32_t>(answer->body, "accelerators")};
}

bool HttpWorker::Start(const wire::TaskOrder& order, TimePoint lease_end) {
  const json body{{"lease_end_boottime_ms", ToMilliseconds(lease_end)},
                  {"processors", order.processors()},
                  {"memory_mb", order.memory_mb()},
                  {"accelerators", order.accelerators()},
                  {"command", order.command()},
                  {"checkpoint", order.checkpoint()}};
  const TaskRun run{.task = order.task(), .epoch = order.epoch()};
  const auto answer = CallWorker(this->url, "PUT", PathOf(run, ""), body);
  return answer && (answer->status == kOk || answer->status == kCreated);
}

bool HttpWorker::Renew(const TaskRun& run, TimePoint lease_end) {
  const json body{{"lease_end_boottime_ms", ToMilliseconds(lease_end)}};
  const auto answer = CallWorker(this->url, "PUT", PathOf(run, "lease"), body);
  return answer && answer->status == kOk;
}

StopOutcome HttpWorker::CheckpointAndStop(const TaskRun& run) {
  StopOutcome outcome;
  const json empty = json::object();
  const auto saved =
      CallWorker(this->url, "POST", PathOf(run, "checkpoint"), empty);
  if (saved && saved->status == kOk && saved->body.is_object())
    outcome.checkpoint = StringIn(saved->body, "checkpoint");
  const auto stopped =
      CallWorker(this->url, "POST", PathOf(run, "stop"), empty);
  outcome.stopped = stopped && stopped->status == kOk;
  return outcome;
}

bool HttpWorker::Throttle(const TaskRun& run, double share) {
  const json body{{"share", share}};
  const auto answer =
      CallWorker(this->url, "POST", PathOf(run, "throttle"), body);
  return answer && answer->status == kOk;
}

std::optional<std::vector<WorkerTask>> HttpWorker::ListTasks() {
  const auto answer = CallWorker(this->url, "GET", "/tasks", {});
  if (!answer || answer->status != kOk || !answer->body.is_array())
    return std::nullopt;
  std::vector<WorkerTask> tasks;
  for (const json& item : answer->body) {
    if (!item.is_object())
      continue;
    tasks.push_back({.run = {.task = StringIn(item, "id"),
                             .epoch = NumberIn<std::uint64_t>(item, "epoch")},
                     .state = ParseState(StringIn(item, "state")),
                     .checkpoint = StringIn(item, "checkpoint")});
  }
  return tasks;
}

std::vector<wire::TaskUsage> HttpWorker::ListUsage() {
  std::vector<wire::TaskUsage> usage;
  const auto answer = CallWorker(this->url, "GET", "/usage", {});
  const bool valid =
      answer && answer->status == kOk && answer->body.is_object() &&
      answer->body.contains("tasks") && answer->body["tasks"].is_array();
  if (!valid)
    return usage;
  for (const json& item : answer->body["tasks"]) {
    if (!item.is_object())
      continue;
    wire::TaskUsage& task = usage.emplace_back();
    task.set_task(StringIn(item, "id"));
    task.set_epoch(NumberIn<std::uint64_t>(item, "epoch"));
    task.set_processors(NumberIn<double>(item, "processors"));
    task.set_memory_mb(NumberIn<double>(item, "memory_mb"));
  }
  return usage;
}

}  // namespace savoryring
