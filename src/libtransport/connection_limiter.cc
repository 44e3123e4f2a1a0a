#include "libtransport/connection_limiter.h"

#include <algorithm>

namespace savoryring {

bool ConnectionLimiter::Admit(std::optional<ConnectionId>& evicted) {
  evicted.reset();
  if (this->connections.size() - this->leaving.size() <
      this->limits.connections)
    return true;
  if (this->evictable.empty())
    return false;
  evicted = this->evictable.begin()->second;
  this->Withdraw(*evicted, this->connections.at(*evicted));
  this->leaving.insert(*evicted);
  return true;
}

void ConnectionLimiter::OnOpened(ConnectionId id, TimePoint now) {
  Connection& connection = this->connections[id];
  connection.headers_deadline = now + this->limits.idle + this->limits.receive;
  this->SetSince(id, connection, now);
}

void ConnectionLimiter::OnRequestLine(ConnectionId id, TimePoint now) {
  Connection* connection = this->Find(id);
  if (connection == nullptr)
    return;
  connection->headers_deadline =
      std::min(connection->headers_deadline, now + this->limits.receive);
}

void ConnectionLimiter::OnProgress(ConnectionId id, TimePoint now) {
  Connection* connection = this->Find(id);
  if (connection == nullptr)
    return;
  connection->headers_deadline = kNever;
  if (connection->evictable)
    this->SetSince(id, *connection, now);
}

void ConnectionLimiter::OnRequestComplete(ConnectionId id) {
  Connection* connection = this->Find(id);
  if (connection == nullptr)
    return;
  this->Withdraw(id, *connection);
}

void ConnectionLimiter::OnAnswered(ConnectionId id, TimePoint now) {
  Connection* connection = this->Find(id);
  if (connection == nullptr || this->leaving.contains(id))
    return;
  connection->headers_deadline = now + this->limits.idle + this->limits.receive;
  this->SetSince(id, *connection, now);
}

void ConnectionLimiter::OnClosed(ConnectionId id) {
  Connection* connection = this->Find(id);
  if (connection == nullptr)
    return;
  this->Withdraw(id, *connection);
  this->leaving.erase(id);
  this->connections.erase(id);
}

// Called twice a second; a pass over a thousand connections takes well below a
// millisecond.
std::vector<ConnectionId> ConnectionLimiter::TakeOverdue(TimePoint now) {
  std::vector<ConnectionId> overdue;
  for (auto& [id, connection] : this->connections) {
    if (!connection.evictable || connection.headers_deadline > now)
      continue;
    this->Withdraw(id, connection);
    this->leaving.insert(id);
    overdue.push_back(id);
  }
  return overdue;
}

ConnectionLimiter::Connection* ConnectionLimiter::Find(ConnectionId id) {
  const auto found = this->connections.find(id);
  return found == this->connections.end() ? nullptr : &found->second;
}

void ConnectionLimiter::SetSince(ConnectionId id,
                                 Connection& connection,
                                 TimePoint since) {
  this->evictable.erase({connection.since, id});
  connection.since = since;
  connection.evictable = true;
  this->evictable.insert({since, id});
}

void ConnectionLimiter::Withdraw(ConnectionId id, Connection& connection) {
  this->evictable.erase({connection.since, id});
  connection.evictable = false;
}

}  // namespace savoryring
