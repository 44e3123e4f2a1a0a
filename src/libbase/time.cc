#include "savoryring/time.h"

#include <ctime>

namespace savoryring {

TimePoint BootClock::now() noexcept {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return TimePoint(std::chrono::seconds(reading.tv_sec) +
                   std::chrono::nanoseconds(reading.tv_nsec));
}

}  // namespace savoryring
