/// The metrics duty: serves /metrics, /healthz and /readyz on a separate
/// address.
#ifndef SAVORYRING_SAVORYRINGD_METRICS_DUTY_H_
#define SAVORYRING_SAVORYRINGD_METRICS_DUTY_H_

#include <memory>

#include "savoryringd/process.h"

namespace savoryring {

class MetricsDuty : public Duty {
 public:
  /// `process` must outlive the duty.
  explicit MetricsDuty(Process& process) : process(&process) {}

  /// Throws Error (kAddressInUse).
  void Start() override;
  void Leave() override {}
  bool IsIdle() override { return true; }
  void Stop() override { this->server.reset(); }

 private:
  Process* process;
  std::unique_ptr<HttpServer> server;
};

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_METRICS_DUTY_H_
