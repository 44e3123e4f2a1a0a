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

  void Call(std::uint64_t id, Milliseconds timeout = Milliseconds(3000)) {
    wire::ControlCall call;
    call.set_call_id(id);
    call.set_method("JOB");
    this->client.OnCall(call, this->now + timeout, this->now);
  }
  void Answer(const std::string& link, std::uint64_t id) {
    wire::ControlReply reply;
    reply.set_call_id(id);
    reply.set_status(200);
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

}  // namespace savoryring
