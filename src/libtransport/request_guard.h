/// Bounds what the HTTP clients of one process may occupy: connections, the
/// time of headers, and the memory of bodies. Shared by all listeners.
#ifndef SAVORYRING_LIBTRANSPORT_REQUEST_GUARD_H_
#define SAVORYRING_LIBTRANSPORT_REQUEST_GUARD_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "libbase/events.h"
#include "libbase/metrics.h"
#include "libtransport/body_budget.h"
#include "libtransport/connection_limiter.h"
#include "savoryring/settings.h"

namespace savoryring {

/// A request body that is being received or handled.
struct ReceivedBody {
  BodyId id = 0;
  ConnectionId connection = 0;
  std::uint64_t announced_bytes = 0;  ///< 0: not announced.
  std::uint64_t limit_bytes = 0;
  std::string text;
  bool aborted = false;
};

enum class BodyOutcome {
  kStored,
  kTooLarge,  ///< To be refused with kBodyTooLarge.
  kNoMemory,  ///< To be refused with kOverloaded.
  kAborted,   ///< Its connection is being closed.
};

/// Thread safe. A body may be used by one thread at a time; the guard itself
/// frees the text of bodies that it aborts.
class RequestGuard {
 public:
  /// Applies to listeners that are created after all earlier ones have been
  /// destroyed. `metrics` may be null, and must outlive every listener.
  static void Configure(const LimitSettings& limits, Metrics* metrics);
  /// The guard that all listeners of the process share while any exists.
  static std::shared_ptr<RequestGuard> OfProcess();

  RequestGuard(const LimitSettings& limits, Metrics* metrics);
  ~RequestGuard();
  RequestGuard(const RequestGuard&) = delete;
  RequestGuard& operator=(const RequestGuard&) = delete;

  const LimitSettings& limits() const { return this->limit_settings; }

  /// Whether the process takes one more connection; may close another one.
  bool Admit(const std::string& listener);
  /// `socket` must stay open until OnClosed returns.
  ConnectionId OnOpened(int socket);
  void OnRequestLine(ConnectionId id);
  void OnHeaders(ConnectionId id);
  void OnAnswered(ConnectionId id);
  void OnClosed(ConnectionId id);

  /// Starts the account of a body; `body` must stay at its address until
  /// Release.
  void Open(ReceivedBody& body, ConnectionId connection);
  BodyOutcome Append(ReceivedBody& body, std::string_view bytes);
  /// The request is complete and goes to its handler.
  BodyOutcome Complete(ReceivedBody& body);
  /// Replaces the account of the body by that of the response. Returns false if
  /// there is no memory for a response of this size.
  bool HoldResponse(const ReceivedBody& body, std::uint64_t bytes);
  /// Frees the body's memory and ends its reservation.
  void Release(ReceivedBody& body);
  /// Counts a refusal, and logs it with the others of its kind.
  void ReportRefusal(BodyOutcome outcome, const std::string& listener);
  /// The largest body for which there is memory at all.
  std::uint64_t max_body_bytes() const;
  std::uint64_t reserved_bytes() const;

 private:
  struct Incidents {
    std::uint64_t count = 0;
    std::string last_listener;
  };

  void CloseLocked(ConnectionId id);
  void ReportLocked(Event event, const std::string& listener);
  void Sweep();
  void LogIncidents();
  void RunSweeper();

  const LimitSettings limit_settings;
  Metrics* const metrics;
  mutable std::mutex mutex;
  BodyBudget budget;
  ConnectionLimiter limiter;
  std::map<ConnectionId, int> sockets;
  std::map<BodyId, ReceivedBody*> bodies;
  std::map<Event, Incidents> incidents;
  std::uint64_t last_id = 0;
  bool stopping = false;
  std::condition_variable stop_requested;
  std::thread sweeper;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_REQUEST_GUARD_H_
