/// The entry duty: connects the router, which does no I/O, to the network. It
/// accepts callers' HTTP requests, sends attempts to endpoint processes and
/// returns their answers.
#ifndef SAVORYRING_SAVORYRINGD_ENTRY_DUTY_H_
#define SAVORYRING_SAVORYRINGD_ENTRY_DUTY_H_

#include <atomic>
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
  // A caller's request that has not been answered yet.
  struct OpenRequest {
    HttpRequest request;
    CallerRequest routed;
    std::string path;  // below the service
    Span span;
    TimePoint answer_deadline;
    int attempts = 0;
    AttemptKey claim_holder;  // identifies this request as its claim's holder
    HttpResponder respond;
  };

  void OnMessage(const Received& message, TimePoint now) override;
  void OnTick(TimePoint now) override;
  void OnBatchEnd(TimePoint now) override;

  void OnHttp(const HttpRequest& request, const HttpResponder& respond);
  void CallService(const HttpRequest& request, const HttpResponder& respond);
  void CallControl(const HttpRequest& request, const HttpResponder& respond);
  std::unique_ptr<OpenRequest> ParseRequest(const HttpRequest& request,
                                            TimePoint now);
  void StartRequest(std::unique_ptr<OpenRequest> open);

  void OnAnnouncement(const Received& message, TimePoint now);
  /// Number of services that the endpoint is known to serve at `now`.
  std::size_t CountServices(const std::string& endpoint, TimePoint now) const;
  void OnAttemptUpdate(const Received& message, TimePoint now);
  void RunRouterEffects(TimePoint now);
  void SendToEndpoint(const SendAttempt& effect, TimePoint now);
  void AcquireClaim(const RequestClaim& effect, TimePoint now);
  void RecordClaimOutcome(const SettleClaim& effect, TimePoint now);
  /// Answers the caller; if the request's claim is being settled, then after
  /// that.
  void AnswerCaller(std::uint64_t request, HttpResponse response);
  void FinishRequest(std::uint64_t request, HttpResponse response);
  wire::ClaimRecord MakeClaim(const OpenRequest& open) const;
  void SendClaimCall(const std::string& method,
                     const wire::ClaimRecord& claim,
                     TimePoint deadline,
                     TimePoint now,
                     ControlCaller::ReplyCallback callback);
  /// Whether a majority of the control group has answered this entry.
  bool HasHeardFromMajority() const;

  Process* process;
  Link link;
  Router router;
  EstateFollower estate;
  ControlCaller control_caller;
  std::uint64_t last_request = 0;
  std::map<std::uint64_t, std::unique_ptr<OpenRequest>> open_requests;
  // The attempt update that the router is processing; null otherwise.
  const wire::AttemptUpdate* current_update = nullptr;
  wire::ClaimRecord current_claim;  // from the last reply to a claim request
  // Answers that are held back until their claims are settled.
  std::map<std::uint64_t, HttpResponse> held_answers;
  std::set<std::string> answering_controls;  // links of replicas
  // From this time on, the entry serves even without a majority of the control
  // group, with what it knows.
  TimePoint majority_deadline;
  TimePoint heartbeat_deadline;
  bool received_any_message = false;
  std::atomic<bool> ready{false};
  std::atomic<bool> leaving{false};
  DutyLoop loop;
  std::unique_ptr<HttpServer> server;
};

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_ENTRY_DUTY_H_
