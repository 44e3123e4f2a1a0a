/// Finds connections that carry nothing any more: a deterministic core.
/// A peer that answers nothing for a while gets a fresh connection, since an
/// open one can go silent for good while new ones work.
#ifndef SAVORYRING_LIBTRANSPORT_PEER_LIVENESS_H_
#define SAVORYRING_LIBTRANSPORT_PEER_LIVENESS_H_

#include <map>
#include <string>
#include <vector>

#include "savoryring/time.h"

namespace savoryring {

class PeerLiveness {
 public:
  /// `patience` is how long an answer may take.
  explicit PeerLiveness(Milliseconds patience) : patience(patience) {}

  /// Something that calls for an answer was sent to the peer.
  void OnSent(const std::string& address, TimePoint now);
  /// The peer has answered over the connection.
  void OnHeard(const std::string& address);
  /// Addresses whose connection is to be replaced; each waits anew.
  std::vector<std::string> TakeSilent(TimePoint now);

 private:
  Milliseconds patience;
  std::map<std::string, TimePoint> answer_deadlines;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_PEER_LIVENESS_H_
