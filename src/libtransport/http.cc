#include "libtransport/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <strings.h>
#include <ulfius.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <utility>

#include "libbase/events.h"
#include "libtransport/open_connections.h"
#include "libtransport/open_requests.h"

namespace savoryring {
namespace {

std::string FindHeader(const std::vector<HttpHeader>& headers,
                       const std::string& name) {
  for (const HttpHeader& header : headers) {
    if (strcasecmp(header.name.c_str(), name.c_str()) == 0)
      return header.value;
  }
  return "";
}

std::vector<HttpHeader> ToHeaders(const _u_map* map) {
  std::vector<HttpHeader> headers;
  const int count = u_map_count(map);
  for (int i = 0; i < count; ++i) {
    // map->lengths is not used, as it includes the terminating null byte.
    headers.push_back({.name = map->keys[i], .value = map->values[i]});
  }
  return headers;
}

HttpRequest ToHttpRequest(const _u_request* request) {
  HttpRequest result;
  result.method = request->http_verb;
  const std::string url = request->http_url;
  const std::size_t query_mark = url.find('?');
  result.path = url.substr(0, query_mark);
  if (query_mark != std::string::npos)
    result.query = url.substr(query_mark + 1);
  result.headers = ToHeaders(request->map_header);
  if (request->binary_body_length > 0) {
    result.body.assign(static_cast<const char*>(request->binary_body),
                       request->binary_body_length);
  }
  return result;
}

void WriteResponse(const HttpResponse& response, _u_response* out) {
  for (const HttpHeader& header : response.headers) {
    u_map_put(out->map_header, header.name.c_str(), header.value.c_str());
  }
  ulfius_set_binary_body_response(out, response.status, response.body.data(),
                                  response.body.size());
}

struct ServerState {
  _u_instance instance{};
  HttpServerOptions options;
  HttpHandler handler;
  sockaddr_in address{};
  std::atomic<bool> leaving{false};
  OpenRequests open_requests;
  OpenConnections open_connections;
};

// The request that the thread of a connection is serving; ulfius does not pass
// this key to the handler.
thread_local const void* current_request = nullptr;

void* OnRequestLine(void* user_data, const char* target) {
  void* key = ulfius_uri_logger(nullptr, target);
  static_cast<ServerState*>(user_data)->open_requests.Open(key, target,
                                                           BootClock::now());
  current_request = key;
  return key;
}

void OnRequestCompleted(void* user_data,
                        MHD_Connection* connection,
                        void** key,
                        MHD_RequestTerminationCode reason) {
  const void* completed = *key;
  mhd_request_completed(nullptr, connection, key, reason);
  static_cast<ServerState*>(user_data)->open_requests.Close(completed);
}

void OnConnection(void* user_data,
                  MHD_Connection* connection,
                  void** /*context*/,
                  MHD_ConnectionNotificationCode notification) {
  auto& connections = static_cast<ServerState*>(user_data)->open_connections;
  const int socket =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
          ->connect_fd;
  if (notification == MHD_CONNECTION_NOTIFY_STARTED)
    connections.OnOpened(socket);
  else
    connections.OnClosed(socket);
}

HttpResponse HandleOrReportError(ServerState& state,
                                 const _u_request* request) {
  try {
    const HttpRequest request_copy = ToHttpRequest(request);
    if (state.options.deadline_of) {
      state.open_requests.SetDeadline(
          current_request,
          state.options.deadline_of(request_copy, BootClock::now()));
    }
    // ulfius truncates a body at its own limit, which is set one byte higher,
    // so that a body over the limit is recognized here.
    if (request_copy.body.size() > state.options.body_limit_bytes)
      return MakeResultResponse(ResultCode::kBodyTooLarge, "");
    return state.handler(request_copy);
  } catch (const Error& failure) {
    return MakeResultResponse(failure.code(), failure.what());
  } catch (const std::exception& failure) {
    return MakeResultResponse(ResultCode::kInternal, failure.what());
  }
}

int HandleRequest(const _u_request* request,
                  _u_response* response,
                  void* user_data) {
  auto& state = *static_cast<ServerState*>(user_data);
  HttpResponse result = HandleOrReportError(state, request);
  if (state.leaving)
    result.headers.push_back({.name = "Connection", .value = "close"});
  WriteResponse(result, response);
  return U_CALLBACK_COMPLETE;
}

// As ulfius_start_framework, with callbacks of the server's own in addition.
int StartServer(ServerState& state) {
  constexpr unsigned int kFlags = MHD_USE_THREAD_PER_CONNECTION |
                                  MHD_USE_INTERNAL_POLLING_THREAD |
                                  MHD_ALLOW_UPGRADE;
  const auto pointer = [](auto* target) {
    return reinterpret_cast<std::intptr_t>(target);
  };
  std::array<MHD_OptionItem, 5> options{
      MHD_OptionItem{MHD_OPTION_NOTIFY_COMPLETED, pointer(&OnRequestCompleted),
                     &state},
      MHD_OptionItem{MHD_OPTION_URI_LOG_CALLBACK, pointer(&OnRequestLine),
                     &state},
      MHD_OptionItem{MHD_OPTION_NOTIFY_CONNECTION, pointer(&OnConnection),
                     &state},
      MHD_OptionItem{MHD_OPTION_SOCK_ADDR, 0, &state.address},
      MHD_OptionItem{MHD_OPTION_END, 0, nullptr}};
  return ulfius_start_framework_with_mhd_options(&state.instance, kFlags,
                                                 options.data());
}

void LogCutRequests(const ServerState& state) {
  const TimePoint now = BootClock::now();
  for (const OpenHttpRequest& request : state.open_requests.List()) {
    const bool has_deadline = request.deadline != kNever;
    const Milliseconds remaining = RemainingTime(now, request.deadline);
    const Milliseconds open_time = RemainingTime(request.opened, now);
    LogEvent(Event::kRequestCut,
             {{"listener", state.options.address},
              {"target", request.target},
              {"open_ms", std::to_string(open_time.count())},
              {"remaining_ms",
               has_deadline ? std::to_string(remaining.count()) : "unknown"}});
  }
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

void InitUlfiusOnce() {
  static const int init_result = ulfius_global_init();
  (void)init_result;
}

// Owns an ulfius request and its response.
struct UlfiusExchange {
  _u_request request{};
  _u_response response{};

  UlfiusExchange() {
    ulfius_init_request(&this->request);
    ulfius_init_response(&this->response);
  }
  ~UlfiusExchange() {
    ulfius_clean_request(&this->request);
    ulfius_clean_response(&this->response);
  }
  UlfiusExchange(const UlfiusExchange&) = delete;
  UlfiusExchange& operator=(const UlfiusExchange&) = delete;
};

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  return FindHeader(this->headers, name);
}

std::string HttpResponse::Header(const std::string& name) const {
  return FindHeader(this->headers, name);
}

HttpResponse MakeResultResponse(ResultCode code, const std::string& detail) {
  const ResultInfo& info = InfoOf(code);
  HttpResponse response = MakeJsonResponse(info.http_status, "");
  response.body = ResultBody(code, detail);
  response.headers.push_back(
      {.name = "Savoryring-Result", .value = std::to_string(NumberOf(code))});
  response.headers.push_back(
      {.name = "Savoryring-Not-Run", .value = info.not_run ? "true" : "false"});
  if (info.http_status == 503)
    response.headers.push_back({.name = "Retry-After", .value = "1"});
  return response;
}

HttpResponse MakeJsonResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back(
      {.name = "Content-Type", .value = "application/json"});
  response.body = std::move(body);
  return response;
}

struct HttpServer::State : ServerState {};

HttpServer::HttpServer(const HttpServerOptions& options, HttpHandler handler)
    : state(std::make_unique<State>()) {
  this->state->options = options;
  this->state->handler = std::move(handler);
  this->state->address = ParseAddress(options.address);
  ulfius_init_instance(&this->state->instance,
                       ntohs(this->state->address.sin_port),
                       &this->state->address, nullptr);
  this->state->instance.max_post_body_size = options.body_limit_bytes + 1;
  // ulfius does not start without an endpoint of its own kind; this one matches
  // every method and path.
  ulfius_add_endpoint_by_val(&this->state->instance, "*", nullptr, "*", 0,
                             &HandleRequest, this->state.get());
  if (StartServer(*this->state) != U_OK) {
    ulfius_clean_instance(&this->state->instance);
    throw Error(ResultCode::kAddressInUse, options.address);
  }
}

void HttpServer::Leave() {
  this->state->leaving = true;
}

bool HttpServer::IsIdle() const {
  return this->state->open_requests.IsEmpty();
}

// ulfius shuts the connections down in both directions at once, which loses
// the responses of open requests. So they are completed first, and requests
// that have arrived by then are still read and answered.
HttpServer::~HttpServer() {
  const Milliseconds timeout = this->state->options.close_timeout;
  this->Leave();
  this->state->open_requests.WaitUntilEmpty(BootClock::now() + timeout);
  LogCutRequests(*this->state);
  const int listener = MHD_quiesce_daemon(this->state->instance.mhd_daemon);
  if (listener >= 0)
    close(listener);
  this->state->open_connections.StopReading();
  this->state->open_connections.WaitUntilEmpty(BootClock::now() + timeout);
  ulfius_stop_framework(&this->state->instance);
  ulfius_clean_instance(&this->state->instance);
}

HttpResponse SendHttp(const std::string& url,
                      const HttpRequest& request,
                      Milliseconds timeout) {
  InitUlfiusOnce();
  UlfiusExchange exchange;
  const std::string target =
      url + request.path + (request.query.empty() ? "" : "?" + request.query);
  exchange.request.http_verb = o_strdup(request.method.c_str());
  exchange.request.http_url = o_strdup(target.c_str());
  constexpr Milliseconds kSecond{1000};
  exchange.request.timeout = static_cast<unsigned long>(std::max<std::int64_t>(
      1, (timeout + kSecond - Milliseconds(1)) / kSecond));
  for (const HttpHeader& header : request.headers) {
    u_map_put(exchange.request.map_header, header.name.c_str(),
              header.value.c_str());
  }
  ulfius_set_binary_body_request(&exchange.request, request.body.data(),
                                 request.body.size());
  if (ulfius_send_http_request(&exchange.request, &exchange.response) != U_OK)
    throw Error(ResultCode::kUnreachable, target);
  HttpResponse response;
  response.status = static_cast<int>(exchange.response.status);
  response.headers = ToHeaders(exchange.response.map_header);
  response.body.assign(static_cast<const char*>(exchange.response.binary_body),
                       exchange.response.binary_body_length);
  return response;
}

}  // namespace savoryring
