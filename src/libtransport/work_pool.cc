#include "libtransport/work_pool.h"

#include <system_error>
#include <utility>

#include "libbase/events.h"

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
  this->HasThreadForQueue();
  this->queue_changed.notify_one();
}

bool WorkPool::TryRun(std::function<void()> work) {
  const std::lock_guard lock(this->mutex);
  if (this->stopping)
    return false;
  this->queue.push_back(std::move(work));
  if (!this->HasThreadForQueue()) {
    this->queue.pop_back();
    return false;
  }
  this->queue_changed.notify_one();
  return true;
}

bool WorkPool::HasThreadForQueue() {
  const bool needs_thread = this->queue.size() > this->idle_threads &&
                            this->threads.size() < this->max_threads;
  if (!needs_thread)
    return true;
  try {
    this->threads.emplace_back([this] { this->RunThread(); });
  } catch (const std::system_error& error) {
    LogEvent(Event::kThreadNotStarted,
             {{"threads", std::to_string(this->threads.size())},
              {"why", error.what()}});
    return false;
  }
  return true;
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
