// The HTTP server, on libmicrohttpd: one thread for each listener receives
// requests and sends responses; a pool of threads runs the handlers.

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

#include "libbase/events.h"
#include "libtransport/http.h"
#include "libtransport/open_connections.h"
#include "libtransport/open_requests.h"
#include "libtransport/request_guard.h"
#include "libtransport/work_pool.h"

namespace savoryring {
namespace {

// Connections of one listener above the limit of the process: those that were
// told to close and are not yet closed.
constexpr unsigned int kClosingConnections = 64;
// Bytes that the kernel may hold of a connection from which nothing is read,
// such as one whose request is in its handler. The kernel doubles the figure.
constexpr int kReceiveBufferBytes = 32 << 10;
// Threads of a listener whose handlers do not wait.
constexpr std::size_t kAsyncHandlerThreads = 16;

// Requests that are in their handlers.
class HandlerCount {
 public:
  // Returns false once the server stops: no handler is started any more.
  bool Add() {
    const std::lock_guard lock(this->mutex);
    if (!this->stopped)
      this->count += 1;
    return !this->stopped;
  }
  void Remove() {
    const std::lock_guard lock(this->mutex);
    this->count -= 1;
    this->changed.notify_all();
  }
  void StopAndWaitUntilNone() {
    std::unique_lock lock(this->mutex);
    this->stopped = true;
    this->changed.wait(lock, [this] { return this->count == 0; });
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::size_t count = 0;
  bool stopped = false;
};

struct ServerState {
  HttpServerOptions options;
  AnyHttpHandler handler;
  std::shared_ptr<RequestGuard> guard;
  std::uint64_t body_limit_bytes = 0;
  std::atomic<bool> leaving{false};
  OpenRequests open_requests;
  OpenConnections open_connections;
  HandlerCount handlers;
  std::unique_ptr<WorkPool> pool;
  MHD_Daemon* daemon = nullptr;
};

// One request on its way from the first line to the end of its response.
struct Exchange {
  ServerState* server = nullptr;
  MHD_Connection* connection = nullptr;
  std::string target;
  bool has_headers = false;
  ReceivedBody body;
  std::optional<HttpResponse> response;
};

ConnectionId IdOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return reinterpret_cast<ConnectionId>(info->socket_context);
}

int SocketOf(MHD_Connection* connection) {
  return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

// Of several headers with the same name, the last one counts.
MHD_Result AddHeader(void* headers,
                     MHD_ValueKind /*kind*/,
                     const char* name,
                     const char* value) {
  auto& list = *static_cast<std::vector<HttpHeader>*>(headers);
  const auto known = std::ranges::find(list, name, &HttpHeader::name);
  const std::string text = value == nullptr ? "" : value;
  if (known != list.end())
    known->value = text;
  else
    list.push_back({.name = name, .value = text});
  return MHD_YES;
}

std::uint64_t AnnouncedBytes(MHD_Connection* connection) {
  const char* text = MHD_lookup_connection_value(
      connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  std::uint64_t bytes = 0;
  if (text != nullptr) {
    const std::string_view digits(text);
    std::from_chars(digits.begin(), digits.end(), bytes);
  }
  return bytes;
}

MHD_Result QueueResponse(MHD_Connection* connection,
                         const HttpResponse& response,
                         MHD_ResponseMemoryMode memory,
                         bool closes) {
  MHD_Response* out = MHD_create_response_from_buffer(
      response.body.size(), const_cast<char*>(response.body.data()), memory);
  if (out == nullptr)
    return MHD_NO;
  for (const HttpHeader& header : response.headers)
    MHD_add_response_header(out, header.name.c_str(), header.value.c_str());
  if (closes)
    MHD_add_response_header(out, MHD_HTTP_HEADER_CONNECTION, "close");
  const MHD_Result result = MHD_queue_response(
      connection, static_cast<unsigned int>(response.status), out);
  MHD_destroy_response(out);
  return result;
}

HttpResponse RefusalOf(BodyOutcome outcome) {
  return MakeResultResponse(outcome == BodyOutcome::kTooLarge
                                ? ResultCode::kBodyTooLarge
                                : ResultCode::kOverloaded,
                            "");
}

// libmicrohttpd takes no response while it receives a body. So the refusal is
// written past it, as far as the socket takes it at once, and the connection is
// closed.
MHD_Result RefuseWhileReceiving(const Exchange& exchange, BodyOutcome outcome) {
  exchange.server->guard->ReportRefusal(outcome,
                                        exchange.server->options.address);
  if (outcome == BodyOutcome::kAborted)
    return MHD_NO;
  const HttpResponse response = RefusalOf(outcome);
  const auto status = static_cast<unsigned int>(response.status);
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " +
                     MHD_get_reason_phrase_for(status) + "\r\n";
  for (const HttpHeader& header : response.headers)
    text += header.name + ": " + header.value + "\r\n";
  text += "Connection: close\r\nContent-Length: " +
          std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
  send(SocketOf(exchange.connection), text.data(), text.size(),
       MSG_DONTWAIT | MSG_NOSIGNAL);
  return MHD_NO;
}

MHD_Result Refuse(const Exchange& exchange, BodyOutcome outcome) {
  exchange.server->guard->ReportRefusal(outcome,
                                        exchange.server->options.address);
  return QueueResponse(exchange.connection, RefusalOf(outcome),
                       MHD_RESPMEM_MUST_COPY, true);
}

void LogAbortedRequest(const ServerState& server,
                       const std::exception& failure) {
  LogEvent(Event::kRequestAborted,
           {{"listener", server.options.address}, {"why", failure.what()}});
}

MHD_Result OnHeaders(Exchange& exchange) {
  exchange.has_headers = true;
  RequestGuard& guard = *exchange.server->guard;
  guard.OnHeaders(IdOf(exchange.connection));
  exchange.body.announced_bytes = AnnouncedBytes(exchange.connection);
  exchange.body.limit_bytes = exchange.server->body_limit_bytes;
  if (exchange.body.announced_bytes > exchange.body.limit_bytes)
    return Refuse(exchange, BodyOutcome::kTooLarge);
  return MHD_YES;
}

HttpRequest ToHttpRequest(Exchange& exchange, const char* method) {
  HttpRequest request;
  request.method = method;
  const std::size_t query_mark = exchange.target.find('?');
  request.path = exchange.target.substr(0, query_mark);
  if (query_mark != std::string::npos)
    request.query = exchange.target.substr(query_mark + 1);
  MHD_get_connection_values(exchange.connection, MHD_HEADER_KIND, &AddHeader,
                            &request.headers);
  // The reservation lasts until the response is written.
  request.body = std::move(exchange.body.text);
  return request;
}

// The connection may be served again, and the exchange be gone, once it is
// resumed.
void Answer(Exchange& exchange, HttpResponse response) {
  ServerState& server = *exchange.server;
  exchange.response = std::move(response);
  if (!server.guard->HoldResponse(exchange.body,
                                  exchange.response->body.size())) {
    server.guard->ReportRefusal(BodyOutcome::kNoMemory, server.options.address);
    // The request may have run.
    exchange.response = MakeResultResponse(ResultCode::kOutcomeUnknown, "");
  }
  MHD_resume_connection(exchange.connection);
  server.handlers.Remove();
}

// The answer that a handler owes.
class PendingAnswer {
 public:
  explicit PendingAnswer(Exchange& exchange) : exchange(&exchange) {}
  ~PendingAnswer() {
    this->Give(MakeResultResponse(ResultCode::kOutcomeUnknown, ""));
  }
  PendingAnswer(const PendingAnswer&) = delete;
  PendingAnswer& operator=(const PendingAnswer&) = delete;

  void Give(HttpResponse response) {
    if (Exchange* waiting = this->exchange.exchange(nullptr))
      Answer(*waiting, std::move(response));
  }

 private:
  std::atomic<Exchange*> exchange;
};

struct CallHandler {
  const HttpRequest& request;
  const std::shared_ptr<PendingAnswer>& answer;

  void operator()(const HttpHandler& handler) const {
    this->answer->Give(handler(this->request));
  }
  void operator()(const AsyncHttpHandler& handler) const {
    handler(this->request, [owed = this->answer](HttpResponse response) {
      owed->Give(std::move(response));
    });
  }
};

void HandleOrReportError(Exchange& exchange, const HttpRequest& request) {
  const auto answer = std::make_shared<PendingAnswer>(exchange);
  try {
    std::visit(CallHandler{.request = request, .answer = answer},
               exchange.server->handler);
  } catch (const Error& failure) {
    answer->Give(MakeResultResponse(failure.code(), failure.what()));
  } catch (const std::exception& failure) {
    answer->Give(MakeResultResponse(ResultCode::kInternal, failure.what()));
  }
}

// The connection is suspended until the handler has returned, so that its
// thread serves others.
MHD_Result StartHandler(Exchange& exchange, const char* method) {
  ServerState& server = *exchange.server;
  const BodyOutcome outcome = server.guard->Complete(exchange.body);
  if (outcome == BodyOutcome::kAborted)
    return MHD_NO;
  if (outcome != BodyOutcome::kStored)
    return Refuse(exchange, outcome);
  auto request = std::make_shared<HttpRequest>(ToHttpRequest(exchange, method));
  if (server.options.deadline_of) {
    server.open_requests.SetDeadline(
        &exchange, server.options.deadline_of(*request, BootClock::now()));
  }
  if (!server.handlers.Add())
    return MHD_NO;
  MHD_suspend_connection(exchange.connection);
  const bool runs = server.pool->TryRun(
      [&exchange, request] { HandleOrReportError(exchange, *request); });
  if (!runs) {
    server.guard->ReportRefusal(BodyOutcome::kNoMemory, server.options.address);
    Answer(exchange, RefusalOf(BodyOutcome::kNoMemory));
  }
  return MHD_YES;
}

MHD_Result ContinueRequest(Exchange& exchange,
                           const char* method,
                           const char* data,
                           std::size_t* size) {
  if (!exchange.has_headers)
    return OnHeaders(exchange);
  if (*size > 0) {
    const BodyOutcome outcome =
        exchange.server->guard->Append(exchange.body, {data, *size});
    *size = 0;
    return outcome == BodyOutcome::kStored
               ? MHD_YES
               : RefuseWhileReceiving(exchange, outcome);
  }
  if (!exchange.response)
    return StartHandler(exchange, method);
  // The exchange outlives the response that is sent.
  return QueueResponse(exchange.connection, *exchange.response,
                       MHD_RESPMEM_PERSISTENT, exchange.server->leaving);
}

// Called with the headers, with each part of the body, at the end of the
// request, and after the handler has answered. An exception must not pass
// through libmicrohttpd: it would end the process.
MHD_Result OnRequest(void* user_data,
                     MHD_Connection* /*connection*/,
                     const char* /*path*/,
                     const char* method,
                     const char* /*version*/,
                     const char* data,
                     std::size_t* size,
                     void** key) {
  if (*key == nullptr)
    return MHD_NO;
  try {
    return ContinueRequest(*static_cast<Exchange*>(*key), method, data, size);
  } catch (const std::exception& failure) {
    LogAbortedRequest(*static_cast<ServerState*>(user_data), failure);
    return MHD_NO;
  }
}

// Returns null if there is no memory for the request.
void* OnRequestLine(void* user_data,
                    const char* target,
                    MHD_Connection* connection) {
  auto& server = *static_cast<ServerState*>(user_data);
  std::unique_ptr<Exchange> exchange;
  try {
    exchange = std::make_unique<Exchange>(Exchange{
        .server = &server, .connection = connection, .target = target});
    server.guard->OnRequestLine(IdOf(connection));
    server.guard->Open(exchange->body, IdOf(connection));
    server.open_requests.Open(exchange.get(), target, BootClock::now());
  } catch (const std::exception& failure) {
    LogAbortedRequest(server, failure);
    if (exchange)
      server.guard->Release(exchange->body);
    return nullptr;
  }
  return exchange.release();
}

void OnRequestCompleted(void* user_data,
                        MHD_Connection* connection,
                        void** key,
                        MHD_RequestTerminationCode /*reason*/) {
  auto& server = *static_cast<ServerState*>(user_data);
  const std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(*key));
  *key = nullptr;
  if (!exchange)
    return;
  server.guard->Release(exchange->body);
  server.guard->OnAnswered(IdOf(connection));
  server.open_requests.Close(exchange.get());
}

void OnConnection(void* user_data,
                  MHD_Connection* connection,
                  void** context,
                  MHD_ConnectionNotificationCode notification) {
  auto& server = *static_cast<ServerState*>(user_data);
  const int socket = SocketOf(connection);
  if (notification == MHD_CONNECTION_NOTIFY_STARTED) {
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof kReceiveBufferBytes);
    *context = reinterpret_cast<void*>(server.guard->OnOpened(socket));
    server.open_connections.OnOpened(socket);
    return;
  }
  server.guard->OnClosed(reinterpret_cast<ConnectionId>(*context));
  server.open_connections.OnClosed(socket);
}

MHD_Result OnAccept(void* user_data,
                    const sockaddr* /*peer*/,
                    socklen_t /*size*/) {
  const auto& server = *static_cast<ServerState*>(user_data);
  return server.guard->Admit(server.options.address) ? MHD_YES : MHD_NO;
}

sockaddr_in ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  return address;
}

MHD_Daemon* StartDaemon(ServerState& server) {
  const LimitSettings& limits = server.guard->limits();
  sockaddr_in address = ParseAddress(server.options.address);
  constexpr unsigned int kFlags =
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
  constexpr Milliseconds kSecond{1000};
  const auto idle_seconds = static_cast<unsigned int>(
      (limits.idle + kSecond - Milliseconds(1)) / kSecond);
  return MHD_start_daemon(
      kFlags, 0, &OnAccept, &server, &OnRequest, &server, MHD_OPTION_SOCK_ADDR,
      &address, MHD_OPTION_NOTIFY_COMPLETED, &OnRequestCompleted, &server,
      MHD_OPTION_URI_LOG_CALLBACK, &OnRequestLine, &server,
      MHD_OPTION_NOTIFY_CONNECTION, &OnConnection, &server,
      MHD_OPTION_CONNECTION_LIMIT,
      static_cast<unsigned int>(limits.connections) + kClosingConnections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      static_cast<std::size_t>(limits.header_bytes),
      MHD_OPTION_CONNECTION_TIMEOUT, idle_seconds, MHD_OPTION_END);
}

void LogCutRequests(const ServerState& server) {
  const TimePoint now = BootClock::now();
  for (const OpenHttpRequest& request : server.open_requests.List()) {
    const bool has_deadline = request.deadline != kNever;
    const Milliseconds remaining = RemainingTime(now, request.deadline);
    const Milliseconds open_time = RemainingTime(request.opened, now);
    LogEvent(Event::kRequestCut,
             {{"listener", server.options.address},
              {"target", request.target},
              {"open_ms", std::to_string(open_time.count())},
              {"remaining_ms",
               has_deadline ? std::to_string(remaining.count()) : "unknown"}});
  }
}

}  // namespace

struct HttpServer::State : ServerState {};

HttpServer::HttpServer(const HttpServerOptions& options, AnyHttpHandler handler)
    : state(std::make_unique<State>()) {
  this->state->options = options;
  this->state->handler = std::move(handler);
  this->state->guard = RequestGuard::OfProcess();
  this->state->body_limit_bytes =
      std::min(options.body_limit_bytes, this->state->guard->max_body_bytes());
  // Each connection has at most one request in its handler.
  const bool handlers_wait =
      std::holds_alternative<HttpHandler>(this->state->handler);
  this->state->pool = std::make_unique<WorkPool>(
      handlers_wait
          ? this->state->guard->limits().connections + kClosingConnections
          : kAsyncHandlerThreads);
  this->state->daemon = StartDaemon(*this->state);
  if (this->state->daemon == nullptr)
    throw Error(ResultCode::kAddressInUse, options.address);
}

void HttpServer::Leave() {
  this->state->leaving = true;
}

bool HttpServer::IsIdle() const {
  return this->state->open_requests.IsEmpty();
}

// libmicrohttpd shuts the connections down in both directions at once, which
// loses the responses of open requests. So they are completed first, and
// requests that have arrived by then are still read and answered. It does not
// stop while a connection is suspended.
HttpServer::~HttpServer() {
  const Milliseconds timeout = this->state->options.close_timeout;
  this->Leave();
  this->state->open_requests.WaitUntilEmpty(BootClock::now() + timeout);
  LogCutRequests(*this->state);
  const int listener = MHD_quiesce_daemon(this->state->daemon);
  if (listener >= 0)
    close(listener);
  this->state->open_connections.StopReading();
  this->state->open_connections.WaitUntilEmpty(BootClock::now() + timeout);
  this->state->handlers.StopAndWaitUntilNone();
  MHD_stop_daemon(this->state->daemon);
}

}  // namespace savoryring
