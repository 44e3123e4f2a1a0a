/// The leader's view of live workers: the leases granted and the state reported
/// in heartbeats. A deterministic state machine without I/O. It is not
/// replicated; a new leader starts with an empty one.
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
  bool skip_predecessor_wait = false;  ///< Ignores leases of earlier leaders.
};

struct WorkerWatchOptions {
  Milliseconds lease{3000};
  WorkerWatchMutations mutations;
};

struct LiveWorker {
  std::uint64_t incarnation = 0;
  /// Latest time, by the leader's clock, until which the worker may act on a
  /// lease. Includes allowances for clock drift and for stopping tasks.
  TimePoint lease_bound;
  /// Until then the worker counts as present, with or without a lease.
  TimePoint presence_bound;
  bool leaving = false;
  std::set<std::string> running;  ///< "TASK@EPOCH", from the last heartbeat.
  std::set<std::string> serving;  ///< Services of the VM's endpoint.
  std::map<std::string, wire::TaskUsage> usage;
  std::map<std::string, wire::ServiceMeasurement> measurements;
};

class WorkerWatch {
 public:
  WorkerWatch(WorkerWatchOptions options, TimePoint leader_since);

  /// Records a heartbeat and, if `grant_lease`, a new lease. `grant_lease` is
  /// false while the worker is being declared lost.
  void OnHeartbeat(const wire::WorkerHeartbeat& heartbeat,
                   std::uint64_t incarnation,
                   bool grant_lease,
                   TimePoint now);

  /// Whether no heartbeat has arrived for the length of a lease, and no lease
  /// from this or an earlier leader can still be valid.
  bool IsLost(const std::string& worker, TimePoint now) const;
  bool IsRunning(const std::string& worker,
                 const std::string& task,
                 std::uint64_t epoch) const;
  /// Whether a worker with a lease reports that it serves the service.
  bool IsServed(const std::string& service, TimePoint now) const;
  const LiveWorker* Find(const std::string& worker) const;
  const std::map<std::string, LiveWorker>& workers() const {
    return this->live_workers;
  }
  void Remove(const std::string& worker);

 private:
  /// How long, by the leader's clock, a worker may act on a lease granted now.
  std::chrono::nanoseconds MaxLeaseDuration() const;

  WorkerWatchOptions options;
  TimePoint predecessor_lease_bound;
  std::map<std::string, LiveWorker> live_workers;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBMEMBERSHIP_WORKER_WATCH_H_
