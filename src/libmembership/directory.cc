#include "libmembership/directory.h"

namespace savoryring {
namespace {

// How long an expired record is kept, so that a delayed announcement with an
// older sequence number is still recognised as old.
constexpr Milliseconds kExpiredRetention{30'000};

}  // namespace

bool EndpointRecord::Serves(const std::string& service, TimePoint now) const {
  if (now >= this->valid_until)
    return false;
  const auto found = this->services.find(service);
  return found != this->services.end() && found->second.serving;
}

DirectoryChange Directory::Apply(const std::string& sender,
                                 std::uint64_t incarnation,
                                 const wire::EndpointAnnouncement& announcement,
                                 TimePoint now) {
  EndpointRecord& record = this->records[sender];
  const bool appeared = record.id.empty();
  const bool replaced = !appeared && record.incarnation != incarnation;
  if (!appeared && !replaced && announcement.sequence() <= record.sequence)
    return DirectoryChange::kNone;
  const bool lists_changed =
      record.availability_zone != announcement.availability_zone() ||
      record.services.size() !=
          static_cast<std::size_t>(announcement.services_size());
  if (lists_changed || appeared || replaced)
    this->lists_valid = false;
  record.id = sender;
  record.incarnation = incarnation;
  record.link = announcement.link();
  record.availability_zone = announcement.availability_zone();
  record.sequence = announcement.sequence();
  record.valid_until = now + Milliseconds(announcement.valid_ms());
  record.services.clear();
  for (const wire::ServiceAnnouncement& service : announcement.services()) {
    record.services[service.service()] = {.slots = service.slots(),
                                          .running = service.running(),
                                          .queued = service.queued(),
                                          .serving = service.serving()};
  }
  if (appeared)
    return DirectoryChange::kAppeared;
  return replaced ? DirectoryChange::kReplaced : DirectoryChange::kNone;
}

std::vector<std::string> Directory::RemoveExpired(TimePoint now) {
  std::vector<std::string> removed;
  for (const auto& [id, record] : this->records) {
    if (now >= record.valid_until + kExpiredRetention)
      removed.push_back(id);
  }
  for (const std::string& id : removed)
    this->records.erase(id);
  if (!removed.empty())
    this->lists_valid = false;
  return removed;
}

const EndpointRecord* Directory::Find(const std::string& id) const {
  const auto found = this->records.find(id);
  return found == this->records.end() ? nullptr : &found->second;
}

const std::vector<const EndpointRecord*>& Directory::EndpointsOf(
    const std::string& service,
    const std::string& availability_zone) const {
  static const std::vector<const EndpointRecord*> none;
  if (!this->lists_valid)
    this->RebuildLists();
  const auto found = this->lists.find(
      {.service = service, .availability_zone = availability_zone});
  return found == this->lists.end() ? none : found->second;
}

void Directory::RebuildLists() const {
  this->lists.clear();
  for (const auto& [id, record] : this->records) {
    for (const auto& [service, load] : record.services) {
      this->lists[{.service = service}].push_back(&record);
      this->lists[{.service = service,
                   .availability_zone = record.availability_zone}]
          .push_back(&record);
    }
  }
  this->lists_valid = true;
}

}  // namespace savoryring
