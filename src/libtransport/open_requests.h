/// The open requests of an HTTP server: from the arrival of the request line
/// until the response is written or the connection is lost.
#ifndef SAVORYRING_LIBTRANSPORT_OPEN_REQUESTS_H_
#define SAVORYRING_LIBTRANSPORT_OPEN_REQUESTS_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "savoryring/time.h"

namespace savoryring {

struct OpenHttpRequest {
  std::string target;  ///< Path and query.
  TimePoint opened;
  TimePoint deadline = kNever;  ///< kNever until the handler is called.
};

/// Thread safe.
class OpenRequests {
 public:
  /// `key` identifies the request until it is closed.
  void Open(const void* key, const std::string& target, TimePoint now);
  void SetDeadline(const void* key, TimePoint deadline);
  void Close(const void* key);

  bool IsEmpty() const;
  /// Waits until no request is open, at most until `deadline`.
  void WaitUntilEmpty(TimePoint deadline);
  std::vector<OpenHttpRequest> List() const;

 private:
  mutable std::mutex mutex;
  std::condition_variable closed;
  std::map<const void*, OpenHttpRequest> requests;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_OPEN_REQUESTS_H_
