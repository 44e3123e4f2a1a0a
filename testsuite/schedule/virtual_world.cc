#include "testsuite/schedule/virtual_world.h"

#include <stdlib.h>

#include <algorithm>
#include <iostream>
#include <utility>

namespace savoryring {

void Simulation::RunAfter(std::chrono::nanoseconds wait,
                          std::function<void()> action) {
  this->pending_events.emplace(
      EventKey{.time = this->time + wait, .sequence = this->next_sequence++},
      std::move(action));
}

void Simulation::RunUntil(TimePoint end) {
  while (!this->pending_events.empty() &&
         this->pending_events.begin()->first.time <= end) {
    auto next = this->pending_events.extract(this->pending_events.begin());
    this->time = next.key().time;
    next.mapped()();
  }
  this->time = end;
}

std::uint64_t Simulation::Random(std::uint64_t limit) {
  return this->random() % limit;
}

bool Simulation::Chance(double probability) {
  constexpr std::uint64_t kParts = 1'000'000;
  return static_cast<double>(this->Random(kParts)) < probability * kParts;
}

Milliseconds Simulation::RandomTime(Milliseconds min, Milliseconds max) {
  const auto span = static_cast<std::uint64_t>((max - min).count()) + 1;
  return min + Milliseconds(this->Random(span));
}

void Simulation::Trace(const std::string& line) const {
  static const char* const filter = getenv("SAVORYRING_TRACE");
  if (filter != nullptr && line.find(filter) != std::string::npos)
    std::cerr << ToMilliseconds(this->time) << ' ' << line << '\n';
}

void Simulation::Transmit(const Direction& direction,
                          const Direction& connection,
                          const std::function<void()>& deliver) {
  const int copies = this->Chance(this->faults.duplicate_rate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (this->Chance(this->faults.loss_rate) ||
        this->cut_directions.contains(direction) ||
        this->stalled_connections.contains(connection))
      continue;
    Milliseconds delay =
        this->RandomTime(this->faults.min_delay, this->faults.max_delay);
    if (this->Chance(this->faults.long_delay_rate))
      delay += this->RandomTime(Milliseconds(50), Milliseconds(2000));
    const auto jitter = std::chrono::microseconds(this->Random(1000));
    TimePoint arrival = this->time + delay + jitter;
    if (this->faults.in_order) {
      TimePoint& last_arrival = this->last_arrivals[{direction, connection}];
      arrival = std::max(arrival, last_arrival);
      last_arrival = arrival;
    }
    this->RunAfter(arrival - this->time, deliver);
  }
}

void Simulation::CutBothWays(const std::string& a, const std::string& b) {
  this->cut_directions.insert({.from = a, .to = b});
  this->cut_directions.insert({.from = b, .to = a});
}

void Simulation::Isolate(const std::string& node,
                         const std::set<std::string>& others) {
  for (const std::string& other : others) {
    if (other != node)
      this->CutBothWays(node, other);
  }
}

TimePoint DriftingClock::Read(TimePoint simulated_time) const {
  const auto elapsed = std::chrono::duration_cast<std::chrono::nanoseconds>(
      simulated_time.time_since_epoch() * this->speed);
  return TimePoint(this->offset + elapsed);
}

TimePoint DriftingClock::SimulatedTimeOf(TimePoint local) const {
  const auto elapsed = local.time_since_epoch() - this->offset;
  return TimePoint(std::chrono::duration_cast<std::chrono::nanoseconds>(
      elapsed / this->speed));
}

}  // namespace savoryring
