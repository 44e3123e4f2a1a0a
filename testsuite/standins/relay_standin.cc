// Stand-in for the network between two VMs: a TCP relay. On SIGUSR1 it stops
// forwarding on all open connections for good without closing them; connections
// accepted afterwards work.

#include <arpa/inet.h>
#include <gflags/gflags.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <iostream>
#include <string>
#include <thread>

#include "libbase/command_line.h"
#include "savoryring/result.h"

DEFINE_string(listen, "127.0.0.1:9500", "address to accept connections on");
DEFINE_string(to, "127.0.0.1:9501", "address to forward connections to");

namespace {

// Incremented by SIGUSR1. Data of connections that were accepted under an
// earlier generation is discarded.
std::atomic<int> generation{0};

void StallOpenConnections(int) {
  generation += 1;
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

// Forwards bytes in both directions until either end closes. Once the
// connection's generation has passed, reads and discards them.
void RelayConnection(int client, int server, int connection_generation) {
  std::array<char, 65536> buffer{};
  std::array<pollfd, 2> ends{pollfd{client, POLLIN, 0},
                             pollfd{server, POLLIN, 0}};
  bool open = true;
  while (open && poll(ends.data(), ends.size(), -1) >= 0) {
    for (std::size_t i = 0; i < ends.size() && open; ++i) {
      if (ends[i].revents == 0)
        continue;
      const ssize_t size = read(ends[i].fd, buffer.data(), buffer.size());
      open = size > 0;
      if (open && generation == connection_generation) {
        send(ends[1 - i].fd, buffer.data(), static_cast<std::size_t>(size),
             MSG_NOSIGNAL);
      }
    }
  }
  close(client);
  close(server);
}

int Run() {
  signal(SIGUSR1, &StallOpenConnections);
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in listen_address = ParseAddress(FLAGS_listen);
  const sockaddr_in target_address = ParseAddress(FLAGS_to);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&listen_address),
           sizeof(listen_address)) != 0 ||
      listen(listener, 64) != 0)
    return 1;
  while (true) {
    const int client = accept(listener, nullptr, nullptr);
    if (client < 0)
      continue;
    const int server = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(server, reinterpret_cast<const sockaddr*>(&target_address),
                sizeof(target_address)) != 0) {
      close(client);
      close(server);
      continue;
    }
    std::thread(&RelayConnection, client, server, generation.load()).detach();
  }
}

}  // namespace

int main(int argc, char** argv) {
  try {
    savoryring::ReadFlags({argv + 1, argv + argc});
    return Run();
  } catch (const savoryring::Error& failure) {
    std::cerr << failure.what() << '\n';
    return 2;
  }
}
