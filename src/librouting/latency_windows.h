/// Tail latency of the services of a VM, measured over fixed time windows.
#ifndef SAVORYRING_LIBROUTING_LATENCY_WINDOWS_H_
#define SAVORYRING_LIBROUTING_LATENCY_WINDOWS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libmembership/membership.pb.h"
#include "savoryring/time.h"

namespace savoryring {

class LatencyWindows {
 public:
  void Record(const std::string& service, std::chrono::nanoseconds latency);
  /// Measurements of the last complete window, one for each service with
  /// requests. Closes the current window first if its time is over.
  std::vector<wire::ServiceMeasurement> Take(TimePoint now);

 private:
  std::map<std::string, std::vector<double>> samples_ms;
  std::vector<wire::ServiceMeasurement> last_window;
  std::uint64_t window = 0;
  TimePoint close_deadline;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBROUTING_LATENCY_WINDOWS_H_
