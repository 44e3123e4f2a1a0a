/// Which connections of a process are closed when there are too many of them,
/// or when they take too long to send the headers of a request.
#ifndef SAVORYRING_LIBTRANSPORT_CONNECTION_LIMITER_H_
#define SAVORYRING_LIBTRANSPORT_CONNECTION_LIMITER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "savoryring/time.h"

namespace savoryring {

/// Identifies one connection; never reused within a process.
using ConnectionId = std::uint64_t;

struct ConnectionLimits {
  std::size_t connections = 1024;
  /// Maximum time that a connection may wait for a request.
  Milliseconds idle{15'000};
  /// Maximum time from the first line of a request to the end of its headers.
  Milliseconds receive{5000};
};

/// Deterministic core. Load: more clients than `limits.connections`, of which
/// most send nothing, headers without an end, or parts of bodies, while
/// ordinary callers open connections for single requests.
class ConnectionLimiter {
 public:
  explicit ConnectionLimiter(const ConnectionLimits& limits) : limits(limits) {}

  /// Whether one more connection is admitted. If there are already as many as
  /// the limit, the one that has been idle or incomplete for the longest time
  /// is returned in `evicted`; it must be closed. False if every connection has
  /// a request in its handler.
  bool Admit(std::optional<ConnectionId>& evicted);
  void OnOpened(ConnectionId id, TimePoint now);
  /// The first line of a request has arrived.
  void OnRequestLine(ConnectionId id, TimePoint now);
  /// The headers, or more of the body, have arrived.
  void OnProgress(ConnectionId id, TimePoint now);
  /// The request is complete; the connection is not closed until it is
  /// answered.
  void OnRequestComplete(ConnectionId id);
  void OnAnswered(ConnectionId id, TimePoint now);
  void OnClosed(ConnectionId id);
  /// Returns, once each, the connections that have not sent the headers of a
  /// request in time.
  std::vector<ConnectionId> TakeOverdue(TimePoint now);

  std::size_t size() const { return this->connections.size(); }

 private:
  struct Connection {
    TimePoint since;  // Idle, or without progress.
    TimePoint headers_deadline = kNever;
    bool evictable = true;
  };

  Connection* Find(ConnectionId id);
  void SetSince(ConnectionId id, Connection& connection, TimePoint since);
  void Withdraw(ConnectionId id, Connection& connection);

  const ConnectionLimits limits;
  std::map<ConnectionId, Connection> connections;
  std::set<std::pair<TimePoint, ConnectionId>> evictable;
  // Evicted, but not yet closed.
  std::set<ConnectionId> leaving;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_CONNECTION_LIMITER_H_
