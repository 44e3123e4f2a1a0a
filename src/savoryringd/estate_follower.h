/// Keeps a process's view of the estate up to date over its link, and hands
/// it on to processes that are behind.
#ifndef SAVORYRING_SAVORYRINGD_ESTATE_FOLLOWER_H_
#define SAVORYRING_SAVORYRINGD_ESTATE_FOLLOWER_H_

#include "libestate/estate_state.h"
#include "libtransport/link.h"
#include "savoryring/time.h"

namespace savoryring {

enum class EstateNews {
  kNone,     ///< The message is about something else.
  kHandled,  ///< It was about the estate and brought nothing new.
  kApplied,  ///< A newer revision is in force now.
};

/// Used by the duty's loop thread only.
class EstateFollower {
 public:
  /// `link` must outlive the follower.
  explicit EstateFollower(Link& link) : link(&link) {}

  /// Must see every message that the duty receives.
  EstateNews OnMessage(const Received& message, TimePoint now);
  /// Sends what a peer that has shown `known_revision` does not know.
  void Answer(const Origin& origin, std::uint64_t known_revision);
  const EstateCache& cache() const { return this->estate; }

 private:
  EstateNews Apply(const Received& message);
  void FetchIfBehind(const Received& message, TimePoint now);

  Link* link;
  EstateCache estate;
  TimePoint fetch_deadline;  // no further fetch before this
};

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_ESTATE_FOLLOWER_H_
