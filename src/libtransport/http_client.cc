#include "libtransport/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace savoryring {
namespace {

void InitCurlOnce() {
  static const CURLcode init_result = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)init_result;
}

std::size_t AppendBody(char* data,
                       std::size_t size,
                       std::size_t count,
                       void* user_data) {
  static_cast<std::string*>(user_data)->append(data, size * count);
  return size * count;
}

std::size_t AppendHeader(char* data,
                         std::size_t size,
                         std::size_t count,
                         void* user_data) {
  const std::string line(data, size * count);
  const std::size_t colon = line.find(':');
  if (colon == std::string::npos)
    return size * count;
  const std::size_t begin = line.find_first_not_of(' ', colon + 1);
  const std::size_t end = line.find_last_not_of("\r\n");
  const bool empty = begin == std::string::npos || end < begin;
  static_cast<std::vector<HttpHeader>*>(user_data)->push_back(
      {.name = line.substr(0, colon),
       .value = empty ? "" : line.substr(begin, end - begin + 1)});
  return size * count;
}

}  // namespace

struct HttpClient::Connection {
  CURL* handle = curl_easy_init();

  Connection() = default;
  ~Connection() { curl_easy_cleanup(this->handle); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
};

HttpClient::HttpClient(std::string address) : address(std::move(address)) {
  InitCurlOnce();
}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient::Connection> HttpClient::TakeConnection() {
  const std::lock_guard lock(this->mutex);
  if (this->idle_connections.empty())
    return std::make_unique<Connection>();
  std::unique_ptr<Connection> connection =
      std::move(this->idle_connections.back());
  this->idle_connections.pop_back();
  return connection;
}

HttpOutcome HttpClient::Send(const HttpRequest& request, TimePoint deadline) {
  std::unique_ptr<Connection> connection = this->TakeConnection();
  CURL* handle = connection->handle;
  const std::string url = "http://" + this->address + request.path +
                          (request.query.empty() ? "" : "?" + request.query);
  HttpOutcome outcome;
  // Removes the header "Expect: 100-continue", with which curl would wait for
  // an interim response before it sends a larger body.
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  for (const HttpHeader& header : request.headers) {
    headers =
        curl_slist_append(headers, (header.name + ": " + header.value).c_str());
  }
  const auto timeout_ms = std::max<std::int64_t>(
      1, RemainingTime(BootClock::now(), deadline).count());
  curl_easy_reset(handle);
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_ms));
  if (!request.body.empty() || request.method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(request.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
  }
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &outcome.response.body);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &AppendHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &outcome.response.headers);
  const CURLcode code = curl_easy_perform(handle);
  curl_slist_free_all(headers);
  if (code != CURLE_OK) {
    long os_error = 0;
    curl_easy_getinfo(handle, CURLINFO_OS_ERRNO, &os_error);
    const bool refused =
        code == CURLE_COULDNT_CONNECT && os_error == ECONNREFUSED;
    outcome.kind =
        refused ? HttpOutcome::Kind::kRefused : HttpOutcome::Kind::kNoAnswer;
    return outcome;
  }
  long status = 0;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  outcome.kind = HttpOutcome::Kind::kAnswered;
  outcome.response.status = static_cast<int>(status);
  const std::lock_guard lock(this->mutex);
  this->idle_connections.push_back(std::move(connection));
  return outcome;
}

}  // namespace savoryring
