/// Thread pool for blocking calls, such as HTTP requests to the endpoint or the
/// worker.
#ifndef SAVORYRING_LIBTRANSPORT_WORK_POOL_H_
#define SAVORYRING_LIBTRANSPORT_WORK_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace savoryring {

/// Starts threads on demand, up to a limit. A thread that can't be started is
/// logged, and tried again with later work. The destructor waits for running
/// work and discards queued work.
class WorkPool {
 public:
  explicit WorkPool(std::size_t max_threads);
  ~WorkPool();
  WorkPool(const WorkPool&) = delete;
  WorkPool& operator=(const WorkPool&) = delete;

  /// Queues `work` to run on one of the threads. Thread safe.
  void Run(std::function<void()> work);
  /// As Run, but returns false, and drops `work`, if it would wait for a thread
  /// that can't be started. Thread safe.
  bool TryRun(std::function<void()> work);

 private:
  /// Whether the queued work has a thread, or has to wait as the limit of
  /// threads is reached.
  bool HasThreadForQueue();
  void RunThread();

  const std::size_t max_threads;
  std::mutex mutex;
  std::condition_variable queue_changed;
  std::deque<std::function<void()>> queue;
  std::vector<std::thread> threads;
  std::size_t idle_threads = 0;
  bool stopping = false;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_WORK_POOL_H_
