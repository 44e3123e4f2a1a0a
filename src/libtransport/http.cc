#include "libtransport/http.h"

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
