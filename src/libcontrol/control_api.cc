#include "libcontrol/control_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

#include "libbase/json_checker.h"
#include "libbase/parsing_turn.h"
#include "libjobs/job_documents.h"

namespace savoryring {
namespace {

using nlohmann::json;

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> parts;
  std::size_t from = 1;
  while (from <= path.size()) {
    const std::size_t to = std::min(path.find('/', from), path.size());
    if (to > from)
      parts.push_back(path.substr(from, to - from));
    from = to + 1;
  }
  return parts;
}

std::string DumpJson(const json& value) {
  return value.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

// Returns the estate document byte for byte as the operator sent it.
wire::ControlReply EstateSourceReply(const EstateState& estate) {
  if (estate.source().empty())
    throw Error(ResultCode::kNoEstate, "");
  wire::ControlReply reply;
  reply.set_status(200);
  reply.set_body(estate.source());
  return reply;
}

wire::ControlReply JsonReply(int status, const json& value) {
  wire::ControlReply reply;
  reply.set_status(static_cast<std::uint32_t>(status));
  reply.set_body(DumpJson(value));
  return reply;
}

// --- Requests that change the state ---

wire::Command ParseSubmitEstate(const std::string& body) {
  CheckParsedBytes(body, kMaxParsedConfigurationBytes);
  const json document = ParseJson(body);
  ProblemList problems;
  const ObjectView view(document, "", problems);
  view.AllowKeys({"version", "request_id", "estate", "mode", "source"});
  wire::Command command;
  wire::SubmitEstate* submit = command.mutable_submit_estate();
  submit->set_version(
      view.Integer("version", 0, {.min = 1, .max = UINT64_MAX >> 1U}));
  submit->set_request_id(view.String("request_id", false));
  if (!view.Has("version"))
    view.Report(ResultCode::kMissingKey, "version", "required key is missing");
  if (!view.Has("estate"))
    view.Report(ResultCode::kMissingKey, "estate", "required key is missing");
  problems.ThrowIfAny();
  const std::string mode = view.String("mode", false);
  if (!mode.empty() && mode != "next" && mode != "highest")
    throw Error(ResultCode::kOutOfRange, "mode must be next or highest");
  submit->set_highest_wins(mode == "highest");
  submit->set_source(view.String("source", false));
  submit->set_text(DumpInParts(document["estate"]));
  return command;
}

wire::Command ParseEstateCall(const std::string& body) {
  wire::Command command;
  wire::SubmitEstate* submit = command.mutable_submit_estate();
  if (!submit->ParseFromString(body) || submit->version() == 0)
    throw Error(ResultCode::kDamagedMessage, "estate call");
  return command;
}

std::set<std::string> KnownZones(const ControlState& state,
                                 const std::vector<std::string>& configured) {
  std::set<std::string> zones(configured.begin(), configured.end());
  zones.insert(state.evacuated_zones().begin(), state.evacuated_zones().end());
  for (const auto& [id, worker] : state.workers())
    zones.insert(worker.record.description().availability_zone());
  for (const auto& [agent, worker] : state.jobs().workers())
    zones.insert(worker.description.availability_zone());
  zones.erase("");
  return zones;
}

void RequireTeam(const Estate& estate, const std::string& team) {
  if (std::ranges::find(estate.teams, team, &TeamSpec::name) ==
      estate.teams.end())
    throw Error(ResultCode::kUnknownTeam, team);
}

wire::Command ParseSubmitTask(const std::string& body, const Estate& estate) {
  CheckParsedBytes(body);
  const json document = ParseJson(body);
  ProblemList problems;
  const ObjectView view(document, "", problems);
  view.AllowKeys({"class", "team", "key", "urgent", "command"});
  const std::string class_name = view.String("class", true);
  const std::string team = view.String("team", false);
  const std::string command_text = view.String("command", false);
  const std::string key = view.String("key", false);
  const bool urgent = view.Boolean("urgent", false);
  problems.ThrowIfAny();
  const auto found =
      std::ranges::find(estate.task_classes, class_name, &WorkSpec::name);
  if (found == estate.task_classes.end())
    throw Error(ResultCode::kUnknownTaskClass, class_name);
  WorkSpec spec = *found;
  if (!team.empty())
    spec.team = team;
  RequireTeam(estate, spec.team);
  if (!command_text.empty())
    spec.command = command_text;
  spec.urgent = spec.urgent || urgent;
  wire::Command command;
  wire::SubmitTask* submit = command.mutable_submit_task();
  submit->set_key(key);
  *submit->mutable_spec() = ToTaskSpec(spec);
  submit->mutable_spec()->set_task_class(class_name);
  return command;
}

wire::Command ParseClaim(const wire::ControlCall& call) {
  wire::ClaimRecord claim;
  if (!claim.ParseFromString(call.body()) || claim.key().empty())
    throw Error(ResultCode::kDamagedMessage, "claim");
  wire::Command command;
  wire::ClaimKey* body = call.method() == "CLAIM"
                             ? command.mutable_claim_key()
                             : command.mutable_settle_claim();
  *body->mutable_claim() = std::move(claim);
  return command;
}

// Calls have no version: the last one that is committed holds.
bool IsEvacuationCall(const std::vector<std::string>& path) {
  return path.size() == 3 && path[0] == "zones" && path[2] == "evacuation";
}

wire::Command ParseEvacuation(const wire::ControlCall& call,
                              const std::string& zone,
                              const ControlView& view) {
  const bool evacuate = call.method() == "POST";
  if (!evacuate && call.method() != "DELETE")
    throw Error(ResultCode::kWrongMethod, call.method() + " " + call.path());
  if (view.availability_zones.empty())
    throw Error(ResultCode::kEvacuationOff, "");
  if (!call.body().empty())
    throw Error(ResultCode::kOutOfRange, "the call takes no body");
  if (!KnownZones(view.state, view.availability_zones).contains(zone))
    throw Error(ResultCode::kUnknownZone, zone);
  const bool is_evacuated = view.state.evacuated_zones().contains(zone);
  if (evacuate && !is_evacuated && view.state.IsLastZone(zone))
    throw Error(ResultCode::kLastZone, zone);
  // A replica of an earlier version would ignore the entry.
  if (!view.state.evacuation_known() && !view.replica.VotersKnowEvacuation())
    throw Error(ResultCode::kNotReady, "a replica does not know the command");
  wire::Command command;
  command.mutable_evacuate_zone()->set_zone(zone);
  command.mutable_evacuate_zone()->set_evacuated(evacuate);
  return command;
}

// --- Read-only requests ---

json ResourcesToJson(const Resources& resources) {
  return {{"processors", resources.processors},
          {"memory_mb", resources.memory_mb},
          {"accelerators", resources.accelerators}};
}

json TaskToJson(const wire::TaskRecord& task, const ControlView& view) {
  json document{{"task", task.id()},
                {"state", NameOf(task.state())},
                {"team", task.spec().team()},
                {"monitor", task.spec().monitor()},
                {"repeatable", task.spec().repeatable()},
                {"urgent", task.spec().urgent()},
                {"epoch", task.epoch()},
                {"worker", task.worker()},
                {"checkpoint", task.checkpoint()},
                {"evictions", task.evictions()},
                {"lost_runs", task.lost_runs()},
                {"share", task.share()}};
  if (task.state() == wire::TASK_STATE_ASSIGNED) {
    document["running"] = view.scheduler.watch().IsRunning(
        task.worker(), task.id(), task.epoch());
  }
  return document;
}

std::string DescribeState(const wire::TaskRecord& task,
                          const ControlView& view) {
  switch (task.state()) {
    case wire::TASK_STATE_PENDING: {
      const std::string why = view.scheduler.PendingReason(task.id());
      return "it is pending: " +
             (why.empty() ? "it is about to be placed" : why);
    }
    case wire::TASK_STATE_ASSIGNED:
      return "it is on worker " + task.worker() + " in epoch " +
             std::to_string(task.epoch());
    case wire::TASK_STATE_STOPPING:
      return "it is being stopped on worker " + task.worker();
    case wire::TASK_STATE_PARKED:
      return "it can't run: " + task.parked_why();
    case wire::TASK_STATE_OUTCOME_UNKNOWN:
      return "whether it finished is not known; it is not repeatable, so an "
             "operator must decide";
    default:
      return "it is " + NameOf(task.state());
  }
}

json ExplainTask(const wire::TaskRecord& task, const ControlView& view) {
  json steps = json::array();
  for (const wire::TaskStep& step : task.steps()) {
    steps.push_back({{"log_index", step.index()},
                     {"what", step.what()},
                     {"worker", step.worker()},
                     {"epoch", step.epoch()},
                     {"why", step.why()}});
  }
  json document = TaskToJson(task, view);
  document["now"] = DescribeState(task, view);
  document["steps"] = std::move(steps);
  return document;
}

json WorkerToJson(const std::string& id,
                  const WorkerState& worker,
                  const ControlView& view) {
  const LiveWorker* live = view.scheduler.watch().Find(id);
  json document{
      {"worker", id},
      {"rack", worker.record.description().rack()},
      {"availability_zone", worker.record.description().availability_zone()},
      {"capacity", ResourcesToJson(worker.capacity)},
      {"committed", ResourcesToJson(worker.committed)},
      {"tasks", worker.tasks.size()},
      {"lost", worker.record.lost()},
      {"quarantined", worker.record.quarantined()},
      {"draining", worker.record.draining()},
      {"leaving", worker.record.leaving()},
      {"evacuated", view.state.IsEvacuated(worker)}};
  document["lease_remaining_ms"] =
      live == nullptr ? 0 : RemainingTime(view.now, live->lease_bound).count();
  return document;
}

json StatusToJson(const ControlView& view) {
  json workers = json::array();
  for (const auto& [id, worker] : view.state.workers())
    workers.push_back(WorkerToJson(id, worker, view));
  std::map<std::string, std::size_t> counts;
  for (const auto& [id, task] : view.state.tasks())
    counts[NameOf(task.state())] += 1;
  json replicas = json::array();
  for (const MemberId& member : view.replica.voters()) {
    replicas.push_back({{"id", member.id},
                        {"incarnation", std::to_string(member.incarnation)}});
  }
  return {{"leader", view.replica.self().id},
          {"term", view.replica.term()},
          {"commit_index", view.replica.commit_index()},
          {"first_index", view.replica.first_index()},
          {"replicas", std::move(replicas)},
          {"revision", view.state.estate().revision()},
          {"tasks", counts},
          {"claims", view.state.claims().claims().size()},
          {"evacuated_zones", view.state.evacuated_zones()},
          {"workers", std::move(workers)}};
}

json ZonesToJson(const ControlView& view) {
  json zones = json::array();
  for (const std::string& name :
       KnownZones(view.state, view.availability_zones)) {
    json workers = json::array();
    json tasks = json::array();
    for (const auto& [id, worker] : view.state.workers()) {
      if (worker.record.description().availability_zone() != name ||
          worker.record.lost())
        continue;
      workers.push_back(id);
      for (const std::string& task : worker.tasks)
        tasks.push_back(task);
    }
    const JobTable& jobs = view.state.jobs();
    for (const auto& [agent, worker] : jobs.workers()) {
      if (worker.description.availability_zone() != name || worker.lost)
        continue;
      workers.push_back(agent);
      for (const TaskKey& key : worker.runs)
        tasks.push_back(TaskNameText(jobs.NameOf(key)));
    }
    zones.push_back({{"zone", name},
                     {"evacuated", view.state.evacuated_zones().contains(name)},
                     {"workers", std::move(workers)},
                     {"runs", std::move(tasks)}});
  }
  return zones;
}

json InForceToJson(const ControlView& view) {
  json processes = json::array();
  bool current_everywhere = true;
  const std::uint64_t revision = view.state.estate().revision();
  for (const auto& [name, process] : view.processes) {
    if (view.now >= process.valid_until)
      continue;
    current_everywhere = current_everywhere && process.revision >= revision;
    processes.push_back({{"process", name}, {"revision", process.revision}});
  }
  return {{"revision", revision},
          {"in_force_everywhere", current_everywhere},
          {"processes", std::move(processes)}};
}

const wire::TaskRecord& RequireTask(const ControlView& view,
                                    const std::string& id) {
  const wire::TaskRecord* task = view.state.FindTask(id);
  if (task == nullptr)
    throw Error(ResultCode::kUnknownTask, id);
  return *task;
}

const Job& RequireJob(const ControlView& view, const std::string& id) {
  const Job* job = view.state.jobs().Find(id);
  if (job == nullptr)
    throw Error(ResultCode::kUnknownJob, id);
  return *job;
}

json JobsToJson(const ControlView& view) {
  json jobs = json::array();
  for (const auto& [sequence, job] : view.state.jobs().jobs())
    jobs.push_back(JobToJson(job));
  return jobs;
}

json TasksToJson(const ControlView& view) {
  json tasks = json::array();
  for (const auto& [id, task] : view.state.tasks())
    tasks.push_back(TaskToJson(task, view));
  return tasks;
}

}  // namespace

bool SubmitsEstate(const wire::ControlCall& call) {
  return call.method() == "ESTATE" ||
         (call.method() == "POST" &&
          SplitPath(call.path()) == std::vector<std::string>{"estate"});
}

bool QueriesEstate(const wire::ControlCall& call) {
  return call.method() == "GET" &&
         SplitPath(call.path()) == std::vector<std::string>{"estate"};
}

std::optional<wire::Command> ParseCommand(const wire::ControlCall& call,
                                          const ControlView& view) {
  const std::vector<std::string> path = SplitPath(call.path());
  const std::string& method = call.method();
  if (method == "GET")
    return std::nullopt;
  if (method == "CLAIM" || method == "SETTLE")
    return ParseClaim(call);
  const std::string first = path.empty() ? "" : path[0];
  wire::Command command;
  if (method == "POST" && first == "tasks" && path.size() == 1)
    return ParseSubmitTask(call.body(), view.state.estate().estate());
  if (method == "DELETE" && first == "tasks" && path.size() == 2) {
    RequireTask(view, path[1]);
    command.mutable_cancel_task()->set_task(path[1]);
    return command;
  }
  if (method == "POST" && first == "jobs" && path.size() == 1) {
    *command.mutable_job_command()->mutable_submit() =
        ReadJobDocument(call.body(), view.state.estate().estate());
    return command;
  }
  if (method == "DELETE" && first == "jobs" && path.size() == 2) {
    command.mutable_job_command()->set_cancel(
        RequireJob(view, path[1]).spec.id());
    return command;
  }
  const bool drain =
      path.size() == 3 && first == "workers" && path[2] == "drain";
  if (drain && (method == "POST" || method == "DELETE")) {
    command.mutable_drain_worker()->set_worker(path[1]);
    command.mutable_drain_worker()->set_draining(method == "POST");
    return command;
  }
  if (IsEvacuationCall(path))
    return ParseEvacuation(call, path[1], view);
  throw Error(ResultCode::kWrongMethod, method + " " + call.path());
}

wire::Command ParseEstateSubmission(const wire::ControlCall& call) {
  return call.method() == "ESTATE" ? ParseEstateCall(call.body())
                                   : ParseSubmitEstate(call.body());
}

wire::ControlReply FormatEstateReply(std::uint64_t revision,
                                     const PreparedEstate& estate) {
  return JsonReply(200,
                   {{"version", revision}, {"estate", ParseJson(estate.text)}});
}

wire::ControlReply AnswerQuery(const wire::ControlCall& call,
                               const ControlView& view) {
  const std::vector<std::string> path = SplitPath(call.path());
  const std::string first = path.empty() ? "" : path[0];
  if (first == "estate" && path.size() == 2 && path[1] == "source")
    return EstateSourceReply(view.state.estate());
  if (first == "estate" && path.size() == 2 && path[1] == "in-force")
    return JsonReply(200, InForceToJson(view));
  if (first == "status" && path.size() == 1)
    return JsonReply(200, StatusToJson(view));
  if (first == "zones" && path.size() == 1)
    return JsonReply(200, ZonesToJson(view));
  if (IsEvacuationCall(path))
    throw Error(ResultCode::kWrongMethod, call.method() + " " + call.path());
  if (first == "tasks" && path.size() == 1)
    return JsonReply(200, TasksToJson(view));
  if (first == "tasks" && path.size() == 2)
    return JsonReply(200, TaskToJson(RequireTask(view, path[1]), view));
  if (first == "tasks" && path.size() == 3 && path[2] == "explain")
    return JsonReply(200, ExplainTask(RequireTask(view, path[1]), view));
  if (first == "jobs" && path.size() == 1)
    return JsonReply(200, JobsToJson(view));
  if (first == "jobs" && path.size() == 2)
    return JsonReply(200, JobToJson(RequireJob(view, path[1])));
  if (first == "jobs" && path.size() == 3 && path[2] == "explain") {
    return JsonReply(200, ExplainJob(view.state.jobs(), view.job_scheduler,
                                     RequireJob(view, path[1]), view.now));
  }
  throw Error(ResultCode::kNotFound, call.path());
}

wire::ControlReply AnswerApplied(const wire::ControlCall& call,
                                 const ApplyResult& result) {
  if (result.code != ResultCode::kOk)
    return MakeErrorReply(result.code, result.task);
  if (call.method() == "JOB") {
    wire::ControlReply reply;
    reply.set_status(200);
    reply.set_body("{}");
    return reply;
  }
  if (call.method() == "CLAIM" || call.method() == "SETTLE") {
    wire::ControlReply reply;
    reply.set_status(200);
    reply.set_body(result.claim.SerializeAsString());
    return reply;
  }
  if (call.method() == "POST" && call.path() == "/jobs")
    return JsonReply(202, {{"accepted", true}});
  if (!result.task.empty())
    return JsonReply(202, {{"task", result.task}});
  return JsonReply(200, {{"accepted", true}});
}

wire::ControlReply MakeErrorReply(ResultCode code, const std::string& detail) {
  wire::ControlReply reply;
  reply.set_status(static_cast<std::uint32_t>(InfoOf(code).http_status));
  reply.set_result_code(static_cast<std::uint32_t>(NumberOf(code)));
  reply.set_body(ResultBody(code, detail));
  return reply;
}

}  // namespace savoryring
