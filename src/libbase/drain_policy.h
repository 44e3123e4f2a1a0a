/// Limits calls while a process drains, so that each caller gets a complete
/// answer before the process ends. Does no I/O and reads no clock.
#ifndef SAVORYRING_LIBBASE_DRAIN_POLICY_H_
#define SAVORYRING_LIBBASE_DRAIN_POLICY_H_

#include <atomic>

#include "savoryring/time.h"

namespace savoryring {

/// Thread safe.
class DrainPolicy {
 public:
  /// The process drains from `now` and closes its connections at `end`.
  void Begin(TimePoint now, TimePoint end);
  /// Refuses all calls from now on: the process is about to stop.
  void RefuseNewCalls();

  /// Whether a call that arrives at `now` can still be answered. If not, it
  /// must be refused without being passed on.
  bool AcceptsCall(TimePoint now) const {
    return now < this->latest_start.load();
  }
  /// The time by which a call with `deadline` must be answered.
  TimePoint AnswerDeadline(TimePoint deadline) const;

 private:
  std::atomic<TimePoint> latest_start{kNever};
  std::atomic<TimePoint> latest_answer{kNever};
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBBASE_DRAIN_POLICY_H_
