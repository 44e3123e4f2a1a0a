/// HTTP client with persistent connections, based on libcurl.
#ifndef SAVORYRING_LIBTRANSPORT_HTTP_CLIENT_H_
#define SAVORYRING_LIBTRANSPORT_HTTP_CLIENT_H_

#include <memory>
#include <mutex>
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
  };
  Kind kind = Kind::kNoAnswer;
  HttpResponse response;  ///< Valid if `kind` is kAnswered.
};

/// A pool of connections to one address, which grows to the number of
/// concurrent requests. A failed request closes its connection. Thread safe.
class HttpClient {
 public:
  /// `address` is "IP:PORT".
  explicit HttpClient(std::string address);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends the request and waits for the complete response until `deadline`.
  HttpOutcome Send(const HttpRequest& request, TimePoint deadline);

 private:
  struct Connection;
  std::unique_ptr<Connection> TakeConnection();

  std::string address;
  std::mutex mutex;
  std::vector<std::unique_ptr<Connection>> idle_connections;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_HTTP_CLIENT_H_
