/// Threads for calls that block, such as HTTP to the endpoint or the worker.
#ifndef SAVORYRING_LIBTRANSPORT_WORK_POOL_H_
#define SAVORYRING_LIBTRANSPORT_WORK_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace savoryring {

/// A pool that grows up to a limit. The destructor waits for running work and
/// drops what has not begun.
class WorkPool {
 public:
  explicit WorkPool(std::size_t most_threads);
  ~WorkPool();
  WorkPool(const WorkPool&) = delete;
  WorkPool& operator=(const WorkPool&) = delete;

  /// Runs `work` on some thread. Thread safe.
  void Run(std::function<void()> work);

 private:
  void Loop();

  const std::size_t most_threads;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> queue;
  std::vector<std::thread> threads;
  std::size_t idle = 0;
  bool stopping = false;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_WORK_POOL_H_
