/// HTTP server and client of the daemon and the command line, by ulfius.
#ifndef SAVORYRING_LIBTRANSPORT_HTTP_H_
#define SAVORYRING_LIBTRANSPORT_HTTP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
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
  std::string path;   ///< Begins with a slash; without the query.
  std::string query;  ///< Without the question mark.
  std::vector<HttpHeader> headers;
  std::string body;

  /// The header's value, or an empty string; names ignore case.
  std::string Header(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;

  std::string Header(const std::string& name) const;
};

/// The answer that savoryring itself makes for `code`.
HttpResponse MakeResultResponse(ResultCode code, const std::string& detail);

/// An answer with a JSON body.
HttpResponse MakeJsonResponse(int status, std::string body);

/// Answers one request; called on a thread of its own for each connection.
using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

struct HttpServerOptions {
  std::string address;  ///< "IP:PORT"
  std::uint64_t body_limit_bytes = 1U << 20U;
};

/// A listening HTTP server; the destructor stops it.
class HttpServer {
 public:
  /// Throws Error (kAddressInUse).
  HttpServer(const HttpServerOptions& options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// Sends a request to `url` ("http://IP:PORT") + path and waits for the whole
/// answer. Throws Error (kUnreachable) where no whole answer came in `wait`.
HttpResponse SendHttp(const std::string& url,
                      const HttpRequest& request,
                      Milliseconds wait);

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_HTTP_H_
