#include "libtransport/duty_loop.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <thread>

namespace savoryring {
namespace {

constexpr const char* kLoopAddress = "127.0.0.1:27732";
constexpr const char* kPeerAddress = "127.0.0.1:27733";

// Handles the first message slowly; the second one arrives meanwhile.
class SlowHandler : public DutyHandler {
 public:
  SlowHandler() : peer({.bind_address = kPeerAddress, .sender = "peer"}) {}

  void SendFromPeer() {
    this->peer.Send(kLoopAddress, wire::REPLICA_MESSAGE, "body");
  }

  void OnMessage(const Received&, TimePoint) override {
    this->messages += 1;
    if (this->messages > 1)
      return;
    this->SendFromPeer();
    std::this_thread::sleep_for(Milliseconds(300));
  }
  void OnTick(TimePoint) override {
    if (this->messages == 0 || this->has_result)
      return;
    this->has_result = true;
    this->result.set_value(this->messages);
  }
  void OnBatchEnd(TimePoint) override {}

  // The messages handled before the first tick after the slow one.
  int MessagesAtTick() { return this->result.get_future().get(); }

 private:
  Link peer;
  int messages = 0;
  bool has_result = false;
  std::promise<int> result;
};

}  // namespace

TEST_GROUP(DutyLoop){};

// Guards against peers that count as silent since the loop was busy while their
// answers arrived.
TEST(DutyLoop, MessagesThatArriveDuringALongStepAreReadBeforeATick) {
  Link link({.bind_address = kLoopAddress, .sender = "loop"});
  SlowHandler handler;
  DutyLoop loop(link, handler);
  handler.SendFromPeer();
  loop.Start();
  LONGS_EQUAL(2, handler.MessagesAtTick());
  loop.Stop();
}

TEST(DutyLoop, LongWorkOnOtherThreadsWaitsForTheLoop) {
  class Handler : public DutyHandler {
   public:
    void OnMessage(const Received&, TimePoint) override {}
    void OnTick(TimePoint) override {}
    void OnBatchEnd(TimePoint) override { this->iterations += 1; }
    std::atomic<int> iterations = 0;
  };
  Link link({.bind_address = kLoopAddress, .sender = "loop"});
  Handler handler;
  DutyLoop loop(link, handler);
  loop.Start();
  for (int i = 1; i <= 100; ++i) {
    loop.AwaitIteration();
    CHECK(handler.iterations >= i);
  }
  loop.Stop();
  loop.AwaitIteration();
}

}  // namespace savoryring
