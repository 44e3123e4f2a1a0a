#include "libplacement/task_runner.h"

#include <CppUTest/TestHarness.h>

#include <memory>

namespace savoryring {

TEST_GROUP(TaskRunner) {
  TimePoint now = TimePoint(std::chrono::hours(1));
  TaskRunnerMutations mutations;
  std::unique_ptr<TaskRunner> runner;
  const TaskRun run{.task = "t", .epoch = 1};

  void Begin() {
    this->runner = std::make_unique<TaskRunner>(
        TaskRunnerOptions{.incarnation = 7, .mutations = this->mutations},
        this->now);
  }
  void Order(std::uint64_t assigned_incarnation) {
    wire::WorkerOrders orders;
    orders.set_sent_boottime_ns(ToNanoseconds(this->now));
    orders.set_lease_ms(3000);
    orders.set_version(1);
    orders.set_has_orders(true);
    wire::TaskOrder* order = orders.add_orders();
    order->set_task("t");
    order->set_epoch(1);
    order->set_run(true);
    order->set_share(1);
    order->set_assigned_incarnation(assigned_incarnation);
    this->runner->OnOrders(orders, this->now);
  }
  template <typename Effect>
  std::size_t CountEffects() {
    std::size_t count = 0;
    for (const TaskRunnerEffect& effect : this->runner->TakeEffects())
      count += std::holds_alternative<Effect>(effect) ? 1 : 0;
    return count;
  }
  void List(const std::vector<WorkerTask>& tasks) {
    this->runner->OnWorkerTasks(tasks, this->now, this->now);
  }
  bool StopsWithoutALease() {
    this->Begin();
    this->Order(7);
    this->CountEffects<StartTask>();
    this->runner->OnStartResult(this->run, true, this->now);
    this->now += Milliseconds(2900);
    this->runner->OnTick(this->now);
    return this->CountEffects<StopTask>() == 1;
  }
};

TEST(TaskRunner, StopsTasksBeforeTheLeaseEnds) {
  CHECK(this->StopsWithoutALease());
  this->mutations.ignore_lease = true;
  CHECK(!this->StopsWithoutALease());
}

TEST(TaskRunner, CountsTheLeaseFromTheRequestHoweverLateTheReply) {
  this->Begin();
  const TimePoint request_time = this->now;
  wire::WorkerOrders orders;
  orders.set_sent_boottime_ns(ToNanoseconds(request_time));
  orders.set_lease_ms(3000);
  orders.set_version(1);
  this->now += Milliseconds(2000);  // the reply is delayed
  this->runner->OnOrders(orders, this->now);
  CHECK(this->runner->lease_expiry() == request_time + Milliseconds(3000));
}

TEST(TaskRunner, DoesNotStartTasksAssignedToAPreviousIncarnation) {
  this->Begin();
  this->Order(6);
  CHECK_EQUAL(0, this->CountEffects<StartTask>());
  // Not listed, but a start request may be in flight until the old lease ends.
  this->now += Milliseconds(500);
  this->List({});
  CHECK_EQUAL(0, this->runner->Reports().size());
  this->now += Milliseconds(3000);
  this->List({});
  CHECK(this->runner->Reports()[0].state() == wire::TASK_LOST);
}

TEST(TaskRunner, TakesOverRunsThatTheWorkerStillLists) {
  this->Begin();
  this->Order(6);
  this->now += Milliseconds(10);
  this->List({{.run = this->run, .state = wire::TASK_RUNNING}});
  CHECK(this->runner->Reports()[0].state() == wire::TASK_RUNNING);
}

TEST(TaskRunner, StopsAnOrphanedRun) {
  this->Begin();
  this->Order(7);
  this->CountEffects<StartTask>();
  this->List(
      {{.run = {.task = "other", .epoch = 3}, .state = wire::TASK_RUNNING}});
  CHECK_EQUAL(1, this->CountEffects<StopTask>());
}

// The worker also acknowledges a stop for a run that has just finished.
TEST(TaskRunner, AStopDoesNotTurnAFinishedRunIntoAStoppedOne) {
  this->Begin();
  this->Order(7);
  this->runner->OnStartResult(this->run, true, this->now);
  this->runner->OnStopResult(this->run, true, "9", this->now);
  this->now += Milliseconds(10);
  this->List({{.run = this->run, .state = wire::TASK_FINISHED}});
  CHECK(this->runner->Reports()[0].state() == wire::TASK_FINISHED);
}

}  // namespace savoryring
