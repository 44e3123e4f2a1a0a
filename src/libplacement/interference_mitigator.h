/// Mitigation of interference. When the tail latency of a service exceeds its
/// target, the tasks that slow it most are throttled or, depending on the
/// policy, evicted after a checkpoint. Throttled tasks get their share back
/// when the service has headroom again. Deterministic: performs no I/O and
/// reads no clock.
#ifndef SAVORYRING_LIBPLACEMENT_INTERFERENCE_MITIGATOR_H_
#define SAVORYRING_LIBPLACEMENT_INTERFERENCE_MITIGATOR_H_

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

enum class MitigationPolicy {
  kThrottle,           ///< Throttle, never evict.
  kThrottleThenEvict,  ///< Evict, within a cap, where throttling is not enough.
  kAlwaysEvict,        ///< Baseline: evict at once and without a cap.
  kNone,               ///< Baseline: take no action.
};

struct MitigationOptions {
  MitigationPolicy policy = MitigationPolicy::kThrottle;
  bool learn = true;  ///< False: all classes are assumed to interfere alike.
  bool hysteresis = true;  ///< False: act on every single measurement.
};

class InterferenceMitigator {
 public:
  explicit InterferenceMitigator(MitigationOptions options)
      : options(options) {}

  /// Processes the measurements received since the last call and returns the
  /// resulting commands.
  std::vector<wire::Command> Decide(const ControlState& state,
                                    const WorkerWatch& watch,
                                    TimePoint now);
  const InterferenceModel& model() const { return this->interference; }
  /// Latency of the service on the worker relative to its target, as last
  /// measured; zero if there is no measurement yet.
  double RelativeLatency(const std::string& worker,
                         const std::string& service) const;

 private:
  // State of one service on one worker.
  struct InstanceState {
    std::uint64_t last_window = 0;
    int consecutive_high = 0;  // measurements above the limit
    int consecutive_low = 0;   // measurements well below the limit
    double relative_latency = 0;
    TimePoint next_action_time;
  };
  struct InstanceKey {
    std::string worker;
    std::string service;
    auto operator<=>(const InstanceKey& other) const = default;
  };

  void RecordMeasurement(InstanceState& instance,
                         const WorkerState& worker,
                         const ControlState& state,
                         const ServiceSpec& service,
                         const wire::ServiceMeasurement& measurement);
  void ApplyPolicy(InstanceState& instance,
                   const WorkerState& worker,
                   const ControlState& state,
                   const ServiceSpec& service,
                   TimePoint now,
                   std::vector<wire::Command>& commands);
  void ReduceInterference(const WorkerState& worker,
                          const ControlState& state,
                          const ServiceSpec& service,
                          double relative_latency,
                          TimePoint now,
                          std::vector<wire::Command>& commands);
  bool ThrottleTasks(const std::vector<const wire::TaskRecord*>& tasks,
                     const std::string& service,
                     double min_share,
                     double excess_slowdown,
                     const std::string& reason,
                     std::vector<wire::Command>& commands) const;
  /// The tasks that slow the service noticeably, by descending contribution.
  std::vector<const wire::TaskRecord*> TasksByContribution(
      const WorkerState& worker,
      const ControlState& state,
      const std::string& service) const;
  void RestoreShare(const WorkerState& worker,
                    const ControlState& state,
                    const std::string& service,
                    double relative_latency,
                    std::vector<wire::Command>& commands);
  bool ReserveEviction(const ControlState& state, TimePoint now);
  double Contribution(const wire::TaskRecord& task,
                      const std::string& service) const;

  MitigationOptions options;
  InterferenceModel interference;
  std::map<InstanceKey, InstanceState> instances;
  // When each recent eviction stops counting towards the cap.
  std::deque<TimePoint> eviction_expiries;
};

/// Processors in use on the worker by interference class, scaled by each task's
/// share.
Pressure PressureOn(const WorkerState& worker, const ControlState& state);

}  // namespace savoryring

#endif  // SAVORYRING_LIBPLACEMENT_INTERFERENCE_MITIGATOR_H_
