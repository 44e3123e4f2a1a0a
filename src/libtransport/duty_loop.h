/// The one thread that owns a duty's state: it reads the link, runs what
/// other threads post, and ticks.
#ifndef SAVORYRING_LIBTRANSPORT_DUTY_LOOP_H_
#define SAVORYRING_LIBTRANSPORT_DUTY_LOOP_H_

#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "libtransport/link.h"
#include "savoryring/time.h"

namespace savoryring {

/// What a duty does with its inputs. Every call comes on the loop's thread.
class DutyHandler {
 public:
  virtual ~DutyHandler() = default;
  virtual void OnMessage(const Received& message, TimePoint now) = 0;
  virtual void OnTick(TimePoint now) = 0;
  /// Called once after each batch of messages, posts and ticks.
  virtual void OnBatchEnd(TimePoint now) = 0;
};

class DutyLoop {
 public:
  /// `link` and `handler` must outlive the loop.
  DutyLoop(Link& link, DutyHandler& handler);
  ~DutyLoop();
  DutyLoop(const DutyLoop&) = delete;
  DutyLoop& operator=(const DutyLoop&) = delete;

  void Start();
  /// Stops and joins the thread; harmless when called again.
  void Stop();
  /// Runs `work` on the loop's thread. Thread safe; dropped after Stop.
  void Post(std::function<void()> work);

  /// Runs `question` on the loop's thread and waits for its value until
  /// `deadline`; nothing where the time passes first.
  template <typename T>
  std::optional<T> Ask(std::function<T()> question, TimePoint deadline) {
    auto promise = std::make_shared<std::promise<T>>();
    std::future<T> answer = promise->get_future();
    this->Post([promise, question] { promise->set_value(question()); });
    const auto wait = RemainingTime(BootClock::now(), deadline);
    if (answer.wait_for(wait) != std::future_status::ready)
      return std::nullopt;
    return answer.get();
  }

 private:
  void Run();
  void RunPosted();

  Link* link;
  DutyHandler* handler;
  std::mutex mutex;
  std::vector<std::function<void()>> posted;
  bool stopping = false;
  std::thread thread;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_DUTY_LOOP_H_
