/// Learns from late measurements how much tasks of a class slow a service on
/// the same worker. A deterministic core.
#ifndef SAVORYRING_LIBPLACEMENT_INTERFERENCE_H_
#define SAVORYRING_LIBPLACEMENT_INTERFERENCE_H_

#include <cstdint>
#include <map>
#include <string>

#include "libplacement/placement.pb.h"
#include "savoryring/estate.h"

namespace savoryring {

/// What a service's tail latency, relative to its target, is worth: little
/// below one, much above, and a little more the further it goes.
double LatenessCost(double relative_latency);

/// The class by which a task's interference is learned: its task class, or
/// the first word of its command.
std::string ClassOf(const wire::TaskSpec& spec);

/// Processors at work on a worker, by class; throttled ones count in part.
using Pressure = std::map<std::string, double>;

class InterferenceModel {
 public:
  /// A service's tail latency on a worker, and what ran beside it then.
  void OnMeasurement(const std::string& service,
                     double latency_ms,
                     const Pressure& pressure);

  /// Relative slowdown of the service by one processor of the class. A guess
  /// where little is known.
  double SlowdownPerProcessor(const std::string& service,
                              const std::string& task_class) const;
  /// Expected relative slowdown by everything in `pressure`.
  double Slowdown(const std::string& service, const Pressure& pressure) const;
  /// Expected tail latency beside `pressure`, relative to `target`; zero
  /// where the service was never measured.
  double RelativeLatency(const ServiceSpec& service,
                         const Pressure& pressure) const;
  /// From 0, nothing known, to 1.
  double Confidence(const std::string& service,
                    const std::string& task_class) const;

 private:
  struct Pair {
    double slowdown = 0;
    double samples = 0;  // decays, so that old knowledge weighs less
  };
  struct Service {
    double alone_ms = 0;  // tail latency with nothing beside it
    std::map<std::string, Pair> pairs;
  };
  std::map<std::string, Service> services;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBPLACEMENT_INTERFERENCE_H_
