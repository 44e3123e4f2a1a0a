/// The control group's replicated state machine for the estate, tasks, workers,
/// jobs and claims. Applying the same commands in the same order gives the same
/// state on every replica.
#ifndef SAVORYRING_LIBPLACEMENT_CONTROL_STATE_H_
#define SAVORYRING_LIBPLACEMENT_CONTROL_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libestate/estate_state.h"
#include "libjobs/job_table.h"
#include "libplacement/claim_table.h"
#include "libplacement/placement.pb.h"
#include "libplacement/task_rules.h"
#include "savoryring/estate.h"
#include "savoryring/result.h"

namespace savoryring {

/// Safety mechanisms that mutation tests disable, to show that the checks
/// detect their absence.
struct ControlMutations {
  bool skip_capacity_check = false;  ///< Apply assignments beyond capacity.
  bool ignore_epochs = false;        ///< Accept reports of old epochs.
  JobMutations jobs;
};

/// A worker's record and the values derived from it.
struct WorkerState {
  wire::WorkerRecord record;
  Resources capacity;
  Resources committed;          ///< Held by `tasks`.
  std::set<std::string> tasks;  ///< Ids of tasks assigned or stopping here.
};

/// Parses and validates the estate. Throws Error as ParseEstate.
EstateSubmission ToEstateSubmission(wire::SubmitEstate command);

/// Result of applying a command.
struct ApplyResult {
  ResultCode code = ResultCode::kOk;
  std::string task;         ///< Id of the task that the command concerns.
  wire::ClaimRecord claim;  ///< Set by ClaimKey.
};

class ControlState {
 public:
  explicit ControlState(ControlMutations mutations = {});

  /// Applies the log entry at `index`. Throws only for an estate that is not
  /// valid (Error as ParseEstate), whose text it parses.
  ApplyResult Apply(const wire::Command& command, std::uint64_t index);

  /// Does what Apply does for SubmitEstate, with an estate that is prepared.
  ApplyResult ApplyEstate(const EstateSubmission& submission,
                          std::uint64_t index);

  wire::ControlSnapshot Save() const;
  void Restore(const wire::ControlSnapshot& snapshot);

  const EstateState& estate() const { return this->estate_state; }
  const std::map<std::string, wire::TaskRecord>& tasks() const {
    return this->task_records;
  }
  const std::map<std::string, WorkerState>& workers() const {
    return this->worker_states;
  }
  const std::set<PendingKey>& pending() const { return this->pending_tasks; }
  const ClaimTable& claims() const { return this->claim_table; }
  /// Zones whose workers get nothing more until the zone is returned.
  const std::set<std::string>& evacuated_zones() const {
    return this->evacuated;
  }
  /// Whether all voters apply EvacuateZone, as a leader has recorded.
  bool evacuation_known() const { return this->is_evacuation_known; }
  bool IsEvacuated(const WorkerState& worker) const {
    return this->evacuated.contains(
        worker.record.description().availability_zone());
  }
  /// Whether no other zone that is not evacuated has workers, while this one
  /// has.
  bool IsLastZone(const std::string& zone) const;
  const JobTable& jobs() const { return this->job_table; }
  JobTable& mutable_jobs() { return this->job_table; }
  const wire::TaskRecord* FindTask(const std::string& id) const;
  const WorkerState* FindWorker(const std::string& id) const;
  /// Resources held by the team's assigned and stopping tasks.
  Resources TeamUsage(const std::string& team) const;
  /// Returns the workers whose orders have changed since the last call.
  std::set<std::string> TakeChangedWorkers();
  /// Returns the tasks that were lost repeatedly, at least once since the last
  /// call.
  std::set<std::string> TakeRepeatedlyLostTasks();
  /// The orders currently in force for a worker.
  std::vector<wire::TaskOrder> OrdersFor(const std::string& worker) const;

 private:
  ApplyResult ApplyRegisterWorker(const wire::RegisterWorker& command);
  ApplyResult ApplyLoseWorker(const wire::LoseWorker& command);
  ApplyResult ApplySubmitTask(const wire::SubmitTask& command);
  ApplyResult ApplyCancelTask(const wire::CancelTask& command);
  ApplyResult ApplyAssignTasks(const wire::AssignTasks& command);
  ApplyResult ApplyStopTasks(const wire::StopTasks& command);
  ApplyResult ApplyThrottleTask(const wire::ThrottleTask& command);
  ApplyResult ApplyReportTasks(const wire::ReportTasks& command);
  ApplyResult ApplyParkTask(const wire::ParkTask& command);
  ApplyResult ApplyDecideTask(const wire::DecideTask& command);
  ApplyResult ApplyProveTask(const wire::ProveTask& command);
  ApplyResult ApplyDrainWorker(const wire::DrainWorker& command);
  ApplyResult ApplyEvacuateZone(const wire::EvacuateZone& command);
  void StopTasks(const WorkerState& worker, const std::string& reason);

  void RescheduleParked(const Resources& capacity);
  void ReconcileEstate();
  void ReconcileTask(const WorkSpec& spec, std::set<std::string>& wanted_ids);
  void RescheduleForRevision(wire::TaskRecord& task);
  void ApplyAssignment(const wire::Assignment& assignment);
  void ApplyReport(const std::string& worker, const wire::TaskReport& report);
  void ApplyLateReport(const std::string& worker,
                       wire::TaskRecord& task,
                       const wire::TaskReport& report);
  void HandleFailedRun(wire::TaskRecord& task);
  void HandleStoppedRun(wire::TaskRecord& task);
  void HandleLostRun(wire::TaskRecord& task);
  void BeginStop(wire::TaskRecord& task,
                 wire::StopCause cause,
                 const std::string& reason);
  void SetState(wire::TaskRecord& task, wire::TaskState state);
  void ReleaseWorker(wire::TaskRecord& task);
  void AddStep(wire::TaskRecord& task,
               const std::string& event,
               const std::string& reason);
  void MarkOrdersChanged(const std::string& worker);
  void ForgetOldestEndedTask();
  wire::TaskRecord& CreateTask(const std::string& id,
                               const wire::TaskSpec& spec);
  void RebuildIndexes();

  ControlMutations mutations;
  std::uint64_t index = 0;  // of the log entry that is being applied
  std::uint64_t next_sequence = 1;
  EstateState estate_state;
  ClaimTable claim_table;
  std::set<std::string> evacuated;
  bool is_evacuation_known = false;
  JobTable job_table;
  std::map<std::string, wire::TaskRecord> task_records;
  std::map<std::string, WorkerState> worker_states;
  std::map<std::string, std::string> task_by_key;
  // Derived from the records; rebuilt when a snapshot is restored.
  std::set<PendingKey> pending_tasks;
  std::set<std::string> parked_tasks;
  std::set<std::string> changed_workers;
  std::set<std::string> repeatedly_lost_tasks;
  std::map<std::string, Resources> usage_by_team;
  // Submitted (not estate) tasks that have ended, by sequence.
  std::map<std::uint64_t, std::string> ended_tasks;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBPLACEMENT_CONTROL_STATE_H_
