// Simulates many clients of one HTTP listener that do not finish their requests
// and keep their connections open. Prints one line when every client has sent
// all it will send or was disconnected, and then holds the connections until it
// is killed.

#include <arpa/inet.h>
#include <gflags/gflags.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

DEFINE_string(target, "", "the listener, IP:PORT");
DEFINE_string(method, "POST", "HTTP method");
DEFINE_string(path, "/", "path of the requests");
DEFINE_string(host, "localhost", "Host header");
DEFINE_string(kind,
              "body",
              "body: Content-Length; chunked: chunks of --chunk bytes; "
              "headers: header lines without an end");
DEFINE_uint64(clients, 100, "number of connections");
DEFINE_uint64(bytes, 262143, "bytes of the body or headers that each sends");
DEFINE_uint64(announce, 262144, "Content-Length of kind body");
DEFINE_uint64(chunk, 65536, "bytes of a chunk of kind chunked");
DEFINE_uint64(piece, 0, "most bytes that a client sends at once; 0: no limit");
DEFINE_uint64(complete_every, 0, "each n-th client completes; 0: none");
DEFINE_uint64(deadline_ms, 0, "deadline of the requests; 0: none is given");
DEFINE_uint64(extra, 0, "bytes that are sent after a complete request");

namespace {

using Clock = std::chrono::steady_clock;

// The crowd counts as settled when nothing was sent for this long.
constexpr std::chrono::seconds kQuietTime{3};
constexpr int kPollMs = 100;

// The start of a job whose parsed form is much larger than its text.
std::string Body(std::size_t size) {
  std::string body = "{\"phases\":[";
  while (body.size() + 4 < size)
    body += "{},";
  body += "{}";
  body.resize(std::max<std::size_t>(size, 2) - 2, ' ');
  return body + "]}";
}

std::string Hexadecimal(std::size_t number) {
  constexpr const char* kDigits = "0123456789abcdef";
  constexpr std::size_t kBase = 16;
  std::string text;
  do {
    text.insert(text.begin(), kDigits[number % kBase]);
    number /= kBase;
  } while (number > 0);
  return text;
}

std::string Chunked(const std::string& body, bool complete) {
  std::string text;
  for (std::size_t at = 0; at < body.size(); at += FLAGS_chunk) {
    const std::string chunk = body.substr(at, FLAGS_chunk);
    text += Hexadecimal(chunk.size()) + "\r\n" + chunk + "\r\n";
  }
  return complete ? text + "0\r\n\r\n" : text;
}

std::string Message(bool complete) {
  std::string text = FLAGS_method + " " + FLAGS_path +
                     " HTTP/1.1\r\nHost: " + FLAGS_host + "\r\n";
  if (FLAGS_deadline_ms > 0) {
    text += "X-Savoryring-Deadline-Ms: " + std::to_string(FLAGS_deadline_ms) +
            "\r\n";
  }
  if (FLAGS_kind == "headers") {
    while (text.size() < FLAGS_bytes)
      text += "X-" + std::to_string(text.size()) + ": 0123456789\r\n";
    return text;
  }
  if (FLAGS_kind == "chunked") {
    return text + "Transfer-Encoding: chunked\r\n\r\n" +
           Chunked(Body(FLAGS_bytes), complete);
  }
  const std::size_t length = complete ? FLAGS_bytes : FLAGS_announce;
  return text + "Content-Length: " + std::to_string(length) + "\r\n\r\n" +
         Body(FLAGS_bytes) + std::string(complete ? FLAGS_extra : 0, 'x');
}

sockaddr_in Target() {
  const std::size_t colon = FLAGS_target.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, FLAGS_target.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(
      static_cast<std::uint16_t>(std::stoi(FLAGS_target.substr(colon + 1))));
  return address;
}

struct Client {
  pollfd socket{.fd = -1, .events = POLLIN | POLLOUT, .revents = 0};
  const std::string* message = nullptr;
  std::size_t sent = 0;
};

void Disconnect(Client& client) {
  close(client.socket.fd);
  client.socket.fd = -1;
}

// Returns whether bytes were sent.
bool Send(Client& client) {
  std::size_t count = client.message->size() - client.sent;
  if (FLAGS_piece > 0)
    count = std::min<std::size_t>(count, FLAGS_piece);
  const ssize_t sent =
      send(client.socket.fd, client.message->data() + client.sent, count,
           MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0) {
    if (errno != EAGAIN && errno != EWOULDBLOCK)
      Disconnect(client);
    return false;
  }
  client.sent += static_cast<std::size_t>(sent);
  if (client.sent == client.message->size())
    client.socket.events = POLLIN;
  return sent > 0;
}

void Receive(Client& client) {
  std::array<char, 4096> buffer{};
  const ssize_t count =
      recv(client.socket.fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (count == 0 || (count < 0 && errno != EAGAIN))
    Disconnect(client);
}

// Returns whether bytes were sent.
bool Serve(Client& client) {
  bool has_sent = false;
  if ((client.socket.revents & POLLOUT) != 0)
    has_sent = Send(client);
  if (client.socket.fd >= 0 &&
      (client.socket.revents & (POLLIN | POLLERR | POLLHUP)) != 0)
    Receive(client);
  return has_sent;
}

bool ServeAll(std::vector<Client>& clients) {
  std::vector<pollfd> sockets;
  sockets.reserve(clients.size());
  for (const Client& client : clients)
    sockets.push_back(client.socket);
  poll(sockets.data(), sockets.size(), kPollMs);
  bool has_sent = false;
  for (std::size_t i = 0; i < clients.size(); ++i) {
    clients[i].socket.revents = sockets[i].revents;
    if (clients[i].socket.fd >= 0 && clients[i].socket.revents != 0)
      has_sent = Serve(clients[i]) || has_sent;
  }
  return has_sent;
}

void Report(const std::vector<Client>& clients) {
  std::size_t open = 0;
  std::size_t whole = 0;
  for (const Client& client : clients) {
    open += client.socket.fd >= 0 ? 1 : 0;
    whole += client.sent == client.message->size() ? 1 : 0;
  }
  std::cout << "crowd clients=" << clients.size() << " open=" << open
            << " sent_all=" << whole << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const sockaddr_in target = Target();
  const std::string incomplete = Message(false);
  const std::string complete = Message(true);
  std::vector<Client> clients(FLAGS_clients);
  for (std::size_t i = 0; i < clients.size(); ++i) {
    Client& client = clients[i];
    const bool completes =
        FLAGS_complete_every > 0 && (i + 1) % FLAGS_complete_every == 0;
    client.message = completes ? &complete : &incomplete;
    client.socket.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    connect(client.socket.fd, reinterpret_cast<const sockaddr*>(&target),
            sizeof target);
  }
  Clock::time_point quiet_at = Clock::now() + kQuietTime;
  while (Clock::now() < quiet_at) {
    if (ServeAll(clients))
      quiet_at = Clock::now() + kQuietTime;
  }
  Report(clients);
  while (true)
    ServeAll(clients);
}
