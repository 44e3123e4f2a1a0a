/// Message links between savoryring processes over ZeroMQ.
#ifndef SAVORYRING_LIBTRANSPORT_LINK_H_
#define SAVORYRING_LIBTRANSPORT_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>
#include <zmq.hpp>

#include "libtransport/link.pb.h"
#include "savoryring/time.h"

namespace savoryring {

/// Where a message came from, so that an answer takes the same connection.
struct Origin {
  std::string identity;  ///< Set when the peer opened the connection.
  std::string address;   ///< Set when this process opened it.
};

struct Received {
  Origin origin;
  wire::Envelope envelope;
};

struct LinkOptions {
  std::string bind_address;  ///< "IP:PORT"
  std::string sender;
  std::uint64_t incarnation = 0;
};

/// One listening socket and one outgoing connection for each peer. Used by
/// one thread, but for Wake.
class Link {
 public:
  /// Throws Error (kAddressInUse).
  explicit Link(LinkOptions options);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  /// Sends to a peer's listening address. A message that can't be queued is
  /// dropped: every protocol above repeats what is not acknowledged.
  void Send(const std::string& address,
            wire::MessageKind kind,
            const std::string& body);
  /// Answers over the connection that `origin` came by.
  void Reply(const Origin& origin,
             wire::MessageKind kind,
             const std::string& body);
  /// Closes the connection to `address`; the next Send opens a fresh one.
  void Replace(const std::string& address);
  /// Closes connections to addresses for which `keep` answers false.
  void CloseUnless(const std::function<bool(const std::string&)>& keep);

  /// Waits for messages until one is there, Wake is called or `wait` passes.
  /// Damaged and foreign messages are dropped with an event.
  std::vector<Received> Poll(Milliseconds wait);
  /// Ends a Poll early. Thread safe.
  void Wake();

  /// The revision written on every message from now on.
  void SetRevision(std::uint64_t revision) { this->revision = revision; }

  struct Counters {
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t dropped = 0;
  };
  const Counters& counters() const { return this->counts; }

 private:
  zmq::socket_t& Connection(const std::string& address);
  std::string Frame(wire::MessageKind kind, const std::string& body) const;
  void CountSent(std::size_t bytes);
  void DrainListener(std::vector<Received>& received);
  void DrainConnection(const std::string& address,
                       zmq::socket_t& socket,
                       std::vector<Received>& received);
  void Accept(Origin origin,
              const zmq::message_t& frame,
              std::vector<Received>& received);

  LinkOptions options;
  std::uint64_t revision = 0;
  Counters counts;
  zmq::context_t context;
  zmq::socket_t listener;
  std::map<std::string, zmq::socket_t> connections;
  int wake_descriptor = -1;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_LINK_H_
