/// A simulated process of a test estate, with its local clock and its
/// connections to the other processes.
#ifndef SAVORYRING_TESTSUITE_SCHEDULE_NODE_H_
#define SAVORYRING_TESTSUITE_SCHEDULE_NODE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libtransport/control_client.h"
#include "testsuite/schedule/ledger.h"
#include "testsuite/schedule/virtual_world.h"

namespace savoryring {

class TestEstate;

/// A process that can be killed, suspended for a time and restarted.
class Node {
 public:
  Node(TestEstate& test_estate, std::string name, DriftingClock clock);
  virtual ~Node() = default;

  void Start();
  void Kill();
  /// Kills the process permanently: later calls of Start() have no effect.
  void Retire();
  bool IsRetired() const { return this->retired; }
  bool IsAlive() const { return this->alive; }
  /// Suspends the process; its actions are deferred until it resumes.
  void Freeze(Milliseconds length);
  const std::string& name() const { return this->node_name; }
  TimePoint LocalNow() const;

  /// Runs `action` now, or when the process resumes if it is frozen. Drops it
  /// if the process is down or restarts first.
  void RunWhenUnfrozen(std::function<void()> action);
  /// Sends over the connection that this node opened to `to`.
  void SendOnOwnConnection(Node& to, std::function<void()> deliver);
  /// Sends over the connection that `to` opened to this node.
  void Reply(Node& to, std::function<void()> deliver);

 protected:
  virtual void OnStart() = 0;
  virtual void OnKill() = 0;
  virtual void OnTick() = 0;
  Simulation& simulation() const;
  Ledger& ledger() const;

  TestEstate* test_estate;
  std::uint64_t incarnation = 0;  // unique over all nodes
  std::uint64_t start_count = 0;

 private:
  void Tick(std::uint64_t expected_start_count);

  std::string node_name;
  DriftingClock clock;
  bool alive = false;
  bool retired = false;
  TimePoint frozen_until;
};

/// A process that is a client of the control group.
class ControlClientNode : public Node {
 public:
  using Node::Node;

  /// `on_reply` is not called if this process is killed first.
  void Call(const std::string& method,
            const std::string& path,
            const std::string& body,
            Milliseconds timeout,
            std::function<void(wire::ControlReply)> on_reply);
  /// `replied` is when the replica sent the reply.
  void OnControlReply(const std::string& from,
                      const wire::ControlReply& reply,
                      TimePoint replied);

 protected:
  void StartClient(ControlClientOptions options);
  void StopClient();
  void TickClient();

 private:
  void RunClientEffects();

  struct PendingCall {
    TimePoint sent;
    TimePoint replied;  // the reply that arrived last
    bool changes_nothing = false;
    std::function<void(wire::ControlReply)> on_reply;
  };
  void RecordDecision(const PendingCall& pending,
                      const wire::ControlReply& reply);

  std::unique_ptr<ControlClient> client;
  std::map<std::uint64_t, PendingCall> pending_calls;
  std::uint64_t next_call = 1;
};

}  // namespace savoryring

#endif  // SAVORYRING_TESTSUITE_SCHEDULE_NODE_H_
