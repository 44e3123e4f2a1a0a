/// Counters, gauges and latency quantiles of one process, served on /metrics.
#ifndef SAVORYRING_LIBBASE_METRICS_H_
#define SAVORYRING_LIBBASE_METRICS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace savoryring {

/// Registry of named metrics. Thread safe. Quantiles are estimated with the
/// P-square algorithm (Boost.Accumulators).
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Count(const std::string& name, std::uint64_t amount = 1);
  void SetGauge(const std::string& name, double value);
  void RecordLatency(const std::string& name, std::chrono::nanoseconds latency);

  /// All metrics in the Prometheus text format, one sample per line.
  std::string Render() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBBASE_METRICS_H_
