/// An entry's measurements: open attempts, mean latency and failures of each
/// endpoint, and the tail latency of each service.
#ifndef SAVORYRING_LIBROUTING_ENDPOINT_SCORE_H_
#define SAVORYRING_LIBROUTING_ENDPOINT_SCORE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "libmembership/directory.h"
#include "savoryring/time.h"

namespace savoryring {

class EndpointScores {
 public:
  void OnSent(const std::string& endpoint);
  /// An attempt ended and is no longer open at the endpoint.
  void OnEnded(const std::string& endpoint);
  /// Records the latency and clears the endpoint's failures.
  void OnAnswered(const std::string& endpoint,
                  const std::string& service,
                  std::chrono::nanoseconds latency);
  /// The endpoint failed, or did not acknowledge in time. Returns whether this
  /// ejects the endpoint temporarily.
  bool OnFailure(const std::string& endpoint, TimePoint now);
  /// The endpoint process was replaced: discards the measurements of the old
  /// one.
  void OnReplaced(const std::string& endpoint);

  bool IsEjected(const std::string& endpoint, TimePoint now) const;
  /// Expected response time in relative units; lower is better.
  double Cost(const EndpointRecord& record, const std::string& service) const;
  /// Running and queued requests per slot; above 1 if requests are queued.
  double Load(const EndpointRecord& record, const std::string& service) const;
  /// Estimated 95th percentile of the service's latency; zero until there are
  /// enough samples.
  std::chrono::nanoseconds TailLatency(const std::string& service) const;

 private:
  struct Score {
    std::uint32_t open_attempts = 0;
    double mean_latency_ns = 0;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t ejections = 0;
    TimePoint ejected_until;
  };
  struct TailEstimate {
    double latency_ns = 0;
    std::uint64_t samples = 0;
  };
  std::map<std::string, Score> scores;
  std::map<std::string, TailEstimate> tail_estimates;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBROUTING_ENDPOINT_SCORE_H_
