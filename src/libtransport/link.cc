#include "libtransport/link.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <string_view>
#include <utility>

#include "libbase/address.h"
#include "libbase/checksum.h"
#include "libbase/events.h"
#include "savoryring/result.h"

namespace savoryring {
namespace {

constexpr int kHighWaterMark = 4000;
constexpr std::int64_t kLargestMessageBytes = 256LL << 20;
constexpr int kReconnectMs = 50;
constexpr int kReconnectMaxMs = 500;
// Limits the messages read from one socket at a time, so that a busy peer does
// not starve the others.
constexpr int kMaxMessagesPerRead = 512;
constexpr std::size_t kLoggedMessageBytes = 256U << 10U;

void LogIfLarge(std::string_view direction,
                wire::MessageKind kind,
                const std::string& peer,
                std::size_t bytes) {
  if (bytes < kLoggedMessageBytes)
    return;
  LogEvent(Event::kLargeMessage, {{"direction", std::string(direction)},
                                  {"kind", wire::MessageKind_Name(kind)},
                                  {"peer", peer},
                                  {"bytes", std::to_string(bytes)}});
}

}  // namespace

Link::Link(LinkOptions options)
    : options(std::move(options)),
      context(1),
      listener(this->context, zmq::socket_type::router) {
  this->listener.set(zmq::sockopt::linger, 0);
  this->listener.set(zmq::sockopt::sndhwm, kHighWaterMark);
  this->listener.set(zmq::sockopt::rcvhwm, kHighWaterMark);
  this->listener.set(zmq::sockopt::maxmsgsize, kLargestMessageBytes);
  try {
    this->listener.bind("tcp://" + this->options.bind_address);
  } catch (const zmq::error_t& failure) {
    throw Error(ResultCode::kAddressInUse,
                this->options.bind_address + ": " + failure.what());
  }
  this->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
}

Link::~Link() {
  close(this->wake_fd);
}

void Link::Send(const std::string& address,
                wire::MessageKind kind,
                const std::string& body,
                Channel channel) {
  zmq::socket_t* connection = this->Connection(address, channel);
  if (connection == nullptr)
    return;
  const std::string frame = this->EncodeEnvelope(kind, body);
  LogIfLarge("sent", kind, address, frame.size());
  if (connection->send(zmq::buffer(frame), zmq::send_flags::dontwait))
    this->CountSent(frame.size());
}

void Link::Reply(const Origin& origin,
                 wire::MessageKind kind,
                 const std::string& body) {
  if (origin.identity.empty()) {
    this->Send(origin.address, kind, body, origin.channel);
    return;
  }
  const std::string frame = this->EncodeEnvelope(kind, body);
  const auto identity_sent =
      this->listener.send(zmq::buffer(origin.identity),
                          zmq::send_flags::sndmore | zmq::send_flags::dontwait);
  if (!identity_sent)
    return;
  LogIfLarge("sent", kind, "", frame.size());
  if (this->listener.send(zmq::buffer(frame), zmq::send_flags::dontwait))
    this->CountSent(frame.size());
}

void Link::ReplaceConnection(const std::string& address, Channel channel) {
  this->connections.erase({address, channel});
}

void Link::CloseUnless(const std::function<bool(const std::string&)>& keep) {
  std::erase_if(this->connections, [&keep](const auto& item) {
    const std::string& address = item.first.first;
    return !keep(address);
  });
}

std::vector<Received> Link::Poll(Milliseconds timeout) {
  std::vector<zmq::pollitem_t> items;
  items.push_back({nullptr, this->wake_fd, ZMQ_POLLIN, 0});
  items.push_back({this->listener.handle(), 0, ZMQ_POLLIN, 0});
  for (auto& [key, socket] : this->connections)
    items.push_back({socket.handle(), 0, ZMQ_POLLIN, 0});
  zmq::poll(items, timeout);
  std::uint64_t wakes = 0;
  if (items[0].revents != 0) [[maybe_unused]]
    const auto ignored = read(this->wake_fd, &wakes, sizeof(wakes));
  std::vector<Received> received;
  if (items[1].revents != 0)
    this->ReadListener(received);
  std::size_t next_item = 2;
  for (auto& [key, socket] : this->connections) {
    if (items[next_item++].revents != 0)
      this->ReadConnection(key, socket, received);
  }
  return received;
}

void Link::Wake() {
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto ignored = write(this->wake_fd, &one, sizeof(one));
}

// Addresses may come from other processes. Returns null if this is none: ZeroMQ
// would take a port that is out of range for another one.
zmq::socket_t* Link::Connection(const std::string& address, Channel channel) {
  const ConnectionKey key(address, channel);
  const auto found = this->connections.find(key);
  if (found != this->connections.end())
    return &found->second;
  if (!IsAddress(address)) {
    this->counts.dropped += 1;
    LogEvent(Event::kMalformedInput, {{"from", "peer"}, {"address", address}});
    return nullptr;
  }
  zmq::socket_t socket(this->context, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kHighWaterMark);
  socket.set(zmq::sockopt::rcvhwm, kHighWaterMark);
  socket.set(zmq::sockopt::maxmsgsize, kLargestMessageBytes);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
  socket.connect("tcp://" + address);
  return &this->connections.emplace(key, std::move(socket)).first->second;
}

std::string Link::EncodeEnvelope(wire::MessageKind kind,
                                 const std::string& body) const {
  wire::Envelope envelope;
  envelope.set_sender(this->options.sender);
  envelope.set_incarnation(this->options.incarnation);
  envelope.set_revision(this->revision);
  envelope.set_kind(kind);
  envelope.set_body(body);
  envelope.set_body_checksum(Checksum(body));
  return envelope.SerializeAsString();
}

void Link::CountSent(std::size_t bytes) {
  this->counts.messages_sent += 1;
  this->counts.bytes_sent += bytes;
}

void Link::ReadListener(std::vector<Received>& received) {
  for (int i = 0; i < kMaxMessagesPerRead; ++i) {
    zmq::message_t identity;
    if (!this->listener.recv(identity, zmq::recv_flags::dontwait))
      return;
    zmq::message_t frame;
    bool more = identity.more();
    if (more) {
      [[maybe_unused]] const auto size = this->listener.recv(frame);
      more = frame.more();
    }
    // A valid peer sends one frame after the identity. Further frames are read
    // and discarded, so that the next message starts at its identity.
    while (more) {
      zmq::message_t extra_frame;
      [[maybe_unused]] const auto size = this->listener.recv(extra_frame);
      more = extra_frame.more();
    }
    this->DecodeMessage({.identity = identity.to_string(), .address = ""},
                        frame, received);
  }
}

void Link::ReadConnection(const ConnectionKey& key,
                          zmq::socket_t& socket,
                          std::vector<Received>& received) {
  for (int i = 0; i < kMaxMessagesPerRead; ++i) {
    zmq::message_t frame;
    if (!socket.recv(frame, zmq::recv_flags::dontwait))
      return;
    this->DecodeMessage(
        {.identity = "", .address = key.first, .channel = key.second}, frame,
        received);
  }
}

void Link::DecodeMessage(Origin origin,
                         const zmq::message_t& frame,
                         std::vector<Received>& received) {
  this->counts.messages_received += 1;
  this->counts.bytes_received += frame.size();
  Received message;
  message.origin = std::move(origin);
  const bool valid =
      message.envelope.ParseFromArray(frame.data(),
                                      static_cast<int>(frame.size())) &&
      !message.envelope.sender().empty() &&
      Checksum(message.envelope.body()) == message.envelope.body_checksum();
  if (!valid) {
    this->counts.dropped += 1;
    LogEvent(Event::kForeignMessage, {{"bytes", std::to_string(frame.size())}});
    return;
  }
  LogIfLarge("received", message.envelope.kind(), message.envelope.sender(),
             frame.size());
  received.push_back(std::move(message));
}

}  // namespace savoryring
