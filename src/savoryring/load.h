/// Bounded load on one service, with a table of latencies.
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
  std::map<int, std::size_t> statuses;              ///< 0 where no answer came.
  std::vector<std::chrono::nanoseconds> latencies;  ///< Sorted; answered 2xx.
  std::chrono::nanoseconds elapsed{0};

  /// The latency that a share `quantile` of the answers does not pass.
  std::chrono::nanoseconds Quantile(double quantile) const;
};

/// Sends the requests and waits for all answers.
LoadReport RunLoad(const LoadOptions& options);

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRING_LOAD_H_
