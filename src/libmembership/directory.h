/// An entry's directory of announced endpoints: a deterministic state machine
/// without I/O.
#ifndef SAVORYRING_LIBMEMBERSHIP_DIRECTORY_H_
#define SAVORYRING_LIBMEMBERSHIP_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libmembership/membership.pb.h"
#include "savoryring/time.h"

namespace savoryring {

struct ServiceLoad {
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  bool serving = false;
};

/// The last announcement of one endpoint process.
struct EndpointRecord {
  std::string id;
  std::uint64_t incarnation = 0;
  std::string link;
  std::string availability_zone;
  std::uint64_t sequence = 0;
  TimePoint valid_until;
  std::map<std::string, ServiceLoad> services;

  /// Whether the endpoint accepts requests for `service` at `now`.
  bool Serves(const std::string& service, TimePoint now) const;
};

enum class DirectoryChange { kNone, kAppeared, kReplaced };

class Directory {
 public:
  /// Applies an announcement. Ignores one that is not newer than the last one
  /// of the same incarnation.
  DirectoryChange Apply(const std::string& sender,
                        std::uint64_t incarnation,
                        const wire::EndpointAnnouncement& announcement,
                        TimePoint now);

  /// Removes the endpoints whose announcements expired some time ago. Returns
  /// their ids.
  std::vector<std::string> RemoveExpired(TimePoint now);

  const EndpointRecord* Find(const std::string& id) const;
  /// The endpoints that have announced the service, in one availability zone
  /// or, if `availability_zone` is empty, in all. Some may not serve now: check
  /// with Serves(). Valid until the next Apply or RemoveExpired.
  const std::vector<const EndpointRecord*>& EndpointsOf(
      const std::string& service,
      const std::string& availability_zone) const;
  const std::map<std::string, EndpointRecord>& endpoints() const {
    return this->records;
  }

 private:
  struct ListKey {
    std::string service;
    std::string availability_zone;
    auto operator<=>(const ListKey& other) const = default;
  };
  void RebuildLists() const;

  std::map<std::string, EndpointRecord> records;
  // Index of `records`; rebuilt on the first use after a change.
  mutable std::map<ListKey, std::vector<const EndpointRecord*>> lists;
  mutable bool lists_valid = false;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBMEMBERSHIP_DIRECTORY_H_
