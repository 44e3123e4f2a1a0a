/// Which control replica a process talks to: the leader, as far as it is known.
#ifndef SAVORYRING_LIBTRANSPORT_LEADER_FINDER_H_
#define SAVORYRING_LIBTRANSPORT_LEADER_FINDER_H_

#include <string>
#include <vector>

namespace savoryring {

/// Links of the replicas that are known, from settings and from hints.
class LeaderFinder {
 public:
  /// `links` must not be empty.
  explicit LeaderFinder(std::vector<std::string> links);

  /// A replica named `link` as the leader. An empty hint is ignored.
  void OnHint(const std::string& link);
  /// Another replica is asked next.
  void Rotate();
  /// Adds links that new settings name.
  void Add(const std::vector<std::string>& links);
  const std::string& current() const { return this->links[this->position]; }

 private:
  std::vector<std::string> links;
  std::size_t position = 0;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_LEADER_FINDER_H_
