// Each mechanism is switched off in turn: the schedules must then find a broken
// promise. A mechanism that nothing misses would not be proved by them.

#include <CppUTest/TestHarness.h>

#include <string>

#include "testsuite/schedule/schedule.h"

namespace savoryring {
namespace {

constexpr Milliseconds kLength{25'000};

constexpr std::uint64_t kMostSeeds = 120;

// Whether a schedule with the mutations ends with a violation that begins with
// `expected`. Seeds whose schedule breaks another promise first are passed.
bool FindsViolation(const Mutations& mutations, const std::string& expected) {
  for (std::uint64_t seed = 1; seed <= kMostSeeds; ++seed) {
    try {
      Schedule schedule({.seed = seed, .mutations = mutations}, AllFaults());
      schedule.Run(kLength);
    } catch (const Violation& violation) {
      if (std::string(violation.what()).starts_with(expected))
        return true;
    }
  }
  return false;
}

}  // namespace

TEST_GROUP(Mutation){};

TEST(Mutation, VotesThatAreNotStored) {
  CHECK(FindsViolation({.replica = {.skip_vote_sync = true}}, "log"));
}

TEST(Mutation, AnEmptyDiskThatVotes) {
  CHECK(FindsViolation(
      {.replica = {.empty_disk_votes = true}, .keep_disk_identity = true},
      "log"));
}

TEST(Mutation, RecordsAcknowledgedBeforeTheyAreStored) {
  CHECK(FindsViolation({.reply_before_sync = true}, "log"));
}

TEST(Mutation, ANewLeaderThatDoesNotWaitForOldLeases) {
  CHECK(
      FindsViolation({.watch = {.skip_predecessor_wait = true}}, "two places"));
}

TEST(Mutation, ARestartedProcessThatStartsTasksAgain) {
  CHECK(FindsViolation({.runner = {.restart_unknown = true}}, "doubled"));
}

TEST(Mutation, BarsThatAreIgnored) {
  CHECK(FindsViolation({.admission = {.ignore_bars = true}}, "at most once"));
}

TEST(Mutation, ClosedAttemptsThatAreForgotten) {
  CHECK(
      FindsViolation({.admission = {.forget_attempts = true}}, "at most once"));
}

TEST(Mutation, ALeavingEndpointThatAccepts) {
  CHECK(
      FindsViolation({.admission = {.accept_while_leaving = true}}, "leaving"));
}

TEST(Mutation, RetriesWhileInDoubt) {
  CHECK(FindsViolation({.router = {.retry_in_doubt = true}}, "at most once"));
}

TEST(Mutation, KeysThatAreNotClaimed) {
  CHECK(FindsViolation({.router = {.skip_claims = true}}, "at most once"));
}

TEST(Mutation, DoubtThatIsCalledNotRun) {
  CHECK(FindsViolation({.router = {.doubt_is_not_run = true}}, "not run"));
}

}  // namespace savoryring
