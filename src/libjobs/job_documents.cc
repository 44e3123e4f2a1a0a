#include "libjobs/job_documents.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <set>

#include "libbase/json_checker.h"
#include "libbase/parsing_turn.h"
#include "libjobs/job_calls.h"

namespace savoryring {
namespace {

using nlohmann::json;

constexpr double kMilliPerUnit = 1000;
// Job ids are part of URL paths and task names.
constexpr std::size_t kMaxIdLength = 64;
// Limit on the processors of one task; keeps the value in thousandths in range.
constexpr double kMaxProcessors = 1'000'000;

bool IsValidId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxIdLength &&
         std::ranges::all_of(id, [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_';
         });
}

void ReadStep(const ObjectView& view, wire::JobStep* step) {
  view.AllowKeys({"count", "processors", "memory_mb", "accelerators",
                  "estimated_ms", "after", "checkpoints", "gang", "same_rack",
                  "label", "data_rack", "spread_limit", "allow_copies",
                  "lasting", "image", "tail_target_ms", "fills",
                  "disruption_budget"});
  const auto count = [&view](const char* key, std::uint64_t fallback) {
    return static_cast<std::uint32_t>(view.Integer(key, fallback, {}));
  };
  const double processors = view.Number("processors", 1);
  if (processors > kMaxProcessors)
    view.Report(ResultCode::kOutOfRange, "processors", "is too large");
  else
    step->set_cpu_milli(
        static_cast<std::uint32_t>(std::lround(processors * kMilliPerUnit)));
  step->set_count(count("count", 1));
  step->set_memory_mb(count("memory_mb", 0));
  step->set_accelerators(count("accelerators", 0));
  step->set_estimated_ms(count("estimated_ms", 0));
  for (const std::uint64_t earlier : view.Integers("after", {}))
    step->add_after(static_cast<std::uint32_t>(earlier));
  step->set_checkpoints(view.Boolean("checkpoints", false));
  step->set_gang(view.Boolean("gang", false));
  step->set_same_rack(view.Boolean("same_rack", false));
  step->set_required_label(view.String("label", false));
  step->set_data_rack(view.String("data_rack", false));
  step->set_spread_limit(count("spread_limit", 0));
  step->set_allow_copies(view.Boolean("allow_copies", false));
  step->set_lasting(view.Boolean("lasting", false));
  step->set_image(view.String("image", false));
  step->set_tail_target_ms(count("tail_target_ms", 0));
  step->set_fills(view.Boolean("fills", false));
  step->set_disruption_budget(count("disruption_budget", 0));
}

void ReadRepeat(const ObjectView& view, wire::JobSpec& spec) {
  if (!view.Has("repeat"))
    return;
  const ObjectView repeat = view.Object("repeat");
  repeat.AllowKeys({"count", "start_at_ms", "interval_ms"});
  constexpr IntegerRange kTimeRange{.min = 0, .max = INT64_MAX};
  spec.set_repeat_count(
      static_cast<std::uint32_t>(repeat.Integer("count", 1, {.min = 1})));
  spec.set_start_at_ms(
      static_cast<std::int64_t>(repeat.Integer("start_at_ms", 0, kTimeRange)));
  spec.set_interval_ms(
      static_cast<std::int64_t>(repeat.Integer("interval_ms", 0, {})));
}

json StepToJson(const StepState& state) {
  return {{"tasks", state.tasks.size()},
          {"waiting", state.waiting},
          {"assigned", state.tasks.size() - state.waiting - state.done},
          {"done", state.done}};
}

std::string HistoryEventText(const JobHistoryEntry& entry) {
  switch (entry.kind) {
    case JobEvent::Kind::kAccepted:
      return "accepted";
    case JobEvent::Kind::kCancelled:
      return "cancelled";
    case JobEvent::Kind::kStarted:
      return "assigned";
    case JobEvent::Kind::kEnded:
      return "ended: " + RunEndName(entry.run_end);
    case JobEvent::Kind::kJobEnded:
      return "job ended";
    case JobEvent::Kind::kWorkerLost:
      return "worker lost";
    case JobEvent::Kind::kWorkerCrashed:
      return "worker crashed";
    case JobEvent::Kind::kCleared:
      return "its worker survived its start";
    case JobEvent::Kind::kSuspected:
      return "its worker crashed just after its start";
  }
  return "";
}

json HistoryEntryToJson(const JobHistoryEntry& entry) {
  json result{{"at_ms", entry.at_ms}, {"what", HistoryEventText(entry)}};
  if (entry.run == 0)
    return result;
  result["task"] = std::to_string(entry.occurrence) + "." +
                   std::to_string(entry.step) + "." +
                   std::to_string(entry.index);
  result["run"] = entry.run;
  result["worker"] = entry.agent;
  return result;
}

// Lists the dependencies of the step that are not done.
std::string WaitingText(const JobTable& table, const StepKey& key) {
  std::string text;
  for (const std::uint32_t after : table.Step(key).after()) {
    const bool done =
        table.State({key.sequence, key.occurrence, after}).IsDone();
    if (!done)
      text += (text.empty() ? "" : ", ") + std::to_string(after);
  }
  return "waits for step " + text;
}

std::string AssignedText(const StepState& state) {
  std::set<std::string> agents;
  for (const JobTask& task : state.tasks) {
    if (task.state == JobTaskState::kAssigned)
      agents.insert(task.agent);
  }
  std::string text;
  for (const std::string& agent : agents)
    text += (text.empty() ? "" : ", ") + agent;
  return "on " + text;
}

std::string StepStatusText(const JobTable& table,
                           const JobScheduler& scheduler,
                           const StepKey& key,
                           TimePoint now) {
  const StepState& state = table.State(key);
  if (state.IsDone())
    return "done";
  if (!table.IsReady(key))
    return WaitingText(table, key);
  if (state.waiting == 0)
    return AssignedText(state);
  return std::to_string(state.waiting) + " tasks wait; " +
         scheduler.ExplainWaiting(table, key, now);
}

}  // namespace

wire::JobSpec ReadJobDocument(const std::string& text, const Estate& estate) {
  CheckParsedBytes(text);
  const json document = ParseJson(text);
  ProblemList problems;
  const ObjectView view(document, "", problems);
  view.AllowKeys({"id", "queue", "payload", "steps", "repeat"});
  wire::JobSpec spec;
  spec.set_id(view.String("id", true));
  if (!spec.id().empty() && !IsValidId(spec.id()))
    view.Report(ResultCode::kOutOfRange, "id",
                "must be up to 64 letters, digits, - and _");
  const std::string queue_name = view.String("queue", true);
  spec.set_payload(view.String("payload", false));
  for (const ObjectView& step : view.Objects("steps"))
    ReadStep(step, spec.add_steps());
  ReadRepeat(view, spec);
  problems.ThrowIfAny();
  const auto position = estate.queue_index.FindByName(queue_name);
  if (!position)
    throw Error(ResultCode::kUnknownQueue, queue_name);
  ApplyQueueSettings(estate.queues[*position], spec);
  ValidateJob(spec);
  return spec;
}

json JobToJson(const Job& job) {
  json result{{"job", job.spec.id()},
              {"queue", job.spec.queue()},
              {"state", JobStateName(job.state)},
              {"accepted_ms", job.accepted_ms},
              {"assigned", job.assigned}};
  if (!job.IsOpen()) {
    result["ended_ms"] = job.ended_ms;
    result["why"] = job.end_reason;
  }
  if (job.spec.repeat_count() > 0) {
    result["occurrences"] = job.spec.repeat_count();
    result["occurrences_done"] = job.done_occurrences;
  }
  json steps = json::array();
  for (const auto& [number, occurrence] : job.occurrences) {
    const std::vector<StepState>& states = occurrence.steps;
    for (std::size_t step = 0; step < states.size(); ++step) {
      json row = StepToJson(states[step]);
      row["occurrence"] = number;
      row["step"] = step;
      steps.push_back(std::move(row));
    }
  }
  result["steps"] = std::move(steps);
  return result;
}

json ExplainJob(const JobTable& table,
                const JobScheduler& scheduler,
                const Job& job,
                TimePoint now) {
  json result = JobToJson(job);
  for (json& row : result["steps"]) {
    const StepKey key{.sequence = job.sequence,
                      .occurrence = row["occurrence"],
                      .step = row["step"]};
    row["now"] = job.IsOpen() ? StepStatusText(table, scheduler, key, now)
                              : "its runs are being stopped";
  }
  json history = json::array();
  for (const JobHistoryEntry& entry : job.history)
    history.push_back(HistoryEntryToJson(entry));
  result["history"] = std::move(history);
  result["history_dropped"] = job.dropped_history;
  return result;
}

}  // namespace savoryring
