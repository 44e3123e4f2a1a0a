#include "librouting/endpoint_score.h"

#include <algorithm>

namespace savoryring {
namespace {

constexpr double kMeanLatencyWeight = 0.1;
constexpr std::uint32_t kFailuresToEject = 3;
constexpr Milliseconds kEjection{1000};
constexpr std::uint32_t kMostEjectionDoublings = 4;
constexpr double kTailQuantile = 0.95;
// Relative step of the running quantile estimate.
constexpr double kTailStep = 0.05;
constexpr std::uint64_t kTailSamplesNeeded = 50;
constexpr double kLatencyFloorNs = 1e5;

}  // namespace

void EndpointScores::OnSent(const std::string& endpoint) {
  this->scores[endpoint].open += 1;
}

void EndpointScores::OnEnded(const std::string& endpoint) {
  Score& score = this->scores[endpoint];
  if (score.open > 0)
    score.open -= 1;
}

void EndpointScores::OnAnswered(const std::string& endpoint,
                                const std::string& service,
                                std::chrono::nanoseconds latency) {
  const auto sample = static_cast<double>(latency.count());
  Score& score = this->scores[endpoint];
  score.failures_in_row = 0;
  score.ejections = 0;
  if (score.mean_latency_ns == 0)
    score.mean_latency_ns = sample;
  score.mean_latency_ns +=
      kMeanLatencyWeight * (sample - score.mean_latency_ns);
  // Moves up by the quantile's share for samples above and down for those
  // below, so that it settles where few samples pass it.
  Tail& tail = this->tails[service];
  tail.samples += 1;
  if (tail.latency_ns == 0)
    tail.latency_ns = sample;
  const double step = kTailStep * tail.latency_ns;
  tail.latency_ns += sample > tail.latency_ns ? step * kTailQuantile
                                              : -step * (1 - kTailQuantile);
}

bool EndpointScores::OnFailure(const std::string& endpoint, TimePoint now) {
  Score& score = this->scores[endpoint];
  score.failures_in_row += 1;
  if (score.failures_in_row < kFailuresToEject || now < score.ejected_until)
    return false;
  const std::uint32_t doublings =
      std::min(score.ejections, kMostEjectionDoublings);
  score.ejected_until = now + kEjection * (1 << doublings);
  score.ejections += 1;
  // One more failure after the return ejects again.
  score.failures_in_row = kFailuresToEject - 1;
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
  const std::uint32_t own =
      score == this->scores.end() ? 0 : score->second.open;
  // The announced figure lags and counts this entry's attempts too.
  const std::uint32_t busy = std::max(own, load.running + load.queued);
  return static_cast<double>(busy) / load.slots;
}

double EndpointScores::Cost(const EndpointRecord& record,
                            const std::string& service) const {
  const auto score = this->scores.find(record.id);
  const double latency =
      score == this->scores.end() ? 0 : score->second.mean_latency_ns;
  const auto own = score == this->scores.end() ? 0U : score->second.open;
  const auto found = record.services.find(service);
  const double slots =
      found == record.services.end() ? 1 : std::max(1U, found->second.slots);
  return (this->Load(record, service) + (own + 1) / slots) *
         (latency + kLatencyFloorNs);
}

std::chrono::nanoseconds EndpointScores::TailLatency(
    const std::string& service) const {
  const auto found = this->tails.find(service);
  if (found == this->tails.end() || found->second.samples < kTailSamplesNeeded)
    return std::chrono::nanoseconds(0);
  return std::chrono::nanoseconds(
      static_cast<std::int64_t>(found->second.latency_ns));
}

}  // namespace savoryring
