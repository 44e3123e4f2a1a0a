/// What the duties of one daemon process share.
#ifndef SAVORYRING_SAVORYRINGD_PROCESS_H_
#define SAVORYRING_SAVORYRINGD_PROCESS_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "libbase/metrics.h"
#include "libbase/trace.h"
#include "libtransport/http.h"
#include "libtransport/link.h"
#include "savoryring/settings.h"

namespace savoryring {

/// Lives as long as every duty. Thread safe.
class Process {
 public:
  explicit Process(Settings settings);

  const Settings& settings() const { return this->process_settings; }
  /// Number of this start of the process; grows from start to start.
  std::uint64_t incarnation() const { return this->start_number; }
  Metrics& metrics() { return this->process_metrics; }
  SpanWriter& spans() { return this->span_writer; }
  /// Takes the part of new settings that may change while the process runs:
  /// the seeds of the controls.
  void Reload(const Settings& fresh);
  /// Counts reloads; a duty compares it with what it has followed.
  std::uint64_t settings_version() const { return this->reloads; }
  std::vector<std::string> control_links();
  std::uint64_t Random();
  TraceContext NewSpan(const std::string& traceparent);

 private:
  Settings process_settings;
  std::uint64_t start_number;
  std::atomic<std::uint64_t> reloads{0};
  std::vector<std::string> links;
  Metrics process_metrics;
  SpanWriter span_writer;
  std::mutex mutex;
  pcg64 random;
};

/// A duty as the main program sees it.
class Duty {
 public:
  virtual ~Duty() = default;
  virtual void Start() = 0;
  /// Takes no new work from now on and says so on /readyz.
  virtual void Leave() = 0;
  /// Whether nothing is in flight any more.
  virtual bool IsIdle() = 0;
  virtual void Stop() = 0;
};

/// /healthz, /readyz and /metrics, the same on every duty; nothing for
/// another path.
std::optional<HttpResponse> AnswerCommon(const HttpRequest& request,
                                         Process& process,
                                         bool ready);

/// Writes a link's counters to the metrics under `prefix`.
void PublishLinkCounters(const std::string& prefix,
                         const Link::Counters& counters,
                         Metrics& metrics);

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_PROCESS_H_
