#include "testsuite/schedule/schedule.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace savoryring {
namespace {

using nlohmann::json;

constexpr Milliseconds kGroupFormationTime{3000};
constexpr Milliseconds kRecoveryTime{60'000};
constexpr Milliseconds kCallTimeout{2000};

json TaskJson(const std::string& name,
              const std::string& command,
              bool repeatable,
              const json& depends_on) {
  return {{"name", name},
          {"team", "steel"},
          {"processors", 2},
          {"memory_mb", 500},
          {"command", command},
          {"repeatable", repeatable},
          {"depends_on", depends_on}};
}

json MonitorJson(const std::string& name) {
  return {{"name", name},
          {"team", "line"},
          {"processors", 1},
          {"memory_mb", 100},
          {"command", "watch"}};
}

// Whether the task may be in its state long after the last fault.
bool IsSettled(const ControlState& state, const wire::TaskRecord& task) {
  if (task.spec().monitor()) {
    return task.state() == wire::TASK_STATE_ASSIGNED ||
           task.state() == wire::TASK_STATE_CANCELLED;
  }
  if (IsEnded(task.state()))
    return true;
  // A task stays pending while it depends on one with an unknown outcome, which
  // only an operator can decide.
  return task.state() == wire::TASK_STATE_PENDING &&
         std::ranges::any_of(
             task.spec().depends_on(), [&state](const std::string& name) {
               const wire::TaskRecord* other = state.FindTask(name);
               return other != nullptr &&
                      (other->state() == wire::TASK_STATE_OUTCOME_UNKNOWN ||
                       other->state() == wire::TASK_STATE_PENDING);
             });
}

}  // namespace

Schedule::Schedule(const ScheduleOptions& options, const FaultPlan& plan)
    : estate(options), options(options), faults(this->estate, plan) {}

void Schedule::Run(Milliseconds length) {
  Simulation& simulation = this->estate.simulation;
  simulation.RunUntil(simulation.now() + kGroupFormationTime);
  const TimePoint end = simulation.now() + length;
  this->faults.SetEnd(end);
  this->SubmitEstate();
  this->faults.Repeat(Milliseconds(900), [this] { this->SubmitEstate(); });
  this->faults.Repeat(Milliseconds(500), [this] { this->SubmitTask(); });
  this->faults.Repeat(Milliseconds(15), [this] { this->SendRequest(); });
  this->faults.Start();
  simulation.RunUntil(end);
  this->estate.Heal();
  simulation.RunUntil(simulation.now() + kRecoveryTime);
  this->CheckAllDone();
}

std::string Schedule::EstateText(std::uint64_t variant) const {
  json tasks = json::array();
  tasks.push_back(TaskJson("temper", "3000 no", false, json::array()));
  tasks.push_back(TaskJson("report", "800 yes", true, {"temper"}));
  tasks.push_back(TaskJson("plan", "2500 yes", true, {"gauge-check"}));
  tasks.push_back(TaskJson("bill", "1500 no", false, {"plan"}));
  json monitors = json::array({MonitorJson("coil-1")});
  if (variant % 2 == 1)
    monitors.push_back(MonitorJson("coil-2"));
  const json quota{
      {"processors", 24}, {"memory_mb", 20000}, {"accelerators", 0}};
  json task_class = TaskJson("class", "1200 no", false, json::array());
  return json{
      {"services", {{{"name", "gauge-check"}, {"timeout_ms", 400 + variant}}}},
      {"tasks", tasks},
      {"monitors", monitors},
      {"task_classes", {task_class}},
      {"teams",
       {{{"name", "steel"}, {"quota", quota}},
        {{"name", "line"}, {"quota", quota}}}}}
      .dump();
}

// Two operators submit the same next version, with equal or different content.
void Schedule::SubmitEstate() {
  Simulation& simulation = this->estate.simulation;
  const std::uint64_t version = this->estate.ledger.HighestAccepted() + 1;
  const std::uint64_t variant = simulation.Random(1000);
  this->SubmitEstateVersion(this->EstateText(variant), version);
  const std::uint64_t other =
      simulation.Chance(0.5) ? variant : simulation.Random(1000);
  this->SubmitEstateVersion(this->EstateText(other), version);
}

void Schedule::SubmitEstateVersion(const std::string& text,
                                   std::uint64_t version) {
  EntryNode* entry = this->RandomEntry();
  if (entry == nullptr)
    return;
  const json body{{"version", version}, {"estate", json::parse(text)}};
  const std::string content = json::parse(text).dump();
  entry->Call("POST", "/estate", body.dump(), kCallTimeout,
              [this, version, content](const wire::ControlReply& reply) {
                if (reply.status() == 200)
                  this->estate.ledger.OnAccepted(version, content);
              });
}

void Schedule::SubmitTask() {
  EntryNode* entry = this->RandomEntry();
  if (entry == nullptr)
    return;
  const std::string key = "key-" + std::to_string(this->next_key);
  // Some submissions are resends of the last one, perhaps by another entry.
  if (this->estate.simulation.Chance(0.6))
    this->next_key += 1;
  const json body{{"class", "class"}, {"key", key}};
  entry->Call("POST", "/tasks", body.dump(), kCallTimeout,
              [this, key](const wire::ControlReply& reply) {
                if (reply.status() != 202)
                  return;
                const std::string task = json::parse(reply.body())["task"];
                const auto [existing, is_new] =
                    this->submitted_tasks.emplace(key, task);
                if (!is_new && existing->second != task)
                  throw Violation("doubled: " + key + " is two tasks");
              });
}

void Schedule::SendRequest() {
  EntryNode* entry = this->RandomEntry();
  if (entry == nullptr)
    return;
  Simulation& simulation = this->estate.simulation;
  const Sending sending{.request = this->next_request++, .number = 1};
  const bool repeatable = simulation.Chance(0.5);
  const bool keyed = !repeatable && simulation.Chance(0.4);
  const Milliseconds timeout =
      simulation.RandomTime(Milliseconds(100), Milliseconds(1500));
  if (!keyed) {
    entry->Request(sending, repeatable, "", timeout, [](bool) {});
    return;
  }
  this->SendKeyedRequest(sending, "order-" + std::to_string(sending.request));
}

// A caller that gets no answer sends the same request again, by a random entry.
void Schedule::SendKeyedRequest(const Sending& sending,
                                const std::string& key) {
  constexpr std::uint64_t kMaxSendings = 4;
  Simulation& simulation = this->estate.simulation;
  EntryNode* entry = this->RandomEntry();
  auto answered = std::make_shared<bool>(false);
  const Milliseconds timeout =
      simulation.RandomTime(Milliseconds(200), Milliseconds(1200));
  if (entry != nullptr) {
    entry->Request(sending, false, key, timeout,
                   [answered](bool forwarded) { *answered = forwarded; });
  }
  if (sending.number >= kMaxSendings)
    return;
  const Milliseconds resend_delay =
      simulation.RandomTime(Milliseconds(100), Milliseconds(1500));
  simulation.RunAfter(resend_delay, [this, sending, key, answered] {
    if (*answered)
      return;
    this->SendKeyedRequest(
        {.request = sending.request, .number = sending.number + 1}, key);
  });
}

EntryNode* Schedule::RandomEntry() {
  const std::uint64_t index =
      this->estate.simulation.Random(this->estate.entries.size());
  EntryNode* entry = this->estate.entries[index].get();
  return entry->IsAlive() ? entry : nullptr;
}

void Schedule::CheckAllDone() {
  const ControlNode* leader = this->estate.Leader();
  if (leader == nullptr)
    throw Violation("done: no leader after healing");
  if (!this->faults.GroupIsComplete())
    throw Violation("done: the group is not whole after healing");
  const ControlState& state = leader->core()->state();
  const std::uint64_t revision = state.estate().revision();
  if (revision < this->estate.ledger.HighestAccepted())
    throw Violation("done: an accepted estate is not in force");
  for (const auto& vm : this->estate.vms) {
    if (vm->revision() != revision)
      throw Violation("done: " + vm->name() + " is behind");
  }
  for (const auto& entry : this->estate.entries) {
    if (entry->revision() != revision)
      throw Violation("done: " + entry->name() + " is behind");
  }
  for (const auto& [id, task] : state.tasks()) {
    if (!IsSettled(state, task)) {
      throw Violation("done: " + id + " is " + NameOf(task.state()) + " on " +
                      task.worker());
    }
    const bool finished = task.state() == wire::TASK_STATE_FINISHED;
    if (finished && this->estate.ledger.TimesFinished(id) == 0)
      throw Violation("done: " + id + " is said to be finished and is not");
  }
  for (const auto& [key, task] : this->submitted_tasks) {
    if (state.FindTask(task) == nullptr)
      throw Violation("lost: " + task);
  }
}

}  // namespace savoryring
