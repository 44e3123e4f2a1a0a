#include "libtransport/control_client.h"

#include <CppUTest/TestHarness.h>

#include "savoryring/result.h"

namespace savoryring {
namespace {

constexpr Milliseconds kAnswerTimeout{400};
constexpr Milliseconds kNoLeaderTimeout{1200};

wire::ControlReply MakeNotLeaderReply(std::uint64_t id,
                                      const std::string& hint) {
  wire::ControlReply reply;
  reply.set_call_id(id);
  reply.set_result_code(
      static_cast<std::uint32_t>(NumberOf(ResultCode::kNoLeader)));
  reply.set_leader_link(hint);
  return reply;
}

}  // namespace

TEST_GROUP(ControlClient) {
  TimePoint now = TimePoint(std::chrono::seconds(100));
  ControlClient client{{.links = {"a", "b", "c"},
                        .answer_timeout = kAnswerTimeout,
                        .no_leader_timeout = kNoLeaderTimeout}};
  std::vector<wire::ControlReply> delivered;

  void Call(std::uint64_t id, Milliseconds timeout = Milliseconds(3000),
            bool read_only = false) {
    wire::ControlCall call;
    call.set_read_only(read_only);
    call.set_call_id(id);
    call.set_method("JOB");
    this->client.OnCall(call, this->now + timeout, this->now);
  }
  void CallWithBody(std::uint64_t id, std::size_t bytes) {
    wire::ControlCall call;
    call.set_call_id(id);
    call.set_body(std::string(bytes, 'x'));
    this->client.OnCall(call, this->now + Milliseconds(60'000), this->now);
  }
  void ReportProgress(const std::string& link, std::uint64_t id) {
    wire::ControlReply reply;
    reply.set_call_id(id);
    reply.set_in_progress(true);
    this->client.OnReply(link, reply, this->now);
  }
  void Answer(const std::string& link, std::uint64_t id) {
    wire::ControlReply reply;
    reply.set_call_id(id);
    reply.set_status(200);
    this->client.OnReply(link, reply, this->now);
  }
  // A leader's refusal.
  void Refuse(const std::string& link, std::uint64_t id, ResultCode code) {
    wire::ControlReply reply;
    reply.set_call_id(id);
    reply.set_status(static_cast<std::uint32_t>(InfoOf(code).http_status));
    reply.set_result_code(static_cast<std::uint32_t>(NumberOf(code)));
    this->client.OnReply(link, reply, this->now);
  }
  void RejectNotLeader(const std::string& link, std::uint64_t id,
                       const std::string& hint = "") {
    this->client.OnReply(link, MakeNotLeaderReply(id, hint), this->now);
  }
  void Wait(Milliseconds time) {
    for (const TimePoint end = this->now + time; this->now < end;) {
      this->now += Milliseconds(10);
      this->client.OnTick(this->now);
    }
  }
  // What was sent since the last call, as "LINK:ID ...".
  std::string Sent() {
    std::string sent;
    for (const ControlClientEffect& effect : this->client.TakeEffects()) {
      if (const auto* send = std::get_if<SendCall>(&effect)) {
        sent += (sent.empty() ? "" : " ") + send->link + ":" +
                std::to_string(send->call.call_id());
      } else if (const auto* reply = std::get_if<DeliverReply>(&effect)) {
        this->delivered.push_back(reply->reply);
      }
    }
    return sent;
  }
};

TEST(ControlClient, RepliesTellWhyTheCallWaited) {
  this->Call(1);
  this->RejectNotLeader("a", 1);
  this->Wait(Milliseconds(60));
  this->Wait(kAnswerTimeout);
  this->RejectNotLeader("c", 1, "a");
  this->Answer("a", 1);
  STRCMP_EQUAL("a:1 b:1 c:1 a:1", this->Sent().c_str());
  const wire::CallHistory& history = this->delivered.at(0).history();
  LONGS_EQUAL(1, history.no_leader());
  LONGS_EQUAL(1, history.answer_timeouts());
  LONGS_EQUAL(1, history.redirects());
  LONGS_EQUAL(60, history.held_ms());
}

// Call 3 waits at a silent replica when call 4 comes.
TEST(ControlClient, ALaterCallDoesNotOvertakeAHeldCall) {
  this->Call(1);
  this->Answer("a", 1);
  this->Call(2);
  this->Wait(Milliseconds(200));
  this->Call(3);
  this->Wait(Milliseconds(200));
  this->RejectNotLeader("b", 2, "c");
  this->Wait(Milliseconds(10));
  this->Call(4);
  STRCMP_EQUAL("a:1 a:2 a:3 b:2 c:2", this->Sent().c_str());
  this->Answer("c", 2);
  STRCMP_EQUAL("c:3 c:4", this->Sent().c_str());
}

// Guards against an inversion: "b" is named but doesn't serve yet, rejects call
// 2, begins to serve, and decides call 3 before call 2 is sent again.
TEST(ControlClient, OnlyTheOldestCallIsSentToAReplicaThatIsNamed) {
  this->Call(1);
  this->Answer("a", 1);
  this->Call(2);
  this->RejectNotLeader("a", 2, "b");
  this->Call(3);
  STRCMP_EQUAL("a:1 a:2 b:2", this->Sent().c_str());
  this->RejectNotLeader("b", 2);
  this->client.OnLeaderAnnounced("b", this->now);
  STRCMP_EQUAL("b:2", this->Sent().c_str());
  this->Answer("b", 2);
  STRCMP_EQUAL("b:3", this->Sent().c_str());
}

TEST(ControlClient, ALaterCallWaitsWhileNoLeaderIsKnown) {
  this->Call(1);
  this->RejectNotLeader("a", 1);
  this->Call(2);
  this->Wait(Milliseconds(60));
  STRCMP_EQUAL("a:1 b:1", this->Sent().c_str());
  this->Answer("b", 1);
  this->Call(3);
  STRCMP_EQUAL("b:2 b:3", this->Sent().c_str());
}

TEST(ControlClient, ACallThatALeaderMayHaveIsNotCalledRefused) {
  this->Call(1);
  this->Answer("a", 1);
  this->Call(2);
  this->Call(3);
  this->RejectNotLeader("a", 2, "b");
  STRCMP_EQUAL("a:1 a:2 a:3 b:2", this->Sent().c_str());
  this->RejectNotLeader("b", 2);
  // Call 2 was rejected by both, call 3 by none.
  for (int i = 0; i < 20; ++i) {
    this->Wait(Milliseconds(60));
    for (const char* link : {"a", "b", "c"})
      this->RejectNotLeader(link, 2);
  }
  this->Sent();
  LONGS_EQUAL(2, this->delivered.size());
  LONGS_EQUAL(2, this->delivered[1].call_id());
  LONGS_EQUAL(503, this->delivered[1].status());
  this->Wait(Milliseconds(2000));
  this->Sent();
  LONGS_EQUAL(3, this->delivered.size());
  LONGS_EQUAL(504, this->delivered[2].status());
}

// Guards against a job that is called refused and runs: a leader has it and
// dies, and the next one has an estate without its queue.
TEST(ControlClient, ARefusalAfterAnUnansweredSendingLeavesTheOutcomeOpen) {
  this->Call(1);
  this->Wait(kAnswerTimeout);
  this->Refuse("b", 1, ResultCode::kUnknownQueue);
  this->Call(2);
  this->Refuse("b", 2, ResultCode::kUnknownQueue);
  this->Call(3);
  this->Wait(kAnswerTimeout);
  this->Refuse("c", 3, ResultCode::kMalformedJob);
  this->Call(4, Milliseconds(3000), true);
  this->Wait(kAnswerTimeout);
  this->Refuse("a", 4, ResultCode::kUnknownQueue);
  this->Sent();
  LONGS_EQUAL(4, this->delivered.size());
  LONGS_EQUAL(404, this->delivered[3].status());
  LONGS_EQUAL(504, this->delivered[0].status());
  LONGS_EQUAL(NumberOf(ResultCode::kNotCommittedInTime),
              this->delivered[0].result_code());
  LONGS_EQUAL(404, this->delivered[1].status());
  LONGS_EQUAL(400, this->delivered[2].status());
}

TEST(ControlClient, ALateRedirectDoesNotMoveTheCalls) {
  this->Call(1);
  this->Answer("a", 1);
  this->Call(2);
  this->Call(3);
  this->RejectNotLeader("a", 2, "b");
  this->Sent();
  this->RejectNotLeader("a", 3, "c");
  STRCMP_EQUAL("", this->Sent().c_str());
  STRCMP_EQUAL("b", this->client.leader_link().c_str());
}

TEST(ControlClient, ReplicasThatNameEachOtherAreAskedAFewTimesPerDelay) {
  constexpr int kCalls = 10;
  for (std::uint64_t id = 1; id <= kCalls; ++id)
    this->Call(id);
  int sends = 0;
  for (int i = 0; i < 60; ++i) {
    for (const ControlClientEffect& effect : this->client.TakeEffects()) {
      const auto* send = std::get_if<SendCall>(&effect);
      if (send == nullptr)
        continue;
      sends += 1;
      this->RejectNotLeader(send->link, send->call.call_id(),
                            send->link == "a" ? "b" : "a");
    }
    this->Wait(Milliseconds(10));
  }
  // 600 ms, which are ten delays of the election.
  CHECK(sends <= 10 * 4 * kCalls);
}

TEST(ControlClient, ASilentReplicaIsLeftAlthoughTheCallsExpire) {
  for (std::uint64_t id = 1; id <= 5; ++id) {
    this->Call(id, Milliseconds(150));
    this->Wait(Milliseconds(100));
  }
  STRCMP_EQUAL("b", this->client.leader_link().c_str());
}

TEST(ControlClient, ALeaderThatNoSeedKnowsIsFoundByItsAnnouncement) {
  this->Call(1);
  STRCMP_EQUAL("a:1", this->Sent().c_str());
  this->RejectNotLeader("a", 1);
  this->client.OnLeaderAnnounced("d", this->now);
  STRCMP_EQUAL("d:1", this->Sent().c_str());
  this->Answer("d", 1);
  this->client.OnLeaderAnnounced("e", this->now);
  this->Call(2);
  STRCMP_EQUAL("d:2", this->Sent().c_str());
}

// Guards against a configuration that is sent again and again, each time over a
// new connection, while the leader still receives it.
TEST(ControlClient, ALargeCallIsNotSentAgainWhileItIsTransferred) {
  // Takes 4 s at 2 Mbit/s.
  this->CallWithBody(1, 1'000'000);
  this->Wait(Milliseconds(4000));
  STRCMP_EQUAL("a:1", this->Sent().c_str());
  this->Wait(kAnswerTimeout + Milliseconds(10));
  STRCMP_EQUAL("b:1", this->Sent().c_str());
}

TEST(ControlClient, ACallBehindALargeOneWaitsForItsTransfer) {
  this->CallWithBody(1, 1'000'000);
  this->Answer("a", 1);
  this->CallWithBody(2, 1'000'000);
  this->Wait(Milliseconds(3000));
  this->Call(3);
  this->Wait(Milliseconds(1000));
  STRCMP_EQUAL("a:1 a:2 a:3", this->Sent().c_str());
}

// Guards against a call that several leaders work on as the first one takes
// longer than the answer timeout.
TEST(ControlClient, ACallThatItsLeaderWorksOnIsNotSentAgain) {
  this->Call(1, Milliseconds(60'000));
  for (int i = 0; i < 20; ++i) {
    this->Wait(Milliseconds(300));
    this->ReportProgress("a", 1);
  }
  STRCMP_EQUAL("a:1", this->Sent().c_str());
  LONGS_EQUAL(0, this->delivered.size());
  this->Wait(kAnswerTimeout);
  STRCMP_EQUAL("b:1", this->Sent().c_str());
  this->ReportProgress("a", 1);
  this->Wait(kAnswerTimeout);
  STRCMP_EQUAL("c:1", this->Sent().c_str());
}

TEST(ControlClient, AReplicaThatWorksOnACallIsTheLeader) {
  this->Call(1);
  this->Call(2);
  STRCMP_EQUAL("a:1", this->Sent().c_str());
  this->ReportProgress("a", 1);
  STRCMP_EQUAL("a:2", this->Sent().c_str());
}

// A late copy of a call without a version could undo a later one.
TEST(ControlClient, ACallOnAZoneWithAnUnknownOutcomeIsNotSentAgain) {
  this->Call(1);
  this->Answer("a", 1);
  wire::ControlCall call;
  call.set_call_id(2);
  call.set_method("POST");
  call.set_path("/zones/z1/evacuation");
  this->client.OnCall(call, this->now + Milliseconds(3000), this->now);
  this->Wait(kAnswerTimeout);
  this->Wait(Milliseconds(100));
  STRCMP_EQUAL("a:1 a:2", this->Sent().c_str());
  LONGS_EQUAL(2, this->delivered.size());
  LONGS_EQUAL(NumberOf(ResultCode::kNotCommittedInTime),
              this->delivered.back().result_code());
}

TEST(ControlClient, ACallOnAZoneThatNoLeaderHasIsSentAgain) {
  wire::ControlCall call;
  call.set_call_id(1);
  call.set_method("DELETE");
  call.set_path("/zones/z1/evacuation");
  this->client.OnCall(call, this->now + Milliseconds(3000), this->now);
  this->RejectNotLeader("a", 1, "b");
  STRCMP_EQUAL("a:1 b:1", this->Sent().c_str());
}

TEST(ControlClient, ARefusalForOverloadIsDeliveredWithItsTime) {
  this->Call(1);
  const auto effects = this->client.TakeEffects();
  CHECK(std::get<SendCall>(effects.at(0)).call.may_refuse());
  wire::ControlReply reply;
  reply.set_call_id(1);
  reply.set_status(503);
  reply.set_result_code(
      static_cast<std::uint32_t>(NumberOf(ResultCode::kOverloaded)));
  reply.set_retry_after_ms(7000);
  this->client.OnReply("a", reply, this->now);
  this->Sent();
  LONGS_EQUAL(NumberOf(ResultCode::kOverloaded),
              this->delivered.at(0).result_code());
  LONGS_EQUAL(7000, this->delivered.at(0).retry_after_ms());
}

// Guards against a caller that is told that its job does not run while an
// earlier copy of its call is accepted.
TEST(ControlClient, ACallThatMayBeAcceptedIsNotRefusedForOverload) {
  this->Call(1);
  this->Answer("a", 1);
  this->Call(2);
  this->Sent();
  this->Wait(kAnswerTimeout);
  bool may_refuse = true;
  for (const ControlClientEffect& effect : this->client.TakeEffects()) {
    if (const auto* send = std::get_if<SendCall>(&effect))
      may_refuse = send->call.may_refuse();
  }
  CHECK(!may_refuse);
  this->Refuse("b", 2, ResultCode::kOverloaded);
  this->Sent();
  LONGS_EQUAL(NumberOf(ResultCode::kNotCommittedInTime),
              this->delivered.at(1).result_code());
}

// A redirection proves that nobody has accepted the call.
TEST(ControlClient, ARedirectedCallMayBeRefusedForOverload) {
  this->Call(1);
  this->Sent();
  this->RejectNotLeader("a", 1, "b");
  const auto effects = this->client.TakeEffects();
  CHECK(std::get<SendCall>(effects.at(0)).call.may_refuse());
  this->Refuse("b", 1, ResultCode::kOverloaded);
  this->Sent();
  LONGS_EQUAL(NumberOf(ResultCode::kOverloaded),
              this->delivered.at(0).result_code());
}

}  // namespace savoryring
