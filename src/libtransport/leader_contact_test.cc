#include "libtransport/leader_contact.h"

#include <CppUTest/TestHarness.h>

namespace savoryring {

TEST_GROUP(LeaderContact) {
  TimePoint now = TimePoint(std::chrono::seconds(100));
  LeaderContact contact{{"a", "b", "c"}};
};

TEST(LeaderContact, FollowsAHintAndStaysWithTheLeader) {
  this->contact.OnSent(this->now);
  this->contact.OnNotLeader("a", "c");
  STRCMP_EQUAL("c", this->contact.link().c_str());
  CHECK(this->contact.OnAnswer("c"));
  CHECK(!this->contact.OnAnswer("c"));
  CHECK(this->contact.IsLeaderResponding());
  STRCMP_EQUAL("c", this->contact.link().c_str());
}

TEST(LeaderContact, TriesTheNextReplicaWithoutAHint) {
  this->contact.OnNotLeader("a", "");
  STRCMP_EQUAL("b", this->contact.link().c_str());
  // A late answer of a replica that is no longer current has no effect.
  this->contact.OnNotLeader("a", "");
  STRCMP_EQUAL("b", this->contact.link().c_str());
}

TEST(LeaderContact, TriesTheNextReplicaAfterATimeout) {
  this->contact.OnSent(this->now);
  this->contact.OnSent(this->now + Milliseconds(300));
  STRCMP_EQUAL(
      "",
      this->contact.TakeUnresponsive(this->now + Milliseconds(399)).c_str());
  STRCMP_EQUAL(
      "a",
      this->contact.TakeUnresponsive(this->now + Milliseconds(400)).c_str());
  STRCMP_EQUAL("b", this->contact.link().c_str());
  STRCMP_EQUAL(
      "",
      this->contact.TakeUnresponsive(this->now + Milliseconds(900)).c_str());
}

TEST(LeaderContact, AddedReplicasAreTried) {
  this->contact.Add({"d"});
  for (int i = 0; i < 3; ++i)
    this->contact.OnNotLeader(this->contact.link(), "");
  STRCMP_EQUAL("d", this->contact.link().c_str());
}

}  // namespace savoryring
