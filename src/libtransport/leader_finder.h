/// Selects the control replica that a process sends to: the leader, if known.
#ifndef SAVORYRING_LIBTRANSPORT_LEADER_FINDER_H_
#define SAVORYRING_LIBTRANSPORT_LEADER_FINDER_H_

#include <string>
#include <vector>

namespace savoryring {

/// The known replicas' links, taken from the settings and from hints of other
/// replicas.
class LeaderFinder {
 public:
  /// `links` must not be empty.
  explicit LeaderFinder(std::vector<std::string> links);

  /// Selects `link`, which a replica reported as the leader's. An empty link is
  /// ignored.
  void OnHint(const std::string& link);
  /// Selects the next known replica.
  void SelectNext();
  /// Adds the links of changed settings.
  void Add(const std::vector<std::string>& links);
  /// Link of the selected replica.
  const std::string& current() const {
    return this->links[this->current_index];
  }

 private:
  std::vector<std::string> links;
  std::size_t current_index = 0;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_LEADER_FINDER_H_
