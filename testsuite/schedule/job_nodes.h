/// The processes of a test estate that serve jobs: agents with their workers,
/// and gateways. They run the real cores with simulated I/O.
#ifndef SAVORYRING_TESTSUITE_SCHEDULE_JOB_NODES_H_
#define SAVORYRING_TESTSUITE_SCHEDULE_JOB_NODES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libjobs/worker_agent.h"
#include "libtransport/leader_contact.h"
#include "testsuite/schedule/job_ledger.h"
#include "testsuite/schedule/node.h"
#include "testsuite/workers/model_worker.h"

namespace savoryring {

class AgentNode;

/// A call to be carried out on the worker; gets the time of the worker's clock.
using WorkerCall = std::function<CallOutcome(ModelWorker&, TimePoint)>;
/// Receives the outcome of a call and the worker's time when it was carried
/// out.
using AnswerCallback = std::function<void(CallOutcome, TimePoint)>;

/// The worker on an agent's VM. It keeps running while the agent is down.
class WorkerHost {
 public:
  WorkerHost(TestEstate& test_estate, AgentNode& agent, DriftingClock clock);

  void Start();
  /// Ends the current incarnation and starts a new one after `pause`, often
  /// under the instance id that it had.
  void Restart(Milliseconds pause);
  /// Announces that it is draining, runs on for some seconds, then restarts.
  void Drain();
  /// For `length`, everything that it starts fails soon.
  void FailStarts(Milliseconds length);
  /// For `length`, start calls get no answer, and are carried out late or
  /// never.
  void IgnoreStarts(Milliseconds length);
  /// For `length`, start calls are rejected.
  void RejectStarts(Milliseconds length);
  /// For `length`, has about half of its capacity.
  void Shrink(Milliseconds length);
  /// Advances the model to the present and passes its changes to the ledger.
  void Advance();

  /// Carries out a call of the agent, perhaps after a delay. The call is meant
  /// for the incarnation that started at `born_ms`, and names its instance id.
  /// `on_outcome` runs when the answer arrives; answers can get lost, and the
  /// agent may have timed out by then.
  void Call(std::int64_t born_ms, WorkerCall call, AnswerCallback on_outcome);
  void CallStart(const StartCall& call, AnswerCallback on_outcome);
  std::int64_t current_born_ms() const { return this->born_ms; }

  std::string zone;  ///< Announced from the next start on.

 private:
  struct CapacityChange {
    WorkerCapacity before;
    TimePoint at;
  };
  TimePoint LocalNow() const;
  std::string IncarnationName() const;
  bool Reaches(std::int64_t born_ms) const;
  void Announce(std::int64_t born_ms);
  void SetFaulty(TimePoint& until, Milliseconds length);
  void CrashIfDue();
  void SetCapacity(const WorkerCapacity& capacity);
  WorkerCapacity Limit() const;
  void Execute(std::int64_t born_ms,
               const WorkerCall& call,
               const AnswerCallback& on_outcome);

  TestEstate* test_estate;
  AgentNode* agent;
  DriftingClock clock;
  ModelWorker worker;
  std::uint64_t seen_hold_lapses = 0;
  std::int64_t born_ms = 0;
  TimePoint clock_began;                          // by the VM's clock
  std::map<std::int64_t, std::string> instances;  // ids, by `born_ms`
  bool alive = false;
  bool draining = false;
  bool crashing = false;
  WorkerCapacity capacity;
  bool shrunk = false;
  std::vector<CapacityChange> capacity_changes;
  // Faults of start calls, in simulated time.
  TimePoint fail_starts_until;
  TimePoint ignore_starts_until;
  TimePoint reject_starts_until;
};

class AgentNode : public Node {
 public:
  AgentNode(TestEstate& test_estate, std::string name, DriftingClock clock);

  void OnOrders(const wire::AgentOrders& orders, const std::string& from);
  void OnWorkerAnnounced(const wire::JobWorkerDescription& description,
                         TimePoint worker_time);
  void OnWorkerLeaving(const std::string& instance);
  /// Hears an announcement of another writer, for a service that may be known.
  void HearForeignAnnouncement();

  WorkerHost worker;

 protected:
  void OnStart() override;
  void OnKill() override;
  void OnTick() override;

 private:
  // The worker's time in its last answer, and this node's time when it arrived.
  struct ClockReading {
    TimePoint worker;
    TimePoint own;
  };
  void RunEffects();
  void Send(wire::AgentReport report);
  void Confirm(const ConfirmCall& call);
  void Watch(const WatchCall& call);
  TimePoint WorkerTime(TimePoint time) const;
  /// Calls the worker; the outcome is kNoAnswer if none arrives by `deadline`.
  void CallWorker(std::int64_t born_ms,
                  WorkerCall call,
                  TimePoint deadline,
                  std::function<void(CallOutcome)> on_outcome);
  AnswerCallback ExpectAnswer(std::int64_t born_ms,
                              TimePoint deadline,
                              std::function<void(CallOutcome)> on_outcome);

  std::unique_ptr<WorkerAgent> core;
  std::unique_ptr<LeaderContact> contact;
  ClockReading clock_reading;
  std::int64_t known_born_ms = 0;
  // Of the latest announcement of another life.
  ClockReading announced_clock_reading;
  std::int64_t announced_born_ms = 0;
};

class GatewayNode : public ControlClientNode {
 public:
  using ControlClientNode::ControlClientNode;

 protected:
  void OnStart() override;
  void OnKill() override;
  void OnTick() override;
};

}  // namespace savoryring

#endif  // SAVORYRING_TESTSUITE_SCHEDULE_JOB_NODES_H_
