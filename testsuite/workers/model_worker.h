/// A worker that runs tasks of jobs, as a deterministic model: it runs what it
/// is told to under one hold, lists what has ended until that is acknowledged,
/// and knows the newest leader. Stands behind the seeded schedules and behind
/// the stand-in that speaks the platform's protocol.
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
  Milliseconds longest_hold{10'000};
  Milliseconds stop_time{150};
  /// Work between two checkpoints.
  Milliseconds checkpoint{1000};
  /// Time that a start from a checkpoint takes.
  Milliseconds restore{100};
};

/// What a task does, read from its payload: words of the form NAME=NUMBER,
/// `work_ms` (time at work), `fails` (its first runs, that fail at the end),
/// `lasts` (1: until it is stopped). Unknown words are ignored.
struct TaskBehaviour {
  Milliseconds work{100};
  std::uint32_t fails = 0;
  bool lasts = false;
};
TaskBehaviour ReadBehaviour(const std::string& payload);

/// A run that began or ended on the worker.
struct ModelRunChange {
  wire::TaskName task;
  std::uint32_t run = 0;
  bool began = false;
  wire::RunEnd how = wire::RUN_END_UNSPECIFIED;  ///< Where it ended.
  std::uint64_t number = 0;  ///< Of the end, in the worker's list.
};

/// One life of the worker. All times are of its own clock.
class ModelWorker {
 public:
  ModelWorker() = default;
  explicit ModelWorker(ModelWorkerOptions options) : options(options) {}

  CallOutcome Start(const StartCall& call, TimePoint now);
  CallOutcome Stop(const StopCall& call, TimePoint now);
  /// Does not wait: `call.wait_deadline` is the caller's.
  CallOutcome Watch(const WatchCall& call,
                    TimePoint now,
                    WorkerListing& listing);
  CallOutcome Pace(const ThrottleCall& call, TimePoint now);
  /// Ends what is due by `now`.
  void Advance(TimePoint now);

  bool HasEnds() const { return !this->ends.empty(); }
  std::uint64_t acknowledged() const { return this->acknowledged_up_to; }
  std::vector<ModelRunChange> TakeChanges();

 private:
  struct Running {
    wire::TaskName task;
    std::uint32_t run = 0;
    TaskBehaviour behaviour;
    Milliseconds saved{0};  // work in the checkpoint that it began from
    TimePoint work_begin;
    TimePoint stopped;  // when a stop takes effect; the epoch: not stopped
    std::uint32_t percent = 100;
    std::uint32_t cpu_milli = 0;
  };

  bool TakeToken(std::uint64_t token);
  void Hold(TimePoint until, TimePoint now);
  void EndRun(const std::string& name, wire::RunEnd how, TimePoint now);
  Milliseconds WorkDone(const Running& run, TimePoint now) const;
  std::string CheckpointOf(const Running& run,
                           TimePoint now,
                           bool stopping) const;

  ModelWorkerOptions options;
  std::uint64_t highest_token = 0;
  std::uint64_t last_end = 0;
  std::uint64_t acknowledged_up_to = 0;
  TimePoint hold_end;
  std::map<std::string, Running> running;
  std::map<std::string, std::uint32_t> barred;  // highest run that is over
  std::vector<wire::TaskEnd> ends;
  std::vector<ModelRunChange> changes;
};

}  // namespace savoryring

#endif  // SAVORYRING_TESTSUITE_WORKERS_MODEL_WORKER_H_
