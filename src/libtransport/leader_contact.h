/// Selects the control replica that a process sends its reports to, and tracks
/// whether that replica answers. Deterministic: does no I/O and reads no clock.
#ifndef SAVORYRING_LIBTRANSPORT_LEADER_CONTACT_H_
#define SAVORYRING_LIBTRANSPORT_LEADER_CONTACT_H_

#include <string>
#include <vector>

#include "libtransport/leader_finder.h"
#include "savoryring/time.h"

namespace savoryring {

/// Follows the leader by hints, and tries the next replica on a timeout.
class LeaderContact {
 public:
  /// `links` must not be empty.
  explicit LeaderContact(std::vector<std::string> links);

  /// The replica that the next report goes to.
  const std::string& link() const { return this->finder.current(); }
  /// A report was sent to `link()`.
  void OnSent(TimePoint now);
  /// The leader `from` answered. Returns true for the first answer since the
  /// start, the last timeout or the last OnNotLeader.
  bool OnAnswer(const std::string& from);
  /// The replica `from` answered that it is not the leader. `hint` is the
  /// leader's link, or empty if unknown.
  void OnNotLeader(const std::string& from, const std::string& hint);
  /// If the current replica has not answered a report in time, selects the next
  /// replica and returns the link of the unresponsive one, whose connection
  /// must be replaced. Otherwise returns an empty string.
  std::string TakeUnresponsive(TimePoint now);
  /// Whether the leader has answered since the last timeout or OnNotLeader.
  bool IsLeaderResponding() const { return this->leader_responding; }
  /// Adds the links of changed settings.
  void Add(const std::vector<std::string>& links) { this->finder.Add(links); }

 private:
  LeaderFinder finder;
  bool leader_responding = false;
  TimePoint answer_deadline = kNever;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_LEADER_CONTACT_H_
