#include "libtransport/duty_loop.h"

#include <cstdlib>
#include <utility>

#include "libbase/events.h"

namespace savoryring {
namespace {

constexpr Milliseconds kTickInterval{10};

}  // namespace

DutyLoop::DutyLoop(Link& link, DutyHandler& handler)
    : link(&link), handler(&handler) {}

DutyLoop::~DutyLoop() {
  this->Stop();
}

void DutyLoop::Start() {
  this->thread = std::thread([this] {
    try {
      this->Run();
    } catch (const std::exception& failure) {
      // State that could not be stored must not be served. The process exits at
      // once, without cleanup, and recovers from its disk at the next start.
      LogEvent(Event::kDiskFailed, {{"why", failure.what()}});
      std::_Exit(EXIT_FAILURE);
    }
  });
}

void DutyLoop::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->link->Wake();
  if (this->thread.joinable())
    this->thread.join();
}

void DutyLoop::Post(std::function<void()> work) {
  {
    const std::lock_guard lock(this->mutex);
    if (this->stopping)
      return;
    this->posted.push_back(std::move(work));
  }
  this->link->Wake();
}

void DutyLoop::Run() {
  TimePoint next_tick = BootClock::now();
  while (true) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->stopping)
        return;
    }
    // Rounded up, as a poll with timeout 0 would spin for the last fraction of
    // a millisecond.
    const Milliseconds timeout =
        RemainingTime(BootClock::now(), next_tick) + Milliseconds(1);
    for (const Received& message : this->link->Poll(timeout))
      this->handler->OnMessage(message, BootClock::now());
    this->RunPosted();
    const TimePoint now = BootClock::now();
    if (now >= next_tick) {
      this->handler->OnTick(now);
      next_tick = now + kTickInterval;
    }
    this->handler->OnBatchEnd(now);
  }
}

void DutyLoop::RunPosted() {
  std::vector<std::function<void()>> work;
  {
    const std::lock_guard lock(this->mutex);
    work.swap(this->posted);
  }
  for (const std::function<void()>& item : work)
    item();
}

}  // namespace savoryring
