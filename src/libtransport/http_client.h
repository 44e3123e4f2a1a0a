/// HTTP client that keeps its connections, by libcurl.
#ifndef SAVORYRING_LIBTRANSPORT_HTTP_CLIENT_H_
#define SAVORYRING_LIBTRANSPORT_HTTP_CLIENT_H_

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "libtransport/http.h"
#include "savoryring/time.h"

namespace savoryring {

/// What became of one call.
struct HttpOutcome {
  enum class Kind {
    kAnswered,
    kNoAnswer,  ///< The peer may have taken the request.
    kRefused,   ///< Nobody listens there; the request was not sent.
  };
  Kind kind = Kind::kNoAnswer;
  HttpResponse response;  ///< Where it was answered.
};

/// Keeps as many connections to one address as calls run at one time. Thread
/// safe. A call that failed closes its connection.
class HttpClient {
 public:
  /// `address` is "IP:PORT".
  explicit HttpClient(std::string address);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends the request and waits for the whole answer until `deadline`.
  HttpOutcome Send(const HttpRequest& request, TimePoint deadline);

 private:
  struct Connection;
  std::unique_ptr<Connection> Take();

  std::string address;
  std::mutex mutex;
  std::vector<std::unique_ptr<Connection>> idle;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_HTTP_CLIENT_H_
