#include "libjobs/job_documents.h"

#include <CppUTest/TestHarness.h>

namespace savoryring {

TEST_GROUP(JobDocuments) {
  Estate estate;
  JobTable table;
  TimePoint now = TimePoint(std::chrono::seconds(100));
  JobScheduler scheduler{{}, JobTable(), TimePoint(std::chrono::seconds(100))};

  void setup() override {
    QueueSpec queue;
    queue.name = "cure";
    queue.service = "desk";
    queue.priority = 2;
    queue.attempts = 3;
    queue.slack = 1.5;
    queue.latency_target = Milliseconds(800);
    this->estate.queues.push_back(queue);
    this->estate.IndexQueues();
  }
  ResultCode CodeOf(const std::string& text) {
    try {
      ReadJobDocument(text, this->estate);
      return ResultCode::kOk;
    } catch (const Error& failure) {
      return failure.code();
    }
  }
  void Apply(const wire::JobCommand& command) {
    this->table.Apply(command);
    for (const JobEvent& event : this->table.TakeEvents())
      this->scheduler.OnEvent(event, this->now);
  }
  void Submit(const std::string& text) {
    wire::JobCommand command;
    *command.mutable_submit() = ReadJobDocument(text, this->estate);
    this->Apply(command);
  }
  void AddWorker(const std::string& agent, std::uint32_t cpu_milli) {
    wire::AgentReport report;
    wire::JobWorkerDescription* worker = report.mutable_worker();
    worker->set_agent(agent);
    worker->set_instance("i-" + agent);
    worker->set_born_ms(1);
    worker->set_service("desk");
    worker->set_cpu_milli(cpu_milli);
    worker->set_memory_mb(1000);
    for (int i = 0; i < 2; ++i) {
      report.set_sent_ns(ToNanoseconds(this->now));
      if (const auto command =
              this->scheduler.OnReport(this->table, report, this->now))
        this->Apply(*command);
    }
  }
  void Decide() {
    if (const auto command =
            this->scheduler.Decide(this->table, 0, 0, this->now))
      this->Apply(*command);
  }
  void End(const std::string& agent, std::uint64_t number, std::uint32_t run,
           wire::RunEnd how) {
    wire::JobCommand command;
    wire::WorkerEnds* ends = command.add_ends();
    ends->set_agent(agent);
    ends->set_born_ms(1);
    ends->set_up_to(number);
    wire::TaskEnd* end = ends->add_ends();
    end->set_number(number);
    end->mutable_task()->set_job("lot-7");
    end->set_run(run);
    end->set_how(how);
    this->Apply(command);
  }
  nlohmann::json Explain() {
    return ExplainJob(this->table, this->scheduler, *this->table.Find("lot-7"),
                      this->now);
  }
};

TEST(JobDocuments, AJobGetsTheSettingsOfItsQueue) {
  const wire::JobSpec spec = ReadJobDocument(
      R"({"id": "lot-7", "queue": "cure", "payload": "heat",
          "steps": [{"count": 4, "processors": 0.5, "memory_mb": 64},
                    {"after": [0], "checkpoints": true}]})",
      this->estate);
  STRCMP_EQUAL("desk", spec.service().c_str());
  LONGS_EQUAL(3, spec.attempts());
  LONGS_EQUAL(150, spec.slack_percent());
  LONGS_EQUAL(800, spec.latency_target_ms());
  LONGS_EQUAL(500, spec.steps(0).cpu_milli());
  LONGS_EQUAL(1000, spec.steps(1).cpu_milli());
  LONGS_EQUAL(0, spec.steps(1).after(0));
}

TEST(JobDocuments, InvalidDocumentsAreRejectedWithTheirResultCode) {
  const auto code = [this](const char* text) { return this->CodeOf(text); };
  CHECK(code(R"({"queue": "cure", "steps": [{}]})") == ResultCode::kMissingKey);
  CHECK(code(R"({"id": "a/b", "queue": "cure", "steps": [{}]})") ==
        ResultCode::kOutOfRange);
  CHECK(code(R"({"id": "a", "queue": "none", "steps": [{}]})") ==
        ResultCode::kUnknownQueue);
  CHECK(code(R"({"id": "a", "queue": "cure", "steps": []})") ==
        ResultCode::kMalformedJob);
  CHECK(code(R"({"id": "a", "queue": "cure", "steps": [{"after": [0]}]})") ==
        ResultCode::kMalformedJob);
  CHECK(code(R"({"id": "a", "queue": "cure", "steps": [{"after": [-1]}]})") ==
        ResultCode::kWrongType);
  CHECK(
      code(R"({"id": "a", "queue": "cure", "steps": [{"processors": 1e9}]})") ==
      ResultCode::kOutOfRange);
  CHECK(code(R"({"id": "a", "queue": "cure", "steps": [{"cpus": 1}]})") ==
        ResultCode::kUnknownKey);
}

TEST(JobDocuments, ExplainShowsWhyAStepWaits) {
  this->AddWorker("a", 500);
  this->Submit(
      R"({"id": "lot-7", "queue": "cure",
          "steps": [{"processors": 2}, {"after": [0]}]})");
  this->Decide();
  const nlohmann::json result = this->Explain();
  STRCMP_EQUAL("pending", result["state"].get<std::string>().c_str());
  STRCMP_EQUAL("1 tasks wait; 1 workers of desk: 1 without free processors",
               result["steps"][0]["now"].get<std::string>().c_str());
  STRCMP_EQUAL("waits for step 0",
               result["steps"][1]["now"].get<std::string>().c_str());
}

TEST(JobDocuments, ExplainShowsTheJobHistory) {
  this->AddWorker("a", 4000);
  this->Submit(R"({"id": "lot-7", "queue": "cure", "steps": [{}]})");
  this->Decide();
  this->End("a", 1, 1, wire::RUN_END_FAILED);
  this->Decide();
  STRCMP_EQUAL("on a",
               this->Explain()["steps"][0]["now"].get<std::string>().c_str());
  this->End("a", 2, 2, wire::RUN_END_DONE);
  const nlohmann::json result = this->Explain();
  STRCMP_EQUAL("completed", result["state"].get<std::string>().c_str());
  std::string history;
  for (const nlohmann::json& entry : result["history"])
    history += entry["what"].get<std::string>() + "; ";
  STRCMP_EQUAL(
      "accepted; assigned; ended: failed; assigned; ended: done; job ended; ",
      history.c_str());
}

TEST(JobDocuments, HistoryIsBoundedAndKeptInSnapshots) {
  constexpr std::uint32_t kRuns = 40;
  this->AddWorker("a", 4000);
  this->Submit(
      R"({"id": "lot-7", "queue": "cure", "steps": [{"lasting": true}]})");
  for (std::uint32_t run = 1; run <= kRuns; ++run) {
    this->Decide();
    this->End("a", run, run, wire::RUN_END_STOPPED);
  }
  const nlohmann::json result = this->Explain();
  CHECK(result["history"].size() <= 24);
  LONGS_EQUAL(2 * kRuns + 1, result["history"].size() +
                                 result["history_dropped"].get<std::size_t>());
  JobTable other;
  other.Restore(this->table.Save());
  STRCMP_EQUAL(this->table.Save().SerializeAsString().c_str(),
               other.Save().SerializeAsString().c_str());
  this->table = std::move(other);
  CHECK(result["history"] == this->Explain()["history"]);
}

}  // namespace savoryring
