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
  const std::map<std::string, EndpointRecord>& endpoints() const {
    return this->records;
  }

 private:
  std::map<std::string, EndpointRecord> records;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBMEMBERSHIP_DIRECTORY_H_
