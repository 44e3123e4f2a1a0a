/// A simulated worker on an endpoint VM: runs tasks under leases and reports
/// their starts and ends to the ledger.
#ifndef SAVORYRING_TESTSUITE_SCHEDULE_FAKE_VM_H_
#define SAVORYRING_TESTSUITE_SCHEDULE_FAKE_VM_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libplacement/task_runner.h"
#include "testsuite/schedule/ledger.h"
#include "testsuite/schedule/virtual_world.h"

namespace savoryring {

/// A task's command is "MILLISECONDS yes|no" (run time, and whether it is
/// repeatable), "watch" for a monitor, or "fail" for a task that fails at once.
class FakeWorker {
 public:
  FakeWorker(Simulation& simulation,
             Ledger& ledger,
             std::string name,
             DriftingClock clock);

  /// False if the lease has already expired.
  bool Start(const wire::TaskOrder& order, TimePoint lease_end);
  void Renew(const TaskRun& run, TimePoint lease_end);
  /// Returns the checkpoint, or nothing if the worker does not know the run.
  std::optional<std::string> CheckpointAndStop(const TaskRun& run);
  std::vector<WorkerTask> List() const;
  /// Simulates a restart of the VM: stops all tasks and forgets them.
  void Restart();
  Resources capacity{.processors = 8, .memory_mb = 8000};

 private:
  struct Running {
    wire::TaskRunState state = wire::TASK_RUNNING;
    Resources size;
    bool repeatable = true;
    bool ends = true;
    Milliseconds work_done{0};
    TimePoint started_at;  // by this VM's clock
    TimePoint lease_end;   // by this VM's clock
    std::string checkpoint;
    std::uint64_t generation = 0;
  };
  void End(const TaskRun& run, Running& task, wire::TaskRunState state);
  void WatchLease(const TaskRun& run, std::uint64_t generation);

  Simulation* simulation;
  Ledger* ledger;
  std::string name;
  DriftingClock clock;
  std::uint64_t next_generation = 1;
  std::map<TaskRun, Running> tasks;
};

}  // namespace savoryring

#endif  // SAVORYRING_TESTSUITE_SCHEDULE_FAKE_VM_H_
