/// Clock and time types of all interfaces.
#ifndef SAVORYRING_TIME_H_
#define SAVORYRING_TIME_H_

#include <chrono>
#include <cstdint>

namespace savoryring {

/// Monotonic clock that also advances while the VM is suspended
/// (CLOCK_BOOTTIME). Readings of different VMs must not be compared.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  /// Reads the clock; never fails.
  static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Deadline of something that never expires.
inline constexpr TimePoint kNever = TimePoint::max();

/// Time from `from` to `to` in whole milliseconds, or zero if `to` is not
/// later.
inline Milliseconds RemainingTime(TimePoint from, TimePoint to) {
  if (to <= from)
    return Milliseconds(0);
  return std::chrono::duration_cast<Milliseconds>(to - from);
}

inline std::uint64_t ToNanoseconds(TimePoint time) {
  return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

inline TimePoint FromNanoseconds(std::uint64_t nanoseconds) {
  return TimePoint(std::chrono::nanoseconds(nanoseconds));
}

inline std::int64_t ToMilliseconds(TimePoint time) {
  return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch())
      .count();
}

}  // namespace savoryring

#endif  // SAVORYRING_TIME_H_
