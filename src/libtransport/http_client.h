/// HTTP client with persistent connections, based on libcurl.
#ifndef SAVORYRING_LIBTRANSPORT_HTTP_CLIENT_H_
#define SAVORYRING_LIBTRANSPORT_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "libtransport/http.h"
#include "savoryring/time.h"

namespace savoryring {

/// Outcome of one request.
struct HttpOutcome {
  enum class Kind {
    kAnswered,
    kNoAnswer,  ///< Failed or timed out; the peer may have got the request.
    kRefused,   ///< Connection refused; the request was not sent.
    /// The request was not sent: the connection that it needs is closed, or
    /// the time to send it was over.
    kNotSent,
    /// The request was not sent: `response` answers the check of the
    /// connection, and did not pass it.
    kCheckFailed,
  };
  Kind kind = Kind::kNoAnswer;
  HttpResponse response;  ///< Valid if `kind` is kAnswered or kCheckFailed.
};

/// Times of one request.
struct HttpDeadlines {
  TimePoint send_by;    ///< Leaves the peer enough time for its response.
  TimePoint answer_by;  ///< Also the deadline of the check.
};

/// Shows which process is at the other end of a connection. What passed once
/// holds for as long as the connection lasts: this relies on connections ending
/// with the process that accepted them.
struct ConnectionCheck {
  std::int64_t peer_id = 0;  ///< The process that is meant; 0: unnamed.
  HttpRequest request;       ///< Harmless if another process gets it.
  std::function<bool(const HttpResponse&)> passes;
};

struct HttpClientOptions {
  std::string address;  ///< "IP:PORT"
  /// A peer that closes each connection gets its requests on another one within
  /// this time from the check. That the process may end and another one begin
  /// in that time is an accepted risk (see docs/PLATFORM.md).
  Milliseconds check_validity{50};
};

/// A pool of connections to one address, which grows to the number of
/// concurrent requests. A failed request closes its connection, and is not sent
/// again. Thread safe.
class HttpClient {
 public:
  explicit HttpClient(HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends the request on a connection that has passed the check, and waits for
  /// the complete response until `times.answer_by`. If the check takes longer
  /// than until `times.send_by`, the request is not sent, and the next one gets
  /// the connection.
  HttpOutcome Send(const HttpRequest& request,
                   const ConnectionCheck& check,
                   const HttpDeadlines& times);

 private:
  struct Connection;
  std::unique_ptr<Connection> TakeConnection(std::int64_t peer_id);
  HttpOutcome SendOnNewConnection(const HttpRequest& request,
                                  const ConnectionCheck& check,
                                  const HttpDeadlines& times);
  HttpOutcome Perform(Connection& connection,
                      const HttpRequest& request,
                      std::optional<TimePoint> connect_by,
                      const HttpDeadlines& times);
  void KeepConnection(std::unique_ptr<Connection> connection);

  const HttpClientOptions options;
  std::mutex mutex;
  std::vector<std::unique_ptr<Connection>> idle_connections;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_HTTP_CLIENT_H_
