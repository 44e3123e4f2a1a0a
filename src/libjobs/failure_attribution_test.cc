#include "libjobs/failure_attribution.h"

#include <CppUTest/TestHarness.h>

namespace savoryring {

TEST_GROUP(FailureAttribution) {
  FailureAttribution attribution;
};

TEST(FailureAttribution, FailuresOfSeveralJobsCountAgainstTheWorker) {
  this->attribution.OnFailed("a", "j");
  this->attribution.OnFailed("a", "j");
  this->attribution.OnFailed("a", "k");
  LONGS_EQUAL(2, this->attribution.CountFailedJobs("a"));
  this->attribution.OnSucceeded("a", "l");
  LONGS_EQUAL(0, this->attribution.CountFailedJobs("a"));
}

TEST(FailureAttribution, AJobThatFailsOnSeveralWorkersAccusesNone) {
  this->attribution.OnFailed("a", "bad");
  this->attribution.OnFailed("c", "bad");
  this->attribution.OnFailed("b", "bad");
  for (const char* agent : {"a", "b", "c"})
    LONGS_EQUAL(0, this->attribution.CountFailedJobs(agent));
}

TEST(FailureAttribution, AJobThatSucceedsAccusesTheWorkersItFailedOn) {
  this->attribution.OnFailed("a", "j");
  this->attribution.OnFailed("b", "j");
  this->attribution.OnSucceeded("c", "j");
  LONGS_EQUAL(1, this->attribution.CountFailedJobs("a"));
  LONGS_EQUAL(1, this->attribution.CountFailedJobs("b"));
}

TEST(FailureAttribution, TheFailuresOfASuspectEndWithItsJob) {
  this->attribution.OnFailed("a", "j");
  this->attribution.OnFailed("a", "bad");
  this->attribution.OnFailed("b", "bad");
  this->attribution.OnJobEnded("j");
  this->attribution.OnJobEnded("bad");
  LONGS_EQUAL(1, this->attribution.CountFailedJobs("a"));
  LONGS_EQUAL(0, this->attribution.CountFailedJobs("b"));
}

TEST(FailureAttribution, TasksOfAJobThatFailOnSeveralWorkersAccuseNone) {
  this->attribution.OnFailed("a", "bad");
  this->attribution.OnFailed("b", "bad");
  LONGS_EQUAL(0, this->attribution.CountFailedJobs("a"));
  LONGS_EQUAL(0, this->attribution.CountFailedJobs("b"));
}

TEST(FailureAttribution, ALastingJobIsNoSuspectOnceItRan) {
  for (const char* job : {"w-1", "w-2", "w-3"}) {
    this->attribution.OnFailed("x", job);
    this->attribution.OnFailed("y", job);
    this->attribution.OnSucceeded("z", job);
  }
  for (const char* job : {"w-1", "w-2", "w-3"})
    this->attribution.OnFailed("bad", job);
  LONGS_EQUAL(3, this->attribution.CountFailedJobs("bad"));
}

TEST(FailureAttribution, AJobHasFailedOnAWorkerUntilItSucceedsThere) {
  this->attribution.OnFailed("a", "j");
  this->attribution.OnSucceeded("b", "j");
  CHECK(this->attribution.HasFailedOn("j", "a"));
  CHECK(!this->attribution.HasFailedOn("j", "b"));
  this->attribution.OnSucceeded("a", "j");
  CHECK(!this->attribution.HasFailedOn("j", "a"));
}

TEST(FailureAttribution, AtMostHalfOfTheWorkersAreAtFault) {
  const std::set<std::string> agents = {"a", "b", "c", "d", "e"};
  for (const std::string& agent : agents) {
    for (const char* job : {"-1", "-2", "-3"})
      this->attribution.OnFailed(agent, agent + job);
  }
  this->attribution.OnFailed("d", "d-4");
  std::string at_fault;
  for (const std::string& agent : agents)
    at_fault += this->attribution.IsAtFault(agent, agents, 3) ? agent : "";
  STRCMP_EQUAL("ad", at_fault.c_str());
  CHECK(this->attribution.IsAtFault("e", {"e"}, 3));
  CHECK(!this->attribution.IsAtFault("e", {"e"}, 4));
}

TEST(FailureAttribution, FailedRunsOfSuspectsAreKeptUntilARunSucceeds) {
  this->attribution.OnFailed("a", "bad");
  this->attribution.OnFailed("b", "bad");
  this->attribution.OnJobEnded("bad");
  LONGS_EQUAL(1, this->attribution.CountFailedRuns("a"));
  LONGS_EQUAL(0, this->attribution.CountFailedRuns("c"));
  this->attribution.OnSucceeded("a", "j");
  LONGS_EQUAL(0, this->attribution.CountFailedRuns("a"));
}

}  // namespace savoryring
