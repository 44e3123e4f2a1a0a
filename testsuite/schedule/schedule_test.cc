// Runs the real cores under seeded schedules of load and faults.

#include "testsuite/schedule/schedule.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "testsuite/schedule/seeds.h"

namespace savoryring {
namespace {

constexpr Milliseconds kLength{25'000};

void ExpectNoViolation(ScheduleOptions options,
                       const FaultPlan& plan,
                       std::uint64_t count) {
  const std::string violation = FirstViolation(count, [&](std::uint64_t seed) {
    options.seed = seed;
    Schedule schedule(options, plan);
    schedule.Run(kLength);
  });
  STRCMP_EQUAL("", violation.c_str());
}

}  // namespace

TEST_GROUP(Schedule){};

TEST(Schedule, CalmRunDoesAllWork) {
  ExpectNoViolation({}, {}, 3);
}

TEST(Schedule, ThreeReplicasUnderAllFaults) {
  ExpectNoViolation({}, AllFaults(), 60);
}

TEST(Schedule, FiveReplicasUnderAllFaults) {
  ExpectNoViolation({.controls = 5}, AllFaults(), 20);
}

}  // namespace savoryring
