/// What an entry has measured of each endpoint: its own open attempts, mean
/// latency, failures and the tail of each service.
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
  void OnAnswered(const std::string& endpoint,
                  const std::string& service,
                  std::chrono::nanoseconds latency);
  /// The endpoint did not acknowledge or failed. Returns whether this ejects
  /// it for a while.
  bool OnFailure(const std::string& endpoint, TimePoint now);
  /// The endpoint process was replaced: its failures count no more.
  void OnReplaced(const std::string& endpoint);

  bool IsEjected(const std::string& endpoint, TimePoint now) const;
  /// Expected wait in relative units; lower is better.
  double Cost(const EndpointRecord& record, const std::string& service) const;
  /// Share of the endpoint's slots in use, above 1 where requests wait.
  double Load(const EndpointRecord& record, const std::string& service) const;
  /// Latency that few requests of the service pass; zero while unknown.
  std::chrono::nanoseconds TailLatency(const std::string& service) const;

 private:
  struct Score {
    std::uint32_t open = 0;
    double mean_latency_ns = 0;
    std::uint32_t failures_in_row = 0;
    std::uint32_t ejections = 0;
    TimePoint ejected_until;
  };
  struct Tail {
    double latency_ns = 0;
    std::uint64_t samples = 0;
  };
  std::map<std::string, Score> scores;
  std::map<std::string, Tail> tails;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBROUTING_ENDPOINT_SCORE_H_
