#include "librouting/endpoint_score.h"

#include <algorithm>

namespace savoryring {
namespace {

constexpr double kMeanLatencyWeight = 0.1;
constexpr std::uint32_t kFailuresToEject = 3;
constexpr Milliseconds kEjectionTime{1000};
// Repeated ejections double in length, up to this many times.
constexpr std::uint32_t kMaxEjectionDoublings = 4;
constexpr double kTailQuantile = 0.95;
// Step of the streaming quantile estimate, relative to the estimate.
constexpr double kTailStep = 0.05;
constexpr std::uint64_t kMinTailSamples = 50;
// Added to the mean latency, so that load decides among endpoints without
// samples.
constexpr double kLatencyFloorNs = 1e5;

}  // namespace

void EndpointScores::OnSent(const std::string& endpoint) {
  this->scores[endpoint].open_attempts += 1;
}

void EndpointScores::OnEnded(const std::string& endpoint) {
  Score& score = this->scores[endpoint];
  if (score.open_attempts > 0)
    score.open_attempts -= 1;
}

void EndpointScores::OnAnswered(const std::string& endpoint,
                                const std::string& service,
                                std::chrono::nanoseconds latency) {
  const auto sample = static_cast<double>(latency.count());
  Score& score = this->scores[endpoint];
  score.consecutive_failures = 0;
  score.ejections = 0;
  if (score.mean_latency_ns == 0)
    score.mean_latency_ns = sample;
  score.mean_latency_ns +=
      kMeanLatencyWeight * (sample - score.mean_latency_ns);
  // Streaming quantile estimate: a sample above it raises the estimate by the
  // quantile times the step, one below lowers it by the rest of the step. It
  // is in balance where 1 - kTailQuantile of the samples exceed it.
  TailEstimate& tail = this->tail_estimates[service];
  tail.samples += 1;
  if (tail.latency_ns == 0)
    tail.latency_ns = sample;
  const double step = kTailStep * tail.latency_ns;
  tail.latency_ns += sample > tail.latency_ns ? step * kTailQuantile
                                              : -step * (1 - kTailQuantile);
}

bool EndpointScores::OnFailure(const std::string& endpoint, TimePoint now) {
  Score& score = this->scores[endpoint];
  score.consecutive_failures += 1;
  if (score.consecutive_failures < kFailuresToEject ||
      now < score.ejected_until)
    return false;
  const std::uint32_t doublings =
      std::min(score.ejections, kMaxEjectionDoublings);
  score.ejected_until = now + kEjectionTime * (1 << doublings);
  score.ejections += 1;
  // After the ejection a single further failure ejects the endpoint again.
  score.consecutive_failures = kFailuresToEject - 1;
  return true;
}

void EndpointScores::OnReplaced(const std::string& endpoint) {
  this->scores.erase(endpoint);
}

bool EndpointScores::IsEjected(const std::string& endpoint,
                               TimePoint now) const {
  const auto found = this->scores.find(endpoint);
  return found != this->scores.end() && now < found->second.ejected_until;
}

double EndpointScores::Load(const EndpointRecord& record,
                            const std::string& service) const {
  const auto found = record.services.find(service);
  if (found == record.services.end() || found->second.slots == 0)
    return 1e9;
  const ServiceLoad& load = found->second;
  const auto score = this->scores.find(record.id);
  const std::uint32_t own_attempts =
      score == this->scores.end() ? 0 : score->second.open_attempts;
  // The announced load lags behind and already includes this entry's attempts,
  // so the two are not added.
  const std::uint32_t busy = std::max(own_attempts, load.running + load.queued);
  return static_cast<double>(busy) / load.slots;
}

double EndpointScores::Cost(const EndpointRecord& record,
                            const std::string& service) const {
  const auto score = this->scores.find(record.id);
  const double latency =
      score == this->scores.end() ? 0 : score->second.mean_latency_ns;
  const auto own_attempts =
      score == this->scores.end() ? 0U : score->second.open_attempts;
  const auto found = record.services.find(service);
  const double slots =
      found == record.services.end() ? 1 : std::max(1U, found->second.slots);
  return (this->Load(record, service) + (own_attempts + 1) / slots) *
         (latency + kLatencyFloorNs);
}

std::chrono::nanoseconds EndpointScores::TailLatency(
    const std::string& service) const {
  const auto found = this->tail_estimates.find(service);
  if (found == this->tail_estimates.end() ||
      found->second.samples < kMinTailSamples)
    return std::chrono::nanoseconds(0);
  return std::chrono::nanoseconds(
      static_cast<std::int64_t>(found->second.latency_ns));
}

}  // namespace savoryring
