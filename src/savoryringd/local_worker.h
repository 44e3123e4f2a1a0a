/// Interface of an agent to the platform's worker on the same VM, for jobs.
#ifndef SAVORYRING_SAVORYRINGD_LOCAL_WORKER_H_
#define SAVORYRING_SAVORYRINGD_LOCAL_WORKER_H_

#include "libjobs/worker_agent.h"

namespace savoryring {

/// Calls block until the worker answers or a timeout passes. Thread safe.
class LocalWorker {
 public:
  virtual ~LocalWorker() = default;
  /// Calls with the worker's `born_ms` are possible once the outcome is kDone.
  virtual CallOutcome Confirm(const ConfirmCall& call) = 0;
  virtual CallOutcome Start(const StartCall& call) = 0;
  virtual CallOutcome Stop(const StopCall& call) = 0;
  /// Sets `listing` if the outcome is kDone.
  virtual CallOutcome Watch(const WatchCall& call, WorkerListing& listing) = 0;
  virtual CallOutcome Throttle(const ThrottleCall& call) = 0;
};

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_LOCAL_WORKER_H_
