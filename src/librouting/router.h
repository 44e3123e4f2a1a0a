/// Routing of callers' requests: a deterministic core of the entry. It picks
/// endpoints, retries what may be retried, and tells a request "not run" only
/// when it is certain.
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

struct RouterMutations {
  bool retry_in_doubt = false;     ///< Sends on without a refusal or bar.
  bool skip_claims = false;        ///< Keys are not claimed.
  bool keep_silent_links = false;  ///< Connections are never replaced.
  bool doubt_is_not_run = false;   ///< Says "not run" without certainty.
};

struct RouterOptions {
  std::string entry;
  std::uint64_t incarnation = 0;
  std::string availability_zone;
  Milliseconds acknowledge{150};
  std::uint64_t seed = 0;
  bool use_hedges = true;
  bool use_retry_budget = true;
  bool use_random_choice = false;  ///< Baseline: any endpoint that serves.
  RouterMutations mutations;
};

struct CallerRequest {
  std::uint64_t id = 0;
  std::string service;
  TimePoint deadline;
  bool repeatable = false;
  std::string key;  ///< Idempotency key; empty where the caller gave none.
};

/// Send the request to an endpoint process.
struct SendAttempt {
  std::uint64_t request = 0;
  AttemptKey key;
  std::uint64_t oldest_open = 0;
  std::string link;
  std::uint64_t endpoint_incarnation = 0;
  TimePoint deadline;
};
/// Ask an endpoint process never to run an attempt, or to say how it stands.
struct SendBar {
  AttemptKey key;
  std::string link;
  std::uint64_t endpoint_incarnation = 0;
};
/// The connection does not carry messages any more; use a fresh one.
struct ReplaceConnection {
  std::string link;
};
/// Claim the request's idempotency key at the control group.
struct AskClaim {
  std::uint64_t request = 0;
  std::string key;
};
/// Record how a claimed request ended; the shell then gives the answer.
struct SettleClaim {
  std::uint64_t request = 0;
  std::string key;
  wire::ClaimState state = wire::CLAIM_UNKNOWN;
};
/// Pass on the endpoint's answer that came with attempt `key`.
struct PassAnswer {
  std::uint64_t request = 0;
  AttemptKey key;
};
/// Pass on the outcome that the claim has recorded.
struct PassRecorded {
  std::uint64_t request = 0;
};
/// Answer with a result code of the system's own.
struct AnswerResult {
  std::uint64_t request = 0;
  ResultCode code = ResultCode::kInternal;
};
/// The endpoint failed repeatedly and is avoided for a while.
struct EndpointEjected {
  std::string endpoint;
};
using RouterEffect = std::variant<SendAttempt,
                                  SendBar,
                                  ReplaceConnection,
                                  AskClaim,
                                  SettleClaim,
                                  PassAnswer,
                                  PassRecorded,
                                  AnswerResult,
                                  EndpointEjected>;

/// What an endpoint process says of an attempt.
struct AttemptNews {
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
  void OnNews(const AttemptNews& news, TimePoint now);
  void OnClaim(std::uint64_t request, wire::ClaimState state, TimePoint now);
  void OnTick(TimePoint now);

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
    kBarring,
    kNotRun,
    kDoubtful
  };
  struct OpenAttempt {
    AttemptKey key;
    std::string endpoint;
    std::string link;
    std::uint64_t endpoint_incarnation = 0;
    AttemptPhase phase = AttemptPhase::kSent;
    TimePoint sent;
    TimePoint check_deadline;  // when a missing answer calls for a bar
  };
  struct OpenRequest {
    CallerRequest request;
    bool claiming = false;
    TimePoint claim_deadline = kNever;  // when the claim is asked again
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

  void BeginAttempts(OpenRequest& open, TimePoint now);
  bool StartAttempt(OpenRequest& open, TimePoint now);
  void StartAttemptAt(OpenRequest& open,
                      const EndpointRecord& endpoint,
                      TimePoint now);
  void Hedge(OpenRequest& open, TimePoint now);
  const EndpointRecord* Choose(const OpenRequest& open, TimePoint now);
  std::vector<const EndpointRecord*> Usable(
      const OpenRequest& open,
      const std::vector<const EndpointRecord*>& list,
      TimePoint now);
  const EndpointRecord* Pick(
      const std::vector<const EndpointRecord*>& candidates,
      const std::string& service);
  /// A random number below `limit`.
  std::size_t Below(std::size_t limit);
  void CheckRequest(std::uint64_t id, TimePoint now);
  void CheckAttempt(OpenRequest& open, OpenAttempt& attempt, TimePoint now);
  void TryElsewhere(OpenRequest& open, ResultCode refusal, TimePoint now);
  void Finish(OpenRequest& open, ResultCode code);
  void Close(std::uint64_t id, wire::ClaimState claim, RouterEffect answer);
  void ScheduleCheck(OpenRequest& open);
  void MarkEnded(const OpenAttempt& attempt);
  void NoteFailure(const std::string& endpoint, TimePoint now);
  bool MayRetry(const OpenRequest& open, TimePoint now) const;
  OpenAttempt* FindAttempt(const AttemptKey& key, OpenRequest** open);
  std::uint64_t OldestOpen() const;

  RouterOptions options;
  pcg64 random;
  Directory endpoints;
  EndpointScores scores;
  RetryBudget budget;
  std::map<std::string, ServiceSpec> services;
  std::map<std::uint64_t, OpenRequest> requests;
  std::map<std::uint64_t, std::uint64_t> request_of_attempt;
  std::set<Check> checks;
  std::uint64_t next_counter = 1;
  std::uint64_t retry_count = 0;
  std::uint64_t hedge_count = 0;
  std::vector<RouterEffect> effects;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBROUTING_ROUTER_H_
