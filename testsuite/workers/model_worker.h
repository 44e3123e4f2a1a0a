/// Deterministic model of a worker that runs job tasks. All runs end when the
/// hold, which calls extend, expires. Ended runs are listed until acknowledged,
/// and calls with a token of an earlier leader are rejected. Used by the seeded
/// schedules and by the stand-in that implements the platform's protocol.
#ifndef SAVORYRING_TESTSUITE_WORKERS_MODEL_WORKER_H_
#define SAVORYRING_TESTSUITE_WORKERS_MODEL_WORKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libjobs/worker_agent.h"
#include "savoryring/time.h"

namespace savoryring {

struct ModelWorkerOptions {
  Milliseconds max_hold{10'000};
  Milliseconds stop_time{150};
  /// Amount of work between two checkpoints.
  Milliseconds checkpoint_interval{1000};
  /// Time needed to restore a checkpoint at the start of a run.
  Milliseconds restore_time{100};
};

/// What a task does, parsed from its payload. The payload has words of the form
/// NAME=NUMBER: `work_ms` (duration of the work), `fails` (the number of first
/// runs that fail at their end), `lasts` (1: runs until it is stopped) and
/// `crashes` (N: the task with index N-1 crashes each worker that starts it).
/// Unknown words are ignored.
struct TaskBehaviour {
  Milliseconds work{100};
  std::uint32_t failing_runs = 0;
  bool runs_until_stopped = false;
  std::uint32_t crashing_task = 0;  ///< Index of the task plus 1; 0: none.

  bool CrashesWorker(const wire::TaskName& task) const {
    return this->crashing_task == task.index() + 1;
  }
};
TaskBehaviour ReadBehaviour(const std::string& payload);

/// The start or end of a run on the worker.
struct ModelRunChange {
  wire::TaskName task;
  std::uint32_t run = 0;
  bool started = false;
  wire::RunEnd how = wire::RUN_END_UNSPECIFIED;  ///< Only for an end.
  std::uint64_t number = 0;  ///< Of an end, in the worker's list of ends.
};

/// One incarnation of the worker. All times are those of the worker's clock.
class ModelWorker {
 public:
  ModelWorker() = default;
  explicit ModelWorker(ModelWorkerOptions options) : options(options) {}

  /// With `faulty`, the run fails soon, whatever its task.
  CallOutcome Start(const StartCall& call, TimePoint now, bool faulty = false);
  CallOutcome Stop(const StopCall& call, TimePoint now);
  /// Returns at once; waiting until `call.wait_deadline` is up to the caller.
  CallOutcome Watch(const WatchCall& call,
                    TimePoint now,
                    WorkerListing& listing);
  CallOutcome Throttle(const ThrottleCall& call, TimePoint now);
  /// Ends the runs that are due by `now`.
  void Advance(TimePoint now);

  bool HasUnacknowledgedEnds() const { return !this->ends.empty(); }
  std::uint64_t acknowledged() const { return this->acknowledged_up_to; }
  /// Whether a run that crashes the worker has begun.
  bool IsCrashing() const;
  /// How often the hold has expired.
  std::uint64_t hold_lapses() const { return this->lapse_count; }
  std::vector<ModelRunChange> TakeChanges();

 private:
  struct Running {
    wire::TaskName task;
    std::uint32_t run = 0;
    TaskBehaviour behaviour;
    Milliseconds saved_work{0};  // in the checkpoint that the run started from
    TimePoint work_begin;
    TimePoint stop_at;  // when a stop takes effect; TimePoint() if none
    std::uint32_t speed_percent = 100;
    std::uint32_t cpu_milli = 0;
    bool faulty = false;
  };

  bool AcceptToken(std::uint64_t token);
  void ExtendHold(TimePoint until, TimePoint now);
  void EndRun(const std::string& name, wire::RunEnd how, TimePoint now);
  Milliseconds WorkDone(const Running& run, TimePoint now) const;
  std::string CheckpointOf(const Running& run,
                           TimePoint now,
                           bool stopping) const;

  ModelWorkerOptions options;
  std::uint64_t highest_token = 0;
  std::uint64_t last_end_number = 0;
  std::uint64_t acknowledged_up_to = 0;
  TimePoint hold_end;
  TimePoint lapsed_hold_end;  // the latest hold that has expired
  std::uint64_t lapse_count = 0;
  std::map<std::string, Running> running;
  std::map<std::string, std::uint32_t> highest_ended_runs;  // by task
  std::vector<wire::TaskEnd> ends;
  std::vector<ModelRunChange> changes;
};

}  // namespace savoryring

#endif  // SAVORYRING_TESTSUITE_WORKERS_MODEL_WORKER_H_
