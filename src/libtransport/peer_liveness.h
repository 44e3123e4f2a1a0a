/// Detects connections over which a peer no longer answers. They have to be
/// replaced, since an open connection can fail for good without an error while
/// new connections to the same peer work. Deterministic: does no I/O and reads
/// no clock.
#ifndef SAVORYRING_LIBTRANSPORT_PEER_LIVENESS_H_
#define SAVORYRING_LIBTRANSPORT_PEER_LIVENESS_H_

#include <map>
#include <string>
#include <vector>

#include "savoryring/time.h"

namespace savoryring {

/// Tracks when each peer's next answer is due.
class PeerLiveness {
 public:
  /// A peer that does not answer within `answer_timeout` is unresponsive.
  explicit PeerLiveness(Milliseconds answer_timeout)
      : answer_timeout(answer_timeout) {}

  /// A message that requires an answer was sent to the peer.
  void OnSent(const std::string& address, TimePoint now);
  /// A message arrived from the peer over the connection.
  void OnAnswer(const std::string& address);
  /// Returns the addresses whose connection must be replaced. Their timeout
  /// starts again at the next OnSent.
  std::vector<std::string> TakeUnresponsive(TimePoint now);

 private:
  Milliseconds answer_timeout;
  std::map<std::string, TimePoint> answer_deadlines;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_PEER_LIVENESS_H_
