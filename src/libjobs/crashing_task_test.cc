// Tasks that crash the workers that start them: what the leader decides about
// them and about the sound tasks that are lost with them.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>

#include "libjobs/job_scheduler.h"

namespace savoryring {

// Workers that crash as soon as they begin a run of a culprit, and their
// agents. Every command is applied to the table at once.
TEST_GROUP(CrashingTask) {
  static constexpr Milliseconds kStep{50};
  static constexpr std::int64_t kDownSteps = 60;
  struct Worker {
    std::int64_t born_ms = 1;
    std::int64_t down_steps = 0;
    std::map<std::string, wire::RunStatus> runs;
    std::map<std::string, TimePoint> begun;
    wire::WorkerCrash crash;
    wire::WorkerEnds ends;
  };
  JobTable table;
  TimePoint now = TimePoint(std::chrono::seconds(100));
  JobScheduler scheduler{{}, JobTable(), TimePoint(std::chrono::seconds(90))};
  std::map<std::string, Worker> workers;
  std::function<bool(const wire::TaskName&)> is_culprit = [](const auto&) {
    return false;
  };
  bool agents_tell_of_crashes = true;
  int crashes = 0;
  int culprit_crashes = 0;
  std::size_t most_down = 0;

  void AddWorkers(int count) {
    for (int i = 0; i < count; ++i)
      this->workers["w" + std::to_string(i)] = {};
  }
  wire::JobStep* AddStep(wire::JobCommand & command, std::uint32_t count) {
    wire::JobStep* step = command.mutable_submit()->add_steps();
    step->set_count(count);
    step->set_cpu_milli(100);
    step->set_estimated_ms(1000);
    return step;
  }
  void Submit(const std::string& id, std::uint32_t count,
              const std::function<void(wire::JobStep*)>& change = {}) {
    wire::JobCommand command;
    command.mutable_submit()->set_id(id);
    command.mutable_submit()->set_service("desk");
    command.mutable_submit()->set_attempts(2);
    wire::JobStep* step = this->AddStep(command, count);
    if (change)
      change(step);
    this->Apply(command);
  }
  void Apply(const wire::JobCommand& command) {
    this->table.Apply(command);
    for (const JobEvent& event : this->table.TakeEvents())
      this->scheduler.OnEvent(event, this->now);
  }
  void ElectNewLeader() {
    JobTable restored;
    restored.Restore(this->table.Save());
    this->table = std::move(restored);
    this->scheduler = JobScheduler({}, this->table, this->now);
  }
  wire::AgentReport Report(const std::string& agent, const Worker& worker) {
    wire::AgentReport report;
    report.set_sent_ns(ToNanoseconds(this->now));
    wire::JobWorkerDescription* description = report.mutable_worker();
    description->set_agent(agent);
    description->set_instance("i-" + agent);
    description->set_born_ms(worker.born_ms);
    description->set_service("desk");
    description->set_cpu_milli(16000);
    report.set_worker_gone(worker.down_steps > 0);
    report.set_listed(true);
    for (const auto& [name, status] : worker.runs) {
      *report.add_runs() = status;
      report.mutable_runs()->rbegin()->set_survived(
          this->now > worker.begun.at(name) + Milliseconds(300));
    }
    *report.mutable_ends() = worker.ends;
    if (worker.crash.born_ms() != 0 && this->agents_tell_of_crashes)
      *report.mutable_crash() = worker.crash;
    return report;
  }
  void Crash(Worker & worker) {
    this->crashes += 1;
    worker.crash = {};
    worker.crash.set_born_ms(worker.born_ms);
    for (const auto& [name, status] : worker.runs) {
      if (this->now > worker.begun.at(name) + Milliseconds(150))
        continue;
      wire::RecentRun* recent = worker.crash.add_recent_runs();
      *recent->mutable_task() = status.task();
      recent->set_run(status.run());
    }
    worker.runs.clear();
    worker.ends.Clear();
    worker.down_steps = kDownSteps;
  }
  void Begin(Worker & worker, const wire::StartOrder& order) {
    const std::string name = TaskNameText(order.task());
    wire::RunStatus& status = worker.runs[name];
    *status.mutable_task() = order.task();
    status.set_run(order.run());
    status.set_percent(100);
    status.set_described(true);
    worker.begun[name] = this->now;
  }
  void End(Worker & worker, const wire::StopOrder& stop) {
    if (worker.runs.erase(TaskNameText(stop.task())) == 0)
      return;
    worker.ends.set_up_to(worker.ends.up_to() + 1);
    wire::TaskEnd* end = worker.ends.add_ends();
    end->set_number(worker.ends.up_to());
    *end->mutable_task() = stop.task();
    end->set_run(stop.run());
    end->set_how(wire::RUN_END_STOPPED);
  }
  void Step(const std::string& agent, Worker& worker) {
    if (worker.down_steps > 0 && --worker.down_steps == 0)
      worker.born_ms += 1000;
    if (const auto command = this->scheduler.OnReport(
            this->table, this->Report(agent, worker), this->now))
      this->Apply(*command);
    const auto orders =
        this->scheduler.OrdersFor(this->table, agent, this->now);
    if (worker.down_steps > 0)
      return;
    for (const wire::StopOrder& stop : orders.stops())
      this->End(worker, stop);
    bool crashes = false;
    for (const wire::StartOrder& start : orders.starts()) {
      this->Begin(worker, start);
      crashes = crashes || this->is_culprit(start.task());
    }
    if (crashes) {
      this->culprit_crashes += 1;
      this->Crash(worker);
    }
  }
  void Run(Milliseconds length) {
    for (const TimePoint end = this->now + length; this->now < end;) {
      this->now += kStep;
      for (auto& [agent, worker] : this->workers)
        this->Step(agent, worker);
      if (const auto command =
              this->scheduler.Decide(this->table, 0, 0, this->now))
        this->Apply(*command);
      this->most_down = std::max(this->most_down,
                                 static_cast<std::size_t>(std::ranges::count_if(
                                     this->workers, [](const auto& item) {
                                       return item.second.down_steps > 0;
                                     })));
    }
  }
  void MakeCulprit(const std::string& job, std::uint32_t index) {
    this->is_culprit = [job, index,
                        before = this->is_culprit](const wire::TaskName& task) {
      return before(task) || (task.job() == job && task.index() == index);
    };
  }
  Worker* WorkerOf(const std::string& job) {
    for (auto& [agent, worker] : this->workers) {
      for (const auto& [name, status] : worker.runs) {
        if (status.task().job() == job)
          return &worker;
      }
    }
    return nullptr;
  }
  void RunUntilBegun(const std::string& job) {
    for (int i = 0; i < 200 && this->WorkerOf(job) == nullptr; ++i)
      this->Run(kStep);
    CHECK(this->WorkerOf(job) != nullptr);
  }
  void CrashOneThatIdles() {
    const auto found =
        std::ranges::find_if(this->workers, [](const auto& item) {
          return item.second.down_steps == 0 && item.second.runs.empty();
        });
    CHECK(found != this->workers.end());
    this->Crash(found->second);
  }
  wire::JobState StateOf(const std::string& job) {
    return this->table.Find(job)->state;
  }
  std::uint32_t RunsOf(const std::string& job) {
    return this->table.Find(job)->assigned;
  }
};

TEST(CrashingTask, IsGivenUpAfterThreeWorkersAmongManySoundTasks) {
  this->AddWorkers(6);
  this->MakeCulprit("bad", 0);
  this->Submit("bad", 1);
  for (const std::string id : {"a", "b", "c", "d"})
    this->Submit(id, 10);
  this->Run(Milliseconds(12'000));
  LONGS_EQUAL(wire::JOB_STATE_FAILED, this->StateOf("bad"));
  LONGS_EQUAL(3, this->crashes);
  for (const std::string id : {"a", "b", "c", "d"})
    LONGS_EQUAL(10, this->RunsOf(id));
  CHECK(this->table.suspects().empty());
}

TEST(CrashingTask, TwoOnOneWorkerAreBothGivenUp) {
  this->AddWorkers(6);
  this->MakeCulprit("bad", 0);
  this->MakeCulprit("worse", 0);
  this->Submit("bad", 1);
  this->Submit("worse", 1);
  this->Submit("a", 10);
  this->Run(Milliseconds(15'000));
  LONGS_EQUAL(wire::JOB_STATE_FAILED, this->StateOf("bad"));
  LONGS_EQUAL(wire::JOB_STATE_FAILED, this->StateOf("worse"));
  LONGS_EQUAL(10, this->RunsOf("a"));
  CHECK(this->crashes <= 6);
}

TEST(CrashingTask, OneOfALargeJobIsFoundWithFewCrashes) {
  this->AddWorkers(6);
  this->MakeCulprit("bad", 41);
  this->Submit("bad", 57);
  this->Submit("a", 20);
  this->Run(Milliseconds(15'000));
  LONGS_EQUAL(wire::JOB_STATE_FAILED, this->StateOf("bad"));
  LONGS_EQUAL(20, this->RunsOf("a"));
  CHECK(this->crashes <= 4);
}

TEST(CrashingTask, AGangWithOneIsGivenUp) {
  this->AddWorkers(6);
  this->MakeCulprit("bad", 2);
  this->Submit("bad", 4, [](wire::JobStep* step) {
    step->set_gang(true);
    step->set_spread_limit(1);
  });
  this->Submit("a", 20);
  this->Run(Milliseconds(20'000));
  LONGS_EQUAL(wire::JOB_STATE_FAILED, this->StateOf("bad"));
  LONGS_EQUAL(20, this->RunsOf("a"));
  CHECK(this->crashes <= 5);
}

TEST(CrashingTask, ALastingOneIsGivenUp) {
  this->AddWorkers(6);
  this->MakeCulprit("bad", 0);
  this->Submit("bad", 3, [](wire::JobStep* step) { step->set_lasting(true); });
  this->Run(Milliseconds(15'000));
  LONGS_EQUAL(wire::JOB_STATE_FAILED, this->StateOf("bad"));
}

TEST(CrashingTask, ASoundOneIsNotGivenUpWhereWorkersCrashOfAnotherCause) {
  this->AddWorkers(6);
  this->Submit("a", 1, [](wire::JobStep* step) { step->set_lasting(true); });
  for (int i = 0; i < 3; ++i) {
    this->RunUntilBegun("a");
    this->CrashOneThatIdles();
    this->Crash(*this->WorkerOf("a"));
  }
  this->Run(Milliseconds(8000));
  LONGS_EQUAL(wire::JOB_STATE_RUNNING, this->StateOf("a"));
  LONGS_EQUAL(1, this->RunsOf("a"));
}

TEST(CrashingTask, ANewLeaderGivesNoSoundOneUpForCrashesOfAnotherCause) {
  this->AddWorkers(6);
  this->Submit("a", 1, [](wire::JobStep* step) { step->set_lasting(true); });
  for (int i = 0; i < 3; ++i) {
    this->RunUntilBegun("a");
    this->CrashOneThatIdles();
    this->Crash(*this->WorkerOf("a"));
  }
  this->Run(kStep);
  this->ElectNewLeader();
  this->Run(Milliseconds(8000));
  LONGS_EQUAL(wire::JOB_STATE_RUNNING, this->StateOf("a"));
  LONGS_EQUAL(1, this->RunsOf("a"));
}

TEST(CrashingTask, IsGivenUpWhereWorkersCrashOfAnotherCauseToo) {
  this->AddWorkers(6);
  this->MakeCulprit("bad", 0);
  this->Submit("bad", 1, [](wire::JobStep* step) { step->set_lasting(true); });
  for (int i = 0; i < 30; ++i) {
    this->Run(Milliseconds(1000));
    if (i % 4 == 0)
      this->CrashOneThatIdles();
  }
  LONGS_EQUAL(wire::JOB_STATE_FAILED, this->StateOf("bad"));
  CHECK(this->culprit_crashes <= 4);
}

TEST(CrashingTask, TheCountOutlivesElectionsAndSnapshots) {
  this->AddWorkers(6);
  this->MakeCulprit("bad", 0);
  this->Submit("bad", 1);
  this->Submit("a", 10);
  for (int i = 0; i < 30; ++i) {
    this->Run(Milliseconds(700));
    this->ElectNewLeader();
  }
  LONGS_EQUAL(wire::JOB_STATE_FAILED, this->StateOf("bad"));
  CHECK(this->crashes <= 5);
}

TEST(CrashingTask, LossesThatNoAgentSawAreHeldAgainstNoTask) {
  this->agents_tell_of_crashes = false;
  this->AddWorkers(6);
  this->Submit("a", 30);
  for (int i = 0; i < 10; ++i) {
    this->Run(Milliseconds(1000));
    for (auto& [agent, worker] : this->workers)
      this->Crash(worker);
    this->Run(Milliseconds(5000));
  }
  CHECK(this->table.suspects().empty());
  LONGS_EQUAL(30, this->RunsOf("a"));
}

TEST(CrashingTask, CrashesOfManyWorkersAtATimeFailNoSoundJob) {
  this->AddWorkers(6);
  this->Submit("a", 3);
  this->Submit("b", 3);
  for (int i = 0; i < 10; ++i) {
    this->Run(Milliseconds(4000));
    for (auto& [agent, worker] : this->workers)
      this->Crash(worker);
  }
  this->Run(Milliseconds(8000));
  LONGS_EQUAL(3, this->RunsOf("a"));
  LONGS_EQUAL(3, this->RunsOf("b"));
}

TEST(CrashingTask, SoundTasksDoNotWaitLongForATest) {
  this->AddWorkers(6);
  for (int i = 0; i < 60; ++i)
    this->Submit("j" + std::to_string(i), 1,
                 [](wire::JobStep* step) { step->set_lasting(true); });
  this->Run(Milliseconds(150));
  for (auto& [agent, worker] : this->workers)
    this->Crash(worker);
  this->Run(kStep * kDownSteps + Milliseconds(3000));
  for (int i = 0; i < 60; ++i)
    LONGS_EQUAL(1, this->RunsOf("j" + std::to_string(i)));
}

TEST(CrashingTask, FewWorkersAreDownBySuspectsAtATime) {
  this->AddWorkers(9);
  for (int i = 0; i < 8; ++i) {
    const std::string id = "bad" + std::to_string(i);
    this->MakeCulprit(id, 0);
    this->Submit(id, 1);
  }
  this->Run(Milliseconds(1000));
  this->most_down = 0;
  this->Run(Milliseconds(40'000));
  for (int i = 0; i < 8; ++i)
    LONGS_EQUAL(wire::JOB_STATE_FAILED,
                this->StateOf("bad" + std::to_string(i)));
  CHECK(this->most_down <= 9 / 2 + 1);
}

// A command of a leader of an older build tells of no crash.
TEST(CrashingTask, TheCountOutlivesALeaderOfAnOlderBuild) {
  this->AddWorkers(2);
  this->MakeCulprit("bad", 0);
  this->Submit("bad", 1);
  this->Run(Milliseconds(300));
  const std::uint32_t counted =
      this->table.Task(*this->table.suspects().begin()).crashes;
  wire::JobCommand command;
  wire::WorkerLoss* loss = command.add_losses();
  loss->set_agent("w1");
  loss->set_born_ms(this->workers["w1"].born_ms);
  this->Apply(command);
  LONGS_EQUAL(counted,
              this->table.Task(*this->table.suspects().begin()).crashes);
  CHECK(counted > 0);
}

// Guards against a job that is shown as failed, and stopped on sound workers,
// since one worker is in a crash loop.
TEST(CrashingTask, IsNotGivenUpAsOneWorkerCrashesRepeatedly) {
  constexpr int kWorkers = 7;
  this->AddWorkers(kWorkers);
  this->Submit("monitors", kWorkers, [](wire::JobStep* step) {
    step->set_lasting(true);
    step->set_spread_limit(1);
  });
  this->Run(Milliseconds(3000));
  LONGS_EQUAL(kWorkers, this->RunsOf("monitors"));
  Worker& looping = this->workers.at("w6");
  for (int i = 0; i < 7; ++i) {
    this->Crash(looping);
    while (looping.down_steps > 0)
      this->Run(kStep);
    this->Run(Milliseconds(100));
  }
  this->Run(Milliseconds(9000));
  CHECK(this->StateOf("monitors") == wire::JOB_STATE_RUNNING);
  LONGS_EQUAL(kWorkers, this->RunsOf("monitors"));
}

// Crashes of two workers by turns are no loop of one of them.
TEST(CrashingTask, IsGivenUpThoughOnlyTwoWorkersFitIt) {
  this->AddWorkers(2);
  this->MakeCulprit("j", 0);
  this->Submit("j", 1);
  this->Run(Milliseconds(60'000));
  CHECK(this->StateOf("j") == wire::JOB_STATE_FAILED);
  CHECK(this->culprit_crashes <= 5);
}

}  // namespace savoryring
