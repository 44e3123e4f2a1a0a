// Runs the real cores under seeded schedules of jobs and faults.

#include "testsuite/schedule/job_schedule.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "testsuite/schedule/seeds.h"

namespace savoryring {
namespace {

constexpr Milliseconds kLength{25'000};

void ExpectNoViolation(int controls,
                       const FaultPlan& plan,
                       std::uint64_t count) {
  const std::string violation = FirstViolation(count, [&](std::uint64_t seed) {
    JobSchedule schedule({.seed = seed,
                          .controls = controls,
                          .vms = 0,
                          .entries = 0,
                          .agents = 4,
                          .gateways = 2,
                          .open_membership = true},
                         plan);
    schedule.Run(kLength);
  });
  STRCMP_EQUAL("", violation.c_str());
}

}  // namespace

TEST_GROUP(JobSchedule){};

TEST(JobSchedule, CalmRunDoesAllWork) {
  ExpectNoViolation(3, {}, 3);
}

TEST(JobSchedule, ThreeReplicasUnderAllFaults) {
  ExpectNoViolation(3, AllJobFaults(), 60);
}

TEST(JobSchedule, FiveReplicasUnderAllFaults) {
  ExpectNoViolation(6, AllJobFaults(), 20);
}

TEST(JobSchedule, ALaterCallIsNotDecidedByAnOlderEstate) {
  ExpectNoViolation(3, LeaderFaultsOnOrderedLinks(), 40);
}

TEST(JobSchedule, AgentsThatAreCutOffForLong) {
  ExpectNoViolation(3, LongAgentIsolation(), 20);
}

TEST(JobSchedule, WorkersThatAnswerLateBesideAgentsThatAreCutOff) {
  ExpectNoViolation(3, LongAgentIsolationWithLateCalls(), 20);
}

}  // namespace savoryring
