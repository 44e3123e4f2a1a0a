#include "libreplication/replica.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>

namespace savoryring {
namespace {

constexpr Milliseconds kStep{10};

}  // namespace

// Three replicas whose messages arrive immediately. Messages to and from
// isolated replicas are lost.
TEST_GROUP(Replica) {
  TimePoint now = TimePoint(std::chrono::hours(1));
  std::map<std::string, std::unique_ptr<Replica>> replicas;
  std::set<std::string> isolated;
  std::map<std::string, std::vector<std::string>> committed;
  ReplicaMutations mutations;
  bool open_membership = false;
  std::map<std::string, std::size_t> sent_bytes;
  std::size_t largest_message = 0;
  std::size_t largest_delivery = 0;  // bytes of committed entries in an output
  // What a replica's link sends in a step; 0: messages arrive immediately.
  std::size_t bytes_per_step = 0;
  std::map<std::string, std::deque<OutgoingReplicaMessage>> link_queues;
  std::set<std::string> without_parts;  // replicas of an earlier version

  void AddReplica(const std::string& id, std::uint64_t incarnation,
                  const StoredReplica& stored = {}) {
    ReplicaOptions options{.self = {.id = id, .incarnation = incarnation},
                           .configured_ids = {"a", "b", "c"},
                           .seed = incarnation,
                           .may_form_group = !this->open_membership,
                           .open_membership = this->open_membership,
                           .mutations = this->mutations};
    this->replicas[id] =
        std::make_unique<Replica>(std::move(options), stored, this->now);
  }
  void AddAllReplicas() {
    this->AddReplica("a", 1);
    this->AddReplica("b", 2);
    this->AddReplica("c", 3);
  }

  void Flush(const std::string& id) {
    Replica& replica = *this->replicas.at(id);
    const ReplicaOutput output = replica.TakeOutput(this->now);
    if (output.NeedsStore())
      replica.OnStored(this->now);
    std::size_t delivered_bytes = 0;
    for (const wire::LogEntry& entry : output.committed) {
      delivered_bytes += entry.command().size();
      if (!entry.command().empty())
        this->committed[id].push_back(entry.command());
    }
    this->largest_delivery = std::max(this->largest_delivery, delivered_bytes);
    for (const OutgoingReplicaMessage& outgoing : output.messages) {
      const std::size_t bytes = outgoing.message.ByteSizeLong();
      this->sent_bytes[id] += bytes;
      this->largest_message = std::max(this->largest_message, bytes);
      if (this->bytes_per_step > 0)
        this->link_queues[id].push_back(outgoing);
      else
        this->Deliver(id, outgoing);
    }
  }

  void Deliver(const std::string& from, OutgoingReplicaMessage outgoing) {
    const bool lost = this->isolated.contains(from) ||
                      this->isolated.contains(outgoing.to) ||
                      !this->replicas.contains(outgoing.to);
    if (lost)
      return;
    wire::ReplicaMessage& message = outgoing.message;
    if (this->without_parts.contains(from) && message.has_append_reply())
      message.mutable_append_reply()->set_accepts_parts(false);
    if (this->without_parts.contains(outgoing.to) &&
        message.has_append_request())
      message.mutable_append_request()->clear_part();
    this->replicas.at(outgoing.to)->Receive(message, this->now);
  }

  // Sends what the link of each replica carries in a step, in order.
  void RunLinks() {
    for (auto& [id, queue] : this->link_queues) {
      std::size_t& budget = this->link_budgets[id];
      budget += this->bytes_per_step;
      while (!queue.empty()) {
        const std::size_t bytes = queue.front().message.ByteSizeLong();
        if (bytes > budget)
          break;
        budget -= bytes;
        this->Deliver(id, queue.front());
        queue.pop_front();
      }
      if (queue.empty())
        budget = 0;
    }
  }
  std::map<std::string, std::size_t> link_budgets;

  // Isolates a follower, which then needs the leader's snapshot. Returns its
  // id.
  std::string IsolateAndCompact(const std::string& leader,
                                const std::string& state) {
    const std::string lagging = leader == "a" ? "b" : "a";
    this->isolated = {lagging};
    Replica& source = *this->replicas.at(leader);
    source.Propose("x");
    this->RunFor(Milliseconds(300));
    source.Compact(source.commit_index(), state);
    return lagging;
  }

  // Runs until the replica has committed `count` commands. Checks that the
  // leader keeps its lease meanwhile.
  void RunUntilCommitted(const std::string& id, std::size_t count) {
    const std::string leader = this->Leader();
    for (int step = 0; step < 1000 && this->committed[id].size() < count;
         ++step) {
      this->RunFor(kStep);
      CHECK(this->replicas.at(leader)->HasLease(this->now));
    }
    LONGS_EQUAL(count, this->committed[id].size());
  }

  void RunFor(Milliseconds length) {
    const TimePoint end = this->now + length;
    while (this->now < end) {
      this->now += kStep;
      this->RunLinks();
      for (auto& [id, replica] : this->replicas)
        replica->Tick(this->now);
      for (int round = 0; round < 4; ++round) {
        for (auto& [id, replica] : this->replicas)
          this->Flush(id);
      }
    }
  }

  std::string Leader() {
    for (auto& [id, replica] : this->replicas) {
      if (!this->isolated.contains(id) && replica->HasLease(this->now))
        return id;
    }
    return "";
  }
};

TEST(Replica, GroupFormsOnlyWhenAllReplicasAreReachable) {
  this->AddReplica("a", 1);
  this->AddReplica("b", 2);
  this->RunFor(Milliseconds(3000));
  STRCMP_EQUAL("", this->Leader().c_str());
  this->AddReplica("c", 3);
  this->RunFor(Milliseconds(3000));
  CHECK(!this->Leader().empty());
}

TEST(Replica, CommitsOnAllReplicas) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  this->replicas.at(this->Leader())->Propose("x");
  this->RunFor(Milliseconds(300));
  for (const std::string id : {"a", "b", "c"})
    CHECK_EQUAL(1, this->committed[id].size());
}

TEST(Replica, IsolatedLeaderLosesLeaseBeforeNextLeaderHasOne) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  const std::string old_leader = this->Leader();
  this->isolated = {old_leader};
  while (this->Leader().empty()) {
    this->RunFor(kStep);
    if (!this->Leader().empty())
      CHECK(!this->replicas.at(old_leader)->HasLease(this->now));
  }
  CHECK(this->Leader() != old_leader);
  this->RunFor(Milliseconds(2000));
  CHECK(!this->replicas.at(old_leader)->IsLeader());
}

// Shows that the test above detects a leader that does not check its quorum.
TEST(Replica, WithoutQuorumChecksTwoLeadersHoldALease) {
  this->mutations.lease_without_quorum = true;
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  const std::string old_leader = this->Leader();
  this->isolated = {old_leader};
  this->RunFor(Milliseconds(3000));
  CHECK(!this->Leader().empty());
  CHECK(this->replicas.at(old_leader)->HasLease(this->now));
}

TEST(Replica, ReconnectedReplicaDoesNotDisturbLeader) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  const std::string leader = this->Leader();
  const std::uint64_t term = this->replicas.at(leader)->term();
  this->isolated = {leader == "a" ? "b" : "a"};
  this->RunFor(Milliseconds(5000));
  this->isolated.clear();
  this->RunFor(Milliseconds(2000));
  STRCMP_EQUAL(leader.c_str(), this->Leader().c_str());
  CHECK_EQUAL(term, this->replicas.at(leader)->term());
}

TEST(Replica, VoterRejectsCandidateWhileLeaderMayHoldLease) {
  const auto grants_vote = [this] {
    this->AddAllReplicas();
    this->RunFor(Milliseconds(3000));
    const std::string leader = this->Leader();
    const std::string voter = leader == "a" ? "b" : "a";
    wire::ReplicaMessage request;
    request.mutable_from()->set_id("c");
    request.mutable_from()->set_incarnation(3);
    request.set_term(this->replicas.at(voter)->term() + 1);
    request.mutable_vote_request()->set_last_index(1000);
    request.mutable_vote_request()->set_last_term(1000);
    this->replicas.at(voter)->Receive(request, this->now);
    const auto output = this->replicas.at(voter)->TakeOutput(this->now);
    return output.messages.back().message.vote_reply().granted();
  };
  CHECK(!grants_vote());
  this->replicas.clear();
  this->mutations.skip_leader_stickiness = true;
  CHECK(grants_vote());
}

TEST(Replica, LostDisksAreReplacedOneAfterAnother) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  this->replicas.at(this->Leader())->Propose("kept");
  this->RunFor(Milliseconds(300));
  std::uint64_t incarnation = 10;
  for (const std::string replaced : {"a", "b", "c"}) {
    this->replicas.erase(replaced);
    this->RunFor(Milliseconds(2000));
    this->AddReplica(replaced, ++incarnation);
    this->committed[replaced].clear();
    this->RunFor(Milliseconds(3000));
    CHECK(this->replicas.at(replaced)->IsVoter());
    CHECK_EQUAL(1, this->committed[replaced].size());
  }
}

TEST(Replica, SnapshotBringsLaggingReplicaUpToDate) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  const std::string leader = this->Leader();
  const std::string lagging = leader == "a" ? "b" : "a";
  this->isolated = {lagging};
  for (int i = 0; i < 50; ++i)
    this->replicas.at(leader)->Propose("x");
  this->RunFor(Milliseconds(300));
  Replica& source = *this->replicas.at(leader);
  source.Compact(source.commit_index(), "state");
  this->isolated.clear();
  this->RunFor(Milliseconds(3000));
  STRCMP_EQUAL("state", this->replicas.at(lagging)->snapshot_state().c_str());
  CHECK_EQUAL(source.commit_index(),
              this->replicas.at(lagging)->commit_index());
}

// A new leader does not know which entries its peers have. If their replies are
// slow, sending the whole log would delay heartbeats on the link.
TEST(Replica, LeaderWithoutRepliesDoesNotSendWholeLog) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  const std::string first = this->Leader();
  const std::string large(200'000, 'x');
  for (int i = 0; i < 10; ++i) {
    this->replicas.at(first)->Propose(large);
    this->RunFor(Milliseconds(50));
  }
  this->isolated.insert(first);
  this->RunFor(Milliseconds(3000));
  const std::string second = this->Leader();
  CHECK(second != first);
  // From here on the new leader receives no replies.
  this->sent_bytes.clear();
  for (const std::string& id : {"a", "b", "c"}) {
    if (id != second)
      this->isolated.insert(id);
  }
  this->RunFor(Milliseconds(700));
  CHECK(this->sent_bytes[second] < large.size());
}

// An isolated leader appends entries that are never committed. A later leader
// needs two rejections to find the last entry in common: its log is longer, and
// it differs before the end of the isolated one.
TEST(Replica, ConflictingEntriesAreReplaced) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  const std::string first = this->Leader();
  this->isolated = {first};
  for (int i = 0; i < 5; ++i)
    this->replicas.at(first)->Propose("lost");
  this->RunFor(Milliseconds(3000));
  const std::string second = this->Leader();
  for (int i = 0; i < 10; ++i)
    this->replicas.at(second)->Propose("kept");
  this->RunFor(Milliseconds(300));
  this->replicas.at(second)->TransferLeadership(this->now);
  this->RunFor(Milliseconds(300));
  CHECK(!this->Leader().empty());
  CHECK(this->Leader() != second);
  this->isolated.clear();
  this->RunFor(Milliseconds(2000));
  LONGS_EQUAL(10, this->committed[first].size());
  STRCMP_EQUAL("kept", this->committed[first].front().c_str());
}

// After a restart a replica learns at once that a long log is committed.
// Applying it in one go would hold up its heartbeats.
TEST(Replica, CommittedEntriesAreDeliveredInParts) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  const std::string leader = this->Leader();
  const std::string restarted = leader == "a" ? "b" : "a";
  constexpr std::size_t kEntryBytes = 100'000;
  for (int i = 0; i < 30; ++i) {
    this->replicas.at(leader)->Propose(std::string(kEntryBytes, 'x'));
    this->RunFor(Milliseconds(20));
  }
  this->RunFor(Milliseconds(500));
  StoredReplica stored{.entries = this->replicas.at(restarted)->Entries()};
  stored.hard_state.set_term(this->replicas.at(restarted)->term());
  const std::uint64_t incarnation =
      this->replicas.at(restarted)->self().incarnation;
  this->largest_delivery = 0;
  this->committed[restarted].clear();
  this->AddReplica(restarted, incarnation, stored);
  this->RunFor(Milliseconds(2000));
  LONGS_EQUAL(30, this->committed[restarted].size());
  CHECK(this->largest_delivery < 4 * kEntryBytes);
}

// Entries of the leader's own term are answered for when they are applied; they
// do not stop it from serving while they are delivered.
TEST(Replica, LeaderServesWhileEntriesOfItsTermAreDelivered) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  Replica& leader = *this->replicas.at(this->Leader());
  for (int i = 0; i < 30; ++i)
    leader.Propose(std::string(100'000, 'x'));
  for (int step = 0; step < 100; ++step) {
    this->RunFor(kStep);
    CHECK(leader.IsCaughtUp());
  }
  LONGS_EQUAL(30, this->committed[this->Leader()].size());
}

// A peer that lags behind receives the log in parts; each part is sent after
// the previous one was acknowledged.
TEST(Replica, LongLogIsSentInParts) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  const std::string leader = this->Leader();
  const std::string lagging = leader == "a" ? "b" : "a";
  this->isolated.insert(lagging);
  const std::string large(100'000, 'x');
  for (int i = 0; i < 30; ++i) {
    this->replicas.at(leader)->Propose(large);
    this->RunFor(Milliseconds(20));
  }
  this->largest_message = 0;
  this->isolated.clear();
  this->RunFor(Milliseconds(2000));
  CHECK(this->largest_message < 500'000);
  LONGS_EQUAL(30, this->committed[lagging].size());
}

// 200 Mbit/s, the slowest link between control processes.
constexpr std::size_t kSlowLinkBytesPerStep = 250'000;
constexpr std::size_t kLargeEntryBytes = 12'000'000;

// Guards against a group whose leader is never heard by a majority, since its
// heartbeats wait behind an entry that takes longer than the lease.
TEST(Replica, ALeaderKeepsItsLeaseWhileItSendsALargeEntry) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  this->bytes_per_step = kSlowLinkBytesPerStep;
  const std::string leader = this->Leader();
  const std::uint64_t term = this->replicas.at(leader)->term();
  this->replicas.at(leader)->Propose("before");
  this->replicas.at(leader)->Propose(std::string(kLargeEntryBytes, 'x'));
  this->replicas.at(leader)->Propose("after");
  for (const std::string id : {"a", "b", "c"}) {
    this->RunUntilCommitted(id, 3);
    LONGS_EQUAL(kLargeEntryBytes, this->committed[id][1].size());
    STRCMP_EQUAL("after", this->committed[id][2].c_str());
  }
  LONGS_EQUAL(term, this->replicas.at(leader)->term());
  CHECK(this->largest_message < 500'000);
  // Each peer gets the entry about once.
  CHECK(this->sent_bytes[leader] < 3 * kLargeEntryBytes);
}

TEST(Replica, ALeaderKeepsItsLeaseWhileItSendsALargeSnapshot) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  const std::string leader = this->Leader();
  const std::string state(kLargeEntryBytes, 's');
  const std::string lagging = this->IsolateAndCompact(leader, state);
  Replica& source = *this->replicas.at(leader);
  // The lagging replica decides whether the leader has a majority.
  this->replicas.erase(leader == "c" ? "b" : "c");
  this->bytes_per_step = kSlowLinkBytesPerStep;
  this->isolated.clear();
  this->sent_bytes.clear();
  this->RunFor(Milliseconds(100));
  const std::string current = this->Leader();
  STRCMP_EQUAL(leader.c_str(), current.c_str());
  for (int step = 0; step < 200; ++step) {
    this->RunFor(kStep);
    CHECK(source.HasLease(this->now));
  }
  CHECK(this->replicas.at(lagging)->snapshot_state() == state);
  CHECK(this->sent_bytes[leader] < 2 * kLargeEntryBytes);
  source.Propose("later");
  this->RunUntilCommitted(lagging, 1);
}

// Guards against a replica that never gets a snapshot, as the heartbeats to it
// put off that lost parts are sent again.
TEST(Replica, LostPartsOfASnapshotAreSentAgain) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  const std::string leader = this->Leader();
  const std::string state(kLargeEntryBytes, 's');
  const std::string lagging = this->IsolateAndCompact(leader, state);
  this->bytes_per_step = kSlowLinkBytesPerStep;
  for (int loss = 0; loss < 3; ++loss) {
    this->isolated.clear();
    this->RunFor(Milliseconds(100));
    this->isolated = {lagging};
    this->RunFor(Milliseconds(200));
  }
  CHECK(this->replicas.at(lagging)->snapshot_state().empty());
  this->isolated.clear();
  this->RunFor(Milliseconds(5000));
  CHECK(this->replicas.at(lagging)->snapshot_state() == state);
}

// Guards against a message at each turn of the loop to a peer that is away.
TEST(Replica, APeerThatDoesNotReplyGetsOnlyHeartbeatsForALargeEntry) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  const std::string first = this->Leader();
  const std::string away = first == "a" ? "b" : "a";
  this->isolated = {away};
  this->replicas.at(first)->Propose(std::string(kLargeEntryBytes, 'x'));
  this->RunFor(Milliseconds(500));
  this->replicas.at(first)->TransferLeadership(this->now);
  this->RunFor(Milliseconds(500));
  const std::string leader = this->Leader();
  CHECK(leader != first);
  int messages = 0;
  for (int turn = 0; turn < 100; ++turn) {
    const ReplicaOutput output =
        this->replicas.at(leader)->TakeOutput(this->now);
    messages += static_cast<int>(
        std::ranges::count(output.messages, away, &OutgoingReplicaMessage::to));
  }
  LONGS_EQUAL(0, messages);
}

TEST(Replica, ALargeEntryIsSentAgainToAReplicaThatRestarted) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  const std::string leader = this->Leader();
  const std::string restarted = leader == "a" ? "b" : "a";
  this->bytes_per_step = kSlowLinkBytesPerStep;
  this->replicas.at(leader)->Propose(std::string(kLargeEntryBytes, 'x'));
  this->RunFor(Milliseconds(200));
  LONGS_EQUAL(0, this->committed[restarted].size());
  StoredReplica stored{.entries = this->replicas.at(restarted)->Entries()};
  stored.hard_state.set_term(this->replicas.at(restarted)->term());
  const std::uint64_t incarnation =
      this->replicas.at(restarted)->self().incarnation;
  this->AddReplica(restarted, incarnation, stored);
  this->RunFor(Milliseconds(5000));
  LONGS_EQUAL(1, this->committed[restarted].size());
}

TEST(Replica, ANewLeaderFinishesALargeEntry) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  const std::string first = this->Leader();
  this->bytes_per_step = kSlowLinkBytesPerStep;
  this->replicas.at(first)->Propose(std::string(kLargeEntryBytes, 'x'));
  this->RunFor(Milliseconds(200));
  this->isolated = {first};
  this->RunFor(Milliseconds(3000));
  const std::string second = this->Leader();
  CHECK(second != first);
  this->replicas.at(second)->Propose(std::string(kLargeEntryBytes, 'y'));
  this->RunFor(Milliseconds(200));
  this->isolated.clear();
  this->RunFor(Milliseconds(5000));
  for (const std::string id : {"a", "b", "c"}) {
    LONGS_EQUAL(1, this->committed[id].size());
    CHECK(this->committed[id][0][0] == 'y');
  }
}

TEST(Replica, AReplicaOfAnEarlierVersionGetsALargeEntryWhole) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  const std::string leader = this->Leader();
  for (const std::string id : {"a", "b", "c"}) {
    if (id != leader)
      this->without_parts.insert(id);
  }
  this->replicas.at(leader)->Propose(std::string(kLargeEntryBytes, 'x'));
  this->RunFor(Milliseconds(500));
  for (const std::string id : {"a", "b", "c"})
    LONGS_EQUAL(1, this->committed[id].size());
}

// Guards against a memory limit that is exceeded by a part of a large total.
TEST(Replica, PartsThatDoNotFitTogetherAreIgnored) {
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  const std::string leader = this->Leader();
  const std::string follower = leader == "a" ? "b" : "a";
  Replica& receiver = *this->replicas.at(follower);
  const std::uint64_t last = receiver.last_index();
  wire::ReplicaMessage message;
  message.mutable_from()->set_id(leader);
  message.mutable_from()->set_incarnation(
      this->replicas.at(leader)->self().incarnation);
  message.set_term(receiver.term());
  wire::AppendRequest* request = message.mutable_append_request();
  request->set_previous_index(last);
  request->set_previous_term(receiver.term());
  wire::TransferPart* part = request->mutable_part();
  part->set_index(last + 1);
  part->set_term(receiver.term());
  for (const std::uint64_t total : {UINT64_MAX, std::uint64_t{4}}) {
    part->set_total_bytes(total);
    part->set_data("garbage");
    receiver.Receive(message, this->now);
    const ReplicaOutput output = receiver.TakeOutput(this->now);
    LONGS_EQUAL(0, output.append.size());
    LONGS_EQUAL(
        0, output.messages.back().message.append_reply().held_part_bytes());
  }
}

// A group of the voters d, e and f, whose configured ids name others.
StoredReplica StoredVoter() {
  StoredReplica stored;
  stored.hard_state.set_term(1);
  wire::LogEntry& entry = stored.entries.emplace_back();
  entry.set_index(1);
  entry.set_term(1);
  *entry.mutable_membership() = ToMembership({{.id = "d", .incarnation = 4},
                                              {.id = "e", .incarnation = 5},
                                              {.id = "f", .incarnation = 6}});
  return stored;
}

TEST(Replica, SeedsThatLostTheirDisksLearnWhoLeads) {
  this->open_membership = true;
  this->AddReplica("d", 4, StoredVoter());
  this->AddReplica("e", 5, StoredVoter());
  this->AddReplica("f", 6, StoredVoter());
  this->AddAllReplicas();
  this->RunFor(Milliseconds(3000));
  const std::string leader = this->Leader();
  CHECK(!leader.empty());
  for (const std::string id : {"a", "b", "c"})
    STRCMP_EQUAL(leader.c_str(), this->replicas.at(id)->leader_id().c_str());
}

// Guards against replicas that find no leader as their seeds are not those that
// the leader started with.
TEST(Replica, SeedsThatChangedWhileALeaderRunsLearnWhoLeads) {
  this->open_membership = true;
  this->AddReplica("d", 4, StoredVoter());
  this->AddReplica("e", 5, StoredVoter());
  this->AddReplica("f", 6, StoredVoter());
  this->RunFor(Milliseconds(3000));
  const std::string leader = this->Leader();
  CHECK(!leader.empty());
  for (const std::string id : {"d", "e", "f"})
    this->replicas.at(id)->SetContacts({"g", "h"});
  this->AddReplica("g", 7);
  this->AddReplica("h", 8);
  for (const std::string id : {"g", "h"})
    this->replicas.at(id)->SetContacts({"g", "h"});
  this->RunFor(Milliseconds(3000));
  for (const std::string id : {"g", "h"})
    STRCMP_EQUAL(leader.c_str(), this->replicas.at(id)->leader_id().c_str());
}

// Guards against a group that does not form as its seeds change meanwhile.
TEST(Replica, AGroupFormsOfItsFirstSeedsWhileTheyChange) {
  this->AddAllReplicas();
  this->AddReplica("g", 7);
  for (const std::string id : {"a", "b", "c"})
    this->replicas.at(id)->SetContacts({"b", "g"});
  this->RunFor(Milliseconds(3000));
  CHECK(!this->Leader().empty());
}

TEST(Replica, AVoterThatLostItsDiskFindsTheLeaderWithoutSeeds) {
  this->open_membership = true;
  this->AddReplica("d", 4, StoredVoter());
  this->AddReplica("e", 5, StoredVoter());
  this->AddReplica("f", 7);
  this->RunFor(Milliseconds(3000));
  const std::string leader = this->Leader();
  CHECK(!leader.empty());
  STRCMP_EQUAL(leader.c_str(), this->replicas.at("f")->leader_id().c_str());
}

}  // namespace savoryring
