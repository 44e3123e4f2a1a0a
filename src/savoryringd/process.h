/// State that the duties of one daemon process share.
#ifndef SAVORYRING_SAVORYRINGD_PROCESS_H_
#define SAVORYRING_SAVORYRINGD_PROCESS_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "libbase/drain_policy.h"
#include "libbase/metrics.h"
#include "libbase/trace.h"
#include "libtransport/http.h"
#include "libtransport/link.h"
#include "savoryring/settings.h"

namespace savoryring {

/// Outlives every duty. Thread safe.
class Process {
 public:
  explicit Process(Settings settings);

  const Settings& settings() const { return this->process_settings; }
  /// Identifies this run of the process; increases with every start.
  std::uint64_t incarnation() const { return this->process_incarnation; }
  Metrics& metrics() { return this->process_metrics; }
  /// Limits calls once the process drains.
  DrainPolicy& drain() { return this->drain_policy; }
  SpanWriter& spans() { return this->span_writer; }
  /// Applies the only part of the settings that may change while the process
  /// runs: the links of the control replicas.
  void Reload(const Settings& new_settings);
  /// Number of reloads. A duty compares it with the version that it
  /// applied last.
  std::uint64_t settings_version() const { return this->reload_count; }
  std::vector<std::string> control_links();
  std::uint64_t Random();
  TraceContext NewSpan(const std::string& traceparent);

 private:
  Settings process_settings;
  std::uint64_t process_incarnation;
  std::atomic<std::uint64_t> reload_count{0};
  std::vector<std::string> current_control_links;
  Metrics process_metrics;
  DrainPolicy drain_policy;
  SpanWriter span_writer;
  std::mutex mutex;
  pcg64 random;
};

/// A role that the process runs. main() starts, drains and stops it.
class Duty {
 public:
  virtual ~Duty() = default;
  virtual void Start() = 0;
  /// Starts draining, within the limits of Process::drain(). /readyz fails from
  /// now on, so that the process gets no new work.
  virtual void Leave() = 0;
  /// Whether no work is in flight and every response is written.
  virtual bool IsIdle() = 0;
  virtual void Stop() = 0;
};

/// Answers /healthz, /readyz and /metrics, which are the same on every duty.
/// Returns nullopt for any other path.
std::optional<HttpResponse> AnswerCommonPath(const HttpRequest& request,
                                             Process& process,
                                             bool ready);

/// Sets the gauges named `prefix` and a suffix from a link's counters.
void PublishLinkCounters(const std::string& prefix,
                         const Link::Counters& counters,
                         Metrics& metrics);

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_PROCESS_H_
