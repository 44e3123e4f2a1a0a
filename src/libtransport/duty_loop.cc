#include "libtransport/duty_loop.h"

#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>

#include "libbase/events.h"

namespace savoryring {
namespace {

constexpr Milliseconds kTickInterval{10};
// Replicas and agents wait a few hundred milliseconds for an answer.
constexpr Milliseconds kLoggedStepTime{100};
// Messages are read again if handling them took longer than this.
constexpr Milliseconds kMaxReadAge{50};
constexpr int kMaxReadRounds = 2;

void LogIfSlow(std::string_view step, TimePoint begin, TimePoint end) {
  const Milliseconds duration = RemainingTime(begin, end);
  if (duration < kLoggedStepTime)
    return;
  LogEvent(Event::kSlowStep, {{"step", std::string(step)},
                              {"took_ms", std::to_string(duration.count())}});
}

// Logs a step of the loop that took so long that messages waited.
class StepTimer {
 public:
  explicit StepTimer(std::string_view what)
      : what(what), begin(BootClock::now()) {}
  ~StepTimer() { LogIfSlow(this->what, this->begin, BootClock::now()); }
  StepTimer(const StepTimer&) = delete;
  StepTimer& operator=(const StepTimer&) = delete;

 private:
  std::string_view what;
  TimePoint begin;
};

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
      StopLog();
      std::_Exit(EXIT_FAILURE);
    }
  });
}

void DutyLoop::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->ticket_admitted.notify_all();
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

void DutyLoop::AwaitIteration() {
  std::unique_lock lock(this->mutex);
  const std::uint64_t ticket = ++this->last_ticket;
  this->link->Wake();
  this->ticket_admitted.wait(lock, [this, ticket] {
    return this->stopping || this->last_admitted >= ticket;
  });
}

void DutyLoop::EndIteration() {
  const std::lock_guard lock(this->mutex);
  if (this->last_admitted == this->last_ticket)
    return;
  this->last_admitted += 1;
  this->ticket_admitted.notify_all();
  if (this->last_admitted < this->last_ticket)
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
    this->ReadMessages(timeout);
    this->RunPosted();
    const TimePoint now = BootClock::now();
    if (now >= next_tick) {
      const StepTimer timer("tick");
      this->handler->OnTick(now);
      next_tick = now + kTickInterval;
    }
    {
      const StepTimer timer("batch-end");
      this->handler->OnBatchEnd(now);
    }
    this->EndIteration();
  }
}

// Deadlines are checked at a tick. An answer that arrived in time, during a
// long step, must have been read before.
void DutyLoop::ReadMessages(Milliseconds timeout) {
  for (int round = 0; round < kMaxReadRounds; ++round) {
    const Milliseconds longest = round == 0 ? timeout : Milliseconds(0);
    const TimePoint poll_end = BootClock::now() + longest;
    const auto messages = this->link->Poll(longest);
    const TimePoint read_time = BootClock::now();
    LogIfSlow("poll", poll_end, read_time);
    for (const Received& message : messages) {
      const StepTimer timer(wire::MessageKind_Name(message.envelope.kind()));
      this->handler->OnMessage(message, BootClock::now());
    }
    if (BootClock::now() < read_time + kMaxReadAge)
      return;
  }
}

void DutyLoop::RunPosted() {
  std::vector<std::function<void()>> work;
  {
    const std::lock_guard lock(this->mutex);
    work.swap(this->posted);
  }
  for (const std::function<void()>& item : work) {
    const StepTimer timer("posted");
    item();
  }
}

}  // namespace savoryring
