#include "libbase/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>
#include <mutex>
#include <sstream>

namespace savoryring {
namespace {

namespace acc = boost::accumulators;

constexpr std::array kQuantiles{0.5, 0.9, 0.99, 0.999};

using LatencyAccumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::mean,
                                    acc::tag::max,
                                    acc::tag::extended_p_square>>;

LatencyAccumulator MakeAccumulator() {
  return LatencyAccumulator(acc::extended_p_square_probabilities = kQuantiles);
}

void RenderLatency(const std::string& name,
                   const LatencyAccumulator& latency,
                   std::ostringstream& text) {
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    text << name << "_ms{quantile=\"" << kQuantiles[i] << "\"} "
         << acc::extended_p_square(latency)[i] << '\n';
  }
  text << name << "_ms_max " << acc::max(latency) << '\n';
  text << name << "_ms_mean " << acc::mean(latency) << '\n';
  text << name << "_ms_count " << acc::count(latency) << '\n';
}

}  // namespace

struct Metrics::State {
  mutable std::mutex mutex;
  std::map<std::string, std::uint64_t> counters;
  std::map<std::string, double> gauges;
  std::map<std::string, LatencyAccumulator> latencies;
};

Metrics::Metrics() : state(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::Count(const std::string& name, std::uint64_t amount) {
  const std::lock_guard lock(this->state->mutex);
  this->state->counters[name] += amount;
}

void Metrics::SetGauge(const std::string& name, double value) {
  const std::lock_guard lock(this->state->mutex);
  this->state->gauges[name] = value;
}

void Metrics::RecordLatency(const std::string& name,
                            std::chrono::nanoseconds latency) {
  const std::lock_guard lock(this->state->mutex);
  const auto [entry, inserted] =
      this->state->latencies.try_emplace(name, MakeAccumulator());
  entry->second(std::chrono::duration<double, std::milli>(latency).count());
}

std::string Metrics::Render() const {
  const std::lock_guard lock(this->state->mutex);
  std::ostringstream text;
  for (const auto& [name, value] : this->state->counters)
    text << name << ' ' << value << '\n';
  for (const auto& [name, value] : this->state->gauges)
    text << name << ' ' << value << '\n';
  for (const auto& [name, latency] : this->state->latencies)
    RenderLatency(name, latency, text);
  return text.str();
}

}  // namespace savoryring
