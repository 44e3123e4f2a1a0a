/// Message transport between savoryring processes over ZeroMQ.
#ifndef SAVORYRING_LIBTRANSPORT_LINK_H_
#define SAVORYRING_LIBTRANSPORT_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>
#include <zmq.hpp>

#include "libtransport/link.pb.h"
#include "savoryring/time.h"

namespace savoryring {

/// Selects one of the connections that this process opens to a peer. Calls may
/// be large and take long to send and to handle; neither delays the messages on
/// the other connection, and either connection can be replaced by itself.
enum class Channel { kMessages, kCalls };

/// The connection that a message arrived on; a reply is sent over the same one.
struct Origin {
  /// ZeroMQ routing id; set if the peer opened the connection.
  std::string identity;
  /// Set if this process opened the connection.
  std::string address;
  /// Meaningful if this process opened the connection.
  Channel channel = Channel::kMessages;
};

struct Received {
  Origin origin;
  wire::Envelope envelope;
};

struct LinkOptions {
  std::string bind_address;       ///< "IP:PORT"
  std::string sender;             ///< Id of this process, from its settings.
  std::uint64_t incarnation = 0;  ///< New at each start of the process.
};

/// One listening socket, and one outgoing connection for each peer and channel.
/// Not thread safe, except for Wake.
class Link {
 public:
  /// Throws Error (kAddressInUse).
  explicit Link(LinkOptions options);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  /// Sends to a peer's listening address. A message that can't be queued, or
  /// whose address is none, is dropped; the protocols above resend
  /// unacknowledged messages.
  void Send(const std::string& address,
            wire::MessageKind kind,
            const std::string& body,
            Channel channel = Channel::kMessages);
  /// Replies over the connection that a message from `origin` arrived on.
  void Reply(const Origin& origin,
             wire::MessageKind kind,
             const std::string& body);
  /// Closes the connection to `address`; the next Send opens a new one.
  void ReplaceConnection(const std::string& address,
                         Channel channel = Channel::kMessages);
  /// Closes the connections to addresses for which `keep` returns false.
  void CloseUnless(const std::function<bool(const std::string&)>& keep);

  /// Waits until a message arrives, Wake is called or `timeout` expires, and
  /// returns the messages received. Logs and drops damaged and foreign
  /// messages.
  std::vector<Received> Poll(Milliseconds timeout);
  /// Makes a running Poll, or else the next one, return early. Thread safe.
  void Wake();

  /// Sets the estate revision written into the envelopes of later messages.
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
  using ConnectionKey = std::pair<std::string, Channel>;  // address, channel

  zmq::socket_t* Connection(const std::string& address, Channel channel);
  std::string EncodeEnvelope(wire::MessageKind kind,
                             const std::string& body) const;
  void CountSent(std::size_t bytes);
  void ReadListener(std::vector<Received>& received);
  void ReadConnection(const ConnectionKey& key,
                      zmq::socket_t& socket,
                      std::vector<Received>& received);
  void DecodeMessage(Origin origin,
                     const zmq::message_t& frame,
                     std::vector<Received>& received);

  LinkOptions options;
  std::uint64_t revision = 0;
  Counters counts;
  zmq::context_t context;
  zmq::socket_t listener;
  std::map<ConnectionKey, zmq::socket_t> connections;
  int wake_fd = -1;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_LINK_H_
