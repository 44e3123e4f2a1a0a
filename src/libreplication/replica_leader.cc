// The leader role of Replica: log replication, commit, and membership changes.

#include <algorithm>
#include <utility>

#include "libreplication/replica.h"

namespace savoryring {
namespace {

constexpr std::size_t kMaxEntriesPerAppend = 512;
// Unacknowledged entries are resent after two heartbeat intervals plus their
// transfer time at this rate, which is a tenth of the slowest link between
// control processes.
constexpr std::size_t kAssumedBytesPerMillisecond = 2500;
constexpr Milliseconds kSnapshotResendInterval{2000};
// A leader steps down after this many election timeouts without contact to a
// majority.
constexpr int kStepDownTimeouts = 2;

}  // namespace

void Replica::TickLeader(TimePoint now) {
  const TimePoint confirmed = this->QuorumContactTime();
  if (confirmed != kNever && !this->options.mutations.lease_without_quorum) {
    const TimePoint last_contact = std::max(confirmed, this->leadership_start);
    if (now >
        last_contact + kStepDownTimeouts * this->options.election_timeout) {
      this->BecomeFollower(this->term(), "", now);
      return;
    }
  }
  if (now >= this->heartbeat_deadline)
    this->Broadcast(now);
  this->UpdateMembership(now);
}

void Replica::Broadcast(TimePoint now) {
  this->heartbeat_deadline = now + this->options.heartbeat_interval;
  for (auto& [member, progress] : this->peers) {
    if (now >= progress.resend_deadline) {
      progress.next_index = progress.resend_index;
      progress.transfer.sent_bytes = progress.transfer.acknowledged_bytes;
    }
    this->SendAppend(progress, now);
  }
}

std::size_t Replica::InFlightBytes(const Progress& progress) const {
  std::size_t bytes =
      progress.transfer.sent_bytes - progress.transfer.acknowledged_bytes;
  std::uint64_t index =
      std::max(progress.resend_index, this->snapshot_index + 1);
  for (; index < progress.next_index; ++index)
    bytes += this->log[index - this->snapshot_index - 1].command().size();
  return bytes;
}

// Whether it is not known yet if the peer accepts what comes next in parts.
bool Replica::MustAwaitReply(const Progress& progress) const {
  if (progress.has_replied || progress.next_index > this->last_index())
    return false;
  return progress.next_index <= this->snapshot_index
             ? this->snapshot_data.size() > kMaxBytesInFlight
             : this->IsSentInParts(progress, progress.next_index);
}

bool Replica::HasMoreToSend(const Progress& progress) const {
  const OutgoingTransfer& transfer = progress.transfer;
  const bool all_sent = transfer.index != 0 && this->IsCurrent(progress) &&
                        transfer.sent_bytes == transfer.total_bytes;
  return progress.next_index <= this->last_index() && !all_sent &&
         !this->MustAwaitReply(progress) &&
         this->InFlightBytes(progress) < kMaxBytesInFlight;
}

TimePoint Replica::ResendDeadline(const Progress& progress,
                                  TimePoint now) const {
  return now + 2 * this->options.heartbeat_interval +
         Milliseconds(this->InFlightBytes(progress) /
                      kAssumedBytesPerMillisecond);
}

wire::AppendRequest* Replica::AddAppendRequest(const Progress& progress,
                                               wire::ReplicaMessage& message,
                                               TimePoint now) const {
  wire::AppendRequest* request = message.mutable_append_request();
  request->set_previous_index(progress.next_index - 1);
  request->set_previous_term(this->TermAt(progress.next_index - 1));
  request->set_commit_index(this->committed_index);
  request->set_sent_ns(ToNanoseconds(now));
  return request;
}

void Replica::SendAppend(Progress& progress, TimePoint now) {
  if (progress.next_index <= this->snapshot_index) {
    this->SendSnapshot(progress, now);
    return;
  }
  wire::ReplicaMessage message = this->NewMessage(progress.member);
  wire::AppendRequest* request = this->AddAppendRequest(progress, message, now);
  std::size_t bytes = this->InFlightBytes(progress);
  bool in_parts = false;  // the next entry
  while (progress.next_index <= this->last_index() &&
         bytes < kMaxBytesInFlight &&
         static_cast<std::size_t>(request->entries_size()) <
             kMaxEntriesPerAppend) {
    in_parts = this->IsSentInParts(progress, progress.next_index);
    if (in_parts)
      break;
    const wire::LogEntry& entry =
        this->log[progress.next_index - this->snapshot_index - 1];
    bytes += entry.command().size();
    *request->add_entries() = entry;
    progress.next_index += 1;
  }
  if (request->entries_size() > 0) {
    progress.resend_deadline = this->ResendDeadline(progress, now);
    this->SendTo(progress.member, std::move(message));
    if (in_parts)
      this->SendEntryParts(progress, now);
    return;
  }
  // If no part is sent either, the empty message is a heartbeat.
  if (!in_parts || !this->SendEntryParts(progress, now))
    this->SendTo(progress.member, std::move(message));
}

void Replica::SendSnapshot(Progress& progress, TimePoint now) {
  const bool in_parts = this->snapshot_data.size() > kMaxBytesInFlight &&
                        (progress.accepts_parts || !progress.has_replied);
  if (in_parts)
    this->SendSnapshotParts(progress, now);
  else
    this->SendWholeSnapshot(progress, now);
}

void Replica::SendWholeSnapshot(Progress& progress, TimePoint now) {
  wire::ReplicaMessage message = this->NewMessage(progress.member);
  wire::SnapshotRequest* request = message.mutable_snapshot_request();
  request->set_sent_ns(ToNanoseconds(now));
  *request->mutable_snapshot() = this->MakeSnapshot();
  progress.next_index = this->snapshot_index + 1;
  progress.resend_deadline = now + kSnapshotResendInterval;
  this->SendTo(progress.member, std::move(message));
}

void Replica::ReceiveAppendReply(const wire::ReplicaMessage& message,
                                 TimePoint now) {
  if (message.term() > this->term()) {
    this->BecomeFollower(message.term(), "", now);
    return;
  }
  if (!this->IsLeader() || message.term() != this->term())
    return;
  const auto found = this->peers.find(ToMemberId(message.from()));
  if (found == this->peers.end())
    return;
  Progress& progress = found->second;
  const wire::AppendReply& reply = message.append_reply();
  progress.last_heard = now;
  progress.confirmed_send_time =
      std::max(progress.confirmed_send_time, FromNanoseconds(reply.sent_ns()));
  progress.has_replied = true;
  progress.accepts_parts = reply.accepts_parts();
  progress.knows_evacuation = reply.knows_evacuation();
  const bool transfer_advanced = this->UpdateTransfer(progress, reply, now);
  if (!reply.accepted()) {
    // Several messages in flight may be rejected. Responding to each rejection
    // would multiply the messages to a peer that rejects all of them. One that
    // names an earlier entry than the last answers the resent entries.
    const bool names_earlier_entry =
        reply.match_index() < progress.rejected_match_index;
    if (now < progress.rejection_deadline && !names_earlier_entry)
      return;
    progress.rejection_deadline = now + this->options.heartbeat_interval / 2;
    progress.rejected_match_index = reply.match_index();
    progress.next_index =
        std::max(progress.match_index, reply.match_index()) + 1;
    progress.next_index = std::min(progress.next_index, this->last_index() + 1);
    progress.resend_index = progress.next_index;
    this->SendAppend(progress, now);
    return;
  }
  if (reply.match_index() > progress.match_index) {
    progress.match_index = reply.match_index();
    progress.resend_index = progress.match_index + 1;
    progress.resend_deadline = this->ResendDeadline(progress, now);
  }
  progress.next_index = std::max(progress.next_index, progress.match_index + 1);
  // A long log is sent in parts; once all sent entries are acknowledged, the
  // next part follows immediately.
  const bool all_acknowledged = progress.next_index == progress.match_index + 1;
  if ((all_acknowledged || transfer_advanced) && this->HasMoreToSend(progress))
    this->SendAppend(progress, now);
  this->AdvanceCommit();
  this->UpdateMembership(now);
}

bool Replica::VotersKnowEvacuation() const {
  return this->IsLeader() &&
         std::ranges::all_of(this->voters(), [this](const MemberId& voter) {
           const auto found = this->peers.find(voter);
           return voter == this->options.self ||
                  (found != this->peers.end() &&
                   found->second.knows_evacuation);
         });
}

void Replica::TransferLeadership(TimePoint now) {
  if (!this->IsLeader())
    return;
  const Progress* best = nullptr;
  for (const MemberId& voter : this->voters()) {
    const auto found = this->peers.find(voter);
    if (found == this->peers.end())
      continue;
    if (best == nullptr || found->second.match_index > best->match_index)
      best = &found->second;
  }
  if (best != nullptr) {
    wire::ReplicaMessage message = this->NewMessage(best->member);
    message.mutable_hand_over();
    this->SendTo(best->member, std::move(message));
  }
  this->BecomeFollower(this->term(), "", now);
}

void Replica::AppendAsLeader(wire::LogEntry entry) {
  entry.set_index(this->last_index() + 1);
  entry.set_term(this->term());
  this->AppendToLog(entry);
  this->output.append.push_back(std::move(entry));
}

void Replica::AdvanceCommit() {
  std::vector<std::uint64_t> matches;
  for (const MemberId& voter : this->voters()) {
    if (voter == this->options.self) {
      matches.push_back(this->durable_index);
      continue;
    }
    const auto found = this->peers.find(voter);
    matches.push_back(found == this->peers.end() ? 0
                                                 : found->second.match_index);
  }
  std::ranges::sort(matches, std::greater());
  if (matches.empty())
    return;
  const std::uint64_t quorum_index = matches[matches.size() / 2];
  if (quorum_index <= this->committed_index)
    return;
  // An entry of an earlier term may still be overwritten even if a majority
  // stores it. It is committed only by a later entry of the current term.
  if (this->TermAt(quorum_index) != this->term())
    return;
  this->committed_index = quorum_index;
}

// Proposes at most one membership change. A replica that lost its disk returns
// under a new incarnation. Once that one has caught up, the old incarnation is
// removed and the new one added by two committed changes of one voter each, so
// that successive majorities overlap.
void Replica::UpdateMembership(TimePoint now) {
  const bool may_change = this->IsLeader() &&
                          this->MembershipIndex() <= this->committed_index &&
                          this->committed_index >= this->term_start_index;
  if (!may_change)
    return;
  std::vector<MemberId> members = this->voters();
  for (const auto& [member, progress] : this->peers) {
    const bool is_voter = std::ranges::find(members, member) != members.end();
    const bool caught_up = progress.match_index >= this->committed_index &&
                           progress.match_index > 0;
    if (is_voter || !caught_up)
      continue;
    const auto previous = std::ranges::find(members, member.id, &MemberId::id);
    if (previous != members.end()) {
      const MemberId removed = *previous;
      members.erase(previous);
      this->ProposeMembership(members);
      this->peers.erase(removed);
      return;
    }
    if (this->AdmitLearner(member, members, now))
      return;
  }
}

// Lets a learner with a new id replace a voter that has not responded for
// `voter_replace_timeout`, or enlarge the group. Returns whether a change was
// proposed.
bool Replica::AdmitLearner(const MemberId& learner,
                           std::vector<MemberId> members,
                           TimePoint now) {
  if (!this->options.open_membership) {
    members.push_back(learner);
    this->ProposeMembership(members);
    return true;
  }
  const auto unresponsive =
      std::ranges::find_if(members, [&](const MemberId& voter) {
        const auto found = this->peers.find(voter);
        return voter != this->options.self && found != this->peers.end() &&
               now > found->second.last_heard +
                         this->options.voter_replace_timeout;
      });
  if (unresponsive != members.end()) {
    const MemberId removed = *unresponsive;
    members.erase(unresponsive);
    this->ProposeMembership(members);
    this->peers.erase(removed);
    return true;
  }
  // An even number of voters tolerates no more failures than one voter fewer,
  // so the group grows from one odd size to the next.
  const bool makes_odd = members.size() % 2 == 0;
  const bool grows = members.size() + 2 <= this->options.max_voters &&
                     this->CountCaughtUpLearners() >= 2;
  if (!makes_odd && !grows)
    return false;
  members.push_back(learner);
  this->ProposeMembership(members);
  return true;
}

std::size_t Replica::CountCaughtUpLearners() const {
  const std::vector<MemberId> members = this->voters();
  const auto count = std::ranges::count_if(this->peers, [&](const auto& item) {
    return item.second.match_index >= this->committed_index &&
           item.second.match_index > 0 &&
           std::ranges::find(members, item.first) == members.end();
  });
  return static_cast<std::size_t>(count);
}

void Replica::ProposeMembership(const std::vector<MemberId>& voters) {
  wire::LogEntry entry;
  *entry.mutable_membership() = ToMembership(voters);
  this->AppendAsLeader(std::move(entry));
}

void Replica::TrackPeer(const MemberId& member, TimePoint now) {
  // A newer incarnation supersedes learners with the same id. The progress of
  // a voter is kept until the membership change that removes it.
  std::erase_if(this->peers, [&](const auto& item) {
    const std::vector<MemberId> members = this->voters();
    return item.first.id == member.id &&
           std::ranges::find(members, item.first) == members.end();
  });
  this->peers[member] = {.member = member,
                         .next_index = this->last_index() + 1,
                         .match_index = 0,
                         .resend_index = this->last_index() + 1,
                         .last_heard = now,
                         .confirmed_send_time = TimePoint(),
                         .resend_deadline = now};
}

}  // namespace savoryring
