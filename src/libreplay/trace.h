/// Recorded traces of an estate: what operators, platform and callers did and
/// when, with the true interference that the system does not know.
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
  Milliseconds target{0};  ///< Wanted 99th percentile.
  double alone_ms = 0;     ///< 99th percentile alone at nominal load.
  std::vector<std::string> workers;
};

/// True slowdown of a service by one busy processor of a class.
struct TraceSlowdown {
  std::string service;
  std::string task_class;
  double per_processor = 0;
};

struct LoadChange {
  double factor = 1;
};
struct TaskArrival {
  std::string name;
  WorkSpec spec;           ///< As declared.
  Milliseconds run{0};     ///< True run time, undisturbed.
  double used_processors;  ///< True use.
};
struct TaskCancel {
  std::string prefix;
};
struct WorkerLoss {
  std::string worker;
};
struct WorkerReturn {
  std::string worker;
};
struct WorkerFaulty {
  std::string worker;
  bool faulty = true;
};
using TraceAction = std::variant<LoadChange,
                                 TaskArrival,
                                 TaskCancel,
                                 WorkerLoss,
                                 WorkerReturn,
                                 WorkerFaulty>;

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
  std::vector<TraceEvent> events;  ///< By ascending time.
  Milliseconds end{0};
};

/// Parses a trace text; docs/OPERATIONS.md gives the lines. Throws Error with
/// the number of each bad line as its place.
Trace ParseTrace(std::string_view text);

}  // namespace savoryring

#endif  // SAVORYRING_LIBREPLAY_TRACE_H_
