// Group formation and discovery: how a replica with an empty disk finds or
// forms the group.

#include <algorithm>
#include <set>
#include <utility>

#include "libreplication/replica.h"

namespace savoryring {
namespace {

constexpr Milliseconds kHelloInterval{200};
// A leader tells the configured replicas at this interval that it leads.
constexpr Milliseconds kAnnounceInterval{500};

}  // namespace

void Replica::SetContacts(std::vector<std::string> ids) {
  this->contacts = std::move(ids);
}

// Replicas and other processes that know nothing but the contacts find the
// group through these. They may all be outside of it, with empty disks or no
// disk, so a leader sends them a hello as well.
void Replica::SendHello(TimePoint now) {
  this->hello_deadline =
      now + (this->IsLeader() ? kAnnounceInterval : kHelloInterval);
  // Only replies with this nonce are accepted. A reply to an earlier hello
  // may predate this disk and describe a peer that has since joined another
  // group.
  this->hello_nonce = this->random();
  this->unformed_peers.clear();
  std::set<std::string> ids{this->contacts.begin(), this->contacts.end()};
  if (this->role == ReplicaRole::kUnformed) {
    ids.insert(this->options.configured_ids.begin(),
               this->options.configured_ids.end());
  }
  if (!this->leader_hint.empty())
    ids.insert(this->leader_hint);
  for (const std::string& id : ids) {
    if (id == this->options.self.id)
      continue;
    wire::ReplicaMessage message = this->NewMessage({.id = id});
    message.mutable_hello()->set_nonce(this->hello_nonce);
    if (this->IsLeader())
      message.mutable_hello()->set_leader(this->options.self.id);
    this->SendTo({.id = id}, std::move(message));
  }
  this->TryFormGroup(now);
}

void Replica::ReceiveHello(const wire::ReplicaMessage& message, TimePoint now) {
  const MemberId peer = ToMemberId(message.from());
  if (this->options.open_membership && !message.hello().leader().empty())
    this->leader_hint = message.hello().leader();
  wire::ReplicaMessage reply = this->NewMessage(peer);
  wire::HelloReply* body = reply.mutable_hello_reply();
  body->set_nonce(message.hello().nonce());
  body->set_formed(this->role != ReplicaRole::kUnformed);
  body->set_leader(this->leader);
  // While the log holds only the initial membership, the Form message to this
  // peer may have been lost. The membership in the reply replaces it.
  if (this->last_index() == 1)
    *body->mutable_membership() = this->CurrentMembership();
  this->SendTo(peer, std::move(reply));
  if (this->IsLeader() && this->MayJoin(peer) && !this->peers.contains(peer))
    this->TrackPeer(peer, now);
}

bool Replica::IsConfigured(const std::string& id) const {
  return std::ranges::find(this->options.configured_ids, id) !=
         this->options.configured_ids.end();
}

bool Replica::MayJoin(const MemberId& peer) const {
  return this->options.open_membership || this->IsConfigured(peer.id);
}

void Replica::ReceiveHelloReply(const wire::ReplicaMessage& message,
                                TimePoint now) {
  const wire::HelloReply& reply = message.hello_reply();
  if (this->options.open_membership && !reply.leader().empty())
    this->leader_hint = reply.leader();
  const bool is_current = this->role == ReplicaRole::kUnformed &&
                          reply.nonce() == this->hello_nonce;
  if (!is_current)
    return;
  if (reply.formed()) {
    this->JoinGroup(reply.membership(), now);
    return;
  }
  const MemberId peer = ToMemberId(message.from());
  if (!this->IsConfigured(peer.id))
    return;
  this->unformed_peers[peer.id] = peer;
  this->TryFormGroup(now);
}

// The replica with the lowest id forms the group once every configured replica
// is reachable and has an empty disk. A replica that restarts with an empty
// disk finds that the others belong to a group and becomes a learner.
void Replica::TryFormGroup(TimePoint now) {
  const bool has_lowest_id =
      *std::ranges::min_element(this->options.configured_ids) ==
      this->options.self.id;
  if (this->role != ReplicaRole::kUnformed || !has_lowest_id ||
      !this->options.may_form_group)
    return;
  std::vector<MemberId> members{this->options.self};
  for (const auto& [id, member] : this->unformed_peers)
    members.push_back(member);
  if (members.size() != this->options.configured_ids.size())
    return;
  const wire::Membership membership = ToMembership(members);
  for (const auto& [id, member] : this->unformed_peers) {
    wire::ReplicaMessage message = this->NewMessage(member);
    *message.mutable_form()->mutable_membership() = membership;
    this->SendTo(member, std::move(message));
  }
  this->JoinGroup(membership, now);
}

void Replica::ReceiveForm(const wire::ReplicaMessage& message, TimePoint now) {
  if (this->role == ReplicaRole::kUnformed)
    this->JoinGroup(message.form().membership(), now);
}

void Replica::JoinGroup(const wire::Membership& membership, TimePoint now) {
  const bool is_initial_voter = std::ranges::any_of(
      membership.voters(), [this](const wire::Member& member) {
        return ToMemberId(member) == this->options.self;
      });
  if (!is_initial_voter)
    return;
  wire::LogEntry entry;
  entry.set_index(1);
  entry.set_term(1);
  *entry.mutable_membership() = membership;
  this->hard_state.set_term(1);
  this->MarkHardStateChanged();
  this->AppendToLog(entry);
  this->output.append.push_back(std::move(entry));
  this->role = ReplicaRole::kFollower;
  this->UpdateRole();
  this->ResetElectionDeadline(now);
}

}  // namespace savoryring
