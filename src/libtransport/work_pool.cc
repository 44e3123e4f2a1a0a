#include "libtransport/work_pool.h"

#include <utility>

namespace savoryring {

WorkPool::WorkPool(std::size_t most_threads) : most_threads(most_threads) {}

WorkPool::~WorkPool() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->queue.clear();
  }
  this->changed.notify_all();
  for (std::thread& thread : this->threads)
    thread.join();
}

void WorkPool::Run(std::function<void()> work) {
  const std::lock_guard lock(this->mutex);
  if (this->stopping)
    return;
  this->queue.push_back(std::move(work));
  const bool grow = this->queue.size() > this->idle &&
                    this->threads.size() < this->most_threads;
  if (grow)
    this->threads.emplace_back([this] { this->Loop(); });
  this->changed.notify_one();
}

void WorkPool::Loop() {
  std::unique_lock lock(this->mutex);
  while (true) {
    this->idle += 1;
    this->changed.wait(
        lock, [this] { return this->stopping || !this->queue.empty(); });
    this->idle -= 1;
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
