/// HTTP server and client of the daemon and the command line tool. The server
/// is based on libmicrohttpd, the client on ulfius.
#ifndef SAVORYRING_LIBTRANSPORT_HTTP_H_
#define SAVORYRING_LIBTRANSPORT_HTTP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "savoryring/result.h"
#include "savoryring/time.h"

namespace savoryring {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpRequest {
  std::string method;
  std::string path;   ///< Starts with a slash; excludes the query.
  std::string query;  ///< Excludes the question mark.
  std::vector<HttpHeader> headers;
  std::string body;

  /// Returns the header's value, or an empty string if it is missing. The name
  /// is not case sensitive.
  std::string Header(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;

  /// As HttpRequest::Header.
  std::string Header(const std::string& name) const;
};

/// The response for a result `code` of savoryring itself, with its headers.
HttpResponse MakeResultResponse(ResultCode code, const std::string& detail);

/// A response with a JSON body.
HttpResponse MakeJsonResponse(int status, std::string body);

/// Handles one request. Called on one of many threads, so that it may wait.
using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

/// Answers one request. Called once, on any thread; the request gets the result
/// kOutcomeUnknown if all copies are destroyed before.
using HttpResponder = std::function<void(HttpResponse)>;
/// Begins to handle one request. Called on one of few threads, so that it must
/// not wait for other processes.
using AsyncHttpHandler =
    std::function<void(const HttpRequest&, const HttpResponder&)>;
using AnyHttpHandler = std::variant<HttpHandler, AsyncHttpHandler>;

struct HttpServerOptions {
  std::string address;  ///< "IP:PORT"
  /// Requests with a larger body get the result kBodyTooLarge, and their
  /// connection is closed. The limits of the process also apply
  /// (RequestGuard).
  std::uint64_t body_limit_bytes = 1U << 20U;
  /// Maximum time that the destructor waits for open requests, and then for
  /// connections to close. Requests that take longer must be waited for before.
  Milliseconds close_timeout{150};
  /// Returns the deadline that the handler gives to a request that arrived at
  /// the given time; only logged. May be empty.
  std::function<TimePoint(const HttpRequest&, TimePoint)> deadline_of;
};

/// A listening HTTP server. The destructor stops it: it answers the requests
/// that have arrived, and logs those that are not answered in time.
class HttpServer {
 public:
  /// Throws Error (kAddressInUse).
  HttpServer(const HttpServerOptions& options, AnyHttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// From now on, each response closes its connection, so that clients move to
  /// another process. Thread safe.
  void Leave();
  /// Whether no request is being received, handled or answered. Thread safe.
  bool IsIdle() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// Sends a request to `url` ("http://IP:PORT") + path and waits for the
/// complete response. Throws Error (kUnreachable) if none arrives within
/// `timeout`, which is rounded up to whole seconds.
HttpResponse SendHttp(const std::string& url,
                      const HttpRequest& request,
                      Milliseconds timeout);

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_HTTP_H_
