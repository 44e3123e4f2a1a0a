#include "libbase/drain_policy.h"

#include <algorithm>

namespace savoryring {
namespace {

// Time between the last answer and the end of the drain, in which the answer is
// written. At most half of the drain.
constexpr Milliseconds kAnswerMargin{500};
// A call is refused if less time than this is left to answer it. The leader is
// given as much time before another replica is asked.
constexpr Milliseconds kMinCallTime{400};

}  // namespace

void DrainPolicy::Begin(TimePoint now, TimePoint end) {
  const TimePoint last_answer =
      std::max(end - kAnswerMargin, now + (end - now) / 2);
  this->latest_answer = last_answer;
  this->latest_start = std::max(now, last_answer - kMinCallTime);
}

void DrainPolicy::RefuseNewCalls() {
  this->latest_start = TimePoint::min();
}

TimePoint DrainPolicy::AnswerDeadline(TimePoint deadline) const {
  return std::min(deadline, this->latest_answer.load());
}

}  // namespace savoryring
