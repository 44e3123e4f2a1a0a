/// The endpoint duty: the small process on each endpoint VM. It announces the
/// local endpoint, admits requests to it, and runs tasks on the local worker
/// under a lease.
#ifndef SAVORYRING_SAVORYRINGD_ENDPOINT_DUTY_H_
#define SAVORYRING_SAVORYRINGD_ENDPOINT_DUTY_H_

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "libplacement/task_runner.h"
#include "librouting/admission.h"
#include "librouting/latency_windows.h"
#include "libtransport/duty_loop.h"
#include "libtransport/http.h"
#include "libtransport/link.h"
#include "libtransport/peer_liveness.h"
#include "libtransport/work_pool.h"
#include "savoryringd/estate_follower.h"
#include "savoryringd/process.h"
#include "savoryringd/worker.h"

namespace savoryring {

class EndpointDuty : public Duty, private DutyHandler {
 public:
  /// `worker` may be null where the VM runs no tasks. Throws Error
  /// (kAddressInUse). `process` must outlive the duty.
  EndpointDuty(Process& process, std::unique_ptr<Worker> worker);
  ~EndpointDuty() override;

  void Start() override;
  void Leave() override;
  bool IsIdle() override;
  void Stop() override;

 private:
  // An attempt that waits, runs or may be asked for again.
  struct KeptAttempt {
    wire::Attempt attempt;
    Origin origin;
    TimePoint arrived;
    TimePoint deadline;
    Span span;
    wire::AttemptUpdate answer;
  };

  void OnMessage(const Received& message, TimePoint now) override;
  void OnTick(TimePoint now) override;
  void OnBatchEnd(TimePoint now) override;

  HttpResponse OnHttp(const HttpRequest& request);
  LocalEndpoint ReadEndpoint(const HttpRequest& request, TimePoint now) const;
  void OnAttempt(const Received& message, TimePoint now);
  void OnBar(const Received& message, TimePoint now);
  void OnOrders(const Received& message, TimePoint now);
  void RunAdmissionEffects(TimePoint now);
  void Run(const AttemptKey& key, TimePoint now);
  void Tell(const ReportAttempt& effect);
  void FinishRun(const AttemptKey& key,
                 const std::optional<HttpResponse>& response);
  void RunTaskEffects();
  void Announce(TimePoint now);
  void SendHeartbeat(TimePoint now);
  void PollWorker(TimePoint now);
  void LogLease(TimePoint now);

  Process* process;
  std::unique_ptr<Worker> worker;
  Link link;
  Admission admission;
  TaskRunner runner;
  EstateFollower estate;
  PeerLiveness liveness;
  std::map<AttemptKey, KeptAttempt> attempts;
  std::map<AttemptKey, Origin> origins;  // of entries that asked just now
  std::size_t current_control = 0;
  std::uint64_t sequence = 0;
  std::optional<WorkerSize> size;
  std::vector<wire::TaskUsage> usage;
  LatencyWindows latencies;  // of the local endpoint's services
  bool polling = false;
  bool had_lease = false;
  bool worker_answers = true;
  TimePoint poll_deadline;
  TimePoint usage_deadline;
  TimePoint announce_deadline;
  TimePoint heartbeat_deadline;
  std::atomic<bool> ready{false};
  std::atomic<bool> leaving{false};
  WorkPool endpoint_pool;
  WorkPool worker_pool;
  DutyLoop loop;
  std::unique_ptr<HttpServer> server;
};

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_ENDPOINT_DUTY_H_
