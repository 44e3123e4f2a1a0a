/// The leader's task scheduler. It proposes commands to the replicated log; the
/// state machine checks them again when it applies them. Deterministic:
/// performs no I/O and reads no clock.
#ifndef SAVORYRING_LIBPLACEMENT_SCHEDULER_H_
#define SAVORYRING_LIBPLACEMENT_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libmembership/worker_watch.h"
#include "libplacement/control_state.h"
#include "libplacement/interference_mitigator.h"
#include "savoryring/time.h"

namespace savoryring {

struct SchedulerOptions {
  WorkerWatchOptions watch;
  std::size_t max_assignments_per_command = 256;
  std::size_t max_pending_examined = 4096;
  bool first_fit = false;  ///< Baseline: first worker with enough capacity.
  bool use_interference = true;    ///< Consider slowdown of services.
  bool use_measured_usage = true;  ///< Consider measured processor usage.
  bool use_preemption = true;      ///< Evict tasks to place urgent ones.
  MitigationOptions mitigation;
};

class Scheduler {
 public:
  Scheduler(SchedulerOptions options, TimePoint led_since);

  /// Processes a worker's heartbeat and returns the resulting commands.
  std::vector<wire::Command> OnHeartbeat(const ControlState& state,
                                         const wire::WorkerHeartbeat& heartbeat,
                                         std::uint64_t incarnation,
                                         TimePoint now);

  /// Whether a lease may be granted to the worker: it is registered under this
  /// incarnation and is not being declared lost.
  bool MayGrantLease(const ControlState& state,
                     const std::string& worker,
                     std::uint64_t incarnation) const;

  /// Checks worker leases, interference and pending tasks. The returned
  /// commands must be applied before the next call.
  std::vector<wire::Command> Decide(const ControlState& state, TimePoint now);

  /// Why the task is still pending, as of the last call to Decide. Empty if
  /// that call placed the task or did not examine it.
  std::string PendingReason(const std::string& task) const;
  const WorkerWatch& watch() const { return this->worker_watch; }
  const InterferenceModel& interference() const {
    return this->mitigator.model();
  }

 private:
  // A worker that can take tasks; `free` and `pressure` include the assignments
  // made earlier in the round.
  struct Candidate {
    const WorkerState* worker = nullptr;
    const LiveWorker* live = nullptr;
    Resources free;
    Pressure pressure;
    double measured_utilization = 0;  // measured processors in use / capacity
    bool has_suspect = false;         // see IsSuspect
  };
  // State of one pass over the pending tasks.
  struct AssignmentRound {
    std::vector<Candidate> candidates;
    std::map<std::string, Resources> assigned_by_team;  // in this round
    std::map<std::string, Resources> quota_by_team;
    wire::AssignTasks command;
  };

  // Exponential backoff of a failing task.
  struct Backoff {
    int failures = 0;  // consecutive
    TimePoint retry_time;
  };

  // Limits how often a suspect is placed.
  struct LossDelay {
    std::uint32_t lost_runs = 0;  // counted when the delay began
    TimePoint retry_time;
    TimePoint apart_until;  // not placed beside another suspect before this
  };
  // A run of a task that was lost before.
  struct Trial {
    std::uint64_t epoch = 0;
    TimePoint proven_time;  // the task is sound if the run lasts until then
  };

  void ProveIfSound(const wire::TaskRecord& task,
                    TimePoint now,
                    std::vector<wire::Command>& commands);
  void ForgetOldLosses(const ControlState& state);
  void UpdateLossDelay(const wire::TaskRecord& task, TimePoint now);
  bool MustRunApart(const wire::TaskRecord& task, TimePoint now) const;
  void UpdateBackoff(const wire::TaskRecord& task,
                     wire::TaskRunState run_state,
                     TimePoint now);
  void DeclareLostWorkers(const ControlState& state,
                          TimePoint now,
                          std::vector<wire::Command>& commands);
  void AssignPendingTasks(const ControlState& state,
                          TimePoint now,
                          std::vector<wire::Command>& commands);
  void PlaceTask(const ControlState& state,
                 const wire::TaskRecord& task,
                 TimePoint now,
                 AssignmentRound& round,
                 std::vector<wire::Command>& commands);
  std::string NotReadyReason(const ControlState& state,
                             const wire::TaskRecord& task,
                             TimePoint now) const;
  bool IsDependencyReady(const ControlState& state,
                         const std::string& dependency,
                         TimePoint now) const;
  Candidate* ChooseWorker(const ControlState& state,
                          const wire::TaskRecord& task,
                          bool apart_from_suspects,
                          AssignmentRound& round);
  double PlacementCost(const ControlState& state,
                       const wire::TaskRecord& task,
                       const Candidate& candidate) const;
  std::vector<Candidate> CollectCandidates(const ControlState& state,
                                           TimePoint now) const;
  void Preempt(const ControlState& state,
               const wire::TaskRecord& task,
               TimePoint now,
               const AssignmentRound& round,
               std::vector<wire::Command>& commands);
  void ParkIfUnplaceable(const ControlState& state,
                         const wire::TaskRecord& task,
                         TimePoint now,
                         std::vector<wire::Command>& commands);

  SchedulerOptions options;
  WorkerWatch worker_watch;
  InterferenceMitigator mitigator;
  std::size_t candidate_offset = 0;  // start of the next ChooseWorker scan
  std::map<std::string, TimePoint> next_preemption_times;  // by urgent task id
  std::map<std::string, Backoff> backoffs;                 // by task id
  std::map<std::string, LossDelay> loss_delays;            // by task id
  std::map<std::string, Trial> trials;                     // by task id
  TimePoint earliest_parking_time;
  std::map<std::string, std::string> pending_reasons;  // by task id
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBPLACEMENT_SCHEDULER_H_
