#include "libtransport/http_client.h"

#include <curl/curl.h>
#include <sys/socket.h>

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
  std::int64_t peer_id = 0;  // whose check has passed
  // Of the current request:
  std::optional<TimePoint> connect_by;  // nullopt: only the open connection
  TimePoint send_by;
  bool connect_prevented = false;
  bool sent = false;

  Connection() = default;
  ~Connection() { curl_easy_cleanup(this->handle); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static curl_socket_t OnConnect(void* user_data,
                                 curlsocktype /*purpose*/,
                                 curl_sockaddr* address) {
    auto* self = static_cast<Connection*>(user_data);
    self->connect_prevented =
        !self->connect_by || BootClock::now() >= *self->connect_by;
    // Fails the request before it is sent: nothing shows which process would
    // get it on a new connection.
    if (self->connect_prevented)
      return CURL_SOCKET_BAD;
    return socket(address->family, address->socktype, address->protocol);
  }
  // Called on an open connection just before the request is sent.
  static int OnSend(void* user_data,
                    char* /*remote_address*/,
                    char* /*local_address*/,
                    int /*remote_port*/,
                    int /*local_port*/) {
    auto* self = static_cast<Connection*>(user_data);
    const TimePoint now = BootClock::now();
    if (now >= self->send_by || (self->connect_by && now >= *self->connect_by))
      return CURL_PREREQFUNC_ABORT;
    self->sent = true;
    return CURL_PREREQFUNC_OK;
  }
};

HttpClient::HttpClient(HttpClientOptions options)
    : options(std::move(options)) {
  InitCurlOnce();
}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient::Connection> HttpClient::TakeConnection(
    std::int64_t peer_id) {
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->idle_connections, [peer_id](const auto& connection) {
    return connection->peer_id != peer_id;
  });
  if (this->idle_connections.empty())
    return nullptr;
  std::unique_ptr<Connection> connection =
      std::move(this->idle_connections.back());
  this->idle_connections.pop_back();
  return connection;
}

void HttpClient::KeepConnection(std::unique_ptr<Connection> connection) {
  const std::lock_guard lock(this->mutex);
  this->idle_connections.push_back(std::move(connection));
}

HttpOutcome HttpClient::Send(const HttpRequest& request,
                             const ConnectionCheck& check,
                             const HttpDeadlines& times) {
  std::unique_ptr<Connection> connection = this->TakeConnection(check.peer_id);
  HttpOutcome outcome{.kind = HttpOutcome::Kind::kNotSent};
  if (connection != nullptr)
    outcome = this->Perform(*connection, request, std::nullopt, times);
  // The peer may have closed the kept connection since its last use.
  if (outcome.kind == HttpOutcome::Kind::kNotSent)
    return this->SendOnNewConnection(request, check, times);
  if (outcome.kind == HttpOutcome::Kind::kAnswered)
    this->KeepConnection(std::move(connection));
  return outcome;
}

HttpOutcome HttpClient::SendOnNewConnection(const HttpRequest& request,
                                            const ConnectionCheck& check,
                                            const HttpDeadlines& times) {
  auto connection = std::make_unique<Connection>();
  const TimePoint checked = BootClock::now();
  HttpOutcome outcome =
      this->Perform(*connection, check.request, times.answer_by,
                    {.send_by = times.answer_by, .answer_by = times.answer_by});
  if (outcome.kind != HttpOutcome::Kind::kAnswered)
    return outcome;
  if (!check.passes(outcome.response)) {
    outcome.kind = HttpOutcome::Kind::kCheckFailed;
    return outcome;
  }
  connection->peer_id = check.peer_id;
  if (BootClock::now() >= times.send_by) {
    this->KeepConnection(std::move(connection));
    return {.kind = HttpOutcome::Kind::kNotSent};
  }
  outcome = this->Perform(*connection, request, std::nullopt, times);
  // A peer that closes each connection has closed this one after the check.
  if (outcome.kind == HttpOutcome::Kind::kNotSent) {
    outcome = this->Perform(*connection, request,
                            checked + this->options.check_validity, times);
  }
  if (outcome.kind == HttpOutcome::Kind::kAnswered)
    this->KeepConnection(std::move(connection));
  return outcome;
}

// Opens a connection until `connect_by`, if none is open; nullopt: never.
HttpOutcome HttpClient::Perform(Connection& connection,
                                const HttpRequest& request,
                                std::optional<TimePoint> connect_by,
                                const HttpDeadlines& times) {
  connection.connect_by = connect_by;
  connection.send_by = times.send_by;
  connection.connect_prevented = connection.sent = false;
  CURL* handle = connection.handle;
  const std::string url = "http://" + this->options.address + request.path +
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
      1, RemainingTime(BootClock::now(), times.answer_by).count());
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
  // Curl would send a request again on a new connection if the old one closed
  // before the answer.
  curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &Connection::OnConnect);
  curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, &connection);
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &Connection::OnSend);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, &connection);
  const CURLcode code = curl_easy_perform(handle);
  curl_slist_free_all(headers);
  if (code != CURLE_OK) {
    long os_error = 0;
    curl_easy_getinfo(handle, CURLINFO_OS_ERRNO, &os_error);
    const bool refused = code == CURLE_COULDNT_CONNECT &&
                         !connection.connect_prevented &&
                         os_error == ECONNREFUSED;
    if (refused)
      outcome.kind = HttpOutcome::Kind::kRefused;
    else if (!connection.sent && (connection.connect_prevented ||
                                  code == CURLE_ABORTED_BY_CALLBACK))
      outcome.kind = HttpOutcome::Kind::kNotSent;
    return outcome;
  }
  long status = 0;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  outcome.kind = HttpOutcome::Kind::kAnswered;
  outcome.response.status = static_cast<int>(status);
  return outcome;
}

}  // namespace savoryring
