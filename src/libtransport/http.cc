#include "libtransport/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <strings.h>
#include <ulfius.h>

#include <algorithm>
#include <utility>

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

struct HandlerState {
  HttpHandler handler;
  std::uint64_t body_limit_bytes = 0;
};

HttpResponse HandleOrReportError(const HandlerState& state,
                                 const _u_request* request) {
  try {
    const HttpRequest request_copy = ToHttpRequest(request);
    // ulfius truncates a body at its own limit, which is set one byte higher,
    // so that a body over the limit is recognized here.
    if (request_copy.body.size() > state.body_limit_bytes)
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
  const auto& state = *static_cast<const HandlerState*>(user_data);
  WriteResponse(HandleOrReportError(state, request), response);
  return U_CALLBACK_COMPLETE;
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

struct HttpServer::State {
  _u_instance instance{};
  HandlerState handler;
  sockaddr_in address{};
};

HttpServer::HttpServer(const HttpServerOptions& options, HttpHandler handler)
    : state(std::make_unique<State>()) {
  this->state->handler = {.handler = std::move(handler),
                          .body_limit_bytes = options.body_limit_bytes};
  this->state->address = ParseAddress(options.address);
  ulfius_init_instance(&this->state->instance,
                       ntohs(this->state->address.sin_port),
                       &this->state->address, nullptr);
  this->state->instance.max_post_body_size = options.body_limit_bytes + 1;
  // ulfius does not start without an endpoint of its own kind; this one matches
  // every method and path.
  ulfius_add_endpoint_by_val(&this->state->instance, "*", nullptr, "*", 0,
                             &HandleRequest, &this->state->handler);
  if (ulfius_start_framework(&this->state->instance) != U_OK) {
    ulfius_clean_instance(&this->state->instance);
    throw Error(ResultCode::kAddressInUse, options.address);
  }
}

HttpServer::~HttpServer() {
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
