/// The open connections of an HTTP server.
#ifndef SAVORYRING_LIBTRANSPORT_OPEN_CONNECTIONS_H_
#define SAVORYRING_LIBTRANSPORT_OPEN_CONNECTIONS_H_

#include <condition_variable>
#include <mutex>
#include <set>

#include "savoryring/time.h"

namespace savoryring {

/// Thread safe.
class OpenConnections {
 public:
  /// `socket` must stay open until OnClosed returns.
  void OnOpened(int socket);
  void OnClosed(int socket);

  /// Reads nothing more from the peers than what has already arrived, also on
  /// connections that are opened later. Responses can still be written.
  void StopReading();
  /// Waits until all connections are closed, at most until `deadline`.
  void WaitUntilEmpty(TimePoint deadline);

 private:
  std::mutex mutex;
  std::condition_variable closed;
  std::set<int> sockets;
  bool stopped_reading = false;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_OPEN_CONNECTIONS_H_
