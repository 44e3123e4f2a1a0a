#include "libreplication/replica.h"

#include <algorithm>
#include <utility>

#include "savoryring/result.h"

namespace savoryring {
namespace {

// Duration of the leader lease as a fraction of the election timeout. The
// remainder allows for clocks that run at different speeds.
constexpr double kLeaseFraction = 0.8;
// Limits on the committed entries of one output. The owner can send heartbeats
// between two outputs while it applies a long log.
constexpr std::size_t kMaxDeliveredEntries = 512;
constexpr std::size_t kMaxDeliveredBytes = 256U << 10U;

}  // namespace

Replica::Replica(ReplicaOptions options, StoredReplica stored, TimePoint now)
    : options(std::move(options)),
      contacts(this->options.configured_ids),
      random(this->options.seed),
      hard_state(std::move(stored.hard_state)) {
  if (stored.snapshot) {
    this->snapshot_index = stored.snapshot->index();
    this->snapshot_term = stored.snapshot->term();
    this->snapshot_data = stored.snapshot->state();
    this->memberships[this->snapshot_index] = stored.snapshot->membership();
    this->committed_index = this->snapshot_index;
    this->delivered_index = this->snapshot_index;
  }
  for (wire::LogEntry& entry : stored.entries)
    this->AppendToLog(std::move(entry));
  this->durable_index = this->last_index();
  if (!this->memberships.empty())
    this->role = ReplicaRole::kFollower;
  this->UpdateRole();
  // A leader may hold a lease that rests on a reply which this replica sent
  // just before it restarted. Assume that such a leader is alive for one full
  // election timeout.
  this->leader_contact_deadline = now + this->options.election_timeout;
  this->hello_deadline = now;
  this->ResetElectionDeadline(now);
}

void Replica::Tick(TimePoint now) {
  const bool announces_itself =
      this->IsLeader() && this->options.open_membership;
  if ((!this->IsVoter() || announces_itself) && now >= this->hello_deadline)
    this->SendHello(now);
  if (this->IsLeader()) {
    this->TickLeader(now);
    return;
  }
  if (this->IsVoter() && now >= this->election_deadline)
    this->StartPreVote(now);
}

void Replica::Receive(const wire::ReplicaMessage& message, TimePoint now) {
  const bool for_other_incarnation =
      message.to_incarnation() != 0 &&
      message.to_incarnation() != this->options.self.incarnation;
  if (for_other_incarnation) {
    // The leader does not know yet that the disk of this replica was lost.
    if (this->options.open_membership && message.has_append_request())
      this->leader_hint = message.from().id();
    return;
  }
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

std::optional<std::uint64_t> Replica::Propose(std::string command) {
  if (!this->IsLeader())
    return std::nullopt;
  wire::LogEntry entry;
  entry.set_command(std::move(command));
  this->AppendAsLeader(std::move(entry));
  return this->last_index();
}

ReplicaOutput Replica::TakeOutput(TimePoint now) {
  if (this->IsLeader()) {
    for (auto& [member, progress] : this->peers) {
      if (this->HasMoreToSend(progress))
        this->SendAppend(progress, now);
    }
  }
  if (this->hard_state_changed) {
    this->output.hard_state = this->hard_state;
    this->hard_state_changed = false;
  }
  this->DeliverCommitted();
  return std::exchange(this->output, {});
}

// The rest of a long log is delivered with the next outputs.
void Replica::DeliverCommitted() {
  std::size_t bytes = 0;
  while (!this->delivery_paused &&
         this->delivered_index < this->committed_index &&
         this->output.committed.size() < kMaxDeliveredEntries &&
         bytes < kMaxDeliveredBytes) {
    this->delivered_index += 1;
    const wire::LogEntry& entry =
        this->log[this->delivered_index - this->snapshot_index - 1];
    bytes += entry.command().size();
    this->output.committed.push_back(entry);
  }
}

void Replica::OnStored(TimePoint) {
  this->durable_index = this->last_index();
  if (this->IsLeader())
    this->AdvanceCommit();
}

void Replica::Compact(std::uint64_t index, std::string state) {
  if (index <= this->snapshot_index || index > this->delivered_index)
    return;
  const std::uint64_t term = this->TermAt(index);
  const auto after = this->memberships.upper_bound(index);
  const wire::Membership membership = std::prev(after)->second;
  this->memberships.erase(this->memberships.begin(), after);
  this->memberships[index] = membership;
  const auto count = static_cast<std::ptrdiff_t>(index - this->snapshot_index);
  this->log.erase(this->log.begin(), this->log.begin() + count);
  this->snapshot_index = index;
  this->snapshot_term = term;
  this->snapshot_data = std::move(state);
  this->output.snapshot = this->MakeSnapshot();
}

wire::Snapshot Replica::MakeSnapshot() const {
  wire::Snapshot snapshot;
  snapshot.set_index(this->snapshot_index);
  snapshot.set_term(this->snapshot_term);
  *snapshot.mutable_membership() = this->memberships.begin()->second;
  snapshot.set_state(this->snapshot_data);
  return snapshot;
}

bool Replica::HasLease(TimePoint now) const {
  if (!this->IsLeader())
    return false;
  if (this->options.mutations.lease_without_quorum)
    return true;
  const auto lease = std::chrono::duration_cast<std::chrono::nanoseconds>(
      this->options.election_timeout * kLeaseFraction);
  const TimePoint confirmed = this->QuorumContactTime();
  return confirmed == kNever || now < confirmed + lease;
}

bool Replica::IsCaughtUp() const {
  return this->IsLeader() && this->committed_index >= this->term_start_index &&
         this->delivered_index >= this->term_start_index;
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

// --- Elections ---

void Replica::StartPreVote(TimePoint now) {
  this->role = ReplicaRole::kPreCandidate;
  this->leader.clear();
  this->votes = {this->options.self};
  this->ResetElectionDeadline(now);
  if (this->IsQuorum(this->votes)) {
    this->StartElection(now);
    return;
  }
  this->RequestVotes(true);
}

void Replica::StartElection(TimePoint now, bool leadership_transfer) {
  this->role = ReplicaRole::kCandidate;
  this->hard_state.set_term(this->hard_state.term() + 1);
  FillMember(this->options.self, this->hard_state.mutable_voted_for());
  this->MarkHardStateChanged();
  this->votes = {this->options.self};
  this->ResetElectionDeadline(now);
  if (this->IsQuorum(this->votes)) {
    this->BecomeLeader(now);
    return;
  }
  this->RequestVotes(false, leadership_transfer);
}

// The sender gave up its lease when it stepped down, so the voters need not
// wait until the lease expires.
void Replica::ReceiveHandOver(const wire::ReplicaMessage& message,
                              TimePoint now) {
  if (message.term() == this->term() && this->IsVoter() && !this->IsLeader())
    this->StartElection(now, true);
}

void Replica::RequestVotes(bool pre_vote, bool leadership_transfer) {
  for (const MemberId& voter : this->voters()) {
    if (voter == this->options.self)
      continue;
    wire::ReplicaMessage message = this->NewMessage(voter);
    if (pre_vote)
      message.set_term(this->term() + 1);
    wire::VoteRequest* request = message.mutable_vote_request();
    request->set_pre_vote(pre_vote);
    request->set_handed_over(leadership_transfer);
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
  // A leader that may still hold its lease must not be replaced, whatever the
  // candidate's term. The lease is valid only if every voter enforces this.
  const bool leader_alive =
      !mutations.skip_leader_stickiness && !request.handed_over() &&
      (now < this->leader_contact_deadline || this->HasLease(now));
  const MemberId candidate = ToMemberId(message.from());
  // The candidate may have been removed from the group while it was
  // unreachable. It learns of this from the log once it is tracked.
  if (this->options.open_membership && this->IsLeader() &&
      !this->peers.contains(candidate))
    this->TrackPeer(candidate, now);
  bool granted = !leader_alive && message.term() >= this->term() &&
                 this->IsUpToDate(request.last_index(), request.last_term());
  if (request.pre_vote()) {
    granted = granted && message.term() > this->term();
  } else if (!leader_alive) {
    if (message.term() > this->term())
      this->BecomeFollower(message.term(), "", now);
    const bool can_vote = !this->hard_state.has_voted_for() ||
                          ToMemberId(this->hard_state.voted_for()) == candidate;
    granted = granted && can_vote;
  }
  if (granted && !request.pre_vote()) {
    FillMember(candidate, this->hard_state.mutable_voted_for());
    this->MarkHardStateChanged();
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
  if (!this->IsQuorum(this->votes))
    return;
  if (reply.pre_vote())
    this->StartElection(now);
  else
    this->BecomeLeader(now);
}

void Replica::BecomeLeader(TimePoint now) {
  this->role = ReplicaRole::kLeader;
  this->leader = this->options.self.id;
  this->leadership_start = now;
  this->peers.clear();
  for (const MemberId& voter : this->voters()) {
    if (voter != this->options.self)
      this->TrackPeer(voter, now);
  }
  // Entries of earlier terms become committed only together with an entry of
  // the current term, so the leader appends an empty one.
  this->AppendAsLeader({});
  this->term_start_index = this->last_index();
  this->Broadcast(now);
}

void Replica::BecomeFollower(std::uint64_t term,
                             const std::string& leader,
                             TimePoint now) {
  const bool was_leader = this->IsLeader();
  if (term > this->hard_state.term()) {
    this->hard_state.set_term(term);
    this->hard_state.clear_voted_for();
    this->MarkHardStateChanged();
  }
  this->role = ReplicaRole::kFollower;
  this->UpdateRole();
  this->leader = leader;
  this->leadership_start = kNever;
  this->peers.clear();
  this->transfer_bytes.clear();
  if (was_leader)
    this->ResetElectionDeadline(now);
}

// --- Replication on the follower ---

bool Replica::FollowLeader(const wire::ReplicaMessage& message, TimePoint now) {
  if (message.term() < this->term())
    return false;
  const bool becomes_follower = message.term() > this->term() ||
                                this->role == ReplicaRole::kPreCandidate ||
                                this->role == ReplicaRole::kCandidate ||
                                this->role == ReplicaRole::kUnformed;
  if (becomes_follower)
    this->BecomeFollower(message.term(), message.from().id(), now);
  this->leader = message.from().id();
  this->leader_contact_deadline = now + this->options.election_timeout;
  this->ResetElectionDeadline(now);
  return true;
}

void Replica::ReceiveAppend(const wire::ReplicaMessage& message,
                            TimePoint now) {
  const wire::AppendRequest& request = message.append_request();
  if (!this->FollowLeader(message, now)) {
    this->SendAppendReply(message, false, this->committed_index, 0);
    return;
  }
  const std::uint64_t previous = request.previous_index();
  const bool log_matches = previous <= this->snapshot_index ||
                           (previous <= this->last_index() &&
                            this->TermAt(previous) == request.previous_term());
  if (!log_matches) {
    const std::uint64_t hint = previous > this->last_index()
                                   ? this->last_index()
                                   : this->committed_index;
    this->SendAppendReply(message, false, hint, request.sent_ns());
    return;
  }
  for (const wire::LogEntry& entry : request.entries())
    this->AppendReceivedEntry(entry);
  std::uint64_t match = std::max<std::uint64_t>(
      previous + static_cast<std::uint64_t>(request.entries_size()),
      std::min(this->snapshot_index, this->committed_index));
  if (request.has_part() && this->ReceiveEntryPart(message))
    match = std::max(match, request.part().index());
  this->UpdateRole();
  this->committed_index =
      std::max(this->committed_index, std::min(request.commit_index(), match));
  this->SendAppendReply(message, true, match, request.sent_ns(),
                        request.has_part() ? &request.part() : nullptr);
}

void Replica::AppendReceivedEntry(const wire::LogEntry& entry) {
  if (entry.index() <= this->snapshot_index)
    return;
  if (entry.index() <= this->last_index()) {
    if (this->TermAt(entry.index()) == entry.term())
      return;
    this->TruncateLogFrom(entry.index());
  }
  this->AppendToLog(entry);
  this->output.append.push_back(entry);
}

void Replica::ReceiveSnapshot(const wire::ReplicaMessage& message,
                              TimePoint now) {
  const wire::SnapshotRequest& request = message.snapshot_request();
  if (!this->FollowLeader(message, now)) {
    this->SendAppendReply(message, false, this->committed_index, 0);
    return;
  }
  if (request.has_part())
    this->ReceiveSnapshotPart(message);
  else
    this->InstallSnapshot(request.snapshot());
  this->SendAppendReply(message, true, this->committed_index, request.sent_ns(),
                        request.has_part() ? &request.part() : nullptr);
}

void Replica::InstallSnapshot(const wire::Snapshot& snapshot) {
  if (snapshot.index() <= this->committed_index)
    return;
  this->log.clear();
  this->memberships.clear();
  this->memberships[snapshot.index()] = snapshot.membership();
  this->snapshot_index = snapshot.index();
  this->snapshot_term = snapshot.term();
  this->snapshot_data = snapshot.state();
  this->committed_index = snapshot.index();
  this->delivered_index = snapshot.index();
  this->output.append.clear();
  this->output.committed.clear();
  this->output.snapshot = snapshot;
  this->output.restore = true;
  this->UpdateRole();
}

void Replica::SendAppendReply(const wire::ReplicaMessage& message,
                              bool accepted,
                              std::uint64_t match_index,
                              std::uint64_t sent_ns,
                              const wire::TransferPart* part) {
  const MemberId to = ToMemberId(message.from());
  wire::ReplicaMessage reply = this->NewMessage(to);
  wire::AppendReply* body = reply.mutable_append_reply();
  body->set_accepted(accepted);
  body->set_match_index(match_index);
  body->set_sent_ns(sent_ns);
  body->set_accepts_parts(true);
  body->set_knows_evacuation(true);
  if (part != nullptr) {
    body->set_part_index(part->index());
    body->set_held_part_bytes(this->incoming ? this->incoming->bytes.size()
                                             : 0);
  }
  this->SendTo(to, std::move(reply));
}

// --- The log ---

void Replica::AppendToLog(wire::LogEntry entry) {
  if (entry.index() != this->last_index() + 1)
    throw Error(ResultCode::kDamagedLog,
                "log entry indexes are not consecutive");
  if (entry.has_membership())
    this->memberships[entry.index()] = entry.membership();
  this->log.push_back(std::move(entry));
}

void Replica::TruncateLogFrom(std::uint64_t index) {
  if (index <= this->committed_index)
    throw Error(ResultCode::kInternal,
                "the leader's log conflicts with a committed entry");
  this->log.resize(index - this->snapshot_index - 1);
  this->memberships.erase(this->memberships.lower_bound(index),
                          this->memberships.end());
  this->durable_index = std::min(this->durable_index, index - 1);
}

std::uint64_t Replica::TermAt(std::uint64_t index) const {
  if (index == this->snapshot_index)
    return this->snapshot_term;
  if (index < this->snapshot_index || index > this->last_index())
    return 0;
  return this->log[index - this->snapshot_index - 1].term();
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

// --- Helpers ---

void Replica::UpdateRole() {
  if (this->role == ReplicaRole::kFollower && !this->IsVoter())
    this->role = ReplicaRole::kLearner;
  else if (this->role == ReplicaRole::kLearner && this->IsVoter())
    this->role = ReplicaRole::kFollower;
}

bool Replica::IsQuorum(const std::set<MemberId>& granted) const {
  const std::vector<MemberId> members = this->voters();
  const auto count = std::ranges::count_if(
      members, [&granted](const MemberId& m) { return granted.contains(m); });
  return static_cast<std::size_t>(count) > members.size() / 2;
}

// Returns the latest time at which a majority, self included, is known to have
// followed this leader; kNever if this replica alone is a majority.
TimePoint Replica::QuorumContactTime() const {
  std::vector<TimePoint> times;
  for (const MemberId& voter : this->voters()) {
    if (voter == this->options.self) {
      times.push_back(kNever);
      continue;
    }
    const auto found = this->peers.find(voter);
    times.push_back(found == this->peers.end()
                        ? TimePoint()
                        : found->second.confirmed_send_time);
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

void Replica::MarkHardStateChanged() {
  this->hard_state_changed = !this->options.mutations.skip_vote_sync;
}

void Replica::ResetElectionDeadline(TimePoint now) {
  const std::chrono::nanoseconds minimum = this->options.election_timeout;
  const auto extra = static_cast<std::int64_t>(
      this->random() % static_cast<std::uint64_t>(minimum.count()));
  this->election_deadline = now + minimum + std::chrono::nanoseconds(extra);
}

}  // namespace savoryring
