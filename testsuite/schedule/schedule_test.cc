// Seeded schedules over the real cores. A failing seed is run alone by
//   SAVORYRING_SEED=N build/bin/schedule_test -n NAME

#include "testsuite/schedule/schedule.h"

#include <CppUTest/TestHarness.h>
#include <stdlib.h>

#include <string>

namespace savoryring {
namespace {

constexpr Milliseconds kLength{25'000};

struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 1;
};

SeedRange Seeds(std::uint64_t count) {
  const char* only = getenv("SAVORYRING_SEED");
  if (only == nullptr)
    return {.first = 1, .last = count};
  const std::uint64_t seed = std::stoull(only);
  return {.first = seed, .last = seed};
}

// The violation that a schedule ends with, or an empty string.
std::string RunOne(ScheduleOptions options,
                   const FaultPlan& plan,
                   std::uint64_t seed) {
  options.seed = seed;
  try {
    Schedule schedule(options, plan);
    schedule.Run(kLength);
    return "";
  } catch (const std::exception& failure) {
    return failure.what();
  }
}

void ExpectNoViolation(const ScheduleOptions& options,
                       const FaultPlan& plan,
                       std::uint64_t count) {
  const SeedRange seeds = Seeds(count);
  for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
    const std::string violation = RunOne(options, plan, seed);
    if (!violation.empty())
      FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
  }
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
