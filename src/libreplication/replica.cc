#include "libreplication/replica.h"

#include <algorithm>
#include <utility>

#include "savoryring/result.h"

namespace savoryring {
namespace {

constexpr Milliseconds kHelloInterval{200};
// Share of the election timeout that a leader's lease lasts; the rest covers
// clocks that run at different speeds.
constexpr double kLeaseShare = 0.8;

}  // namespace

Replica::Replica(ReplicaOptions options, StoredReplica stored, TimePoint now)
    : options(std::move(options)),
      random(this->options.seed),
      hard_state(std::move(stored.hard_state)) {
  if (stored.snapshot) {
    this->base_index = stored.snapshot->index();
    this->base_term = stored.snapshot->term();
    this->base_state = stored.snapshot->state();
    this->memberships[this->base_index] = stored.snapshot->membership();
    this->commit = this->base_index;
    this->delivered = this->base_index;
  }
  for (const wire::LogEntry& entry : stored.entries)
    this->PushEntry(entry);
  this->stored = this->last_index();
  if (!this->memberships.empty())
    this->role = ReplicaRole::kFollower;
  this->UpdateRole();
  // A leader may have heard this replica just before the restart and may
  // count on it: it is taken as alive for one whole election timeout.
  this->leader_contact_deadline = now + this->options.election;
  this->hello_deadline = now;
  this->ResetElectionDeadline(now);
}

void Replica::Tick(TimePoint now) {
  if (!this->IsVoter() && now >= this->hello_deadline)
    this->SayHello(now);
  if (this->IsLeader()) {
    this->TickLeader(now);
    return;
  }
  if (this->IsVoter() && now >= this->election_deadline)
    this->StartPreVote(now);
}

void Replica::Receive(const wire::ReplicaMessage& message, TimePoint now) {
  const bool for_other_disk =
      message.to_incarnation() != 0 &&
      message.to_incarnation() != this->options.self.incarnation;
  if (for_other_disk)
    return;
  switch (message.body_case()) {
    case wire::ReplicaMessage::kHello:
      return this->ReceiveHello(message, now);
    case wire::ReplicaMessage::kHelloReply:
      return this->ReceiveHelloReply(message, now);
    case wire::ReplicaMessage::kForm:
      return this->ReceiveForm(message, now);
    case wire::ReplicaMessage::kVoteRequest:
      return this->ReceiveVoteRequest(message, now);
    case wire::ReplicaMessage::kVoteReply:
      return this->ReceiveVoteReply(message, now);
    case wire::ReplicaMessage::kAppendRequest:
      return this->ReceiveAppend(message, now);
    case wire::ReplicaMessage::kAppendReply:
      return this->ReceiveAppendReply(message, now);
    case wire::ReplicaMessage::kSnapshotRequest:
      return this->ReceiveSnapshot(message, now);
    case wire::ReplicaMessage::kHandOver:
      return this->ReceiveHandOver(message, now);
    case wire::ReplicaMessage::BODY_NOT_SET:
      return;
  }
}

std::optional<std::uint64_t> Replica::Propose(const std::string& command) {
  if (!this->IsLeader())
    return std::nullopt;
  wire::LogEntry entry;
  entry.set_command(command);
  this->AppendOwn(std::move(entry));
  return this->last_index();
}

ReplicaOutput Replica::TakeOutput(TimePoint now) {
  if (this->IsLeader()) {
    for (auto& [member, progress] : this->peers) {
      if (progress.next <= this->last_index())
        this->SendAppend(progress, now);
    }
  }
  if (this->hard_state_changed) {
    this->output.hard_state = this->hard_state;
    this->hard_state_changed = false;
  }
  return std::exchange(this->output, {});
}

void Replica::OnStored(TimePoint) {
  this->stored = this->last_index();
  if (this->IsLeader())
    this->AdvanceCommit();
}

void Replica::Compact(std::uint64_t index, std::string state) {
  if (index <= this->base_index || index > this->delivered)
    return;
  const std::uint64_t term = this->TermAt(index);
  const auto after = this->memberships.upper_bound(index);
  const wire::Membership membership = std::prev(after)->second;
  this->memberships.erase(this->memberships.begin(), after);
  this->memberships[index] = membership;
  const auto count = static_cast<std::ptrdiff_t>(index - this->base_index);
  this->log.erase(this->log.begin(), this->log.begin() + count);
  this->base_index = index;
  this->base_term = term;
  this->base_state = std::move(state);
  wire::Snapshot snapshot;
  snapshot.set_index(index);
  snapshot.set_term(term);
  *snapshot.mutable_membership() = membership;
  snapshot.set_state(this->base_state);
  this->output.snapshot = std::move(snapshot);
}

bool Replica::HasLease(TimePoint now) const {
  if (!this->IsLeader())
    return false;
  if (this->options.mutations.lease_without_quorum)
    return true;
  const auto lease = std::chrono::duration_cast<std::chrono::nanoseconds>(
      this->options.election * kLeaseShare);
  const TimePoint confirmed = this->QuorumConfirmed();
  return confirmed == kNever || now < confirmed + lease;
}

bool Replica::IsCaughtUp() const {
  return this->IsLeader() && this->commit >= this->term_start_index &&
         this->delivered == this->commit;
}

std::vector<MemberId> Replica::voters() const {
  std::vector<MemberId> members;
  for (const wire::Member& member : this->CurrentMembership().voters())
    members.push_back(ToMemberId(member));
  return members;
}

bool Replica::IsVoter() const {
  for (const wire::Member& member : this->CurrentMembership().voters()) {
    if (ToMemberId(member) == this->options.self)
      return true;
  }
  return false;
}

// --- Forming a group and finding one ---

void Replica::SayHello(TimePoint now) {
  this->hello_deadline = now + kHelloInterval;
  // Only answers to this very hello count: an answer given before this disk
  // existed could describe a peer that has since joined another group.
  this->hello_nonce = this->random();
  this->empty_peers.clear();
  std::set<std::string> ids{this->options.listed.begin(),
                            this->options.listed.end()};
  if (!this->hinted_leader.empty())
    ids.insert(this->hinted_leader);
  for (const std::string& id : ids) {
    if (id == this->options.self.id)
      continue;
    wire::ReplicaMessage message = this->NewMessage({.id = id});
    message.mutable_hello()->set_nonce(this->hello_nonce);
    this->SendTo({.id = id}, std::move(message));
  }
  this->TryForm(now);
}

void Replica::ReceiveHello(const wire::ReplicaMessage& message, TimePoint now) {
  const MemberId peer = ToMemberId(message.from());
  wire::ReplicaMessage reply = this->NewMessage(peer);
  wire::HelloReply* body = reply.mutable_hello_reply();
  body->set_nonce(message.hello().nonce());
  body->set_formed(this->role != ReplicaRole::kUnformed);
  body->set_leader(this->leader);
  // A group whose log still is its first membership only may have lost its
  // Form message to this peer; the membership in the answer stands in for it.
  if (this->last_index() == 1)
    *body->mutable_membership() = this->CurrentMembership();
  this->SendTo(peer, std::move(reply));
  if (this->IsLeader() && this->Admits(peer) && !this->peers.contains(peer))
    this->StartProgress(peer, now);
}

bool Replica::Admits(const MemberId& peer) const {
  return this->options.open_membership ||
         std::ranges::find(this->options.listed, peer.id) !=
             this->options.listed.end();
}

void Replica::ReceiveHelloReply(const wire::ReplicaMessage& message,
                                TimePoint now) {
  const wire::HelloReply& reply = message.hello_reply();
  if (this->options.open_membership && !reply.leader().empty())
    this->hinted_leader = reply.leader();
  const bool current = this->role == ReplicaRole::kUnformed &&
                       reply.nonce() == this->hello_nonce;
  if (!current)
    return;
  if (reply.formed()) {
    this->JoinFormed(reply.membership(), now);
    return;
  }
  const MemberId peer = ToMemberId(message.from());
  this->empty_peers[peer.id] = peer;
  this->TryForm(now);
}

// The replica with the lowest id forms the group, and only when every listed
// replica is reachable and empty. A replica that comes back with an empty disk
// finds the others formed and becomes a learner.
void Replica::TryForm(TimePoint now) {
  const bool lowest =
      *std::ranges::min_element(this->options.listed) == this->options.self.id;
  if (this->role != ReplicaRole::kUnformed || !lowest ||
      !this->options.may_form)
    return;
  std::vector<MemberId> members{this->options.self};
  for (const auto& [id, member] : this->empty_peers)
    members.push_back(member);
  if (members.size() != this->options.listed.size())
    return;
  const wire::Membership membership = ToMembership(members);
  for (const auto& [id, member] : this->empty_peers) {
    wire::ReplicaMessage message = this->NewMessage(member);
    *message.mutable_form()->mutable_membership() = membership;
    this->SendTo(member, std::move(message));
  }
  this->JoinFormed(membership, now);
}

void Replica::ReceiveForm(const wire::ReplicaMessage& message, TimePoint now) {
  if (this->role == ReplicaRole::kUnformed)
    this->JoinFormed(message.form().membership(), now);
}

void Replica::JoinFormed(const wire::Membership& membership, TimePoint now) {
  const bool named = std::ranges::any_of(
      membership.voters(), [this](const wire::Member& member) {
        return ToMemberId(member) == this->options.self;
      });
  if (!named)
    return;
  wire::LogEntry entry;
  entry.set_index(1);
  entry.set_term(1);
  *entry.mutable_membership() = membership;
  this->hard_state.set_term(1);
  this->StoreHardState();
  this->PushEntry(entry);
  this->output.append.push_back(std::move(entry));
  this->role = ReplicaRole::kFollower;
  this->UpdateRole();
  this->ResetElectionDeadline(now);
}

// --- Elections ---

void Replica::StartPreVote(TimePoint now) {
  this->role = ReplicaRole::kPreCandidate;
  this->leader.clear();
  this->votes = {this->options.self};
  this->ResetElectionDeadline(now);
  if (this->CountsAsQuorum(this->votes)) {
    this->StartElection(now);
    return;
  }
  this->RequestVotes(true);
}

void Replica::StartElection(TimePoint now, bool handed_over) {
  this->role = ReplicaRole::kCandidate;
  this->hard_state.set_term(this->hard_state.term() + 1);
  FillMember(this->options.self, this->hard_state.mutable_voted_for());
  this->StoreHardState();
  this->votes = {this->options.self};
  this->ResetElectionDeadline(now);
  if (this->CountsAsQuorum(this->votes)) {
    this->BecomeLeader(now);
    return;
  }
  this->RequestVotes(false, handed_over);
}

// The sender's lease ended when it stopped leading, so that the voters need
// not wait for it to run out.
void Replica::ReceiveHandOver(const wire::ReplicaMessage& message,
                              TimePoint now) {
  if (message.term() == this->term() && this->IsVoter() && !this->IsLeader())
    this->StartElection(now, true);
}

void Replica::RequestVotes(bool pre_vote, bool handed_over) {
  for (const MemberId& voter : this->voters()) {
    if (voter == this->options.self)
      continue;
    wire::ReplicaMessage message = this->NewMessage(voter);
    if (pre_vote)
      message.set_term(this->term() + 1);
    wire::VoteRequest* request = message.mutable_vote_request();
    request->set_pre_vote(pre_vote);
    request->set_handed_over(handed_over);
    request->set_last_index(this->last_index());
    request->set_last_term(this->TermAt(this->last_index()));
    this->SendTo(voter, std::move(message));
  }
}

void Replica::ReceiveVoteRequest(const wire::ReplicaMessage& message,
                                 TimePoint now) {
  const ReplicaMutations& mutations = this->options.mutations;
  if (this->role == ReplicaRole::kUnformed && !mutations.empty_disk_votes)
    return;
  const wire::VoteRequest& request = message.vote_request();
  // A leader that may still hold its lease must not be voted out, whatever
  // the term: the lease rests on every voter keeping to this.
  const bool leader_alive =
      !mutations.skip_leader_stickiness && !request.handed_over() &&
      (now < this->leader_contact_deadline || this->HasLease(now));
  const MemberId candidate = ToMemberId(message.from());
  // A voter that was replaced while it was away does not know of it yet.
  if (this->options.open_membership && this->IsLeader() &&
      !this->peers.contains(candidate))
    this->StartProgress(candidate, now);
  bool granted = !leader_alive && message.term() >= this->term() &&
                 this->IsUpToDate(request.last_index(), request.last_term());
  if (request.pre_vote()) {
    granted = granted && message.term() > this->term();
  } else if (!leader_alive) {
    if (message.term() > this->term())
      this->BecomeFollower(message.term(), "", now);
    const bool free = !this->hard_state.has_voted_for() ||
                      ToMemberId(this->hard_state.voted_for()) == candidate;
    granted = granted && free;
  }
  if (granted && !request.pre_vote()) {
    FillMember(candidate, this->hard_state.mutable_voted_for());
    this->StoreHardState();
    this->ResetElectionDeadline(now);
  }
  wire::ReplicaMessage reply = this->NewMessage(candidate);
  if (granted)
    reply.set_term(message.term());
  reply.mutable_vote_reply()->set_pre_vote(request.pre_vote());
  reply.mutable_vote_reply()->set_granted(granted);
  this->SendTo(candidate, std::move(reply));
}

void Replica::ReceiveVoteReply(const wire::ReplicaMessage& message,
                               TimePoint now) {
  const wire::VoteReply& reply = message.vote_reply();
  if (!reply.granted()) {
    if (message.term() > this->term())
      this->BecomeFollower(message.term(), "", now);
    return;
  }
  const std::uint64_t expected_term =
      reply.pre_vote() ? this->term() + 1 : this->term();
  const ReplicaRole expected_role =
      reply.pre_vote() ? ReplicaRole::kPreCandidate : ReplicaRole::kCandidate;
  if (this->role != expected_role || message.term() != expected_term)
    return;
  this->votes.insert(ToMemberId(message.from()));
  if (!this->CountsAsQuorum(this->votes))
    return;
  if (reply.pre_vote())
    this->StartElection(now);
  else
    this->BecomeLeader(now);
}

void Replica::BecomeLeader(TimePoint now) {
  this->role = ReplicaRole::kLeader;
  this->leader = this->options.self.id;
  this->leader_since = now;
  this->peers.clear();
  for (const MemberId& voter : this->voters()) {
    if (voter != this->options.self)
      this->StartProgress(voter, now);
  }
  // Entries of earlier terms are committed by one of this term.
  this->AppendOwn({});
  this->term_start_index = this->last_index();
  this->Broadcast(now);
}

void Replica::BecomeFollower(std::uint64_t term,
                             const std::string& leader,
                             TimePoint now) {
  const bool led = this->IsLeader();
  if (term > this->hard_state.term()) {
    this->hard_state.set_term(term);
    this->hard_state.clear_voted_for();
    this->StoreHardState();
  }
  this->role = ReplicaRole::kFollower;
  this->UpdateRole();
  this->leader = leader;
  this->leader_since = kNever;
  this->peers.clear();
  if (led)
    this->ResetElectionDeadline(now);
}

// --- Replication, follower's side ---

bool Replica::FollowLeader(const wire::ReplicaMessage& message, TimePoint now) {
  if (message.term() < this->term())
    return false;
  const bool changed = message.term() > this->term() ||
                       this->role == ReplicaRole::kPreCandidate ||
                       this->role == ReplicaRole::kCandidate ||
                       this->role == ReplicaRole::kUnformed;
  if (changed)
    this->BecomeFollower(message.term(), message.from().id(), now);
  this->leader = message.from().id();
  this->leader_contact_deadline = now + this->options.election;
  this->ResetElectionDeadline(now);
  return true;
}

void Replica::ReceiveAppend(const wire::ReplicaMessage& message,
                            TimePoint now) {
  const wire::AppendRequest& request = message.append_request();
  if (!this->FollowLeader(message, now)) {
    this->ReplyAppend(message, false, this->commit, 0);
    return;
  }
  const std::uint64_t previous = request.previous_index();
  const bool known = previous <= this->base_index ||
                     (previous <= this->last_index() &&
                      this->TermAt(previous) == request.previous_term());
  if (!known) {
    const std::uint64_t hint =
        previous > this->last_index() ? this->last_index() : this->commit;
    this->ReplyAppend(message, false, hint, request.sent_ns());
    return;
  }
  this->StoreEntries(request);
  const std::uint64_t match = std::max<std::uint64_t>(
      previous + static_cast<std::uint64_t>(request.entries_size()),
      std::min(this->base_index, this->commit));
  this->commit =
      std::max(this->commit, std::min(request.commit_index(), match));
  this->DeliverCommitted();
  this->ReplyAppend(message, true, match, request.sent_ns());
}

void Replica::StoreEntries(const wire::AppendRequest& request) {
  for (const wire::LogEntry& entry : request.entries()) {
    if (entry.index() <= this->base_index)
      continue;
    if (entry.index() <= this->last_index()) {
      if (this->TermAt(entry.index()) == entry.term())
        continue;
      this->CutLogFrom(entry.index());
    }
    this->PushEntry(entry);
    this->output.append.push_back(entry);
  }
  this->UpdateRole();
}

void Replica::ReceiveSnapshot(const wire::ReplicaMessage& message,
                              TimePoint now) {
  const wire::SnapshotRequest& request = message.snapshot_request();
  if (!this->FollowLeader(message, now)) {
    this->ReplyAppend(message, false, this->commit, 0);
    return;
  }
  const wire::Snapshot& snapshot = request.snapshot();
  if (snapshot.index() > this->commit) {
    this->log.clear();
    this->memberships.clear();
    this->memberships[snapshot.index()] = snapshot.membership();
    this->base_index = snapshot.index();
    this->base_term = snapshot.term();
    this->base_state = snapshot.state();
    this->commit = snapshot.index();
    this->delivered = snapshot.index();
    this->output.append.clear();
    this->output.committed.clear();
    this->output.snapshot = snapshot;
    this->output.restore = true;
    this->UpdateRole();
  }
  this->ReplyAppend(message, true, this->commit, request.sent_ns());
}

void Replica::ReplyAppend(const wire::ReplicaMessage& message,
                          bool accepted,
                          std::uint64_t match_index,
                          std::uint64_t sent_ns) {
  const MemberId to = ToMemberId(message.from());
  wire::ReplicaMessage reply = this->NewMessage(to);
  reply.mutable_append_reply()->set_accepted(accepted);
  reply.mutable_append_reply()->set_match_index(match_index);
  reply.mutable_append_reply()->set_sent_ns(sent_ns);
  this->SendTo(to, std::move(reply));
}

// --- The log ---

void Replica::PushEntry(const wire::LogEntry& entry) {
  if (entry.index() != this->last_index() + 1)
    throw Error(ResultCode::kDamagedLog, "records are not consecutive");
  this->log.push_back(entry);
  if (entry.has_membership())
    this->memberships[entry.index()] = entry.membership();
}

void Replica::CutLogFrom(std::uint64_t index) {
  if (index <= this->commit)
    throw Error(ResultCode::kInternal, "a committed entry would be replaced");
  this->log.resize(index - this->base_index - 1);
  this->memberships.erase(this->memberships.lower_bound(index),
                          this->memberships.end());
  this->stored = std::min(this->stored, index - 1);
}

std::uint64_t Replica::TermAt(std::uint64_t index) const {
  if (index == this->base_index)
    return this->base_term;
  if (index < this->base_index || index > this->last_index())
    return 0;
  return this->log[index - this->base_index - 1].term();
}

bool Replica::IsUpToDate(std::uint64_t last_index,
                         std::uint64_t last_term) const {
  const std::uint64_t own_term = this->TermAt(this->last_index());
  if (last_term != own_term)
    return last_term > own_term;
  return last_index >= this->last_index();
}

const wire::Membership& Replica::CurrentMembership() const {
  static const wire::Membership none;
  return this->memberships.empty() ? none : this->memberships.rbegin()->second;
}

std::uint64_t Replica::MembershipIndex() const {
  return this->memberships.empty() ? 0 : this->memberships.rbegin()->first;
}

// --- Small helpers ---

void Replica::UpdateRole() {
  if (this->role == ReplicaRole::kFollower && !this->IsVoter())
    this->role = ReplicaRole::kLearner;
  else if (this->role == ReplicaRole::kLearner && this->IsVoter())
    this->role = ReplicaRole::kFollower;
}

bool Replica::CountsAsQuorum(const std::set<MemberId>& granted) const {
  const std::vector<MemberId> members = this->voters();
  const auto count = std::ranges::count_if(
      members, [&granted](const MemberId& m) { return granted.contains(m); });
  return static_cast<std::size_t>(count) > members.size() / 2;
}

// Latest time at which a majority, self included, is known to have followed.
TimePoint Replica::QuorumConfirmed() const {
  std::vector<TimePoint> times;
  for (const MemberId& voter : this->voters()) {
    if (voter == this->options.self) {
      times.push_back(kNever);
      continue;
    }
    const auto found = this->peers.find(voter);
    times.push_back(found == this->peers.end() ? TimePoint()
                                               : found->second.confirmed);
  }
  std::ranges::sort(times, std::greater());
  return times.empty() ? TimePoint() : times[times.size() / 2];
}

wire::ReplicaMessage Replica::NewMessage(const MemberId& to) const {
  wire::ReplicaMessage message;
  FillMember(this->options.self, message.mutable_from());
  message.set_to_incarnation(to.incarnation);
  message.set_term(this->term());
  return message;
}

void Replica::SendTo(const MemberId& to, wire::ReplicaMessage message) {
  this->output.messages.push_back({.to = to.id, .message = std::move(message)});
}

void Replica::StoreHardState() {
  this->hard_state_changed = !this->options.mutations.skip_vote_sync;
}

void Replica::ResetElectionDeadline(TimePoint now) {
  const std::chrono::nanoseconds least = this->options.election;
  const auto extra = static_cast<std::int64_t>(
      this->random() % static_cast<std::uint64_t>(least.count()));
  this->election_deadline = now + least + std::chrono::nanoseconds(extra);
}

}  // namespace savoryring
