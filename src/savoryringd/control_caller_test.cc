#include "savoryringd/control_caller.h"

// After the header above, as it redefines `new`.
#include <CppUTest/TestHarness.h>

namespace savoryring {

TEST_GROUP(ControlCaller) {
  TimePoint now = TimePoint(std::chrono::hours(1));
  // Nothing listens at the replica's address, so no call is answered.
  Link link{{.bind_address = "127.0.0.1:27712", .sender = "gateway"}};
  ControlCaller caller{this->link, {.links = {"127.0.0.1:27713"}}};
  std::uint32_t status = 0;

  void Call(Milliseconds timeout) {
    wire::ControlCall call;
    call.set_method("JOB");
    this->caller.Call(std::move(call), this->now + timeout, this->now,
                      [this](const wire::ControlReply& reply) {
                        this->status = reply.status();
                      });
  }
  void Wait(Milliseconds time) {
    this->now += time;
    this->caller.OnTick(this->now);
    this->caller.RunEffects();
  }
};

TEST(ControlCaller,
     ACallThatIsOpenWhenTheProcessLeavesIsAnsweredBeforeItStops) {
  this->Call(Milliseconds(20'000));
  this->caller.LimitDeadlines(this->now + Milliseconds(4500));
  this->Wait(Milliseconds(4499));
  LONGS_EQUAL(0, this->status);
  this->Wait(Milliseconds(1));
  LONGS_EQUAL(504, this->status);
}

TEST(ControlCaller,
     ACallThatIsSentWhileTheProcessLeavesIsAnsweredBeforeItStops) {
  this->caller.LimitDeadlines(this->now + Milliseconds(4500));
  this->Wait(Milliseconds(2270));
  this->Call(Milliseconds(2850));
  this->Wait(Milliseconds(2229));
  LONGS_EQUAL(0, this->status);
  this->Wait(Milliseconds(1));
  LONGS_EQUAL(504, this->status);
}

}  // namespace savoryring
