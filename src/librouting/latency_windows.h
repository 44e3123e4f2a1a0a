/// Tail latency of a VM's services, measured in windows of time.
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
  /// The last whole window of each service; the current one is closed first
  /// where it has lasted long enough.
  std::vector<wire::ServiceMeasurement> Take(TimePoint now);

 private:
  std::map<std::string, std::vector<double>> samples_ms;
  std::vector<wire::ServiceMeasurement> last;
  std::uint64_t window = 0;
  TimePoint close_deadline;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBROUTING_LATENCY_WINDOWS_H_
