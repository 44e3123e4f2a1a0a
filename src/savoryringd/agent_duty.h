/// The agent duty: connects the agent's core, which does no I/O, to the leader
/// and to the worker on the same VM.
#ifndef SAVORYRING_SAVORYRINGD_AGENT_DUTY_H_
#define SAVORYRING_SAVORYRINGD_AGENT_DUTY_H_

#include <atomic>
#include <memory>
#include <string>

#include "libjobs/worker_agent.h"
#include "libtransport/duty_loop.h"
#include "libtransport/leader_contact.h"
#include "libtransport/link.h"
#include "libtransport/work_pool.h"
#include "savoryringd/local_worker.h"
#include "savoryringd/process.h"

namespace savoryring {

class AgentDuty : public Duty, private DutyHandler {
 public:
  /// Throws Error (kAddressInUse). `process` must outlive the duty.
  AgentDuty(Process& process, std::unique_ptr<LocalWorker> worker);
  ~AgentDuty() override;

  void Start() override;
  void Leave() override {}
  bool IsIdle() override { return true; }
  void Stop() override;

  /// The worker announced itself. Returns whether the agent processed the
  /// announcement in time. Thread safe.
  bool OnWorkerAnnounced(const wire::JobWorkerDescription& worker);
  /// The worker announced that it is shutting down. Returns whether the agent
  /// processed that in time. Thread safe.
  bool OnWorkerLeaving(const std::string& instance);

 private:
  void OnMessage(const Received& message, TimePoint now) override;
  void OnTick(TimePoint now) override;
  void OnBatchEnd(TimePoint now) override;

  void OnOrders(const Received& message, TimePoint now);
  void RunEffects(TimePoint now);
  void SendAgentReport(SendReport effect, TimePoint now);
  /// Adds the links of control replicas that reloaded settings name.
  void ApplyReloadedSettings();

  Process* process;
  std::unique_ptr<LocalWorker> worker;
  Link link;
  LeaderContact leader_contact;
  WorkerAgent core;
  std::uint64_t settings_version = 0;  // version applied last
  TimePoint publish_deadline;
  WorkPool call_pool;
  WorkPool watch_pool;
  DutyLoop loop;
};

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_AGENT_DUTY_H_
