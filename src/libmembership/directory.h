/// An entry's view of the endpoints that have announced themselves: a
/// deterministic core.
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

/// What is known of one endpoint process.
struct EndpointRecord {
  std::string id;
  std::uint64_t incarnation = 0;
  std::string link;
  std::string availability_zone;
  std::uint64_t sequence = 0;
  TimePoint valid_until;
  std::map<std::string, ServiceLoad> services;

  /// Whether the endpoint takes work of `service` at `now`.
  bool Serves(const std::string& service, TimePoint now) const;
};

enum class DirectoryChange { kNone, kAppeared, kReplaced };

class Directory {
 public:
  /// Takes an announcement; one that is older than what is known is ignored.
  DirectoryChange Apply(const std::string& sender,
                        std::uint64_t incarnation,
                        const wire::EndpointAnnouncement& announcement,
                        TimePoint now);

  /// Forgets endpoints that have been silent long past their announcement.
  /// Returns their ids.
  std::vector<std::string> RemoveSilent(TimePoint now);

  const EndpointRecord* Find(const std::string& id) const;
  /// The endpoints that have ever announced the service, of one availability
  /// zone or, where that is empty, of all. Whether one serves now must still
  /// be asked. Valid until the next Apply or RemoveSilent.
  const std::vector<const EndpointRecord*>& Of(
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
  // Follow from the records; rebuilt when first asked for after a change.
  mutable std::map<ListKey, std::vector<const EndpointRecord*>> lists;
  mutable bool lists_valid = false;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBMEMBERSHIP_DIRECTORY_H_
