// Stand-in for what lies between two VMs: relays bytes of TCP connections. On
// SIGUSR1 all connections open at that time go silent for good, without being
// closed; new ones work.

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

DEFINE_string(listen, "127.0.0.1:9500", "address to take connections on");
DEFINE_string(to, "127.0.0.1:9501", "address to connect on to");

namespace {

// Connections of an older generation carry nothing any more.
std::atomic<int> generation{0};

void OnSignal(int) {
  generation += 1;
}

sockaddr_in AddressOf(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  return address;
}

// Passes bytes both ways until either end closes; swallows them when silent.
void Relay(int near, int far, int own_generation) {
  std::array<char, 65536> buffer{};
  std::array<pollfd, 2> ends{pollfd{near, POLLIN, 0}, pollfd{far, POLLIN, 0}};
  bool open = true;
  while (open && poll(ends.data(), ends.size(), -1) >= 0) {
    for (std::size_t i = 0; i < ends.size() && open; ++i) {
      if (ends[i].revents == 0)
        continue;
      const ssize_t size = read(ends[i].fd, buffer.data(), buffer.size());
      open = size > 0;
      if (open && generation == own_generation) {
        send(ends[1 - i].fd, buffer.data(), static_cast<std::size_t>(size),
             MSG_NOSIGNAL);
      }
    }
  }
  close(near);
  close(far);
}

int Run() {
  signal(SIGUSR1, &OnSignal);
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in here = AddressOf(FLAGS_listen);
  const sockaddr_in there = AddressOf(FLAGS_to);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&here), sizeof(here)) !=
          0 ||
      listen(listener, 64) != 0)
    return 1;
  while (true) {
    const int near = accept(listener, nullptr, nullptr);
    if (near < 0)
      continue;
    const int far = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(far, reinterpret_cast<const sockaddr*>(&there),
                sizeof(there)) != 0) {
      close(near);
      close(far);
      continue;
    }
    std::thread(&Relay, near, far, generation.load()).detach();
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
