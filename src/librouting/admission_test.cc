#include "librouting/admission.h"

#include <CppUTest/TestHarness.h>

namespace savoryring {

TEST_GROUP(Admission) {
  TimePoint now = TimePoint(std::chrono::hours(1));
  Admission admission{{.incarnation = 5, .queue_per_slot = 2}};

  void setup() override {
    this->admission.OnLocalEndpoint(
        {.service = "s",
         .slots = 1,
         .valid_until = this->now + Milliseconds(60'000)},
        this->now);
  }
  AttemptKey Key(std::uint64_t counter) {
    return {.entry = "e", .entry_incarnation = 1, .counter = counter};
  }
  // Returns the state that is reported for the arrival, or ATTEMPT_UNKNOWN if
  // there is no report.
  wire::AttemptState Arrive(std::uint64_t counter, Milliseconds remaining,
                            std::uint64_t incarnation = 5,
                            std::uint64_t oldest_open = 0) {
    this->admission.TakeEffects();
    this->admission.OnAttempt({.key = this->Key(counter),
                               .oldest_open = oldest_open,
                               .endpoint_incarnation = incarnation,
                               .service = "s",
                               .deadline = this->now + remaining},
                              this->now);
    return this->LastReported();
  }
  wire::AttemptState LastReported() {
    wire::AttemptState state = wire::ATTEMPT_UNKNOWN;
    for (const AdmissionEffect& effect : this->admission.TakeEffects()) {
      if (const auto* report = std::get_if<ReportAttempt>(&effect))
        state = report->state;
    }
    return state;
  }
  wire::AttemptState Revoke(std::uint64_t counter) {
    this->admission.OnRevocation(this->Key(counter), 5, this->now);
    return this->LastReported();
  }
};

TEST(Admission, StartsQueuesAndRefusesByLoad) {
  const Milliseconds long_time(1000);
  CHECK(this->Arrive(1, long_time) == wire::ATTEMPT_STARTED);
  CHECK(this->Arrive(2, long_time) == wire::ATTEMPT_QUEUED);
  CHECK(this->Arrive(3, long_time) == wire::ATTEMPT_QUEUED);
  CHECK(this->Arrive(4, long_time) == wire::ATTEMPT_REFUSED);
}

TEST(Admission, TheEarliestDeadlineStartsFirst) {
  this->Arrive(1, Milliseconds(1000));
  this->Arrive(2, Milliseconds(900));
  this->Arrive(3, Milliseconds(300));
  this->admission.OnRunEnded(this->Key(1), true, this->now);
  std::uint64_t started = 0;
  for (const AdmissionEffect& effect : this->admission.TakeEffects()) {
    if (const auto* run = std::get_if<RunAttempt>(&effect))
      started = run->key.counter;
  }
  CHECK_EQUAL(3, started);
}

TEST(Admission, ARevokedAttemptNeverRuns) {
  CHECK(this->Revoke(1) == wire::ATTEMPT_BARRED);
  this->now += Milliseconds(300'000);
  this->admission.OnTick(this->now);
  this->setup();
  CHECK(this->Arrive(1, Milliseconds(1000)) == wire::ATTEMPT_BARRED);
}

TEST(Admission, RevocationDequeuesAWaitingAttemptButNotARunningOne) {
  this->Arrive(1, Milliseconds(1000));
  this->Arrive(2, Milliseconds(1000));
  CHECK(this->Revoke(2) == wire::ATTEMPT_BARRED);
  CHECK(this->Revoke(1) == wire::ATTEMPT_STARTED);
  this->admission.OnRunEnded(this->Key(1), true, this->now);
  CHECK(this->admission.IsIdle());
}

TEST(Admission, ADuplicateAttemptRunsOnce) {
  this->Arrive(1, Milliseconds(1000));
  this->admission.OnRunEnded(this->Key(1), true, this->now);
  CHECK(this->Arrive(1, Milliseconds(1000)) == wire::ATTEMPT_ANSWERED);
}

TEST(Admission, AnAttemptClosedByItsEntryIsIgnored) {
  this->Arrive(7, Milliseconds(1000), 5, 7);
  CHECK(this->Arrive(3, Milliseconds(1000)) == wire::ATTEMPT_UNKNOWN);
}

TEST(Admission, AnAttemptForAnotherIncarnationIsNotReportedAsNotRun) {
  CHECK(this->Arrive(1, Milliseconds(1000), 4) == wire::ATTEMPT_FOREIGN);
}

TEST(Admission, ALeavingEndpointRefusesAndFinishesWhatItHas) {
  this->Arrive(1, Milliseconds(1000));
  this->admission.Leave(this->now);
  CHECK(this->Arrive(2, Milliseconds(1000)) == wire::ATTEMPT_REFUSED);
  CHECK(!this->admission.IsIdle());
  this->admission.OnRunEnded(this->Key(1), true, this->now);
  CHECK(this->LastReported() == wire::ATTEMPT_ANSWERED);
  CHECK(this->admission.IsIdle());
}

TEST(Admission, AWaitingAttemptIsRefusedWhenItsDeadlinePasses) {
  this->Arrive(1, Milliseconds(1000));
  this->Arrive(2, Milliseconds(100));
  this->now += Milliseconds(200);
  this->admission.OnTick(this->now);
  CHECK(this->LastReported() == wire::ATTEMPT_REFUSED);
}

}  // namespace savoryring
