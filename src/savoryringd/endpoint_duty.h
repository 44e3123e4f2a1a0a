/// The endpoint duty, which runs on each endpoint VM. It announces the local
/// endpoint to the entries, admits requests to it, and runs tasks on the local
/// worker under a lease.
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
  /// `worker` is null if the VM runs no tasks. Throws Error
  /// (kAddressInUse). `process` must outlive the duty.
  EndpointDuty(Process& process, std::unique_ptr<Worker> worker);
  ~EndpointDuty() override;

  void Start() override;
  void Leave() override;
  bool IsIdle() override;
  void Stop() override;

 private:
  // Data of an attempt that is queued, is running, or has ended but may still
  // be requested again.
  struct AttemptData {
    wire::Attempt attempt;
    Origin origin;
    TimePoint arrival_time;
    TimePoint deadline;
    Span span;  // from arrival to the end of the run
    wire::AttemptUpdate answer;
  };

  void OnMessage(const Received& message, TimePoint now) override;
  void OnTick(TimePoint now) override;
  void OnBatchEnd(TimePoint now) override;

  HttpResponse OnHttp(const HttpRequest& request);
  LocalEndpoint ParseEndpoint(const HttpRequest& request, TimePoint now) const;
  void OnAttempt(const Received& message, TimePoint now);
  void OnRevocation(const Received& message, TimePoint now);
  void OnOrders(const Received& message, TimePoint now);
  void RunAdmissionEffects(TimePoint now);
  void StartRun(const AttemptKey& key, TimePoint now);
  void SendAttemptUpdate(const ReportAttempt& effect);
  void FinishRun(const AttemptKey& key,
                 const std::optional<HttpResponse>& response);
  void RunTaskEffects();
  void Announce(TimePoint now);
  void SendHeartbeat(TimePoint now);
  void PollWorker(TimePoint now);
  void LogLeaseEnd(TimePoint now);

  Process* process;
  std::unique_ptr<Worker> worker;
  Link link;
  Admission admission;
  TaskRunner runner;
  EstateFollower estate;
  PeerLiveness liveness;
  std::map<AttemptKey, AttemptData> attempts;
  // Origins of the messages being handled, so that attempts that are not in
  // `attempts` can be reported too.
  std::map<AttemptKey, Origin> message_origins;
  std::size_t control_index = 0;  // the replica that heartbeats are sent to
  std::uint64_t announcement_sequence = 0;
  std::optional<WorkerSize> worker_size;  // empty until the worker reports it
  std::vector<wire::TaskUsage> task_usage;
  LatencyWindows latencies;  // of the local endpoint's services
  bool poll_in_progress = false;
  bool had_lease = false;
  bool worker_reachable = true;
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
