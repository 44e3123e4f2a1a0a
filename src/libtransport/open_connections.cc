#include "libtransport/open_connections.h"

#include <sys/socket.h>

namespace savoryring {

void OpenConnections::OnOpened(int socket) {
  const std::lock_guard lock(this->mutex);
  this->sockets.insert(socket);
  if (this->stopped_reading)
    shutdown(socket, SHUT_RD);
}

void OpenConnections::OnClosed(int socket) {
  const std::lock_guard lock(this->mutex);
  this->sockets.erase(socket);
  this->closed.notify_all();
}

void OpenConnections::StopReading() {
  const std::lock_guard lock(this->mutex);
  this->stopped_reading = true;
  for (const int socket : this->sockets)
    shutdown(socket, SHUT_RD);
}

void OpenConnections::WaitUntilEmpty(TimePoint deadline) {
  std::unique_lock lock(this->mutex);
  this->closed.wait_for(lock, RemainingTime(BootClock::now(), deadline),
                        [this] { return this->sockets.empty(); });
}

}  // namespace savoryring
