/// The leader's view of live workers: leases granted and what heartbeats say.
/// A deterministic core; none of it is replicated, and a new leader starts
/// with an empty one.
#ifndef SAVORYRING_LIBMEMBERSHIP_WORKER_WATCH_H_
#define SAVORYRING_LIBMEMBERSHIP_WORKER_WATCH_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libmembership/membership.pb.h"
#include "savoryring/time.h"

namespace savoryring {

struct WorkerWatchMutations {
  bool skip_predecessor_wait = false;  ///< Ignores a predecessor's leases.
};

struct WorkerWatchOptions {
  Milliseconds lease{3000};
  WorkerWatchMutations mutations;
};

struct LiveWorker {
  std::uint64_t incarnation = 0;
  /// Until then the worker may act on a lease, by the leader's clock and with
  /// the allowance for clocks that differ in speed.
  TimePoint lease_bound;
  /// Until then the worker counts as present, whether it had a lease or not.
  TimePoint heard_bound;
  bool leaving = false;
  std::set<std::string> running;  ///< "TASK@EPOCH" as last reported.
  std::set<std::string> serving;  ///< Services of the VM's endpoint.
  std::map<std::string, wire::TaskUsage> usage;
  std::map<std::string, wire::ServiceMeasurement> measurements;
};

class WorkerWatch {
 public:
  WorkerWatch(WorkerWatchOptions options, TimePoint led_since);

  /// Takes a heartbeat and grants a lease. `may_grant` is false where the
  /// worker is being declared lost.
  void OnHeartbeat(const wire::WorkerHeartbeat& heartbeat,
                   std::uint64_t incarnation,
                   bool may_grant,
                   TimePoint now);

  /// Whether the worker has been silent for a lease's length, and no lease of
  /// it, this leader's or a predecessor's, can still be in force.
  bool IsLost(const std::string& worker, TimePoint now) const;
  bool IsRunning(const std::string& worker,
                 const std::string& task,
                 std::uint64_t epoch) const;
  bool IsServed(const std::string& service, TimePoint now) const;
  const LiveWorker* Find(const std::string& worker) const;
  const std::map<std::string, LiveWorker>& workers() const {
    return this->live;
  }
  void Forget(const std::string& worker);

 private:
  std::chrono::nanoseconds BoundedLease() const;

  WorkerWatchOptions options;
  TimePoint predecessor_bound;
  std::map<std::string, LiveWorker> live;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBMEMBERSHIP_WORKER_WATCH_H_
