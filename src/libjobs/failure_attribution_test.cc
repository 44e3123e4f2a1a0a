#include "libjobs/failure_attribution.h"

#include <CppUTest/TestHarness.h>

namespace savoryring {

TEST_GROUP(FailureAttribution) {
  FailureAttribution attribution;

  TaskKey Task(std::uint64_t sequence, std::uint32_t index = 0) {
    return {.step = {.sequence = sequence}, .index = index};
  }
};

TEST(FailureAttribution, FailuresOfSeveralJobsCountAgainstTheWorker) {
  this->attribution.OnFailed("a", "j", this->Task(1));
  this->attribution.OnFailed("a", "j", this->Task(1, 1));
  this->attribution.OnFailed("a", "k", this->Task(2));
  LONGS_EQUAL(2, this->attribution.CountFailedJobs("a"));
  this->attribution.OnDone("a", "l", this->Task(3));
  LONGS_EQUAL(0, this->attribution.CountFailedJobs("a"));
}

TEST(FailureAttribution, AJobThatFailsOnSeveralWorkersAccusesNone) {
  this->attribution.OnFailed("a", "bad", this->Task(1));
  this->attribution.OnFailed("c", "bad", this->Task(1, 1));
  this->attribution.OnFailed("b", "bad", this->Task(1));
  for (const char* agent : {"a", "b", "c"})
    LONGS_EQUAL(0, this->attribution.CountFailedJobs(agent));
}

TEST(FailureAttribution, ATaskThatIsDoneAccusesTheWorkersItFailedOn) {
  this->attribution.OnFailed("a", "j", this->Task(1));
  this->attribution.OnFailed("b", "j", this->Task(1));
  this->attribution.OnDone("c", "j", this->Task(1));
  LONGS_EQUAL(1, this->attribution.CountFailedJobs("a"));
  LONGS_EQUAL(1, this->attribution.CountFailedJobs("b"));
}

TEST(FailureAttribution, TheFailuresOfASuspectEndWithItsJob) {
  this->attribution.OnFailed("a", "j", this->Task(1));
  this->attribution.OnFailed("a", "bad", this->Task(2));
  this->attribution.OnFailed("b", "bad", this->Task(2));
  this->attribution.OnJobEnded("j");
  this->attribution.OnJobEnded("bad");
  LONGS_EQUAL(1, this->attribution.CountFailedJobs("a"));
  LONGS_EQUAL(0, this->attribution.CountFailedJobs("b"));
}

}  // namespace savoryring
