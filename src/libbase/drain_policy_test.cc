#include "libbase/drain_policy.h"

#include <CppUTest/TestHarness.h>

namespace savoryring {

TEST_GROUP(DrainPolicy) {
  const TimePoint sigterm = TimePoint(std::chrono::seconds(100));
  const TimePoint end = this->sigterm + Milliseconds(5000);
  DrainPolicy policy;
};

TEST(DrainPolicy, LimitsNothingWhileTheProcessServes) {
  CHECK(this->policy.AcceptsCall(this->end));
  CHECK(this->policy.AnswerDeadline(this->end) == this->end);
  CHECK(this->policy.AnswerDeadline(kNever) == kNever);
}

TEST(DrainPolicy, NoCallIsHeldUntilTheDrainEnds) {
  this->policy.Begin(this->sigterm, this->end);
  const TimePoint sent = this->sigterm + Milliseconds(2270);
  CHECK(this->policy.AcceptsCall(sent));
  CHECK(this->policy.AnswerDeadline(sent + Milliseconds(2850)) ==
        this->end - Milliseconds(500));
  CHECK(this->policy.AnswerDeadline(sent + Milliseconds(1000)) ==
        sent + Milliseconds(1000));
}

TEST(DrainPolicy, ACallThatCannotBeAnsweredInTimeIsRefused) {
  this->policy.Begin(this->sigterm, this->end);
  CHECK(this->policy.AcceptsCall(this->end - Milliseconds(901)));
  CHECK(!this->policy.AcceptsCall(this->end - Milliseconds(900)));
  CHECK(!this->policy.AcceptsCall(this->end));
}

TEST(DrainPolicy, AProcessThatIsAboutToStopRefusesCalls) {
  this->policy.Begin(this->sigterm, this->end);
  this->policy.RefuseNewCalls();
  CHECK(!this->policy.AcceptsCall(this->sigterm));
  CHECK(this->policy.AnswerDeadline(this->end) ==
        this->end - Milliseconds(500));
}

TEST(DrainPolicy, AShortDrainLeavesOpenCallsHalfOfIt) {
  this->policy.Begin(this->sigterm, this->sigterm + Milliseconds(300));
  CHECK(this->policy.AnswerDeadline(kNever) ==
        this->sigterm + Milliseconds(150));
  CHECK(!this->policy.AcceptsCall(this->sigterm));
}

}  // namespace savoryring
