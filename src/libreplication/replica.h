/// A Raft replica of the control group's log, without I/O: time and messages
/// are its inputs; records to store, messages to send and committed entries are
/// its outputs. The same inputs always give the same outputs.
#ifndef SAVORYRING_LIBREPLICATION_REPLICA_H_
#define SAVORYRING_LIBREPLICATION_REPLICA_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libreplication/member_id.h"
#include "libreplication/replication.pb.h"
#include "savoryring/time.h"

namespace savoryring {

/// Safety mechanisms that tests disable to show that their checks detect it.
struct ReplicaMutations {
  bool skip_vote_sync = false;  ///< Term and vote are not stored.
  /// Grants votes although a leader may hold its lease.
  bool skip_leader_stickiness = false;
  /// A replica with an empty disk votes before it has joined a group.
  bool empty_disk_votes = false;
  /// A leader keeps its role and lease without contact to a majority.
  bool lease_without_quorum = false;
};

struct ReplicaOptions {
  MemberId self;
  /// Ids of the replicas in the settings, self included.
  std::vector<std::string> configured_ids;
  Milliseconds heartbeat_interval{80};
  /// Minimum election timeout; each one is random up to twice this.
  Milliseconds election_timeout{400};
  std::uint64_t seed = 0;
  /// Whether this replica may form a new group when its disk is empty.
  bool may_form_group = true;
  /// Whether replicas outside `configured_ids` may join, replace a voter that
  /// has not responded for `voter_replace_timeout`, and grow the group up to
  /// `max_voters`.
  bool open_membership = false;
  std::size_t max_voters = 5;
  Milliseconds voter_replace_timeout{6000};
  ReplicaMutations mutations;
};

/// Consecutive entries of the log.
using LogEntries = std::deque<wire::LogEntry>;

/// The persistent state that a replica reads at startup.
struct StoredReplica {
  wire::HardState hard_state;
  std::optional<wire::Snapshot> snapshot;
  LogEntries entries;  ///< Entries after the snapshot.
};

struct OutgoingReplicaMessage {
  std::string to;  ///< Id of the receiving replica.
  wire::ReplicaMessage message;
};

/// The output of one batch of inputs. The owner of the replica must store
/// `hard_state`, `snapshot` and `append`, sync once and call OnStored before it
/// sends `messages`.
struct ReplicaOutput {
  std::optional<wire::HardState> hard_state;
  /// Replaces the stored snapshot and every log entry up to its index.
  std::optional<wire::Snapshot> snapshot;
  /// Whether `snapshot` came from the leader and replaces the applied state.
  bool restore = false;
  /// Entries to append. An entry whose index is already stored replaces that
  /// entry and all later ones.
  std::vector<wire::LogEntry> append;
  std::vector<OutgoingReplicaMessage> messages;
  /// A part of the committed entries that were not delivered yet; empty only if
  /// there are none.
  std::vector<wire::LogEntry> committed;

  bool NeedsStore() const {
    return this->hard_state || this->snapshot || !this->append.empty();
  }
};

enum class ReplicaRole {
  kUnformed,  ///< Empty disk; belongs to no group yet.
  kLearner,   ///< Receives the log but does not vote.
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
};

class Replica {
 public:
  Replica(ReplicaOptions options, StoredReplica stored, TimePoint now);

  /// Replaces the ids that hellos go to, at first `configured_ids`. They decide
  /// neither who forms a group nor who may join it.
  void SetContacts(std::vector<std::string> ids);

  void Tick(TimePoint now);
  void Receive(const wire::ReplicaMessage& message, TimePoint now);

  /// Appends a command to the log. Returns its index, or nothing if this
  /// replica is not the leader.
  std::optional<std::uint64_t> Propose(std::string command);

  /// Steps down and lets the voter with the longest matching log start an
  /// election immediately. Does nothing if this replica is not the leader.
  void TransferLeadership(TimePoint now);

  /// Returns the output of all inputs since the last call.
  ReplicaOutput TakeOutput(TimePoint now);
  /// Confirms that the records of the last output are on disk.
  void OnStored(TimePoint now);

  /// While delivery is paused, outputs have no committed entries. The owner may
  /// need time for those that it has.
  void SetDeliveryPaused(bool paused) { this->delivery_paused = paused; }

  /// Replaces the log up to `index` with a snapshot that holds `state`. The
  /// entry at `index` must have been delivered as committed.
  void Compact(std::uint64_t index, std::string state);

  /// State in the snapshot that precedes the log; empty without a snapshot.
  const std::string& snapshot_state() const { return this->snapshot_data; }
  /// All entries after the snapshot.
  const LogEntries& Entries() const { return this->log; }

  bool IsLeader() const { return this->role == ReplicaRole::kLeader; }
  /// Whether this replica is the leader and no other replica can have become
  /// leader by `now`, so that it may answer reads and grant leases on its own.
  bool HasLease(TimePoint now) const;
  /// Whether this replica is the leader and has delivered every entry that may
  /// have been committed in earlier terms.
  bool IsCaughtUp() const;

  ReplicaRole current_role() const { return this->role; }
  std::uint64_t term() const { return this->hard_state.term(); }
  std::uint64_t commit_index() const { return this->committed_index; }
  std::uint64_t first_index() const { return this->snapshot_index + 1; }
  std::uint64_t last_index() const {
    return this->snapshot_index + this->log.size();
  }
  const std::string& leader_id() const { return this->leader; }
  std::vector<MemberId> voters() const;
  bool IsVoter() const;
  /// Whether this replica leads and all other voters have told it that they
  /// apply EvacuateZone.
  bool VotersKnowEvacuation() const;
  const MemberId& self() const { return this->options.self; }
  /// When this replica became leader; kNever if it is not the leader.
  TimePoint leader_since() const { return this->leadership_start; }

 private:
  // Limits both the size of one message and the unacknowledged bytes per peer.
  // A larger limit delays heartbeats on a slow link; a smaller one causes more
  // disk syncs.
  static constexpr std::size_t kMaxBytesInFlight = 256U << 10U;

  // An entry or a snapshot that is sent to a peer in parts.
  struct OutgoingTransfer {
    bool is_snapshot = false;
    std::uint64_t index = 0;  // of the entry, or the snapshot; 0: none
    std::uint64_t total_bytes = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t acknowledged_bytes = 0;
  };
  // What has been received of an entry or a snapshot that comes in parts.
  struct IncomingTransfer {
    bool is_snapshot = false;
    MemberId leader;
    std::uint64_t leader_term = 0;
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::uint64_t total_bytes = 0;
    std::string bytes;

    bool IsSameAs(const IncomingTransfer& other) const {
      return this->is_snapshot == other.is_snapshot &&
             this->leader == other.leader &&
             this->leader_term == other.leader_term &&
             this->index == other.index && this->term == other.term &&
             this->total_bytes == other.total_bytes;
    }
  };
  // The leader's replication state of one peer.
  struct Progress {
    MemberId member;
    std::uint64_t next_index = 1;    // next entry to send
    std::uint64_t match_index = 0;   // last entry known to match
    std::uint64_t resend_index = 1;  // first entry that is not acknowledged
    TimePoint last_heard;            // when the peer last replied
    TimePoint confirmed_send_time;   // latest send time that the peer echoed
    TimePoint resend_deadline;       // when unacknowledged entries are resent
    TimePoint rejection_deadline;    // later ones are ignored until then
    std::uint64_t rejected_match_index = 0;  // named by the latest rejection
    bool has_replied = false;                // since this replica leads
    bool accepts_parts = false;
    bool knows_evacuation = false;
    OutgoingTransfer transfer;
  };

  void ReceiveHello(const wire::ReplicaMessage& message, TimePoint now);
  void ReceiveHelloReply(const wire::ReplicaMessage& message, TimePoint now);
  void ReceiveForm(const wire::ReplicaMessage& message, TimePoint now);
  void ReceiveVoteRequest(const wire::ReplicaMessage& message, TimePoint now);
  void ReceiveVoteReply(const wire::ReplicaMessage& message, TimePoint now);
  void ReceiveAppend(const wire::ReplicaMessage& message, TimePoint now);
  void ReceiveAppendReply(const wire::ReplicaMessage& message, TimePoint now);
  void ReceiveSnapshot(const wire::ReplicaMessage& message, TimePoint now);
  void ReceiveHandOver(const wire::ReplicaMessage& message, TimePoint now);

  void SendHello(TimePoint now);
  void TryFormGroup(TimePoint now);
  void JoinGroup(const wire::Membership& membership, TimePoint now);
  void StartPreVote(TimePoint now);
  void StartElection(TimePoint now, bool leadership_transfer = false);
  void RequestVotes(bool pre_vote, bool leadership_transfer = false);
  void BecomeLeader(TimePoint now);
  void BecomeFollower(std::uint64_t term,
                      const std::string& leader,
                      TimePoint now);
  // Returns false if the sender's term is older than this replica's.
  bool FollowLeader(const wire::ReplicaMessage& message, TimePoint now);
  void SendAppendReply(const wire::ReplicaMessage& message,
                       bool accepted,
                       std::uint64_t match_index,
                       std::uint64_t sent_ns,
                       const wire::TransferPart* part = nullptr);
  void TickLeader(TimePoint now);
  void Broadcast(TimePoint now);
  void SendAppend(Progress& progress, TimePoint now);
  // Size of the entries that were sent to the peer and not acknowledged.
  std::size_t InFlightBytes(const Progress& progress) const;
  TimePoint ResendDeadline(const Progress& progress, TimePoint now) const;
  bool MustAwaitReply(const Progress& progress) const;
  bool HasMoreToSend(const Progress& progress) const;
  wire::AppendRequest* AddAppendRequest(const Progress& progress,
                                        wire::ReplicaMessage& message,
                                        TimePoint now) const;
  void SendSnapshot(Progress& progress, TimePoint now);
  void SendWholeSnapshot(Progress& progress, TimePoint now);
  wire::Snapshot MakeSnapshot() const;
  void InstallSnapshot(const wire::Snapshot& snapshot);

  bool IsSentInParts(const Progress& progress, std::uint64_t index) const;
  bool IsCurrent(const Progress& progress) const;
  void StartTransfer(Progress& progress);
  const std::string& TransferBytes(const OutgoingTransfer& transfer);
  void DropUnusedTransferBytes();
  void FillPart(Progress& progress,
                std::size_t max_bytes,
                wire::TransferPart& part);
  bool SendEntryParts(Progress& progress, TimePoint now);
  void SendSnapshotParts(Progress& progress, TimePoint now);
  bool UpdateTransfer(Progress& progress,
                      const wire::AppendReply& reply,
                      TimePoint now);
  bool ReceiveEntryPart(const wire::ReplicaMessage& message);
  void ReceiveSnapshotPart(const wire::ReplicaMessage& message);
  bool ReceivePart(const wire::ReplicaMessage& message,
                   const wire::TransferPart& part,
                   bool is_snapshot);
  std::string TakeIncoming();

  void AppendAsLeader(wire::LogEntry entry);
  void AppendToLog(wire::LogEntry entry);
  void TruncateLogFrom(std::uint64_t index);
  void AppendReceivedEntry(const wire::LogEntry& entry);
  void AdvanceCommit();
  void DeliverCommitted();
  void UpdateMembership(TimePoint now);
  bool AdmitLearner(const MemberId& learner,
                    std::vector<MemberId> members,
                    TimePoint now);
  std::size_t CountCaughtUpLearners() const;
  bool IsConfigured(const std::string& id) const;
  bool MayJoin(const MemberId& peer) const;
  void ProposeMembership(const std::vector<MemberId>& voters);
  void TrackPeer(const MemberId& member, TimePoint now);
  void UpdateRole();

  wire::ReplicaMessage NewMessage(const MemberId& to) const;
  void SendTo(const MemberId& to, wire::ReplicaMessage message);
  void MarkHardStateChanged();
  void ResetElectionDeadline(TimePoint now);
  bool IsQuorum(const std::set<MemberId>& granted) const;
  bool IsUpToDate(std::uint64_t last_index, std::uint64_t last_term) const;
  std::uint64_t TermAt(std::uint64_t index) const;
  const wire::Membership& CurrentMembership() const;
  std::uint64_t MembershipIndex() const;
  TimePoint QuorumContactTime() const;

  ReplicaOptions options;
  std::vector<std::string> contacts;  // the ids that hellos go to
  pcg64 random;
  ReplicaRole role = ReplicaRole::kUnformed;
  wire::HardState hard_state;
  bool hard_state_changed = false;

  std::uint64_t snapshot_index = 0;  // last entry covered by the snapshot
  std::uint64_t snapshot_term = 0;
  std::string snapshot_data;  // sent to peers whose next entry is compacted
  // Memberships by the log index that set them; the last one is in effect.
  std::map<std::uint64_t, wire::Membership> memberships;
  LogEntries log;
  std::uint64_t committed_index = 0;
  std::uint64_t delivered_index = 0;  // last entry put into an output
  bool delivery_paused = false;
  std::uint64_t durable_index = 0;  // last entry known to be on disk

  std::string leader;
  TimePoint leadership_start = kNever;
  std::uint64_t term_start_index = 0;
  TimePoint leader_contact_deadline;  // a leader is assumed alive until then
  TimePoint election_deadline;
  TimePoint heartbeat_deadline;
  TimePoint hello_deadline;
  std::uint64_t hello_nonce = 0;
  std::string leader_hint;  // leader named by a hello or by its reply
  std::map<std::string, MemberId> unformed_peers;  // those with empty disks
  std::set<MemberId> votes;
  std::map<MemberId, Progress> peers;
  // Serialized entries and snapshots of the transfers to the peers, by kind and
  // index.
  std::map<std::pair<bool, std::uint64_t>, std::string> transfer_bytes;
  std::optional<IncomingTransfer> incoming;
  ReplicaOutput output;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBREPLICATION_REPLICA_H_
