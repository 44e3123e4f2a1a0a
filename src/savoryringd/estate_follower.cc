#include "savoryringd/estate_follower.h"

#include <string>

#include "libbase/events.h"

namespace savoryring {
namespace {

constexpr Milliseconds kMinFetchInterval{50};

}  // namespace

EstateMessageResult EstateFollower::OnMessage(const Received& message,
                                              TimePoint now) {
  const wire::Envelope& envelope = message.envelope;
  if (envelope.kind() == wire::ESTATE_UPDATE)
    return this->Apply(message);
  this->FetchIfBehind(message, now);
  if (envelope.kind() != wire::ESTATE_FETCH)
    return EstateMessageResult::kUnrelated;
  wire::EstateFetch fetch;
  if (fetch.ParseFromString(envelope.body()))
    this->SendChanges(message.origin, fetch.known_revision());
  return EstateMessageResult::kUnchanged;
}

void EstateFollower::SendChanges(const Origin& origin,
                                 std::uint64_t known_revision) {
  this->link->Reply(
      origin, wire::ESTATE_UPDATE,
      this->estate.ChangesSince(known_revision).SerializeAsString());
}

EstateMessageResult EstateFollower::Apply(const Received& message) {
  wire::EstateUpdate update;
  const bool applied = update.ParseFromString(message.envelope.body()) &&
                       this->estate.Apply(update);
  if (!applied)
    return EstateMessageResult::kUnchanged;
  this->link->SetRevision(this->estate.revision());
  LogEvent(Event::kEstateApplied,
           {{"revision", std::to_string(this->estate.revision())}});
  return EstateMessageResult::kApplied;
}

// Every message carries its sender's estate revision. A process that is behind
// fetches the estate from any peer that is ahead, so it stays up to date even
// if it can't reach the control group.
void EstateFollower::FetchIfBehind(const Received& message, TimePoint now) {
  const bool behind = message.envelope.revision() > this->estate.revision();
  if (!behind || now < this->next_fetch_time)
    return;
  this->next_fetch_time = now + kMinFetchInterval;
  wire::EstateFetch fetch;
  fetch.set_known_revision(this->estate.revision());
  fetch.add_sections("services");
  this->link->Reply(message.origin, wire::ESTATE_FETCH,
                    fetch.SerializeAsString());
}

}  // namespace savoryring
