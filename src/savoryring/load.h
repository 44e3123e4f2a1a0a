/// Load generator for one service: sends a fixed number of requests with
/// bounded concurrency and measures their latencies.
#ifndef SAVORYRING_SAVORYRING_LOAD_H_
#define SAVORYRING_SAVORYRING_LOAD_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "savoryring/time.h"

namespace savoryring {

struct LoadOptions {
  std::string url;  ///< "http://IP:PORT"
  std::string path;
  std::string method = "GET";
  std::string body;
  std::size_t requests = 1000;
  std::size_t concurrency = 8;
  Milliseconds timeout{1000};
};

struct LoadReport {
  /// Number of requests by HTTP status; 0: no response.
  std::map<int, std::size_t> statuses;
  /// Latencies of 2xx responses only, in ascending order.
  std::vector<std::chrono::nanoseconds> latencies;
  std::chrono::nanoseconds elapsed{0};

  /// The latency that a fraction `quantile` (0 to 1) of the successful requests
  /// does not exceed; 0 if no request succeeded.
  std::chrono::nanoseconds LatencyQuantile(double quantile) const;
};

/// Sends the requests and waits until each has a response or has timed out.
LoadReport RunLoad(const LoadOptions& options);

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRING_LOAD_H_
