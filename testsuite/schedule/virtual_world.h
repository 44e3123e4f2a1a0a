/// Discrete-event simulation with virtual time and an unreliable network, for
/// tests of the deterministic cores. The seed determines the whole run.
#ifndef SAVORYRING_TESTSUITE_SCHEDULE_VIRTUAL_WORLD_H_
#define SAVORYRING_TESTSUITE_SCHEDULE_VIRTUAL_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <utility>

#include "savoryring/time.h"

namespace savoryring {

/// Probabilities and bounds of random faults.
struct NetworkFaults {
  double loss_rate = 0;
  double duplicate_rate = 0;
  Milliseconds min_delay{1};
  Milliseconds max_delay{4};
  /// Probability that a message is delayed by up to two more seconds.
  double long_delay_rate = 0;
  /// Probability that a process crashes before a disk write, and again after
  /// it.
  double crash_rate = 0;
  /// Probability that a worker carries out a call late, if messages get lost
  /// too.
  double late_call_rate = 0.02;
  /// Messages in one direction of a connection arrive in order.
  bool in_order = false;
};

/// Sender and receiver of messages.
struct Direction {
  std::string from;
  std::string to;
  auto operator<=>(const Direction& other) const = default;
};

class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random(seed) {}

  TimePoint now() const { return this->time; }
  void RunAfter(std::chrono::nanoseconds wait, std::function<void()> action);
  /// Runs the events due up to and including `end`, then sets the time to it.
  void RunUntil(TimePoint end);

  /// Random number in [0, `limit`).
  std::uint64_t Random(std::uint64_t limit);
  /// True with the given probability.
  bool Chance(double probability);
  /// Random duration from `min` to `max`, both included.
  Milliseconds RandomTime(Milliseconds min, Milliseconds max);

  /// Prints the line with the virtual time if it contains the value of
  /// SAVORYRING_TRACE; for debugging a single seed.
  void Trace(const std::string& line) const;

  NetworkFaults faults;
  /// All messages in these directions are dropped.
  std::set<Direction> cut_directions;
  /// Connections that drop all messages of both sides. `from` is the side that
  /// opened the connection. A new connection works again.
  std::set<Direction> stalled_connections;

  /// Sends a message in `direction` over `connection`, whose `from` is the side
  /// that opened it. `deliver` runs on arrival: once, twice if the message is
  /// duplicated, or never.
  void Transmit(const Direction& direction,
                const Direction& connection,
                const std::function<void()>& deliver);
  /// Drops messages between the two nodes in both directions.
  void CutBothWays(const std::string& a, const std::string& b);
  void Isolate(const std::string& node, const std::set<std::string>& others);

 private:
  TimePoint time = TimePoint(std::chrono::hours(1));
  std::map<std::pair<Direction, Direction>, TimePoint> last_arrivals;
  pcg64 random;
  std::uint64_t next_sequence = 0;
  struct EventKey {
    TimePoint time;
    std::uint64_t sequence = 0;
    auto operator<=>(const EventKey& other) const = default;
  };
  std::map<EventKey, std::function<void()>> pending_events;
};

/// Local clock of a VM, with its own offset and rate.
struct DriftingClock {
  std::chrono::nanoseconds offset{0};
  double speed = 1;

  TimePoint Read(TimePoint simulated_time) const;
  /// The simulated time at which this clock shows `local`.
  TimePoint SimulatedTimeOf(TimePoint local) const;
};

}  // namespace savoryring

#endif  // SAVORYRING_TESTSUITE_SCHEDULE_VIRTUAL_WORLD_H_
