/// Relief of services whose tail latency passes its target: throttles the task
/// that slows them most, then evicts it after a checkpoint, and gives back what
/// was taken when there is room. A deterministic core.
#ifndef SAVORYRING_LIBPLACEMENT_RELIEF_H_
#define SAVORYRING_LIBPLACEMENT_RELIEF_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "libmembership/worker_watch.h"
#include "libplacement/control_state.h"
#include "libplacement/interference.h"
#include "savoryring/time.h"

namespace savoryring {

enum class ReliefPolicy {
  kThrottle,     ///< Throttle only.
  kGraded,       ///< Throttle, then evict within a cap.
  kAlwaysEvict,  ///< Evict at once, without a cap (baseline).
  kNone,         ///< Nothing (baseline).
};

struct ReliefOptions {
  ReliefPolicy policy = ReliefPolicy::kThrottle;
  bool learn = true;       ///< False: every class is taken as alike.
  bool hysteresis = true;  ///< False: acts on every single measurement.
};

class Relief {
 public:
  explicit Relief(ReliefOptions options) : options(options) {}

  /// Looks at measurements that have come since the last call. Returns the
  /// commands they call for.
  std::vector<wire::Command> Decide(const ControlState& state,
                                    const WorkerWatch& watch,
                                    TimePoint now);
  const InterferenceModel& model() const { return this->interference; }
  /// Latency of the service on the worker relative to its target, as last
  /// measured; zero while unknown.
  double RelativeLatency(const std::string& worker,
                         const std::string& service) const;

 private:
  struct Place {
    std::uint64_t window = 0;
    int over = 0;   // measurements in a row above the limit
    int under = 0;  // measurements in a row well below it
    double relative = 0;
    TimePoint action_deadline;  // no further action before this
  };
  struct PlaceKey {
    std::string worker;
    std::string service;
    auto operator<=>(const PlaceKey& other) const = default;
  };

  void Measure(Place& place,
               const WorkerState& worker,
               const ControlState& state,
               const ServiceSpec& service,
               const wire::ServiceMeasurement& measurement);
  void Act(Place& place,
           const WorkerState& worker,
           const ControlState& state,
           const ServiceSpec& service,
           TimePoint now,
           std::vector<wire::Command>& commands);
  void Reduce(const WorkerState& worker,
              const ControlState& state,
              const ServiceSpec& service,
              double relative,
              TimePoint now,
              std::vector<wire::Command>& commands);
  bool Throttle(const std::vector<const wire::TaskRecord*>& tasks,
                const std::string& service,
                double floor,
                double excess,
                const std::string& why,
                std::vector<wire::Command>& commands) const;
  /// The tasks worth touching, the one that slows the service most first.
  std::vector<const wire::TaskRecord*> ByContribution(
      const WorkerState& worker,
      const ControlState& state,
      const std::string& service) const;
  void GiveBack(const WorkerState& worker,
                const ControlState& state,
                const std::string& service,
                double relative,
                std::vector<wire::Command>& commands);
  bool TakeEviction(const ControlState& state, TimePoint now);
  double Contribution(const wire::TaskRecord& task,
                      const std::string& service) const;

  ReliefOptions options;
  InterferenceModel interference;
  std::map<PlaceKey, Place> places;
  std::deque<TimePoint> eviction_ends;  // when each counts no more
};

/// Processors at work on a worker by class, throttled ones in part.
Pressure PressureOn(const WorkerState& worker, const ControlState& state);

}  // namespace savoryring

#endif  // SAVORYRING_LIBPLACEMENT_RELIEF_H_
