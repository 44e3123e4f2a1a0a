/// The entry duty: shell around the router. Takes callers' HTTP, carries
/// attempts to endpoint processes and passes on what they answer.
#ifndef SAVORYRING_SAVORYRINGD_ENTRY_DUTY_H_
#define SAVORYRING_SAVORYRINGD_ENTRY_DUTY_H_

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "librouting/router.h"
#include "librouting/routing.pb.h"
#include "libtransport/duty_loop.h"
#include "libtransport/http.h"
#include "libtransport/link.h"
#include "savoryringd/control_caller.h"
#include "savoryringd/estate_follower.h"
#include "savoryringd/process.h"

namespace savoryring {

class EntryDuty : public Duty, private DutyHandler {
 public:
  /// Throws Error (kAddressInUse). `process` must outlive the duty.
  explicit EntryDuty(Process& process);
  ~EntryDuty() override;

  void Start() override;
  void Leave() override;
  bool IsIdle() override;
  void Stop() override;

 private:
  // A caller's request that waits for its answer.
  struct OpenCall {
    HttpRequest request;
    CallerRequest routed;
    std::string path;  // below the service
    Span span;
    TimePoint answer_deadline;
    int attempts = 0;
    AttemptKey holder;  // names this request in its claim
    std::promise<HttpResponse> answer;
  };

  void OnMessage(const Received& message, TimePoint now) override;
  void OnTick(TimePoint now) override;
  void OnBatchEnd(TimePoint now) override;

  HttpResponse OnHttp(const HttpRequest& request);
  HttpResponse CallService(const HttpRequest& request);
  HttpResponse CallControl(const HttpRequest& request);
  std::unique_ptr<OpenCall> ReadCall(const HttpRequest& request, TimePoint now);
  void Begin(std::unique_ptr<OpenCall> call);

  void OnAnnouncement(const Received& message, TimePoint now);
  /// Services that the endpoint is known to serve at `now`.
  std::size_t CountServed(const std::string& endpoint, TimePoint now) const;
  void OnAttemptUpdate(const Received& message, TimePoint now);
  void RunRouterEffects(TimePoint now);
  void Send(const SendAttempt& effect, TimePoint now);
  void Ask(const RequestClaim& effect, TimePoint now);
  void Settle(const SettleClaim& effect, TimePoint now);
  void Answer(std::uint64_t request, HttpResponse response);
  void Finish(std::uint64_t request, HttpResponse response);
  wire::ClaimRecord ClaimOf(const OpenCall& call) const;
  void SendClaimCall(const std::string& method,
                     const wire::ClaimRecord& claim,
                     TimePoint deadline,
                     TimePoint now,
                     ControlCaller::Function function);
  bool HasHeardMajority() const;

  Process* process;
  Link link;
  Router router;
  EstateFollower estate;
  ControlCaller control;
  std::uint64_t last_request = 0;
  std::map<std::uint64_t, std::unique_ptr<OpenCall>> calls;
  // The update whose news the router is being told; nothing outside that.
  const wire::AttemptUpdate* current_update = nullptr;
  wire::ClaimRecord current_claim;
  // Answers that wait until their claim is settled.
  std::map<std::uint64_t, HttpResponse> settling;
  std::set<std::string> heard_controls;
  TimePoint serve_deadline;  // when the entry serves with what it can reach
  TimePoint heartbeat_deadline;
  bool heard_anyone = false;
  std::atomic<bool> ready{false};
  std::atomic<bool> leaving{false};
  DutyLoop loop;
  std::unique_ptr<HttpServer> server;
};

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_ENTRY_DUTY_H_
