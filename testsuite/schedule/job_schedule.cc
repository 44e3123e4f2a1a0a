#include "testsuite/schedule/job_schedule.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "libjobs/job_documents.h"

namespace savoryring {
namespace {

using nlohmann::json;

constexpr Milliseconds kGroupFormationTime{6000};
constexpr Milliseconds kRecoveryTime{90'000};
// When the runs of the first jobs and the suspensions that they cause are over.
constexpr Milliseconds kLateSubmission{70'000};
constexpr int kMaxSendings = 6;
constexpr std::uint64_t kAttempts = 3;
const std::string kQueue = "cure";

std::string EstateText(std::uint64_t variant) {
  return json{{"services", {{{"name", kService}}}},
              {"queues",
               {{{"name", kQueue},
                 {"host", "desk.example"},
                 {"prefix", "/cure/"},
                 {"service", kService},
                 {"attempts", kAttempts},
                 {"timeout_ms", 1000 + variant}}}}}
      .dump();
}

}  // namespace

JobLoad ManyShortJobs() {
  return {.mixed_job = Milliseconds(0),
          .cancellation = Milliseconds(0),
          .short_job = Milliseconds(150)};
}

JobSchedule::JobSchedule(const ScheduleOptions& options,
                         const FaultPlan& plan,
                         const JobLoad& load)
    : estate(options),
      faults(this->estate, plan),
      load(load),
      parsed_estate(ParseEstate(EstateText(0))) {}

void JobSchedule::Run(Milliseconds length) {
  Simulation& simulation = this->estate.simulation;
  simulation.RunUntil(simulation.now() + kGroupFormationTime);
  this->SubmitFirstEstate();
  simulation.RunUntil(simulation.now() + Milliseconds(2000));
  this->CheckLastingTasks();
  for (std::uint64_t i = 0; i < this->load.first_lasting_jobs; ++i)
    this->SubmitLastingJob(1);
  for (int i = 0; i < this->load.first_failing_waves; ++i)
    this->SubmitFailingJobs();
  if (this->load.late_lasting_tasks > 0) {
    simulation.RunAfter(kLateSubmission, [this] {
      this->SubmitLastingJob(this->load.late_lasting_tasks);
    });
  }
  const TimePoint end = simulation.now() + length;
  this->faults.SetEnd(end);
  this->StartClients();
  this->faults.Start();
  simulation.RunUntil(end);
  this->estate.Heal();
  simulation.RunUntil(simulation.now() + kRecoveryTime);
  this->CheckAllDone();
}

void JobSchedule::StartClients() {
  this->faults.Repeat(this->load.mixed_job, [this] { this->SubmitJob(); });
  this->faults.Repeat(Milliseconds(900), [this] { this->SubmitEstate(); });
  this->faults.Repeat(this->load.cancellation,
                      [this] { this->CancelRandomJob(); });
  this->faults.Repeat(Milliseconds(100), [this] { this->QueryRandomJob(); });
  this->faults.Repeat(this->load.lasting_job,
                      [this] { this->SubmitLastingJob(3); });
  this->faults.Repeat(this->load.short_job, [this] { this->SubmitShortJob(); });
  this->faults.Repeat(this->load.failing_jobs,
                      [this] { this->SubmitFailingJobs(); });
  this->faults.Repeat(this->load.crashing_job,
                      [this] { this->SubmitCrashingJob(); });
  this->faults.Repeat(this->load.drain_of_worker,
                      [this] { this->DrainWorkerBesideArrivals(); });
}

void JobSchedule::CheckLastingTasks() {
  constexpr Milliseconds kCheckInterval{100};
  this->estate.job_ledger.CheckLastingTasks(this->estate.simulation.now());
  this->estate.simulation.RunAfter(kCheckInterval,
                                   [this] { this->CheckLastingTasks(); });
}

// --- Operators ---

void JobSchedule::SubmitFirstEstate() {
  this->SubmitEstateVersion(this->last_version, 0);
}

// Two operators submit different versions at the same time; they may arrive in
// either order. In mode "highest" a version below the accepted one has no
// effect.
void JobSchedule::SubmitEstate() {
  Simulation& simulation = this->estate.simulation;
  constexpr std::uint64_t kMaxVersionStep = 5;
  const std::uint64_t first =
      this->last_version + 1 + simulation.Random(kMaxVersionStep);
  const std::uint64_t second = first + 1 + simulation.Random(kMaxVersionStep);
  this->last_version = second;
  this->SubmitEstateVersion(second, second);
  this->SubmitEstateVersion(first, first);
}

void JobSchedule::SubmitEstateVersion(std::uint64_t version,
                                      std::uint64_t variant) {
  GatewayNode* gateway = this->RandomGateway();
  if (gateway == nullptr)
    return;
  const std::string text = EstateText(variant);
  json body{
      {"version", version}, {"mode", "highest"}, {"estate", json::parse(text)}};
  if (this->load.estate_source_bytes > 0)
    body["source"] = std::string(this->load.estate_source_bytes, 'x');
  const std::string content = json::parse(text).dump();
  gateway->Call("POST", "/estate", body.dump(), Milliseconds(2000),
                [this, version, content](const wire::ControlReply& reply) {
                  if (reply.status() == 200)
                    this->estate.ledger.OnAccepted(version, content);
                });
}

// --- Clients ---

std::string JobSchedule::NextJobId() const {
  return "lot-" + std::to_string(this->documents.size() + 1);
}

std::string JobSchedule::CreateJob() {
  Simulation& simulation = this->estate.simulation;
  const auto number = [&simulation](std::uint64_t min, std::uint64_t max) {
    return min + simulation.Random(max - min + 1);
  };
  const std::string id = this->NextJobId();
  json step{{"count", number(1, 6)},
            {"processors", static_cast<double>(number(2, 8)) / 4},
            {"memory_mb", number(100, 900)},
            {"estimated_ms", 1000}};
  std::string payload = "work_ms=" + std::to_string(number(50, 1500));
  json document{{"id", id}, {"queue", kQueue}};
  json steps = json::array();
  switch (simulation.Random(8)) {
    case 0:  // runs until it is cancelled
      step["lasting"] = true;
      step["count"] = number(1, 3);
      step["processors"] = 0.5;
      payload = "lasts=1";
      break;
    case 1:  // fails a few times, perhaps on every attempt
      payload += " fails=" + std::to_string(number(1, kAttempts));
      break;
    case 2:  // resumes from checkpoints
      step["checkpoints"] = true;
      payload = "work_ms=4000";
      break;
    case 3:
      step["spread_limit"] = 1;
      step["count"] = number(1, 3);
      break;
    case 4:  // starts repeatedly at given times
      document["repeat"] = {
          {"count", 3},
          {"start_at_ms", ToMilliseconds(simulation.now()) + 500},
          {"interval_ms", number(300, 2000)}};
      break;
    default:
      break;
  }
  steps.push_back(step);
  if (!step.contains("lasting") && simulation.Chance(0.5)) {
    json second = step;
    second["after"] = {0};
    steps.push_back(second);
  }
  document["payload"] = payload;
  document["steps"] = steps;
  this->documents[id] = document.dump();
  return id;
}

void JobSchedule::SubmitJob() {
  this->SendJob(this->CreateJob(), 1);
}

void JobSchedule::SubmitLastingJob(std::uint64_t count) {
  const std::string id = this->NextJobId();
  const json step{{"count", count},
                  {"processors", 0.1},
                  {"memory_mb", 50},
                  {"estimated_ms", 1000},
                  {"lasting", true}};
  this->documents[id] = json{
      {"id", id},
      {"queue", kQueue},
      {"payload", "lasts=1"},
      {"steps", {step}}}.dump();
  this->SendJob(id, 1);
}

void JobSchedule::SubmitShortJob() {
  Simulation& simulation = this->estate.simulation;
  const std::string id = this->NextJobId();
  const json step{{"count", 1 + simulation.Random(12)},
                  {"processors", 1},
                  {"memory_mb", 100},
                  {"estimated_ms", 1000}};
  this->documents[id] = json{
      {"id", id},
      {"queue", kQueue},
      {"payload", "work_ms=" + std::to_string(300 + simulation.Random(1000))},
      {"steps", {step}}}.dump();
  this->SendJob(id, 1);
}

void JobSchedule::SubmitFailingJobs() {
  constexpr int kJobs = 4;
  Simulation& simulation = this->estate.simulation;
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = this->NextJobId();
    const json step{{"count", 1 + simulation.Random(6)},
                    {"processors", 0.5},
                    {"memory_mb", 100},
                    {"estimated_ms", 1000}};
    this->documents[id] = json{
        {"id", id},
        {"queue", kQueue},
        {"payload",
         "fails=100 work_ms=" + std::to_string(50 + simulation.Random(500))},
        {"steps", {step}}}.dump();
    this->SendJob(id, 1);
  }
}

// One task of the job crashes its workers; some of these jobs last, or resume
// from checkpoints.
void JobSchedule::SubmitCrashingJob() {
  Simulation& simulation = this->estate.simulation;
  const std::string id = this->NextJobId();
  const std::uint64_t count = 1 + simulation.Random(12);
  const std::uint64_t kind = simulation.Random(6);
  json step{{"count", count},
            {"processors", 0.25},
            {"memory_mb", 50},
            {"estimated_ms", 1000}};
  step["lasting"] = kind == 0;
  step["checkpoints"] = kind == 1;
  json document{{"id", id}, {"queue", kQueue}, {"steps", {step}}};
  document["payload"] =
      "crashes=" + std::to_string(1 + simulation.Random(count)) +
      (kind == 0 ? " lasts=1" : " work_ms=800");
  this->documents[id] = document.dump();
  this->SendJob(id, 1);
}

// Lasting jobs arrive until the worker's next heartbeat has announced that it
// drains.
void JobSchedule::DrainWorkerBesideArrivals() {
  constexpr int kJobs = 8;
  Simulation& simulation = this->estate.simulation;
  this->estate.agents[simulation.Random(this->estate.agents.size())]
      ->worker.Drain();
  for (int i = 0; i < kJobs; ++i) {
    simulation.RunAfter(
        simulation.RandomTime(Milliseconds(0), kHeartbeatInterval),
        [this] { this->SubmitLastingJob(3); });
  }
}

// A client that gets no definite answer sends the same job again, by a random
// gateway.
void JobSchedule::SendJob(const std::string& id, int sending) {
  GatewayNode* gateway = this->RandomGateway();
  if (gateway == nullptr)
    return this->ResendLater(id, sending, Milliseconds(500));
  const std::string& document = this->documents.at(id);
  this->estate.job_ledger.OnSent(
      ReadJobDocument(document, this->parsed_estate));
  const Milliseconds timeout =
      this->estate.simulation.RandomTime(Milliseconds(300), Milliseconds(3000));
  auto answered = std::make_shared<bool>(false);
  gateway->Call("POST", "/jobs", document, timeout,
                [this, id, sending, answered](const wire::ControlReply& reply) {
                  *answered = true;
                  this->OnJobReply(id, sending, reply);
                });
  this->estate.simulation.RunAfter(timeout + Milliseconds(500),
                                   [this, id, sending, answered] {
                                     if (!*answered)
                                       this->SendJob(id, sending + 1);
                                   });
}

void JobSchedule::OnJobReply(const std::string& id,
                             int sending,
                             const wire::ControlReply& reply) {
  Simulation& simulation = this->estate.simulation;
  constexpr std::uint32_t kAccepted = 202;
  constexpr std::uint32_t kRefused = 503;
  if (reply.status() == kAccepted) {
    this->estate.job_ledger.OnAccepted(id, simulation.now());
    if (simulation.Chance(0.1))
      this->ResendLater(id, sending, Milliseconds(5000));
    return;
  }
  if (reply.status() == kRefused) {
    this->estate.job_ledger.OnRefused(id);
    if (simulation.Chance(0.5))
      return;
  }
  this->ResendLater(id, sending, Milliseconds(1000));
}

void JobSchedule::ResendLater(const std::string& id,
                              int sending,
                              Milliseconds max_delay) {
  if (sending >= kMaxSendings)
    return;
  Simulation& simulation = this->estate.simulation;
  simulation.RunAfter(simulation.RandomTime(Milliseconds(10), max_delay),
                      [this, id, sending] { this->SendJob(id, sending + 1); });
}

std::string JobSchedule::RandomJob() {
  if (this->documents.empty())
    return "";
  const auto step = static_cast<std::ptrdiff_t>(
      this->estate.simulation.Random(this->documents.size()));
  return std::next(this->documents.begin(), step)->first;
}

void JobSchedule::CancelRandomJob() {
  const std::string id = this->RandomJob();
  GatewayNode* gateway = this->RandomGateway();
  const auto& jobs = this->estate.job_ledger.jobs();
  if (gateway == nullptr || !jobs.contains(id) || !jobs.at(id).accepted)
    return;
  this->estate.job_ledger.OnCancelSent(id);
  gateway->Call("DELETE", "/jobs/" + id, "", Milliseconds(2000),
                [this, id](const wire::ControlReply& reply) {
                  if (reply.status() == 200)
                    this->estate.job_ledger.OnCancelled(id);
                });
}

void JobSchedule::QueryRandomJob() {
  const std::string id = this->RandomJob();
  GatewayNode* gateway = this->RandomGateway();
  const auto& jobs = this->estate.job_ledger.jobs();
  if (gateway == nullptr || !jobs.contains(id))
    return;
  const bool accepted = jobs.at(id).accepted;
  constexpr std::uint32_t kGone = 410;
  gateway->Call("GET", "/jobs/" + id, "", Milliseconds(1000),
                [this, id, accepted](const wire::ControlReply& reply) {
                  if (reply.status() == kGone && accepted)
                    throw Violation("lost: " + id + " is not known");
                  if (reply.status() != 200)
                    return;
                  const json shown = json::parse(reply.body());
                  this->estate.job_ledger.OnStateShown(id, shown["state"]);
                });
}

GatewayNode* JobSchedule::RandomGateway() {
  const auto& gateways = this->estate.gateways;
  GatewayNode* gateway =
      gateways[this->estate.simulation.Random(gateways.size())].get();
  return gateway->IsAlive() ? gateway : nullptr;
}

// The state of the replicas, for a seed in which none of them serves.
void JobSchedule::TraceReplicas() {
  for (const auto& node : this->estate.controls) {
    if (!node->IsAlive()) {
      this->estate.simulation.Trace(node->name() + " replica: down");
      continue;
    }
    const Replica& replica = node->core()->replica();
    std::string line =
        node->name() + " replica: role " +
        std::to_string(static_cast<int>(replica.current_role())) + " term " +
        std::to_string(replica.term()) + " last " +
        std::to_string(replica.last_index()) + " committed " +
        std::to_string(replica.commit_index()) + " applied " +
        std::to_string(node->core()->applied_index()) + " voters";
    for (const MemberId& voter : replica.voters())
      line += " " + voter.id + "/" + std::to_string(voter.incarnation);
    this->estate.simulation.Trace(line);
  }
}

void JobSchedule::CheckAllDone() {
  this->TraceReplicas();
  const ControlNode* leader = this->estate.Leader();
  if (leader == nullptr)
    throw Violation("done: no leader after healing");
  if (!this->faults.GroupIsComplete())
    throw Violation("done: the group is not whole after healing");
  const ControlState& state = leader->core()->state();
  if (state.estate().revision() < this->estate.ledger.HighestAccepted())
    throw Violation("done: an accepted estate is not in force");
  this->estate.job_ledger.CheckAllDone();
}

}  // namespace savoryring
