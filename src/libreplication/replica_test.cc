#include "libreplication/replica.h"

#include <CppUTest/TestHarness.h>

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
      const bool lost = this->isolated.contains(id) ||
                        this->isolated.contains(outgoing.to) ||
                        !this->replicas.contains(outgoing.to);
      if (!lost)
        this->replicas.at(outgoing.to)->Receive(outgoing.message, this->now);
    }
  }

  void RunFor(Milliseconds length) {
    const TimePoint end = this->now + length;
    while (this->now < end) {
      this->now += kStep;
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
