#include "testsuite/schedule/fault_driver.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

// Longer than the lease of an agent, after which its worker is given up.
constexpr Milliseconds kIsolationOverLease{7500};

}  // namespace

FaultPlan AllFaults() {
  return {.kill_control = Milliseconds(4000),
          .kill_vm_process = Milliseconds(4000),
          .kill_entry = Milliseconds(6000),
          .restart_vm = Milliseconds(7000),
          .freeze = Milliseconds(3000),
          .isolate_control = Milliseconds(5000),
          .one_way_cut = Milliseconds(4000),
          .stalled_connection = Milliseconds(2000),
          .lose_disk = Milliseconds(5000),
          .leave = Milliseconds(9000),
          .network = {.loss_rate = 0.01,
                      .duplicate_rate = 0.02,
                      .long_delay_rate = 0.004,
                      .crash_rate = 0.004}};
}

FaultPlan LongAgentIsolation() {
  return {.kill_control = Milliseconds(5000),
          .freeze = Milliseconds(2000),
          .isolate_agent = Milliseconds(3000),
          .network = {.loss_rate = 0.01, .long_delay_rate = 0.01}};
}

FaultPlan WorkersThatStartAgain() {
  return {.freeze = Milliseconds(1000),
          .kill_agent = Milliseconds(5000),
          .restart_worker = Milliseconds(700),
          .network = {.loss_rate = 0.01, .long_delay_rate = 0.01}};
}

FaultPlan LongAgentIsolationWithLateCalls() {
  FaultPlan plan = LongAgentIsolation();
  plan.network.late_call_rate = 0.5;
  return plan;
}

FaultPlan AllJobFaults() {
  return {.kill_control = Milliseconds(5000),
          .freeze = Milliseconds(3000),
          .isolate_control = Milliseconds(6000),
          .one_way_cut = Milliseconds(4000),
          .stalled_connection = Milliseconds(2000),
          .lose_disk = Milliseconds(9000),
          .kill_agent = Milliseconds(4000),
          .kill_gateway = Milliseconds(6000),
          .restart_worker = Milliseconds(4000),
          .drain_worker = Milliseconds(7000),
          .power_loss = Milliseconds(15'000),
          .replace_control = Milliseconds(12'000),
          .network = {.loss_rate = 0.01,
                      .duplicate_rate = 0.02,
                      .long_delay_rate = 0.004,
                      .crash_rate = 0.0004}};
}

FaultPlan LeaderFaultsOnOrderedLinks() {
  return {.kill_control = Milliseconds(2500),
          .freeze = Milliseconds(2000),
          .stalled_connection = Milliseconds(1000),
          .kill_gateway = Milliseconds(9000),
          .power_loss = Milliseconds(15'000),
          .network = {.in_order = true}};
}

FaultPlan RejectedStartsOnUnorderedLinks() {
  return {.reject_starts = Milliseconds(1000),
          .network = {.duplicate_rate = 0.2,
                      .max_delay = Milliseconds(30),
                      .long_delay_rate = 0.05}};
}

FaultPlan ShrinkingWorkers() {
  return {
      .kill_control = Milliseconds(6000),
      .freeze = Milliseconds(1000),
      .kill_agent = Milliseconds(3000),
      .isolate_agent = Milliseconds(3000),
      .ignore_starts = Milliseconds(3000),
      .shrink_worker = Milliseconds(700),
      .network = {
          .loss_rate = 0.01, .long_delay_rate = 0.01, .late_call_rate = 0.2}};
}

FaultPlan LastingTaskFaults() {
  return {.kill_control = Milliseconds(30'000),
          .freeze = Milliseconds(30'000),
          .isolate_control = Milliseconds(30'000),
          .lose_disk = Milliseconds(30'000),
          .kill_agent = Milliseconds(30'000),
          .isolate_agent = Milliseconds(30'000),
          .restart_worker = Milliseconds(30'000),
          .drain_worker = Milliseconds(7000),
          .power_loss = Milliseconds(40'000),
          .replace_control = Milliseconds(40'000)};
}

// Without messages that overtake others: a call that is acknowledged holds
// until the next one.
FaultPlan EvacuatedZones() {
  return {.kill_control = Milliseconds(6000),
          .freeze = Milliseconds(6000),
          .isolate_control = Milliseconds(9000),
          .lose_disk = Milliseconds(15'000),
          .kill_agent = Milliseconds(6000),
          .kill_gateway = Milliseconds(6000),
          .isolate_agent = Milliseconds(5000),
          .restart_worker = Milliseconds(6000),
          .drain_worker = Milliseconds(8000),
          .power_loss = Milliseconds(20'000),
          .evacuate_zone = Milliseconds(8000),
          .network = {.in_order = true}};
}

FaultDriver::FaultDriver(TestEstate& estate, const FaultPlan& plan)
    : estate(&estate), plan(plan) {}

void FaultDriver::Repeat(Milliseconds mean, std::function<void()> action) {
  if (mean.count() == 0)
    return;
  Simulation& simulation = this->estate->simulation;
  simulation.RunAfter(simulation.RandomTime(mean / 2, mean * 3 / 2),
                      [this, mean, action] {
                        if (this->estate->simulation.now() >= this->fault_end)
                          return;
                        action();
                        this->Repeat(mean, action);
                      });
}

void FaultDriver::RepeatFault(Milliseconds mean,
                              Milliseconds longest,
                              std::function<void()> action) {
  this->Repeat(mean, [this, longest, action = std::move(action)] {
    this->estate->job_ledger.OnFault(this->estate->simulation.now() + longest);
    action();
  });
}

Node* FaultDriver::RandomNode() {
  const std::set<std::string> names = this->estate->Names();
  const auto step = static_cast<std::ptrdiff_t>(
      this->estate->simulation.Random(names.size()));
  return this->estate->Find(*std::next(names.begin(), step));
}

// Any of the nodes, alive or not.
template <typename Nodes>
auto* PickRandom(Simulation& simulation, const Nodes& nodes) {
  return nodes[simulation.Random(nodes.size())].get();
}

void FaultDriver::RestartSoon(Node* node, Milliseconds max_delay) {
  Simulation& simulation = this->estate->simulation;
  simulation.RunAfter(simulation.RandomTime(Milliseconds(50), max_delay),
                      [node] { node->Start(); });
}

void FaultDriver::Start() {
  this->estate->simulation.faults = this->plan.network;
  if (this->plan.network.loss_rate > 0)
    this->estate->job_ledger.OnFault(this->fault_end);
  this->PlanProcessFaults();
  this->PlanNetworkFaults();
  this->PlanJobFaults();
}

void FaultDriver::PlanProcessFaults() {
  Simulation& simulation = this->estate->simulation;
  this->RepeatFault(
      this->plan.kill_control, Milliseconds(3000), [this, &simulation] {
        Node* node = PickRandom(simulation, this->estate->controls);
        node->Kill();
        this->RestartSoon(node, Milliseconds(3000));
      });
  this->RepeatFault(this->plan.kill_vm_process, Milliseconds(5000),
                    [this, &simulation] {
                      Node* node = PickRandom(simulation, this->estate->vms);
                      node->Kill();
                      this->RestartSoon(node, Milliseconds(5000));
                    });
  this->RepeatFault(
      this->plan.kill_entry, Milliseconds(1000), [this, &simulation] {
        Node* node = PickRandom(simulation, this->estate->entries);
        node->Kill();
        this->RestartSoon(node, Milliseconds(1000));
      });
  this->RepeatFault(this->plan.restart_vm, Milliseconds(5000),
                    [this, &simulation] {
                      VmNode* node = PickRandom(simulation, this->estate->vms);
                      node->RestartVm();
                      this->RestartSoon(node, Milliseconds(5000));
                    });
  this->RepeatFault(this->plan.freeze, Milliseconds(6000), [this, &simulation] {
    this->RandomNode()->Freeze(
        simulation.RandomTime(Milliseconds(50), Milliseconds(6000)));
  });
  this->RepeatFault(this->plan.lose_disk, Milliseconds(2000),
                    [this] { this->LoseRandomDisk(); });
  this->RepeatFault(this->plan.leave, Milliseconds(6500), [this, &simulation] {
    VmNode* node = PickRandom(simulation, this->estate->vms);
    if (!node->IsAlive())
      return;
    node->Leave();
    simulation.RunAfter(Milliseconds(6000), [this, node] {
      node->Kill();
      this->RestartSoon(node, Milliseconds(500));
    });
  });
}

void FaultDriver::IsolateFor(const std::string& name, Milliseconds length) {
  Simulation& simulation = this->estate->simulation;
  simulation.Isolate(name, this->estate->Names());
  simulation.RunAfter(length, [&simulation, name] {
    std::erase_if(simulation.cut_directions,
                  [&name](const Direction& direction) {
                    return direction.from == name || direction.to == name;
                  });
  });
}

void FaultDriver::PlanNetworkFaults() {
  Simulation& simulation = this->estate->simulation;
  this->RepeatFault(
      this->plan.isolate_control, Milliseconds(9000), [this, &simulation] {
        const std::string name =
            PickRandom(simulation, this->estate->controls)->name();
        this->IsolateFor(
            name, simulation.RandomTime(Milliseconds(200), Milliseconds(9000)));
      });
  this->RepeatFault(
      this->plan.one_way_cut, Milliseconds(6000), [this, &simulation] {
        const Direction direction{.from = this->RandomNode()->name(),
                                  .to = this->RandomNode()->name()};
        simulation.cut_directions.insert(direction);
        simulation.RunAfter(
            simulation.RandomTime(Milliseconds(200), Milliseconds(6000)),
            [&simulation, direction] {
              simulation.cut_directions.erase(direction);
            });
      });
  this->RepeatFault(this->plan.stalled_connection, Milliseconds(5000),
                    [this, &simulation] {
                      simulation.stalled_connections.insert(
                          {.from = this->RandomNode()->name(),
                           .to = this->RandomNode()->name()});
                    });
}

void FaultDriver::PlanJobFaults() {
  Simulation& simulation = this->estate->simulation;
  this->RepeatFault(this->plan.kill_agent, Milliseconds(5000),
                    [this, &simulation] {
                      Node* node = PickRandom(simulation, this->estate->agents);
                      node->Kill();
                      this->RestartSoon(node, Milliseconds(5000));
                    });
  this->RepeatFault(
      this->plan.kill_gateway, Milliseconds(1000), [this, &simulation] {
        Node* node = PickRandom(simulation, this->estate->gateways);
        node->Kill();
        this->RestartSoon(node, Milliseconds(1000));
      });
  this->RepeatFault(
      this->plan.isolate_agent, Milliseconds(14'000), [this, &simulation] {
        const std::string name =
            PickRandom(simulation, this->estate->agents)->name();
        this->IsolateFor(name, simulation.RandomTime(Milliseconds(500),
                                                     Milliseconds(14'000)));
      });
  this->RepeatFault(
      this->plan.restart_worker, Milliseconds(4000), [this, &simulation] {
        PickRandom(simulation, this->estate->agents)
            ->worker.Restart(
                simulation.RandomTime(Milliseconds(100), Milliseconds(4000)));
      });
  this->RepeatFault(this->plan.lose_worker_beside_agent, Milliseconds(1000),
                    [this] { this->LoseWorkerBesideAgent(); });
  this->Repeat(this->plan.foreign_announcement, [this, &simulation] {
    PickRandom(simulation, this->estate->agents)->HearForeignAnnouncement();
  });
  this->Repeat(this->plan.drain_worker, [this, &simulation] {
    PickRandom(simulation, this->estate->agents)->worker.Drain();
  });
  this->Repeat(this->plan.fail_starts, [this, &simulation] {
    PickRandom(simulation, this->estate->agents)
        ->worker.FailStarts(
            simulation.RandomTime(Milliseconds(1000), Milliseconds(5000)));
  });
  this->Repeat(this->plan.ignore_starts, [this, &simulation] {
    PickRandom(simulation, this->estate->agents)
        ->worker.IgnoreStarts(
            simulation.RandomTime(Milliseconds(1000), Milliseconds(6000)));
  });
  this->Repeat(this->plan.reject_starts, [this, &simulation] {
    PickRandom(simulation, this->estate->agents)
        ->worker.RejectStarts(
            simulation.RandomTime(Milliseconds(1000), Milliseconds(5000)));
  });
  this->Repeat(this->plan.shrink_worker, [this, &simulation] {
    PickRandom(simulation, this->estate->agents)
        ->worker.Shrink(
            simulation.RandomTime(Milliseconds(500), Milliseconds(12'000)));
  });
  this->RepeatFault(this->plan.freeze_leader_at_loss, kIsolationOverLease,
                    [this] { this->FreezeLeaderAtLoss(); });
  this->RepeatFault(this->plan.power_loss, Milliseconds(1000),
                    [this] { this->LosePower(); });
  this->RepeatFault(this->plan.replace_control, Milliseconds(4000),
                    [this] { this->ReplaceRandomControl(); });
  this->Repeat(this->plan.evacuate_zone,
               [this] { this->EvacuateOrReturnZone(); });
}

void FaultDriver::LoseWorkerBesideAgent() {
  Simulation& simulation = this->estate->simulation;
  AgentNode* agent = PickRandom(simulation, this->estate->agents);
  agent->worker.Restart(
      simulation.RandomTime(Milliseconds(15'000), Milliseconds(30'000)));
  simulation.RunAfter(
      simulation.RandomTime(Milliseconds(50), Milliseconds(500)),
      [this, agent] {
        agent->Kill();
        this->RestartSoon(agent, Milliseconds(500));
      });
}

// The freeze is longer than the leader's lease in the group and, mostly, too
// short for the election of another leader.
void FaultDriver::FreezeLeaderAtLoss() {
  Simulation& simulation = this->estate->simulation;
  const std::string agent =
      PickRandom(simulation, this->estate->agents)->name();
  const Milliseconds length =
      simulation.RandomTime(Milliseconds(250), Milliseconds(300));
  for (const auto& node : this->estate->controls)
    node->FreezeAfterLoss(agent, length);
  this->IsolateFor(
      agent, simulation.RandomTime(Milliseconds(6500), kIsolationOverLease));
}

void FaultDriver::EvacuateOrReturnZone() {
  if (this->open_evacuation != 0)
    return;
  if (!this->evacuated_zone.empty())
    return this->SendEvacuation(this->evacuated_zone, false);
  const auto& zones = this->estate->options.availability_zones;
  this->SendEvacuation(zones[this->estate->simulation.Random(zones.size())],
                       true);
}

// An operator sends the call again until it is answered, by a random gateway.
void FaultDriver::SendEvacuation(const std::string& zone, bool evacuate) {
  constexpr Milliseconds kTimeout{2500};
  constexpr Milliseconds kGracePeriod{500};
  Simulation& simulation = this->estate->simulation;
  const std::uint64_t sending = ++this->evacuation_sendings;
  this->open_evacuation = sending;
  if (!evacuate)
    this->estate->job_ledger.OnZoneReturnSent(zone);
  else
    this->estate->job_ledger.OnEvacuationSent(zone);
  GatewayNode* gateway = PickRandom(simulation, this->estate->gateways);
  if (gateway->IsAlive()) {
    gateway->Call(
        evacuate ? "POST" : "DELETE", "/zones/" + zone + "/evacuation", "",
        kTimeout,
        [this, sending, zone, evacuate](const wire::ControlReply& reply) {
          if (this->open_evacuation == sending)
            this->OnEvacuationReply(zone, evacuate, reply.status());
        });
  }
  simulation.RunAfter(kTimeout + kGracePeriod, [this, sending, zone, evacuate] {
    if (this->open_evacuation == sending)
      this->SendEvacuation(zone, evacuate);
  });
}

void FaultDriver::OnEvacuationReply(const std::string& zone,
                                    bool evacuate,
                                    std::uint32_t status) {
  constexpr std::uint32_t kAcknowledged = 200;
  constexpr std::uint32_t kLastZone = 409;
  constexpr Milliseconds kRetryDelay{200};
  Simulation& simulation = this->estate->simulation;
  if (status == kAcknowledged) {
    simulation.Trace("zone " + zone + (evacuate ? " evacuated" : " returned"));
    this->evacuated_zone = evacuate ? zone : "";
    if (evacuate)
      this->estate->job_ledger.OnZoneEvacuated(zone, simulation.now());
    else
      this->estate->job_ledger.OnZoneInUse(zone, simulation.now());
    this->open_evacuation = 0;
    return;
  }
  if (status == kLastZone) {
    this->estate->job_ledger.OnZoneInUse(zone, simulation.now());
    this->open_evacuation = 0;
    return;
  }
  if (status < 500)
    throw Violation("evacuation: answered " + std::to_string(status));
  const std::uint64_t sending = this->open_evacuation;
  simulation.RunAfter(kRetryDelay, [this, sending, zone, evacuate] {
    if (this->open_evacuation == sending)
      this->SendEvacuation(zone, evacuate);
  });
}

// Kills all control processes; their disks keep what was stored.
void FaultDriver::LosePower() {
  for (const auto& node : this->estate->controls) {
    node->Kill();
    this->RestartSoon(node.get(), Milliseconds(1000));
  }
}

// Adds a control process at a new address and retires an old one, at once or
// after some overlap. The first three that are not retired are the seeds, so
// this can replace a seed.
void FaultDriver::ReplaceRandomControl() {
  if (!this->GroupIsComplete())
    return;
  Simulation& simulation = this->estate->simulation;
  ControlNode* old = PickRandom(simulation, this->estate->controls);
  if (old->IsRetired())
    return;
  this->estate->AddControl();
  const Milliseconds overlap =
      simulation.Chance(0.5)
          ? Milliseconds(0)
          : simulation.RandomTime(Milliseconds(100), Milliseconds(4000));
  simulation.RunAfter(overlap,
                      [this, old] { this->RetireWhenGroupIsComplete(old); });
}

// A voter that is retired counts as a lost disk, so this waits until the group
// is complete.
void FaultDriver::RetireWhenGroupIsComplete(ControlNode* node) {
  constexpr Milliseconds kRetryInterval{500};
  Simulation& simulation = this->estate->simulation;
  if (simulation.now() >= this->fault_end)
    return;
  if (this->GroupIsComplete())
    node->Retire();
  else
    simulation.RunAfter(kRetryInterval, [this, node] {
      this->RetireWhenGroupIsComplete(node);
    });
}

// A complete group must survive the loss of one disk at any time; the next may
// be lost as soon as the first is replaced.
void FaultDriver::LoseRandomDisk() {
  if (!this->GroupIsComplete())
    return;
  Simulation& simulation = this->estate->simulation;
  ControlNode* node =
      this->estate->controls[simulation.Random(this->estate->controls.size())]
          .get();
  node->Kill();
  node->LoseDisk();
  simulation.RunAfter(
      simulation.RandomTime(Milliseconds(50), Milliseconds(2000)),
      [node] { node->Start(); });
}

bool FaultDriver::GroupIsComplete() {
  const ControlNode* leader = this->estate->Leader();
  if (leader == nullptr)
    return false;
  const auto voters = leader->core()->replica().voters();
  if (voters.size() != this->estate->FullVoterCount())
    return false;
  return std::ranges::all_of(voters, [&](const MemberId& voter) {
    auto* node = static_cast<ControlNode*>(this->estate->Find(voter.id));
    return node->IsAlive() && node->core()->replica().self() == voter;
  });
}

}  // namespace savoryring
