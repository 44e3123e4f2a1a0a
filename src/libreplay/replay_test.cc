#include "libreplay/replay.h"

#include <CppUTest/TestHarness.h>

#include "savoryring/result.h"

namespace savoryring {
namespace {

constexpr const char* kSmall = R"(
weights 0.6 0.2 0.2
team steel 64 64000
worker vm-1 rack-1 telavi 8 16000
worker vm-2 rack-1 telavi 8 16000
service gauge 50 20 vm-1
slowdown gauge noisy 0.6
)";

std::string Small(const std::string& events) {
  return std::string(kSmall) + events + "end 20000\n";
}

}  // namespace

TEST_GROUP(Replay){};

TEST(Replay, ReportsEveryInvalidLineOfATrace) {
  try {
    ParseTrace("worker\ncook eggs\nat 5 dance\n");
    FAIL("the invalid trace was accepted");
  } catch (const Error& failure) {
    CHECK_EQUAL(3, failure.problems().size());
    STRCMP_EQUAL("/line/2", failure.problems()[0].pointer.c_str());
  }
}

TEST(Replay, AJobThatFitsNowhereIsParkedAndTheRestRuns) {
  const Trace trace =
      ParseTrace(Small("at 0 task big steel report 12 100 1000\n"
                       "at 0 task small steel report 1 100 1000\n"));
  const ReplayReport report = RunReplay(trace, {});
  CHECK_EQUAL(1, report.parked);
  CHECK_EQUAL(1, report.finished);
}

TEST(Replay, AnUrgentTaskStartsInTimeOnAFullEstate) {
  const Trace trace =
      ParseTrace(Small("at 0 task a steel report 8 100 60000\n"
                       "at 0 task b steel report 8 100 60000\n"
                       "at 5000 task now steel report 2 100 1000 urgent\n"));
  const ReplayReport report = RunReplay(trace, {});
  CHECK(report.longest_urgent_wait <= Milliseconds(2400));
  CHECK(report.longest_urgent_wait > Milliseconds(0));
  const ReplayReport without = RunReplay(trace, {.use_preemption = false});
  CHECK_EQUAL(0, without.evictions);
}

TEST(Replay, LearnsToPlaceANoisyTaskAwayFromTheServiceItSlows) {
  std::string events;
  for (int i = 0; i < 6; ++i) {
    events += "at " + std::to_string(i * 2500) + " task n" + std::to_string(i) +
              " steel noisy 3 100 2000\n";
  }
  const Trace trace = ParseTrace(Small(events));
  const ReplayReport learned = RunReplay(trace, {});
  const ReplayReport first_fit = RunReplay(
      trace,
      {.first_fit = true, .mitigation = {.policy = MitigationPolicy::kNone}});
  CHECK(learned.late_share < first_fit.late_share);
  CHECK(learned.capacity_kept && learned.one_place_kept);
}

TEST(Replay, TheSameTraceGivesTheSameSession) {
  const Trace trace =
      ParseTrace(Small("at 0 task a steel noisy 3 100 2000\n"
                       "at 10 lose vm-2\nat 9000 back vm-2\n"));
  CHECK(RunReplay(trace, {}).session == RunReplay(trace, {}).session);
}

}  // namespace savoryring
