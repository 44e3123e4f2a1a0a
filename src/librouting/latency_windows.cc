#include "librouting/latency_windows.h"

#include <algorithm>

namespace savoryring {
namespace {

constexpr Milliseconds kWindowLength{1000};
constexpr std::size_t kMaxSamples = 4096;
constexpr double kTailQuantile = 0.99;

double QuantileOf(std::vector<double>& samples, double quantile) {
  const auto rank = static_cast<std::ptrdiff_t>(
      quantile * static_cast<double>(samples.size() - 1));
  std::ranges::nth_element(samples, samples.begin() + rank);
  return samples[static_cast<std::size_t>(rank)];
}

}  // namespace

void LatencyWindows::Record(const std::string& service,
                            std::chrono::nanoseconds latency) {
  std::vector<double>& samples = this->samples_ms[service];
  if (samples.size() < kMaxSamples) {
    samples.push_back(
        std::chrono::duration<double, std::milli>(latency).count());
  }
}

std::vector<wire::ServiceMeasurement> LatencyWindows::Take(TimePoint now) {
  if (now < this->close_deadline)
    return this->last_window;
  this->close_deadline = now + kWindowLength;
  this->window += 1;
  this->last_window.clear();
  for (auto& [service, samples] : this->samples_ms) {
    if (samples.empty())
      continue;
    wire::ServiceMeasurement& item = this->last_window.emplace_back();
    item.set_service(service);
    item.set_requests(static_cast<std::uint32_t>(samples.size()));
    item.set_p99_ms(QuantileOf(samples, kTailQuantile));
    item.set_window(this->window);
    samples.clear();
  }
  return this->last_window;
}

}  // namespace savoryring
