#include "libplacement/scheduler.h"

#include <CppUTest/TestHarness.h>

namespace savoryring {

TEST_GROUP(Scheduler) {
  TimePoint now = TimePoint(std::chrono::hours(1));
  ControlState state;
  Scheduler scheduler{{}, TimePoint()};
  std::uint64_t index = 0;

  void Apply(const std::vector<wire::Command>& commands) {
    for (const wire::Command& command : commands)
      this->state.Apply(command, ++this->index);
  }
  void Submit(const std::string& estate) {
    wire::Command command;
    command.mutable_submit_estate()->set_version(
        this->state.estate().revision() + 1);
    command.mutable_submit_estate()->set_text(estate);
    this->Apply({command});
  }
  void Heartbeat(const std::vector<wire::TaskReport>& reports,
                 const std::string& serving) {
    wire::WorkerHeartbeat heartbeat;
    heartbeat.mutable_worker()->set_id("w");
    heartbeat.mutable_worker()->set_processors(8);
    heartbeat.mutable_worker()->set_memory_mb(8000);
    for (const wire::TaskReport& report : reports)
      *heartbeat.add_reports() = report;
    if (!serving.empty())
      heartbeat.add_serving(serving);
    this->Apply(
        this->scheduler.OnHeartbeat(this->state, heartbeat, 1, this->now));
  }
  void Decide() {
    this->Apply(this->scheduler.Decide(this->state, this->now));
  }
  wire::TaskReport Report(const std::string& task,
                          wire::TaskRunState run_state) {
    wire::TaskReport report;
    report.set_task(task);
    report.set_epoch(this->state.FindTask(task)->epoch());
    report.set_state(run_state);
    return report;
  }
};

TEST(Scheduler, AMonitorThatEndsAtOnceIsRestartedWithBackoff) {
  this->Submit(R"({"teams": [{"name": "t", "quota": {"processors": 8,
      "memory_mb": 8000}}], "monitors": [{"name": "m", "team": "t",
      "processors": 1, "memory_mb": 1, "command": "x"}]})");
  this->Heartbeat({}, "");
  for (int step = 0; step < 3000; ++step) {
    this->now += Milliseconds(20);
    this->Decide();
    const bool runs =
        this->state.FindTask("m")->state() == wire::TASK_STATE_ASSIGNED;
    this->Heartbeat(runs ? std::vector{this->Report("m", wire::TASK_FINISHED)}
                         : std::vector<wire::TaskReport>{},
                    "");
  }
  // One minute; without the backoff there are some 3000 starts.
  CHECK(this->state.FindTask("m")->epoch() >= 5);
  CHECK(this->state.FindTask("m")->epoch() <= 12);
}

TEST(Scheduler, ATaskWaitsForItsDependenciesAndReportsWhichOne) {
  this->Submit(R"({"teams": [{"name": "t", "quota": {"processors": 8,
      "memory_mb": 8000}}], "services": [{"name": "s"}],
      "tasks": [{"name": "a", "team": "t", "processors": 1, "memory_mb": 1,
      "command": "x", "depends_on": ["s"]},
      {"name": "b", "team": "t", "processors": 1, "memory_mb": 1,
      "command": "x", "depends_on": ["a"]}]})");
  this->Heartbeat({}, "");
  this->Decide();
  STRCMP_EQUAL("it waits for s", this->scheduler.PendingReason("a").c_str());
  this->Heartbeat({}, "s");
  this->Decide();
  CHECK(this->state.FindTask("a")->state() == wire::TASK_STATE_ASSIGNED);
  STRCMP_EQUAL("it waits for a", this->scheduler.PendingReason("b").c_str());
  this->Heartbeat({this->Report("a", wire::TASK_FINISHED)}, "s");
  this->Decide();
  CHECK(this->state.FindTask("b")->state() == wire::TASK_STATE_ASSIGNED);
}

TEST(Scheduler, ATeamGetsNoMoreThanItsQuota) {
  this->Submit(R"({"teams": [{"name": "t", "quota": {"processors": 3,
      "memory_mb": 8000}}], "tasks": [
      {"name": "a", "team": "t", "processors": 2, "memory_mb": 1,
      "command": "x"}, {"name": "b", "team": "t", "processors": 2,
      "memory_mb": 1, "command": "x"}]})");
  this->Heartbeat({}, "");
  this->Decide();
  this->Heartbeat({}, "");
  this->Decide();
  CHECK_EQUAL(2, this->state.TeamUsage("t").processors);
  STRCMP_EQUAL("the quota of team t is used up",
               this->scheduler.PendingReason("b").c_str());
}

// A worker that comes back is registered before it has a lease. It must not
// time out in between.
TEST(Scheduler, AWorkerThatComesBackIsNotLostAgainAtOnce) {
  this->Heartbeat({}, "");
  this->now += Milliseconds(10'000);
  this->Decide();
  CHECK(this->state.FindWorker("w")->record.lost());
  this->Heartbeat({}, "");
  this->Decide();
  CHECK(!this->state.FindWorker("w")->record.lost());
}

}  // namespace savoryring
