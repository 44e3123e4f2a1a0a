#include "libtransport/work_pool.h"

#include <utility>

namespace savoryring {

WorkPool::WorkPool(std::size_t max_threads) : max_threads(max_threads) {}

WorkPool::~WorkPool() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->queue.clear();
  }
  this->queue_changed.notify_all();
  for (std::thread& thread : this->threads)
    thread.join();
}

void WorkPool::Run(std::function<void()> work) {
  const std::lock_guard lock(this->mutex);
  if (this->stopping)
    return;
  this->queue.push_back(std::move(work));
  const bool needs_thread = this->queue.size() > this->idle_threads &&
                            this->threads.size() < this->max_threads;
  if (needs_thread)
    this->threads.emplace_back([this] { this->RunThread(); });
  this->queue_changed.notify_one();
}

void WorkPool::RunThread() {
  std::unique_lock lock(this->mutex);
  while (true) {
    this->idle_threads += 1;
    this->queue_changed.wait(
        lock, [this] { return this->stopping || !this->queue.empty(); });
    this->idle_threads -= 1;
    if (this->stopping)
      return;
    const std::function<void()> work = std::move(this->queue.front());
    this->queue.pop_front();
    lock.unlock();
    work();
    lock.lock();
  }
}

}  // namespace savoryring
