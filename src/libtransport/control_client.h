/// Calls to the control group: finds the leader, repeats calls that are not
/// answered, and replaces silent connections. A deterministic core. Every
/// call must be safe to repeat.
#ifndef SAVORYRING_LIBTRANSPORT_CONTROL_CLIENT_H_
#define SAVORYRING_LIBTRANSPORT_CONTROL_CLIENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "libtransport/link.pb.h"
#include "savoryring/time.h"

namespace savoryring {

struct ControlClientOptions {
  std::vector<std::string> links;  ///< Of all replicas.
  Milliseconds patience{400};      ///< Wait before another replica is asked.
};

struct SendCall {
  std::string link;
  wire::ControlCall call;
};
struct ReplaceControlConnection {
  std::string link;
};
struct DeliverReply {
  wire::ControlReply reply;
};
using ControlClientEffect =
    std::variant<SendCall, ReplaceControlConnection, DeliverReply>;

class ControlClient {
 public:
  explicit ControlClient(ControlClientOptions options);

  /// `call.call_id` must be new.
  void OnCall(wire::ControlCall call, TimePoint deadline, TimePoint now);
  /// `link` is the replica's address, which answered over our connection.
  void OnReply(const std::string& link,
               const wire::ControlReply& reply,
               TimePoint now);
  void OnTick(TimePoint now);
  /// Takes a hint who leads; an empty one is ignored.
  void OnLeaderHint(const std::string& link);

  std::vector<ControlClientEffect> TakeEffects();
  /// The replica believed to lead.
  const std::string& leader_link() const {
    return this->options.links[this->current];
  }

 private:
  struct OpenCall {
    wire::ControlCall call;
    TimePoint deadline;
    TimePoint answer_deadline;
    std::string asked;
  };
  void Ask(OpenCall& open, TimePoint now);
  void Rotate();

  ControlClientOptions options;
  std::size_t current = 0;
  std::map<std::uint64_t, OpenCall> calls;
  std::vector<ControlClientEffect> effects;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_CONTROL_CLIENT_H_
