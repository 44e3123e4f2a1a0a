/// Event loop of a duty. Its single thread owns the duty's state, polls the
/// link for messages, runs functions posted by other threads and ticks
/// periodically.
#ifndef SAVORYRING_LIBTRANSPORT_DUTY_LOOP_H_
#define SAVORYRING_LIBTRANSPORT_DUTY_LOOP_H_

#include <condition_variable>
#include <cstdint>
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

/// Callbacks of a duty, all called on the loop's thread.
class DutyHandler {
 public:
  virtual ~DutyHandler() = default;
  virtual void OnMessage(const Received& message, TimePoint now) = 0;
  virtual void OnTick(TimePoint now) = 0;
  /// Called once after each batch of messages, posted functions and ticks.
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
  /// Stops and joins the thread. May be called more than once.
  void Stop();
  /// Queues `work` to run on the loop's thread. Discarded after Stop. Thread
  /// safe.
  void Post(std::function<void()> work);
  /// Waits for the end of an iteration of the loop; after each one, one of the
  /// waiting threads goes on. Long work on other threads calls it now and then,
  /// so that the loop gets the processor. Returns at once after Stop. Thread
  /// safe; not for the loop's thread.
  void AwaitIteration();

  /// Runs `function` on the loop's thread and waits for its result. Returns
  /// nullopt if there is none by `deadline`; `function` may still run after
  /// that.
  template <typename T>
  std::optional<T> Call(std::function<T()> function, TimePoint deadline) {
    auto promise = std::make_shared<std::promise<T>>();
    std::future<T> result = promise->get_future();
    this->Post([promise, function] { promise->set_value(function()); });
    const auto timeout = RemainingTime(BootClock::now(), deadline);
    if (result.wait_for(timeout) != std::future_status::ready)
      return std::nullopt;
    return result.get();
  }

 private:
  void Run();
  void ReadMessages(Milliseconds timeout);
  void RunPosted();
  void EndIteration();

  Link* link;
  DutyHandler* handler;
  std::mutex mutex;
  std::vector<std::function<void()>> posted;
  bool stopping = false;
  // Threads that wait for an iteration have consecutive tickets.
  std::uint64_t last_ticket = 0;
  std::uint64_t last_admitted = 0;
  std::condition_variable ticket_admitted;
  std::thread thread;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_DUTY_LOOP_H_
