/// Learns from latency measurements how much the tasks of a class slow a
/// service on the same worker. Deterministic: performs no I/O and reads no
/// clock.
#ifndef SAVORYRING_LIBPLACEMENT_INTERFERENCE_H_
#define SAVORYRING_LIBPLACEMENT_INTERFERENCE_H_

#include <cstdint>
#include <map>
#include <string>

#include "libplacement/placement.pb.h"
#include "savoryring/estate.h"

namespace savoryring {

/// Cost of a service's tail latency, given relative to its target: a smooth
/// step at the target plus a small linear term.
double LatencyCost(double relative_latency);

/// The class under which a task's interference is learned: its task class if
/// set, otherwise the first word of its command.
std::string InterferenceClassOf(const wire::TaskSpec& spec);

/// Processors in use on a worker by interference class, scaled by the share of
/// each task.
using Pressure = std::map<std::string, double>;

class InterferenceModel {
 public:
  /// Updates the model with a service's tail latency on a worker and the
  /// pressure under which it was measured.
  void OnMeasurement(const std::string& service,
                     double latency_ms,
                     const Pressure& pressure);

  /// Relative slowdown of the service by one processor of the class, blended
  /// with a default according to the confidence.
  double SlowdownPerProcessor(const std::string& service,
                              const std::string& task_class) const;
  /// Expected relative slowdown of the service under `pressure`.
  double Slowdown(const std::string& service, const Pressure& pressure) const;
  /// Expected tail latency under `pressure`, relative to the service's target;
  /// zero if the service was never measured.
  double RelativeLatency(const ServiceSpec& service,
                         const Pressure& pressure) const;
  /// From 0 (no samples) to 1.
  double Confidence(const std::string& service,
                    const std::string& task_class) const;

 private:
  struct ClassEffect {
    double slowdown = 0;  // per processor
    double samples = 0;   // decays, so that old samples weigh less
  };
  struct ServiceModel {
    double baseline_ms = 0;  // tail latency without interference
    std::map<std::string, ClassEffect> class_effects;
  };
  std::map<std::string, ServiceModel> services;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBPLACEMENT_INTERFERENCE_H_
