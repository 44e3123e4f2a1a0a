#include "savoryringd/estate_follower.h"

#include <string>

#include "libbase/events.h"

namespace savoryring {
namespace {

constexpr Milliseconds kFetchInterval{50};

}  // namespace

EstateNews EstateFollower::OnMessage(const Received& message, TimePoint now) {
  const wire::Envelope& envelope = message.envelope;
  if (envelope.kind() == wire::ESTATE_UPDATE)
    return this->Apply(message);
  this->FetchIfBehind(message, now);
  if (envelope.kind() != wire::ESTATE_FETCH)
    return EstateNews::kNone;
  wire::EstateFetch fetch;
  if (fetch.ParseFromString(envelope.body()))
    this->Answer(message.origin, fetch.known_revision());
  return EstateNews::kHandled;
}

void EstateFollower::Answer(const Origin& origin,
                            std::uint64_t known_revision) {
  this->link->Reply(
      origin, wire::ESTATE_UPDATE,
      this->estate.ChangesSince(known_revision).SerializeAsString());
}

EstateNews EstateFollower::Apply(const Received& message) {
  wire::EstateUpdate update;
  const bool applied = update.ParseFromString(message.envelope.body()) &&
                       this->estate.Apply(update);
  if (!applied)
    return EstateNews::kHandled;
  this->link->SetRevision(this->estate.revision());
  LogEvent(Event::kEstateApplied,
           {{"revision", std::to_string(this->estate.revision())}});
  return EstateNews::kApplied;
}

// Every message tells its sender's revision: whoever is behind asks whoever
// is ahead, so that a process cut off from control still learns it.
void EstateFollower::FetchIfBehind(const Received& message, TimePoint now) {
  const bool behind = message.envelope.revision() > this->estate.revision();
  if (!behind || now < this->fetch_deadline)
    return;
  this->fetch_deadline = now + kFetchInterval;
  wire::EstateFetch fetch;
  fetch.set_known_revision(this->estate.revision());
  fetch.add_sections("services");
  this->link->Reply(message.origin, wire::ESTATE_FETCH,
                    fetch.SerializeAsString());
}

}  // namespace savoryring
