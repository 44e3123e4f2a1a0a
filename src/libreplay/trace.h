/// Recorded workload traces: the timed actions of operators, the platform and
/// callers, and the actual interference, which the scheduler can only estimate.
#ifndef SAVORYRING_LIBREPLAY_TRACE_H_
#define SAVORYRING_LIBREPLAY_TRACE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "savoryring/estate.h"
#include "savoryring/time.h"

namespace savoryring {

struct TraceWorker {
  std::string name;
  std::string rack;
  std::string availability_zone;
  Resources capacity;
};

struct TraceService {
  std::string name;
  Milliseconds target{0};  ///< Target 99th percentile.
  double baseline_ms = 0;  ///< 99th percentile at load 1 without interference.
  std::vector<std::string> workers;
};

/// Actual slowdown of a service: the relative rise of its tail latency for each
/// processor that tasks of a class keep busy on the same worker.
struct TraceSlowdown {
  std::string service;
  std::string task_class;
  double per_processor = 0;
};

/// Sets the load of all services relative to the nominal load.
struct LoadChange {
  double factor = 1;
};
struct TaskArrival {
  std::string name;
  WorkSpec spec;             ///< As declared by the caller.
  Milliseconds run_time{0};  ///< Actual run time at full speed.
  double used_processors;    ///< Actual use.
};
/// Cancels every task whose name begins with `prefix`.
struct TaskCancel {
  std::string prefix;
};
struct WorkerLoss {
  std::string worker;
};
struct WorkerReturn {
  std::string worker;
};
/// Tasks that run on a faulty worker fail.
struct WorkerFaultChange {
  std::string worker;
  bool faulty = true;
};
using TraceAction = std::variant<LoadChange,
                                 TaskArrival,
                                 TaskCancel,
                                 WorkerLoss,
                                 WorkerReturn,
                                 WorkerFaultChange>;

struct TraceEvent {
  Milliseconds at{0};
  TraceAction action;
};

struct Trace {
  Weights weights;
  std::vector<TeamSpec> teams;
  std::vector<TraceWorker> workers;
  std::vector<TraceService> services;
  std::vector<TraceSlowdown> slowdowns;
  std::vector<TraceEvent> events;  ///< In ascending order of time.
  Milliseconds end{0};
};

/// Parses a trace; docs/OPERATIONS.md describes the format. Throws Error with
/// the line number of every invalid line as its pointer ("/line/2").
Trace ParseTrace(std::string_view text);

}  // namespace savoryring

#endif  // SAVORYRING_LIBREPLAY_TRACE_H_
