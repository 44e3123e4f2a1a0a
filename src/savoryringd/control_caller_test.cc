#include "savoryringd/control_caller.h"

#include <optional>
#include <string>
#include <utility>

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

// A replica that is busy with a large call for so long that the messages beside
// the call go unanswered: their connection is replaced.
TEST(ControlCaller, ACallOutlivesTheReplacementOfTheConnectionForMessages) {
  const std::string address = "127.0.0.1:27714";
  Link replica({.bind_address = address, .sender = "replica"});
  ControlCaller caller_of_replica(this->link, {.links = {address}});
  bool replied = false;
  wire::ControlCall call;
  call.set_method("ESTATE");
  call.set_body(std::string(1U << 20U, 'x'));
  caller_of_replica.Call(
      std::move(call), this->now + Milliseconds(20'000), this->now,
      [&replied](const wire::ControlReply&) { replied = true; });
  caller_of_replica.RunEffects();
  this->link.Send(address, wire::REPLICA_MESSAGE, "");
  std::optional<Received> received;
  for (int i = 0; i < 100 && !received; ++i) {
    for (const Received& message : replica.Poll(Milliseconds(100))) {
      if (message.envelope.kind() == wire::CONTROL_CALL)
        received = message;
    }
  }
  CHECK(received.has_value());
  this->link.ReplaceConnection(address);
  wire::ControlCall received_call;
  CHECK(received_call.ParseFromString(received->envelope.body()));
  wire::ControlReply reply;
  reply.set_call_id(received_call.call_id());
  reply.set_status(200);
  replica.Reply(received->origin, wire::CONTROL_REPLY,
                reply.SerializeAsString());
  for (int i = 0; i < 100 && !replied; ++i) {
    for (const Received& message : this->link.Poll(Milliseconds(100)))
      caller_of_replica.OnReply(message, this->now);
    caller_of_replica.RunEffects();
  }
  CHECK(replied);
}

}  // namespace savoryring
