/// Injects faults into a seeded schedule, until a given time.
#ifndef SAVORYRING_TESTSUITE_SCHEDULE_FAULT_DRIVER_H_
#define SAVORYRING_TESTSUITE_SCHEDULE_FAULT_DRIVER_H_

#include <functional>

#include "testsuite/schedule/nodes.h"

namespace savoryring {

/// Mean time between two faults of each kind; zero disables the kind.
struct FaultPlan {
  Milliseconds kill_control{0};
  Milliseconds kill_vm_process{0};
  Milliseconds kill_entry{0};
  Milliseconds restart_vm{0};
  Milliseconds freeze{0};
  Milliseconds isolate_control{0};
  Milliseconds one_way_cut{0};
  Milliseconds stalled_connection{0};
  Milliseconds lose_disk{0};
  Milliseconds leave{0};
  // For schedules with jobs:
  Milliseconds kill_agent{0};
  Milliseconds kill_gateway{0};
  Milliseconds isolate_agent{0};   ///< Sometimes for longer than a lease.
  Milliseconds restart_worker{0};  ///< Starts a new worker incarnation.
  Milliseconds drain_worker{0};    ///< Announces the end of a worker first.
  /// A worker dies for long, and its agent restarts before it has noticed.
  Milliseconds lose_worker_beside_agent{0};
  /// An agent hears an announcement that is not from its worker.
  Milliseconds foreign_announcement{0};
  Milliseconds fail_starts{0};    ///< A worker fails all that it starts.
  Milliseconds ignore_starts{0};  ///< A worker answers no start calls.
  Milliseconds reject_starts{0};  ///< A worker rejects start calls.
  Milliseconds shrink_worker{0};  ///< Takes half of its room, for seconds.
  /// Isolates an agent until its worker is given up, and freezes the leader
  /// while that loss is being committed.
  Milliseconds freeze_leader_at_loss{0};
  Milliseconds power_loss{0};       ///< Kills all controls at the same time.
  Milliseconds replace_control{0};  ///< Its successor has a new address.
  /// An operator evacuates a zone, or returns the one that is evacuated.
  Milliseconds evacuate_zone{0};
  NetworkFaults network;
};

/// All kinds of faults of an estate without jobs, each every few seconds.
FaultPlan AllFaults();
/// Repeatedly isolates agents from the leader for longer than their leases.
FaultPlan LongAgentIsolation();
/// Workers crash and start again beside agents that are frozen or killed.
FaultPlan WorkersThatStartAgain();
/// The same while every second call to a worker is carried out late, so that
/// start calls are still unconfirmed when the agent's lease ends.
FaultPlan LongAgentIsolationWithLateCalls();
/// All kinds of faults of an estate with jobs, each every few seconds, except
/// the isolation of agents.
FaultPlan AllJobFaults();
/// Leaders that die, freeze or stop answering on some connections, while the
/// messages of each connection arrive in order.
FaultPlan LeaderFaultsOnOrderedLinks();

/// Workers that reject starts for some seconds, while messages are duplicated
/// and overtake each other.
FaultPlan RejectedStartsOnUnorderedLinks();

/// Workers that shrink while agents and leaders die, freeze or are isolated.
FaultPlan ShrinkingWorkers();

/// Faults without loss of messages, so seldom that calm stretches lie between
/// them, beside draining workers.
FaultPlan LastingTaskFaults();

/// Zones that are evacuated and returned while leaders, agents and workers die,
/// freeze or are isolated.
FaultPlan EvacuatedZones();

class FaultDriver {
 public:
  /// `estate` must outlive the driver.
  FaultDriver(TestEstate& estate, const FaultPlan& plan);

  /// From `end` on there are neither new faults nor repeated actions.
  void SetEnd(TimePoint end) { this->fault_end = end; }
  void Start();
  /// Repeats the action at random intervals, `mean` on average, until the end.
  void Repeat(Milliseconds mean, std::function<void()> action);
  /// The same for a fault, each of which is over after `longest`.
  void RepeatFault(Milliseconds mean,
                   Milliseconds longest,
                   std::function<void()> action);
  /// Whether the group has as many voters as it can have and all are alive,
  /// each with its current disk.
  bool GroupIsComplete();

 private:
  void PlanProcessFaults();
  void PlanNetworkFaults();
  void PlanJobFaults();
  void IsolateFor(const std::string& name, Milliseconds length);
  void RestartSoon(Node* node, Milliseconds max_delay);
  Node* RandomNode();
  void LoseRandomDisk();
  void LosePower();
  void LoseWorkerBesideAgent();
  void FreezeLeaderAtLoss();
  void EvacuateOrReturnZone();
  void SendEvacuation(const std::string& zone, bool evacuate);
  void OnEvacuationReply(const std::string& zone,
                         bool evacuate,
                         std::uint32_t status);
  void ReplaceRandomControl();
  void RetireWhenGroupIsComplete(ControlNode* node);

  TestEstate* estate;
  FaultPlan plan;
  TimePoint fault_end;
  std::string evacuated_zone;         // empty: none
  std::uint64_t open_evacuation = 0;  // number of the latest sending; 0: none
  std::uint64_t evacuation_sendings = 0;
};

}  // namespace savoryring

#endif  // SAVORYRING_TESTSUITE_SCHEDULE_FAULT_DRIVER_H_
