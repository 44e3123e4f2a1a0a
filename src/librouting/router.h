/// Routes callers' requests to endpoints: a deterministic state machine of the
/// entry, without I/O. It selects endpoints, retries requests where that is
/// safe, and answers "not run" only if no attempt can have run.
#ifndef SAVORYRING_LIBROUTING_ROUTER_H_
#define SAVORYRING_LIBROUTING_ROUTER_H_

#include <cstdint>
#include <map>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libmembership/directory.h"
#include "librouting/attempt_key.h"
#include "librouting/endpoint_score.h"
#include "librouting/retry_budget.h"
#include "savoryring/estate.h"
#include "savoryring/result.h"
#include "savoryring/time.h"

namespace savoryring {

/// Safety mechanisms that mutation tests disable, to show that the checks
/// detect their absence.
struct RouterMutations {
  /// Retries although an attempt may have run.
  bool retry_unknown_outcome = false;
  /// Idempotency keys are not claimed.
  bool skip_claims = false;
  /// Never replaces connections.
  bool keep_unresponsive_connections = false;
  /// Answers "not run" although an attempt may have run.
  bool report_unknown_as_not_run = false;
};

struct RouterOptions {
  std::string entry;
  std::uint64_t incarnation = 0;
  std::string availability_zone;
  Milliseconds acknowledge_timeout{150};  ///< Before an attempt is revoked.
  std::uint64_t seed = 0;
  bool use_hedges = true;
  bool use_retry_budget = true;
  bool use_random_choice = false;  ///< Baseline: any serving endpoint.
  RouterMutations mutations;
};

struct CallerRequest {
  std::uint64_t id = 0;
  std::string service;
  TimePoint deadline;
  bool repeatable = false;
  std::string key;  ///< Idempotency key; empty if the caller gave none.
};

/// Effect: send an attempt at the request to an endpoint process.
struct SendAttempt {
  std::uint64_t request = 0;
  AttemptKey key;
  std::uint64_t oldest_open = 0;
  std::string link;
  std::uint64_t endpoint_incarnation = 0;
  TimePoint deadline;
};
/// Effect: revoke an attempt at its endpoint process, so that it never runs if
/// it has not started, and get its state.
struct SendRevocation {
  AttemptKey key;
  std::string link;
  std::uint64_t endpoint_incarnation = 0;
};
/// Effect: replace a connection that may no longer deliver messages.
struct ReplaceConnection {
  std::string link;
};
/// Effect: claim the request's idempotency key at the control group.
struct RequestClaim {
  std::uint64_t request = 0;
  std::string key;
};
/// Effect: record the outcome of a claimed request at the control group. The
/// entry then sends the answer.
struct SettleClaim {
  std::uint64_t request = 0;
  std::string key;
  wire::ClaimState state = wire::CLAIM_UNKNOWN;
};
/// Effect: forward the endpoint's answer to attempt `key` to the caller.
struct ForwardAnswer {
  std::uint64_t request = 0;
  AttemptKey key;
};
/// Effect: forward the answer that is recorded with the claim to the caller.
struct ForwardRecordedAnswer {
  std::uint64_t request = 0;
};
/// Effect: answer the caller with a result code of the entry itself.
struct AnswerWithCode {
  std::uint64_t request = 0;
  ResultCode code = ResultCode::kInternal;
};
/// Effect: the endpoint was ejected temporarily after repeated failures.
struct EndpointEjected {
  std::string endpoint;
};
using RouterEffect = std::variant<SendAttempt,
                                  SendRevocation,
                                  ReplaceConnection,
                                  RequestClaim,
                                  SettleClaim,
                                  ForwardAnswer,
                                  ForwardRecordedAnswer,
                                  AnswerWithCode,
                                  EndpointEjected>;

/// The state of an attempt as its endpoint process reports it.
struct AttemptStatus {
  AttemptKey key;
  wire::AttemptState state = wire::ATTEMPT_UNKNOWN;
  ResultCode code = ResultCode::kOk;
};

class Router {
 public:
  explicit Router(RouterOptions options);

  void OnEstate(const Estate& estate);
  void OnAnnouncement(const std::string& sender,
                      std::uint64_t incarnation,
                      const wire::EndpointAnnouncement& announcement,
                      TimePoint now);
  void OnRequest(const CallerRequest& request, TimePoint now);
  void OnAttemptStatus(const AttemptStatus& status, TimePoint now);
  void OnClaim(std::uint64_t request, wire::ClaimState state, TimePoint now);
  void OnTick(TimePoint now);
  /// Finishes all requests by `latest`, also those that are already open.
  void LimitDeadlines(TimePoint latest);

  std::vector<RouterEffect> TakeEffects();

  std::size_t OpenRequests() const { return this->requests.size(); }
  const Directory& directory() const { return this->endpoints; }
  Milliseconds DefaultTimeout(const std::string& service) const;
  bool KnowsService(const std::string& service) const;
  std::uint64_t retries() const { return this->retry_count; }
  std::uint64_t hedges() const { return this->hedge_count; }

 private:
  enum class AttemptPhase {
    kSent,
    kAcknowledged,
    kRevoking,
    kNotRun,
    kOutcomeUnknown
  };
  struct OpenAttempt {
    AttemptKey key;
    std::string endpoint;
    std::string link;
    std::uint64_t endpoint_incarnation = 0;
    AttemptPhase phase = AttemptPhase::kSent;
    TimePoint sent;
    TimePoint check_deadline;  // when a missing acknowledgement revokes it
  };
  struct OpenRequest {
    CallerRequest request;
    bool claiming = false;
    TimePoint claim_deadline = kNever;  // when the claim is retried
    TimePoint hedge_deadline = kNever;
    TimePoint next_check;
    ResultCode last_refusal = ResultCode::kNotStartedInTime;
    std::vector<OpenAttempt> attempts;
  };
  struct Check {
    TimePoint deadline;
    std::uint64_t request = 0;
    auto operator<=>(const Check& other) const = default;
  };

  void StartFirstAttempt(OpenRequest& open, TimePoint now);
  bool StartAttempt(OpenRequest& open, TimePoint now);
  void StartAttemptAt(OpenRequest& open,
                      const EndpointRecord& endpoint,
                      TimePoint now);
  void StartHedge(OpenRequest& open, TimePoint now);
  const EndpointRecord* ChooseEndpoint(const OpenRequest& open, TimePoint now);
  std::vector<const EndpointRecord*> UsableEndpoints(
      const OpenRequest& open,
      const std::vector<const EndpointRecord*>& list,
      TimePoint now);
  const EndpointRecord* PickEndpoint(
      const std::vector<const EndpointRecord*>& candidates,
      const std::string& service);
  /// A random number below `limit`.
  std::size_t RandomBelow(std::size_t limit);
  void CheckRequest(std::uint64_t id, TimePoint now);
  void CheckAttempt(OpenRequest& open, OpenAttempt& attempt, TimePoint now);
  void RetryOrFinish(OpenRequest& open, ResultCode refusal, TimePoint now);
  void Finish(OpenRequest& open, ResultCode code);
  void Close(std::uint64_t id, wire::ClaimState claim, RouterEffect answer);
  void ScheduleCheck(OpenRequest& open);
  void CloseAttempt(const OpenAttempt& attempt);
  void RecordFailure(const std::string& endpoint, TimePoint now);
  bool MayRetry(const OpenRequest& open, TimePoint now) const;
  /// Sets `open` to the request that the attempt belongs to.
  OpenAttempt* FindAttempt(const AttemptKey& key, OpenRequest** open);
  /// All attempts of this entry with a lower counter are closed.
  std::uint64_t OldestOpen() const;

  RouterOptions options;
  pcg64 random;
  Directory endpoints;
  EndpointScores scores;
  RetryBudget budget;
  std::map<std::string, ServiceSpec> services;
  std::map<std::uint64_t, OpenRequest> requests;
  TimePoint latest_deadline = kNever;
  std::map<std::uint64_t, std::uint64_t> request_of_attempt;
  std::set<Check> checks;
  std::uint64_t next_counter = 1;
  std::uint64_t retry_count = 0;
  std::uint64_t hedge_count = 0;
  std::vector<RouterEffect> effects;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBROUTING_ROUTER_H_
