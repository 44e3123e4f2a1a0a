/// Keeps a process's copy of the estate up to date over its link, and sends it
/// to peers that are behind.
#ifndef SAVORYRING_SAVORYRINGD_ESTATE_FOLLOWER_H_
#define SAVORYRING_SAVORYRINGD_ESTATE_FOLLOWER_H_

#include "libestate/estate_state.h"
#include "libtransport/link.h"
#include "savoryring/time.h"

namespace savoryring {

/// What a received message meant for the local copy of the estate.
enum class EstateMessageResult {
  kUnrelated,  ///< The message was not about the estate.
  kUnchanged,  ///< It was, but the copy did not change.
  kApplied,    ///< A newer revision has been applied.
};

/// Used on the duty's loop thread only.
class EstateFollower {
 public:
  /// `link` must outlive the follower.
  explicit EstateFollower(Link& link) : link(&link) {}

  /// Must be called for every message that the duty receives.
  EstateMessageResult OnMessage(const Received& message, TimePoint now);
  /// Sends the changes since `known_revision` to a peer.
  void SendChanges(const Origin& origin, std::uint64_t known_revision);
  const EstateCache& cache() const { return this->estate; }

 private:
  EstateMessageResult Apply(const Received& message);
  void FetchIfBehind(const Received& message, TimePoint now);

  Link* link;
  EstateCache estate;
  TimePoint next_fetch_time;  // no fetch is sent before this
};

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_ESTATE_FOLLOWER_H_
