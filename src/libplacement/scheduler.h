/// Placement decisions of the leader: a deterministic core. It proposes
/// commands; what they really change is decided when they are applied.
#ifndef SAVORYRING_LIBPLACEMENT_SCHEDULER_H_
#define SAVORYRING_LIBPLACEMENT_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libmembership/worker_watch.h"
#include "libplacement/control_state.h"
#include "libplacement/relief.h"
#include "savoryring/time.h"

namespace savoryring {

struct SchedulerOptions {
  WorkerWatchOptions watch;
  std::size_t most_assignments = 256;  ///< In one command.
  std::size_t most_pending_looked_at = 4096;
  bool first_fit = false;        ///< Baseline: the first worker that has room.
  bool use_interference = true;  ///< Weigh what a task does to services.
  bool use_measured_use = true;  ///< Weigh what a worker really uses.
  bool use_preemption = true;    ///< Make room for urgent tasks.
  ReliefOptions relief;
};

class Scheduler {
 public:
  Scheduler(SchedulerOptions options, TimePoint led_since);

  /// Takes a worker's heartbeat. Returns the commands it calls for.
  std::vector<wire::Command> OnHeartbeat(const ControlState& state,
                                         const wire::WorkerHeartbeat& heartbeat,
                                         std::uint64_t incarnation,
                                         TimePoint now);

  /// Whether a lease may go to the worker: it is registered under this
  /// incarnation and is not being declared lost.
  bool MayGrantLease(const ControlState& state,
                     const std::string& worker,
                     std::uint64_t incarnation) const;

  /// Looks at leases and pending tasks. Must not be called again before the
  /// returned commands are applied.
  std::vector<wire::Command> Decide(const ControlState& state, TimePoint now);

  /// Why a pending task waits, as of the last Decide that looked at it.
  std::string WhyPending(const std::string& task) const;
  const WorkerWatch& watch() const { return this->live; }
  const InterferenceModel& interference() const { return this->relief.model(); }

 private:
  // A worker with what this round of decisions has already given away.
  struct Candidate {
    const WorkerState* worker = nullptr;
    const LiveWorker* live = nullptr;
    Resources free;
    Pressure pressure;      // by class, this round's assignments included
    double used_share = 0;  // of the processors, as measured
  };
  // State of one round of assignments.
  struct Round {
    std::vector<Candidate> candidates;
    std::map<std::string, Resources> given;   // by team
    std::map<std::string, Resources> quotas;  // by team
    wire::AssignTasks assign;
  };

  // How often a task has failed in a row, and when it is tried again.
  struct Backoff {
    int failures = 0;
    TimePoint next_try;
  };

  void NoteEnd(const wire::TaskRecord& task,
               wire::TaskRunState end,
               TimePoint now);
  void LoseSilentWorkers(const ControlState& state,
                         TimePoint now,
                         std::vector<wire::Command>& commands);
  void AssignPending(const ControlState& state,
                     TimePoint now,
                     std::vector<wire::Command>& commands);
  void Place(const ControlState& state,
             const wire::TaskRecord& task,
             TimePoint now,
             Round& round,
             std::vector<wire::Command>& commands);
  std::string WhyNotReady(const ControlState& state,
                          const wire::TaskRecord& task,
                          TimePoint now) const;
  bool IsUp(const ControlState& state,
            const std::string& name,
            TimePoint now) const;
  Candidate* ChooseWorker(const ControlState& state,
                          const wire::TaskRecord& task,
                          Round& round);
  double CostOf(const ControlState& state,
                const wire::TaskRecord& task,
                const Candidate& candidate) const;
  std::vector<Candidate> LiveCandidates(const ControlState& state,
                                        TimePoint now) const;
  void MakeRoom(const ControlState& state,
                const wire::TaskRecord& task,
                TimePoint now,
                const Round& round,
                std::vector<wire::Command>& commands);
  void ParkIfImpossible(const ControlState& state,
                        const wire::TaskRecord& task,
                        TimePoint now,
                        std::vector<wire::Command>& commands);

  SchedulerOptions options;
  WorkerWatch live;
  Relief relief;
  std::size_t next_candidate = 0;  // where the next search for room begins
  std::map<std::string, TimePoint> room_deadlines;  // by urgent task
  std::map<std::string, Backoff> backoffs;          // by task
  TimePoint park_start;
  std::map<std::string, std::string> why_pending;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBPLACEMENT_SCHEDULER_H_
