#include "libplacement/scheduler.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>
#include <string>
#include <vector>

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

// Workers of four processors each that beat twice a second. They are lost, and
// come back as other incarnations, only as a test says.
TEST_GROUP(LostWorkers) {
  TimePoint now = TimePoint(std::chrono::hours(1));
  ControlState state;
  Scheduler scheduler{{}, TimePoint()};
  std::uint64_t index = 0;
  std::map<std::string, std::uint64_t> incarnations;  // of the live workers
  std::map<std::string, TimePoint> back_at;
  std::uint64_t last_incarnation = 0;

  void Apply(const std::vector<wire::Command>& commands) {
    for (const wire::Command& command : commands)
      this->state.Apply(command, ++this->index);
  }
  void Submit(const std::vector<std::string>& tasks) {
    std::string list;
    for (const std::string& task : tasks) {
      list += (list.empty() ? "" : ", ") + std::string(R"({"name": ")") + task +
              R"(", "team": "t", "processors": 1, "memory_mb": 1,
              "command": "x", "repeatable": true})";
    }
    wire::Command command;
    command.mutable_submit_estate()->set_version(
        this->state.estate().revision() + 1);
    command.mutable_submit_estate()->set_text(
        R"({"teams": [{"name": "t", "quota": {"processors": 100,
        "memory_mb": 8000}}], "tasks": [)" +
        list + "]}");
    this->Apply({command});
  }
  void StartWorkers(const std::vector<std::string>& workers) {
    for (const std::string& worker : workers)
      this->incarnations[worker] = ++this->last_incarnation;
  }
  void Beat(const std::string& worker, std::uint64_t incarnation) {
    wire::WorkerHeartbeat heartbeat;
    heartbeat.mutable_worker()->set_id(worker);
    heartbeat.mutable_worker()->set_processors(4);
    heartbeat.mutable_worker()->set_memory_mb(8000);
    for (const wire::TaskOrder& order : this->state.OrdersFor(worker)) {
      if (order.assigned_incarnation() != incarnation)
        continue;
      wire::TaskReport* report = heartbeat.add_reports();
      report->set_task(order.task());
      report->set_epoch(order.epoch());
      report->set_state(wire::TASK_RUNNING);
    }
    this->Apply(this->scheduler.OnHeartbeat(this->state, heartbeat, incarnation,
                                            this->now));
  }
  void RunFor(Milliseconds length, const std::string& culprit = "") {
    constexpr Milliseconds kInterval{500};
    constexpr Milliseconds kRebootTime{20'000};
    for (const TimePoint end = this->now + length; this->now < end;) {
      this->now += kInterval;
      std::erase_if(this->back_at, [this](const auto& item) {
        if (this->now < item.second)
          return false;
        this->StartWorkers({item.first});
        return true;
      });
      for (const auto& [worker, incarnation] : this->incarnations)
        this->Beat(worker, incarnation);
      if (!culprit.empty() && this->IsAssigned(culprit)) {
        const std::string worker = this->WorkerOf(culprit);
        if (this->incarnations.erase(worker) > 0)
          this->back_at[worker] = this->now + kRebootTime;
      }
      this->Apply(this->scheduler.Decide(this->state, this->now));
    }
  }
  // Loses the workers, and waits until that is known.
  void Lose(const std::set<std::string>& workers) {
    constexpr Milliseconds kMoreThanALease{4500};
    for (const std::string& worker : workers)
      this->incarnations.erase(worker);
    this->RunFor(kMoreThanALease);
  }
  void LoseWorkerOf(const std::string& task) {
    this->Lose({this->WorkerOf(task)});
  }
  std::string WorkerOf(const std::string& task) {
    return this->state.FindTask(task)->worker();
  }
  bool IsAssigned(const std::string& task) {
    return this->state.FindTask(task)->state() == wire::TASK_STATE_ASSIGNED;
  }
};

// At once, at once, then after 5, 10, 20, 40, 80, 160 and 320 s.
TEST(LostWorkers, ATaskThatTakesDownItsWorkersIsNotStartedOnWorkerAfterWorker) {
  this->Submit({"a", "b", "c", "d"});
  this->StartWorkers({"u", "v", "w", "x", "y", "z"});
  this->RunFor(Milliseconds(600'000), "a");
  CHECK(this->state.FindTask("a")->epoch() >= 5);
  CHECK(this->state.FindTask("a")->epoch() <= 9);
  for (const std::string sound : {"b", "c", "d"})
    CHECK(this->IsAssigned(sound));
}

TEST(LostWorkers, TasksOfALostRackAreStartedAgainAtOnce) {
  const std::vector<std::string> tasks = {"a", "b", "c", "d", "e", "f"};
  this->Submit(tasks);
  this->StartWorkers({"u", "v", "w"});
  this->RunFor(Milliseconds(5000));
  this->StartWorkers({"x", "y"});
  this->Lose({"u", "v", "w"});
  for (const std::string& task : tasks)
    CHECK(this->IsAssigned(task));
}

TEST(LostWorkers, TasksLostTogetherTwiceRunApart) {
  this->Submit({"a", "b"});
  for (const std::string worker : {"u", "v"}) {
    this->StartWorkers({worker});
    this->RunFor(Milliseconds(2000));
    this->LoseWorkerOf("a");
  }
  this->StartWorkers({"w"});
  this->RunFor(Milliseconds(3000));
  CHECK(!this->IsAssigned("a"));
  STRCMP_CONTAINS("its workers were lost 2 times in a row",
                  this->scheduler.PendingReason("a").c_str());
  this->RunFor(Milliseconds(4000));
  CHECK(this->IsAssigned("a"));
  CHECK(!this->IsAssigned("b"));
  STRCMP_CONTAINS("without another such task",
                  this->scheduler.PendingReason("b").c_str());
  this->StartWorkers({"x"});
  this->RunFor(Milliseconds(1000));
  STRCMP_EQUAL("x", this->WorkerOf("b").c_str());
}

// After the loss of zones in a row, all of them may be sound.
TEST(LostWorkers, TasksLostTogetherTwiceDoNotWaitLongForWorkersOfTheirOwn) {
  this->Submit({"a", "b", "c"});
  for (const std::string worker : {"u", "v"}) {
    this->StartWorkers({worker});
    this->RunFor(Milliseconds(2000));
    this->LoseWorkerOf("a");
  }
  this->StartWorkers({"w"});
  this->RunFor(Milliseconds(40'000));
  for (const std::string task : {"a", "b", "c"})
    CHECK(this->IsAssigned(task));
}

TEST(LostWorkers, ATaskThatRunsForLongIsPlacedAtOnceWhenItsWorkerIsLost) {
  this->Submit({"a"});
  for (const std::string worker : {"u", "v", "w", "x"}) {
    this->StartWorkers({worker});
    this->RunFor(Milliseconds(65'000));
    this->LoseWorkerOf("a");
  }
  this->StartWorkers({"y"});
  this->RunFor(Milliseconds(1000));
  CHECK(this->IsAssigned("a"));
}

TEST(LostWorkers, ANewLeaderKnowsOfTheLossesBefore) {
  this->Submit({"a"});
  for (const std::string worker : {"u", "v", "w"}) {
    this->StartWorkers({worker});
    this->RunFor(Milliseconds(8000));
    this->LoseWorkerOf("a");
  }
  this->StartWorkers({"x"});
  ControlState restored;
  restored.Restore(this->state.Save());
  this->state = restored;
  this->scheduler = Scheduler({}, this->now);
  this->RunFor(Milliseconds(8000));
  CHECK(!this->IsAssigned("a"));
  this->RunFor(Milliseconds(4000));
  CHECK(this->IsAssigned("a"));
}

}  // namespace savoryring
