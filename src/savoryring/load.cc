#include "savoryring/load.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

#include "libtransport/http.h"

namespace savoryring {
namespace {

constexpr int kFirstUnsuccessfulStatus = 300;

int SendRequest(const LoadOptions& options) {
  HttpRequest request;
  request.method = options.method;
  request.path = options.path;
  request.body = options.body;
  request.headers.push_back({.name = "Savoryring-Timeout-Ms",
                             .value = std::to_string(options.timeout.count())});
  try {
    return SendHttp(options.url, request, options.timeout + options.timeout)
        .status;
  } catch (const Error&) {
    return 0;
  }
}

}  // namespace

std::chrono::nanoseconds LoadReport::LatencyQuantile(double quantile) const {
  if (this->latencies.empty())
    return std::chrono::nanoseconds(0);
  const auto last_index = static_cast<double>(this->latencies.size() - 1);
  return this->latencies[static_cast<std::size_t>(quantile * last_index)];
}

LoadReport RunLoad(const LoadOptions& options) {
  LoadReport report;
  std::mutex mutex;
  std::atomic<std::size_t> sent_requests{0};
  const auto send_requests = [&] {
    while (sent_requests.fetch_add(1) < options.requests) {
      const TimePoint begin = BootClock::now();
      const int status = SendRequest(options);
      const auto latency = BootClock::now() - begin;
      const std::lock_guard lock(mutex);
      report.statuses[status] += 1;
      if (status > 0 && status < kFirstUnsuccessfulStatus)
        report.latencies.push_back(latency);
    }
  };
  const TimePoint begin = BootClock::now();
  {
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < options.concurrency; ++i)
      threads.emplace_back(send_requests);
  }
  report.elapsed = BootClock::now() - begin;
  std::ranges::sort(report.latencies);
  return report;
}

}  // namespace savoryring
