#include "libcontrol/control_core.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <memory>
#include <utility>

#include "libbase/paced_work.h"

namespace savoryring {
namespace {

// One control process with a simulated disk.
struct Node {
  std::string id;
  StoredReplica disk;
  std::unique_ptr<ControlCore> core;
  std::vector<std::string> lost_workers;
  int snapshots = 0;  // stored since its start
  std::vector<DocumentTask> tasks;
  bool holds_tasks = false;  // none is run for now
};

}  // namespace

TEST_GROUP(ControlCore) {
  TimePoint now = TimePoint(std::chrono::seconds(100));
  std::array<Node, 3> nodes{Node{.id = "1"}, Node{.id = "2"}, Node{.id = "3"}};
  std::uint64_t last_call_token = 0;
  std::uint64_t snapshot_after_bytes = ControlOptions().snapshot_after_bytes;
  std::string reporting_agent = "a";
  std::string reporting_zone;
  std::vector<std::string> availability_zones;
  bool without_evacuation = false;  // replicas of an earlier version
  std::string down;                 // this replica is out of reach
  JobSchedulerFeatures features;
  bool worker_gone = false;  // as the agent reports it
  wire::WorkerEnds ends;
  std::vector<SendAgentOrders> agent_orders;
  std::map<std::uint64_t, wire::ControlReply> replies;
  int progress_replies = 0;
  std::uint64_t task_parts = 0;  // counted in document tasks

  void StartNode(Node & node, std::uint64_t seed,
                 std::uint64_t incarnation = 1) {
    ControlOptions options;
    options.availability_zones = this->availability_zones;
    options.replica.self = {.id = node.id, .incarnation = incarnation};
    options.replica.configured_ids = {"1", "2", "3"};
    options.replica.seed = seed;
    options.snapshot_after_bytes = this->snapshot_after_bytes;
    options.jobs.features = this->features;
    node.snapshots = 0;
    node.tasks.clear();
    node.core = std::make_unique<ControlCore>(options, node.disk, this->now);
  }
  void StartAllNodes() {
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
      this->StartNode(this->nodes[i], i + 1);
  }
  void Persist(Node & node, const ReplicaOutput& output) {
    if (output.hard_state)
      node.disk.hard_state = *output.hard_state;
    if (output.snapshot) {
      node.snapshots += 1;
      node.disk.snapshot = output.snapshot;
      node.disk.entries = node.core->replica().Entries();
      return;
    }
    for (const wire::LogEntry& entry : output.append) {
      std::erase_if(node.disk.entries, [&entry](const wire::LogEntry& old) {
        return old.index() >= entry.index();
      });
      node.disk.entries.push_back(entry);
    }
  }
  void Flush(Node & node) {
    do {
      this->FlushOnce(node);
    } while (this->RunTasks(node));
  }
  void FlushOnce(Node & node) {
    while (true) {
      const ReplicaOutput output = node.core->TakeOutput(this->now);
      this->Persist(node, output);
      node.core->OnStored(output, this->now);
      for (const OutgoingReplicaMessage& outgoing : output.messages) {
        for (Node& to : this->nodes) {
          if (to.id != outgoing.to || to.id == this->down ||
              node.id == this->down)
            continue;
          wire::ReplicaMessage& message =
              this->inboxes[to.id].emplace_back(outgoing.message);
          if (this->without_evacuation && message.has_append_reply())
            message.mutable_append_reply()->set_knows_evacuation(false);
        }
      }
      if (node.core->IsSettled())
        break;
    }
    for (ControlEffect& effect : node.core->TakeEffects(this->now)) {
      if (auto* task = std::get_if<DocumentTask>(&effect))
        node.tasks.push_back(std::move(*task));
      if (const auto* reply = std::get_if<ReplyToCall>(&effect)) {
        this->replies[reply->call_token] = reply->reply;
        this->progress_replies += reply->reply.in_progress() ? 1 : 0;
      }
      if (const auto* orders = std::get_if<SendAgentOrders>(&effect))
        this->agent_orders.push_back(*orders);
      if (const auto* event = std::get_if<OperatorEvent>(&effect)) {
        if (event->event == Event::kJobWorkerLost)
          node.lost_workers.push_back(event->fields[0].value);
      }
    }
  }
  // Returns whether there were any.
  bool RunTasks(Node & node) {
    if (node.holds_tasks)
      return false;
    const auto tasks = std::exchange(node.tasks, {});
    for (const DocumentTask& task : tasks) {
      const std::uint64_t before = CountedParts();
      DocumentResult result = RunDocumentTask(task);
      this->task_parts += CountedParts() - before;
      node.core->OnDocumentResult(std::move(result), this->now);
    }
    return !tasks.empty();
  }
  // One round of messages, reports and ticks, in the order of one large batch:
  // reports are handled after the replica messages but before the entries that
  // these commit are applied.
  void Step() {
    this->now += Milliseconds(10);
    for (Node& node : this->nodes) {
      const auto inbox = std::move(this->inboxes[node.id]);
      this->inboxes[node.id].clear();
      for (const wire::ReplicaMessage& message : inbox)
        node.core->OnReplicaMessage(message, this->now);
      node.core->OnAgentReport(this->Report(), this->now);
      node.core->OnTick(this->now);
      this->Flush(node);
    }
  }
  // One round of replica messages and ticks, without reports.
  void ExchangeMessages() {
    for (Node& node : this->nodes) {
      const auto inbox = std::move(this->inboxes[node.id]);
      this->inboxes[node.id].clear();
      for (const wire::ReplicaMessage& message : inbox)
        node.core->OnReplicaMessage(message, this->now);
      node.core->OnTick(this->now);
      this->Flush(node);
    }
  }
  void Run(int steps) {
    for (int i = 0; i < steps; ++i)
      this->Step();
  }
  wire::AgentReport Report() {
    wire::AgentReport report;
    report.set_sent_ns(ToNanoseconds(this->now));
    report.mutable_worker()->set_agent(this->reporting_agent);
    report.mutable_worker()->set_instance("i-1");
    report.mutable_worker()->set_born_ms(1);
    report.mutable_worker()->set_cpu_milli(4000);
    report.mutable_worker()->set_service("desk");
    report.mutable_worker()->set_availability_zone(this->reporting_zone);
    report.set_worker_gone(this->worker_gone);
    report.set_listed(true);
    *report.mutable_ends() = this->ends;
    return report;
  }
  void Call(const std::string& method, const std::string& path,
            const std::string& body) {
    wire::ControlCall call;
    call.set_method(method);
    call.set_path(path);
    call.set_body(body);
    Node* leader = this->Leader();
    CHECK(leader != nullptr);
    leader->core->OnCall(call, ++this->last_call_token, this->now);
    this->Run(20);
    LONGS_EQUAL(200, this->replies[this->last_call_token].status());
  }
  static std::string Submission(std::uint64_t version,
                                std::size_t source_bytes) {
    return R"({"version":)" + std::to_string(version) +
           R"(,"mode":"highest","source":")" + std::string(source_bytes, 'x') +
           R"(","estate":{"services":[{"name":"desk"}],)"
           R"("queues":[{"name":"q","host":"h","prefix":"/q/",)"
           R"("service":"desk"}]}})";
  }
  void SubmitEstate(std::uint64_t version, std::size_t source_bytes) {
    this->Call("POST", "/estate", Submission(version, source_bytes));
  }
  // Sends a submission to the leader and does not wait for the reply.
  std::uint64_t SendSubmission(const std::string& body) {
    wire::ControlCall call;
    call.set_method("POST");
    call.set_path("/estate");
    call.set_body(body);
    call.set_accepts_progress(true);
    this->Leader()->core->OnCall(call, ++this->last_call_token, this->now);
    return this->last_call_token;
  }
  void SubmitJob(const std::string& name) {
    wire::JobCall call;
    call.set_host("h");
    call.set_path("/q/" + name);
    call.mutable_submit()->add_steps()->set_count(1);
    this->Call("JOB", "", call.SerializeAsString());
  }
  static constexpr int kFirstJobs = 100;
  // A job of 10 s of a processor on a worker with 4, or a little less. Its
  // queue accepts that it takes 20 s, or 1000 s.
  static wire::ControlCall TenTasks(const std::string& name,
                                    bool may_refuse = true,
                                    const std::string& queue = "/slow/") {
    wire::JobCall job;
    job.set_host("h");
    job.set_path(queue + name);
    wire::JobStep* step = job.mutable_submit()->add_steps();
    // Jobs with less work go first.
    step->set_count(queue == "/slow/" ? 10 : 9);
    step->set_cpu_milli(1000);
    step->set_estimated_ms(1000);
    wire::ControlCall call;
    call.set_method("JOB");
    call.set_body(job.SerializeAsString());
    call.set_may_refuse(may_refuse);
    return call;
  }
  std::uint64_t SendToLeader(const wire::ControlCall& call) {
    this->Leader()->core->OnCall(call, ++this->last_call_token, this->now);
    return this->last_call_token;
  }
  // Fills the only worker, which gets nothing done, and waits until the leader
  // has measured that.
  void OverloadGroup() {
    this->features.admission = true;
    this->StartAllNodes();
    this->Run(300);
    this->Call("POST", "/estate",
               R"({"version":1,"estate":{"services":[{"name":"desk"}],)"
               R"("queues":[{"name":"slow","host":"h","prefix":"/slow/",)"
               R"("service":"desk","slack":20},)"
               R"({"name":"patient","host":"h","prefix":"/patient/",)"
               R"("service":"desk","slack":1000}]}})");
    this->SendToLeader(this->TenTasks("long-running"));
    this->Run(600);
    this->SendManyJobs();
  }
  void SendManyJobs() {
    for (int i = 0; i < kFirstJobs; ++i)
      this->SendToLeader(
          this->TenTasks("first-" + std::to_string(i), false, "/patient/"));
    this->Run(20);
    for (std::uint64_t call = this->last_call_token - kFirstJobs + 1;
         call <= this->last_call_token; ++call)
      LONGS_EQUAL(200, this->replies[call].status());
  }
  bool IsRefused(std::uint64_t call) {
    return this->replies[call].result_code() ==
           static_cast<std::uint32_t>(NumberOf(ResultCode::kOverloaded));
  }
  bool IsKnownAnywhere(const std::string& job) {
    for (const Node& node : this->nodes) {
      if (node.core->state().jobs().Find(job) != nullptr)
        return true;
    }
    return false;
  }
  // Starts a group in which zones may be evacuated.
  void StartWithZones() {
    this->availability_zones = {"z1", "z2", "z3"};
    this->StartAllNodes();
    this->Run(300);
  }
  // Sends the call to the leader and returns the status of the answer.
  std::uint32_t CallOnZone(const std::string& method, const std::string& zone,
                           const std::string& body = "") {
    wire::ControlCall call;
    call.set_method(method);
    call.set_path("/zones/" + zone + "/evacuation");
    call.set_body(body);
    Node* leader = this->Leader();
    CHECK(leader != nullptr);
    leader->core->OnCall(call, ++this->last_call_token, this->now);
    this->Run(20);
    return this->replies[this->last_call_token].status();
  }
  static std::string EstateWithQueues(int count) {
    std::string text = R"({"services":[{"name":"desk"}],"queues":[)";
    for (int i = 0; i < count; ++i) {
      const std::string number = std::to_string(i);
      text += (i == 0 ? "" : ",") + std::string(R"({"name":"q)") + number +
              R"(","host":"h","prefix":"/q)" + number +
              R"(/","service":"desk"})";
    }
    return text + "]}";
  }
  static wire::ControlCall EstateCall(std::uint64_t version, int queues) {
    wire::SubmitEstate submission;
    submission.set_version(version);
    submission.set_highest_wins(true);
    submission.set_text(EstateWithQueues(queues));
    wire::ControlCall call;
    call.set_method("ESTATE");
    call.set_path("/estate");
    call.set_body(submission.SerializeAsString());
    call.set_accepts_progress(true);
    return call;
  }
  // Parts of documents that the replicas handle in their own steps, from the
  // call until the estate is in force on all of them.
  std::uint64_t StepPartsOf(const wire::ControlCall& call) {
    const std::uint64_t parts = CountedParts();
    const std::uint64_t parts_in_tasks = this->task_parts;
    const std::uint64_t token = this->SendToLeader(call);
    this->Run(100);
    LONGS_EQUAL(200, this->replies[token].status());
    for (const Node& node : this->nodes) {
      LONGS_EQUAL(this->Leader()->core->state().estate().revision(),
                  node.core->state().estate().revision());
    }
    return CountedParts() - parts - (this->task_parts - parts_in_tasks);
  }
  Node& Follower() {
    for (Node& node : this->nodes) {
      if (!node.core->replica().IsLeader())
        return node;
    }
    return this->nodes[0];
  }
  std::set<std::string> EvacuatedZones() {
    return this->Leader()->core->state().evacuated_zones();
  }
  static std::size_t LogBytes(const Node& node) {
    std::size_t bytes = 0;
    for (const wire::LogEntry& entry : node.core->replica().Entries())
      bytes += entry.command().size();
    return bytes;
  }
  // Submits a job of one task, which runs on "a" and finishes.
  void SubmitAndFinishJob() {
    this->SubmitEstate(1, 0);
    this->SubmitJob("j");
    wire::TaskEnd* end = this->ends.add_ends();
    end->set_number(1);
    end->mutable_task()->set_job("j");
    end->set_run(1);
    end->set_how(wire::RUN_END_DONE);
    this->ends.set_up_to(1);
    this->Run(50);
    this->ends.Clear();
  }
  Node* Leader() {
    for (Node& node : this->nodes) {
      if (node.core->Serves(this->now))
        return &node;
    }
    return nullptr;
  }

  std::map<std::string, std::vector<wire::ReplicaMessage>> inboxes;
};

TEST(ControlCore, NewLeaderDeclaresNoWorkerLostBeforeItsLeaseExpires) {
  this->StartAllNodes();
  this->Run(300);
  this->SubmitAndFinishJob();
  CHECK(this->Leader()->core->state().jobs().Find("j") != nullptr);
  CHECK(!this->Leader()->core->state().jobs().Find("j")->IsOpen());
  this->inboxes.clear();
  this->reporting_agent = "b";
  this->StartAllNodes();
  // This is shorter than a lease, so worker "a" may still be running tasks.
  this->Run(300);
  CHECK(this->Leader() != nullptr);
  for (const Node& node : this->nodes)
    CHECK(node.lost_workers.empty());
}

// Guards against control processes that exceed their memory or disk after many
// changes of a large estate.
TEST(ControlCore, ManyChangesOfALargeEstateDoNotFillTheLog) {
  constexpr std::size_t kEstateBytes = 600'000;
  // An eighth of the smallest disk that is supported.
  constexpr std::size_t kMaxLogBytes = 16U << 20U;
  this->StartAllNodes();
  this->Run(300);
  for (std::uint64_t version = 1; version <= 40; ++version)
    this->SubmitEstate(version, kEstateBytes);
  for (const Node& node : this->nodes)
    CHECK(LogBytes(node) <= kMaxLogBytes);
  this->inboxes.clear();
  this->StartAllNodes();
  this->Run(300);
  LONGS_EQUAL(40, this->Leader()->core->state().estate().revision());
}

// Guards against a log of small entries that is compacted at every change, as
// the snapshot is larger than the size limit of the log.
TEST(ControlCore, ALargeSnapshotIsNotTakenAgainAfterEachSmallChange) {
  constexpr std::size_t kEstateBytes = 12U << 20U;
  this->StartAllNodes();
  this->Run(300);
  this->SendSubmission(Submission(1, kEstateBytes));
  this->Run(200);
  const std::uint64_t first_index =
      this->Leader()->core->replica().first_index();
  for (int i = 0; i < 20; ++i)
    this->SubmitJob("j-" + std::to_string(i));
  LONGS_EQUAL(first_index, this->Leader()->core->replica().first_index());
}

// Guards against a full disk at a start with a log that takes half of it.
TEST(ControlCore, ALongLogIsCompactedOnceAfterARestart) {
  this->snapshot_after_bytes = UINT64_MAX;
  this->StartAllNodes();
  this->Run(300);
  for (std::uint64_t version = 1; version <= 40; ++version)
    this->SubmitEstate(version, 600'000);
  this->snapshot_after_bytes = ControlOptions().snapshot_after_bytes;
  this->inboxes.clear();
  this->StartAllNodes();
  this->Run(300);
  LONGS_EQUAL(40, this->Leader()->core->state().estate().revision());
  for (const Node& node : this->nodes)
    LONGS_EQUAL(1, node.snapshots);
}

TEST(ControlCore, RepliesTellTheEstateRevisionThatDecidedTheCall) {
  this->StartAllNodes();
  this->Run(300);
  this->SubmitAndFinishJob();
  LONGS_EQUAL(1, this->replies[this->last_call_token].estate_revision());
  this->Call("POST", "/estate",
             R"({"version":2,"estate":{"services":[{"name":"desk"}]}})");
  LONGS_EQUAL(1, this->replies[this->last_call_token].estate_revision());
  this->Call("GET", "/estate", "");
  LONGS_EQUAL(2, this->replies[this->last_call_token].estate_revision());
}

// The leader allocates state for each task, so that a short text could take all
// of its memory. A job that an earlier version has accepted stays accepted.
TEST(ControlCore, RefusesAJobWithTooManyTasksBeforeItIsProposed) {
  this->StartAllNodes();
  this->Run(300);
  this->SubmitEstate(1, 0);
  this->SubmitJob("known");
  const auto submit = [this](const std::string& name, std::uint32_t tasks) {
    wire::JobCall job;
    job.set_host("h");
    job.set_path("/q/" + name);
    for (int step = 0; step < 2; ++step)
      job.mutable_submit()->add_steps()->set_count(tasks);
    wire::ControlCall call;
    call.set_method("JOB");
    call.set_body(job.SerializeAsString());
    this->Leader()->core->OnCall(call, ++this->last_call_token, this->now);
    this->Run(20);
    return this->replies[this->last_call_token].status();
  };
  const std::uint64_t last_index = this->Leader()->core->replica().last_index();
  LONGS_EQUAL(400, submit("large", 5001));
  LONGS_EQUAL(last_index, this->Leader()->core->replica().last_index());
  CHECK(this->Leader()->core->state().jobs().Find("large") == nullptr);
  LONGS_EQUAL(200, submit("known", 5001));
  LONGS_EQUAL(200, submit("legal", 5000));
}

TEST(ControlCore, StoppingLeaderTransfersLeadershipWithoutDelay) {
  this->StartAllNodes();
  this->Run(300);
  this->SubmitAndFinishJob();
  Node* before = this->Leader();
  before->core->TransferLeadership(this->now);
  // An election by timeout takes at least 400 ms.
  this->Run(20);
  CHECK(this->Leader() != nullptr);
  CHECK(this->Leader() != before);
  CHECK(this->Leader()->core->state().jobs().Find("j") != nullptr);
}

TEST(ControlCore, AWorkerLostWhileTheLeaderLeaseHadLapsedGetsOrdersAgain) {
  this->StartAllNodes();
  this->Run(300);
  this->SubmitAndFinishJob();
  Node* leader = this->Leader();
  const std::uint64_t term = leader->core->replica().term();
  this->worker_gone = true;
  // The loss is proposed, and committed by acknowledgements that arrive after
  // the lease has lapsed, before the leader would step down.
  this->Run(1);
  this->now += Milliseconds(340);
  this->Run(4);
  CHECK(leader->core->state().jobs().FindWorker("a")->lost);
  this->worker_gone = false;
  this->Run(100);
  POINTERS_EQUAL(leader, this->Leader());
  LONGS_EQUAL(term, leader->core->replica().term());
  CHECK(!leader->core->state().jobs().FindWorker("a")->lost);
  this->agent_orders.clear();
  this->Run(1);
  bool has_lease = false;
  for (const SendAgentOrders& sent : this->agent_orders)
    has_lease = has_lease || sent.orders.lease_ms() > 0;
  CHECK(has_lease);
}

// Guards against a log that grows by each resending of a large estate, which
// takes longer to be stored than the sender waits.
TEST(ControlCore, AnEstateThatIsSentAgainIsStoredOnce) {
  this->StartAllNodes();
  this->Run(300);
  const std::uint64_t before = this->Leader()->core->replica().last_index();
  std::vector<std::uint64_t> calls;
  for (int i = 0; i < 3; ++i) {
    calls.push_back(this->SendSubmission(Submission(1, 10'000)));
    this->Run(1);
  }
  this->Run(20);
  calls.push_back(this->SendSubmission(Submission(1, 10'000)));
  this->Run(20);
  for (const std::uint64_t call : calls)
    LONGS_EQUAL(200, this->replies[call].status());
  LONGS_EQUAL(before + 1, this->Leader()->core->replica().last_index());
  // Other content is another submission.
  this->SendSubmission(Submission(2, 20'000));
  this->SendSubmission(Submission(3, 10'000));
  this->Run(20);
  LONGS_EQUAL(before + 3, this->Leader()->core->replica().last_index());
}

TEST(ControlCore, TheSenderOfAnOpenCallIsToldThatItIsInProgress) {
  this->StartAllNodes();
  this->Run(300);
  Node* leader = this->Leader();
  const std::uint64_t call = this->SendSubmission(Submission(1, 0));
  // The leader keeps its lease, but no replica stores the entry.
  for (int i = 0; i < 30; ++i) {
    this->now += Milliseconds(10);
    leader->core->OnTick(this->now);
    this->Flush(*leader);
  }
  CHECK(this->progress_replies >= 2);
  this->Run(20);
  LONGS_EQUAL(200, this->replies[call].status());
  CHECK(!this->replies[call].in_progress());
}

TEST(ControlCore, AnInvalidEstateIsNeitherStoredNorAcknowledged) {
  this->StartAllNodes();
  this->Run(300);
  const std::uint64_t before = this->Leader()->core->replica().last_index();
  wire::SubmitEstate submission;
  submission.set_version(1);
  submission.set_highest_wins(true);
  submission.set_text(R"({"queues":[{"name":"q","host":"h"}]})");
  wire::ControlCall call;
  call.set_method("ESTATE");
  call.set_path("/estate");
  for (const std::string& body :
       {submission.SerializeAsString(), std::string("{"), std::string()}) {
    call.set_body(body);
    this->Leader()->core->OnCall(call, ++this->last_call_token, this->now);
    this->Run(20);
    CHECK(this->replies[this->last_call_token].status() >= 400);
  }
  LONGS_EQUAL(before, this->Leader()->core->replica().last_index());
  submission.set_text(R"({"services":[{"name":"desk"}]})");
  this->Call("ESTATE", "/estate", submission.SerializeAsString());
  LONGS_EQUAL(1, this->Leader()->core->state().estate().revision());
}

// Guards against agents that look for another leader since one that leads on
// had no lease for a moment.
TEST(ControlCore, AReportThatComesWhileTheLeaseHasLapsedIsAnsweredAfterwards) {
  this->StartAllNodes();
  this->Run(300);
  this->SubmitAndFinishJob();
  Node* leader = this->Leader();
  this->now += Milliseconds(340);
  CHECK(!leader->core->Serves(this->now));
  leader->core->OnAgentReport(this->Report(), this->now);
  CHECK(leader->core->TakeEffects(this->now).empty());
  this->agent_orders.clear();
  for (int i = 0; i < 20; ++i) {
    this->now += Milliseconds(10);
    this->ExchangeMessages();
  }
  LONGS_EQUAL(1, this->agent_orders.size());
  CHECK(this->agent_orders[0].orders.lease_ms() > 0);
}

TEST(ControlCore, AReportThatALeaderHeldIsRedirectedOnceItLeadsNoMore) {
  this->StartAllNodes();
  this->Run(300);
  this->SubmitAndFinishJob();
  Node* leader = this->Leader();
  this->now += Milliseconds(340);
  leader->core->OnAgentReport(this->Report(), this->now);
  for (int i = 0; i < 100; ++i) {
    this->now += Milliseconds(10);
    leader->core->OnTick(this->now);
  }
  CHECK(!leader->core->replica().IsLeader());
  this->agent_orders.clear();
  this->Flush(*leader);
  LONGS_EQUAL(1, this->agent_orders.size());
  LONGS_EQUAL(0, this->agent_orders[0].orders.lease_ms());
}

// Guards against sound workers that are given up, and whose finished tasks run
// again, as their leader was too busy to read their reports.
TEST(ControlCore, TimeInWhichTheLeaderWasBusyCountsAgainstNoLease) {
  this->StartAllNodes();
  this->Run(300);
  this->SubmitAndFinishJob();
  Node* leader = this->Leader();
  // For 7 s the leader replicates and does nothing else but long steps, so that
  // it reads no report.
  for (int step = 0; step < 28; ++step) {
    this->now += Milliseconds(250);
    for (int round = 0; round < 3; ++round) {
      this->ExchangeMessages();
    }
  }
  POINTERS_EQUAL(leader, this->Leader());
  CHECK(leader->lost_workers.empty());
  // A worker that is gone is given up later.
  this->reporting_agent = "b";
  this->Run(800);
  LONGS_EQUAL(1, leader->lost_workers.size());
}

TEST(ControlCore, EvacuationsAreAcknowledgedAgainAndTheLastCallHolds) {
  this->StartWithZones();
  LONGS_EQUAL(200, this->CallOnZone("POST", "z1"));
  LONGS_EQUAL(200, this->CallOnZone("POST", "z1"));
  CHECK(this->EvacuatedZones() == std::set<std::string>{"z1"});
  LONGS_EQUAL(200, this->CallOnZone("DELETE", "z1"));
  LONGS_EQUAL(200, this->CallOnZone("DELETE", "z1"));
  CHECK(this->EvacuatedZones().empty());
  // Both are proposed before either is committed.
  for (const char* method : {"POST", "DELETE"}) {
    wire::ControlCall call;
    call.set_method(method);
    call.set_path("/zones/z2/evacuation");
    this->Leader()->core->OnCall(call, ++this->last_call_token, this->now);
  }
  this->Run(20);
  LONGS_EQUAL(200, this->replies[this->last_call_token].status());
  CHECK(this->EvacuatedZones().empty());
}

TEST(ControlCore, ErrorsInCallsOnZonesChangeNothing) {
  this->StartWithZones();
  LONGS_EQUAL(422, this->CallOnZone("POST", "z9"));
  LONGS_EQUAL(422, this->CallOnZone("DELETE", "z9"));
  LONGS_EQUAL(400, this->CallOnZone("POST", "z1", "{}"));
  LONGS_EQUAL(405, this->CallOnZone("PUT", "z1"));
  LONGS_EQUAL(405, this->CallOnZone("GET", "z1"));
  // The only worker reports zone z1.
  this->reporting_zone = "z1";
  this->Run(50);
  LONGS_EQUAL(409, this->CallOnZone("POST", "z1"));
  CHECK(this->EvacuatedZones().empty());
}

TEST(ControlCore, WithoutTheSettingCallsOnZonesAreOff) {
  this->StartWithZones();
  this->availability_zones.clear();
  this->StartAllNodes();
  this->Run(300);
  LONGS_EQUAL(404, this->CallOnZone("POST", "z1"));
}

// A replica of an earlier version would ignore the entry.
TEST(ControlCore, AnEvacuationIsRefusedUntilAllVotersKnowTheCommand) {
  this->StartWithZones();
  for (Node& node : this->nodes)
    node.disk = {};
  this->inboxes.clear();
  this->without_evacuation = true;
  this->StartAllNodes();
  this->Run(300);
  LONGS_EQUAL(503, this->CallOnZone("POST", "z1"));
  CHECK(this->EvacuatedZones().empty());
  this->without_evacuation = false;
  this->Run(100);
  LONGS_EQUAL(200, this->CallOnZone("POST", "z1"));
}

// Guards against an operator who can't evacuate after the loss of a control.
TEST(ControlCore, AnEvacuationNeedsNoReplyOfAVoterThatIsDown) {
  this->StartWithZones();
  this->down = this->Leader()->id;
  this->Run(600);
  Node* leader = nullptr;
  for (Node& node : this->nodes) {
    if (node.id != this->down && node.core->Serves(this->now))
      leader = &node;
  }
  CHECK(leader != nullptr);
  CHECK(!leader->core->replica().VotersKnowEvacuation());
  LONGS_EQUAL(200, this->CallOnZone("POST", "z1"));
}

TEST(ControlCore, ANewLeaderKnowsEvacuatedZonesAlsoFromASnapshot) {
  this->StartWithZones();
  LONGS_EQUAL(200, this->CallOnZone("POST", "z1"));
  Node* leader = this->Leader();
  leader->core->TransferLeadership(this->now);
  this->Flush(*leader);
  this->Run(300);
  CHECK(this->Leader() != leader);
  CHECK(this->EvacuatedZones() == std::set<std::string>{"z1"});
  // The log is replaced by a snapshot, then all restart.
  this->snapshot_after_bytes = 1;
  this->StartAllNodes();
  this->Run(300);
  CHECK(this->EvacuatedZones() == std::set<std::string>{"z1"});
}

TEST(ControlCore, AReplicaThatLostItsDiskLearnsEvacuatedZones) {
  this->StartWithZones();
  LONGS_EQUAL(200, this->CallOnZone("POST", "z1"));
  Node& node =
      this->Leader() == &this->nodes[0] ? this->nodes[1] : this->nodes[0];
  node.disk = {};
  this->StartNode(node, 9, 2);
  this->Run(600);
  CHECK(node.core->state().evacuated_zones().contains("z1"));
}

TEST(ControlCore, AJobThatWouldEndTooLateIsRefusedAndNeverRuns) {
  this->OverloadGroup();
  const std::uint64_t call = this->SendToLeader(this->TenTasks("late"));
  this->Run(1);
  CHECK(this->IsRefused(call));
  LONGS_EQUAL(503, this->replies[call].status());
  CHECK(this->replies[call].retry_after_ms() >= 1000);
  CHECK(this->replies[call].retry_after_ms() <= 30'000);
  this->Run(300);
  CHECK(!this->IsKnownAnywhere("late"));
}

// Guards against refusals of jobs that run: known ones, proposed ones, and
// those that an earlier leader may have proposed.
TEST(ControlCore, AJobThatIsKnownOrProposedIsNotRefused) {
  this->OverloadGroup();
  const std::uint64_t known = this->SendToLeader(this->TenTasks("first-3"));
  const std::uint64_t maybe_proposed =
      this->SendToLeader(this->TenTasks("other", false));
  const std::uint64_t proposed = this->SendToLeader(this->TenTasks("other"));
  this->Run(20);
  for (const std::uint64_t call : {known, maybe_proposed, proposed})
    LONGS_EQUAL(200, this->replies[call].status());
  CHECK(this->IsKnownAnywhere("other"));
}

// Guards against a late copy of a refused call, which would be accepted as the
// load has changed.
TEST(ControlCore, ACopyOfARefusedCallIsRefusedToo) {
  this->OverloadGroup();
  const std::uint64_t call = this->SendToLeader(this->TenTasks("late"));
  this->Run(50);
  const std::uint64_t copy = this->SendToLeader(this->TenTasks("late", false));
  this->Run(1);
  CHECK(this->IsRefused(call));
  CHECK(this->IsRefused(copy));
  CHECK(this->replies[copy].retry_after_ms() <=
        this->replies[call].retry_after_ms());
  this->Run(300);
  CHECK(!this->IsKnownAnywhere("late"));
}

TEST(ControlCore, ANewLeaderRefusesNothingUntilItHasMeasured) {
  this->OverloadGroup();
  const std::uint64_t refused_before =
      this->SendToLeader(this->TenTasks("late"));
  this->Run(1);
  CHECK(this->IsRefused(refused_before));
  Node* before = this->Leader();
  before->core->TransferLeadership(this->now);
  this->Run(20);
  CHECK(this->Leader() != nullptr && this->Leader() != before);
  const std::uint64_t call = this->SendToLeader(this->TenTasks("late"));
  const std::uint64_t known = this->SendToLeader(this->TenTasks("first-7"));
  this->Run(20);
  LONGS_EQUAL(200, this->replies[call].status());
  LONGS_EQUAL(200, this->replies[known].status());
  // It has the backlog of the leader before, and refuses others in time.
  this->Run(600);
  for (int i = 0; i < kFirstJobs; ++i)
    this->SendToLeader(
        this->TenTasks("next-" + std::to_string(i), false, "/patient/"));
  const std::uint64_t refused = this->SendToLeader(this->TenTasks("later"));
  this->Run(1);
  CHECK(this->IsRefused(refused));
}

// Guards against a leader that loses its lease, and followers that don't answer
// it, as their loops check, apply or read a large estate.
TEST(ControlCore, StepsHandleNoMoreOfALargeEstateThanOfASmallOne) {
  this->StartAllNodes();
  this->Run(300);
  const std::uint64_t small = this->StepPartsOf(EstateCall(1, 1));
  LONGS_EQUAL(small, this->StepPartsOf(EstateCall(2, 8320)));
  LONGS_EQUAL(small, this->StepPartsOf(EstateCall(3, 16'640)));
  LONGS_EQUAL(small, this->StepPartsOf(EstateCall(3, 16'640)));
  wire::ControlCall query;
  query.set_method("GET");
  query.set_path("/estate");
  LONGS_EQUAL(small, this->StepPartsOf(query));
}

// Guards against a loop that stops while it reads the snapshot of a large
// estate, after its replica was out of reach.
TEST(ControlCore, StepsReadNothingOfASnapshot) {
  this->snapshot_after_bytes = 100'000;
  this->StartAllNodes();
  this->Run(300);
  this->StepPartsOf(EstateCall(1, 1));
  Node& follower = this->Follower();
  this->down = follower.id;
  for (std::uint64_t version = 2; version <= 4; ++version) {
    this->SendToLeader(EstateCall(version, 4000));
    this->Run(50);
  }
  const std::uint64_t parts = CountedParts();
  const std::uint64_t parts_in_tasks = this->task_parts;
  this->down.clear();
  this->Run(100);
  LONGS_EQUAL(4, follower.core->state().estate().revision());
  CHECK(this->task_parts - parts_in_tasks > 4000);
  LONGS_EQUAL(0, CountedParts() - parts - (this->task_parts - parts_in_tasks));
}

TEST(ControlCore, ALeaderServesWhileAnEstateIsChecked) {
  this->StartAllNodes();
  this->Run(300);
  this->SubmitEstate(1, 0);
  Node* leader = this->Leader();
  leader->holds_tasks = true;
  const std::uint64_t first = this->SendToLeader(EstateCall(2, 10));
  this->Run(50);
  const std::uint64_t copy = this->SendToLeader(EstateCall(2, 10));
  this->SubmitJob("j");
  this->Run(100);
  POINTERS_EQUAL(leader, this->Leader());
  CHECK(leader->core->HasOpenCalls());
  CHECK(this->progress_replies >= 10);
  LONGS_EQUAL(1, leader->tasks.size());
  leader->holds_tasks = false;
  this->Run(20);
  LONGS_EQUAL(200, this->replies[first].status());
  LONGS_EQUAL(200, this->replies[copy].status());
  LONGS_EQUAL(2, leader->core->state().estate().revision());
}

TEST(ControlCore, EntriesWaitForTheEstateBeforeThem) {
  this->StartAllNodes();
  this->Run(300);
  this->SubmitEstate(1, 0);
  Node& follower = this->Follower();
  follower.holds_tasks = true;
  this->SubmitEstate(2, 0);
  const std::uint64_t applied = follower.core->applied_index();
  this->SubmitJob("j");
  this->Run(50);
  LONGS_EQUAL(applied, follower.core->applied_index());
  POINTERS_EQUAL(nullptr, follower.core->state().jobs().Find("j"));
  follower.holds_tasks = false;
  this->Run(2);
  LONGS_EQUAL(2, follower.core->state().estate().revision());
  CHECK(follower.core->state().jobs().Find("j") != nullptr);
}

// Guards against an outdated answer of a leader that knows, but has not
// applied, what its predecessor acknowledged.
TEST(ControlCore, ANewLeaderServesOnceItHasAppliedTheEstate) {
  this->StartAllNodes();
  this->Run(300);
  this->SubmitEstate(1, 0);
  Node* leader = this->Leader();
  for (Node& node : this->nodes)
    node.holds_tasks = &node != leader;
  this->SubmitEstate(2, 0);
  leader->core->TransferLeadership(this->now);
  this->Flush(*leader);
  this->Run(100);
  POINTERS_EQUAL(nullptr, this->Leader());
  for (Node& node : this->nodes)
    node.holds_tasks = false;
  this->Run(100);
  CHECK(this->Leader() != nullptr);
  LONGS_EQUAL(2, this->Leader()->core->state().estate().revision());
}

TEST(ControlCore, CallsWhoseEstateIsCheckedAreRejectedWhenTheLeaderStepsDown) {
  this->StartAllNodes();
  this->Run(300);
  Node* leader = this->Leader();
  leader->holds_tasks = true;
  const std::uint64_t call = this->SendToLeader(EstateCall(1, 10));
  this->Run(5);
  leader->core->TransferLeadership(this->now);
  this->Flush(*leader);
  LONGS_EQUAL(static_cast<std::uint32_t>(NumberOf(ResultCode::kNoLeader)),
              this->replies[call].result_code());
  CHECK(!this->replies[call].proposed());
  leader->holds_tasks = false;
  this->Run(100);
  LONGS_EQUAL(0, this->Leader()->core->state().estate().revision());
  this->Call("ESTATE", "/estate", EstateCall(1, 10).body());
}

// Guards against a leader that fills its memory with estates to be checked.
TEST(ControlCore, EstatesThatExceedTheMemoryForChecksAreRefused) {
  this->StartAllNodes();
  this->Run(300);
  Node* leader = this->Leader();
  leader->holds_tasks = true;
  std::vector<std::uint64_t> calls;
  for (std::uint64_t version = 1; version <= 4; ++version) {
    wire::SubmitEstate submission;
    submission.set_version(version);
    submission.set_highest_wins(true);
    submission.set_text("{}");
    submission.set_source(std::string(8U << 20U, 'x'));
    wire::ControlCall call = EstateCall(1, 0);
    call.set_body(submission.SerializeAsString());
    calls.push_back(this->SendToLeader(call));
  }
  this->Flush(*leader);
  LONGS_EQUAL(2, leader->tasks.size());
  CHECK(this->IsRefused(calls[2]));
  CHECK(this->IsRefused(calls[3]));
  CHECK(this->replies[calls[3]].retry_after_ms() > 0);
  leader->holds_tasks = false;
  this->Run(100);
  LONGS_EQUAL(200, this->replies[calls[1]].status());
  LONGS_EQUAL(2, leader->core->state().estate().revision());
}

}  // namespace savoryring
