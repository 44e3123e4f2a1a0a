/// Admission control of an endpoint process: a deterministic state machine
/// without I/O. It starts, queues or refuses each attempt, and records attempts
/// so that none runs twice and none runs after it was reported as not run.
#ifndef SAVORYRING_LIBROUTING_ADMISSION_H_
#define SAVORYRING_LIBROUTING_ADMISSION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "librouting/attempt_key.h"
#include "savoryring/result.h"
#include "savoryring/time.h"

namespace savoryring {

/// Safety mechanisms that mutation tests disable, to show that the checks
/// detect their absence.
struct AdmissionMutations {
  bool ignore_revocations = false;   ///< A revoked attempt may run.
  bool run_closed_attempts = false;  ///< A closed attempt may run again.
  bool accept_while_leaving = false;
};

struct AdmissionOptions {
  std::uint64_t incarnation = 0;
  std::uint32_t queue_per_slot = 2;
  AdmissionMutations mutations;
};

/// The local endpoint, as it last registered with this process.
struct LocalEndpoint {
  std::string service;
  std::string url;
  std::uint32_t slots = 1;
  std::uint32_t connections = 64;
  bool serving = true;
  TimePoint valid_until;
};

/// The parts of an arriving attempt on which admission decides.
struct AttemptArrival {
  AttemptKey key;
  std::uint64_t oldest_open = 0;
  std::uint64_t endpoint_incarnation = 0;
  std::string service;
  TimePoint deadline;
};

/// Effect: run the attempt at the endpoint now.
struct RunAttempt {
  AttemptKey key;
};
/// Effect: report the state of an attempt to its entry. For ATTEMPT_ANSWERED
/// the endpoint process attaches the answer that it has stored.
struct ReportAttempt {
  AttemptKey key;
  wire::AttemptState state = wire::ATTEMPT_UNKNOWN;
  ResultCode code = ResultCode::kOk;
};
/// Effect: release the data that the endpoint process holds for the attempt.
struct DiscardAttempt {
  AttemptKey key;
};
using AdmissionEffect = std::variant<RunAttempt, ReportAttempt, DiscardAttempt>;

class Admission {
 public:
  explicit Admission(AdmissionOptions options);

  void OnLocalEndpoint(const LocalEndpoint& endpoint, TimePoint now);
  void OnAttempt(const AttemptArrival& arrival, TimePoint now);
  /// Revokes an attempt that has not started, whether queued or yet to arrive.
  /// In any case reports the attempt's state.
  void OnRevocation(const AttemptKey& key,
                    std::uint64_t endpoint_incarnation,
                    TimePoint now);
  /// A started attempt has ended; `answered` is false if the call failed.
  void OnRunEnded(const AttemptKey& key, bool answered, TimePoint now);
  void OnTick(TimePoint now);
  /// Refuses new attempts from now on; running and queued ones are completed.
  void Leave(TimePoint now);

  std::vector<AdmissionEffect> TakeEffects();

  struct ServiceState {
    LocalEndpoint endpoint;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    bool serving = false;
  };
  std::vector<ServiceState> Services(TimePoint now) const;
  const LocalEndpoint* FindEndpoint(const std::string& service) const;
  bool IsIdle() const;
  bool IsLeaving() const { return this->leaving; }
  std::size_t RecordedAttempts() const { return this->attempts.size(); }

 private:
  struct AttemptRecord {
    wire::AttemptState state = wire::ATTEMPT_UNKNOWN;
    ResultCode code = ResultCode::kOk;
    std::string service;
    TimePoint deadline;
    TimePoint run_start;
    TimePoint discard_deadline = kNever;
  };
  // Queued attempts are ordered by deadline, the earliest first.
  struct QueuedAttempt {
    TimePoint deadline;
    AttemptKey key;
    auto operator<=>(const QueuedAttempt& other) const = default;
  };
  struct Service {
    LocalEndpoint endpoint;
    std::uint32_t running = 0;
    std::set<QueuedAttempt> queue;
    std::chrono::nanoseconds mean_run_time{0};
  };
  // The attempts of one entry process with a counter below `oldest_open` are
  // closed: the entry has answered their requests.
  struct EntryProgress {
    std::uint64_t incarnation = 0;
    std::uint64_t oldest_open = 0;
  };

  ResultCode CheckAdmission(const Service& service,
                            const AttemptArrival& arrival,
                            TimePoint now) const;
  void Refuse(const AttemptKey& key, ResultCode code, TimePoint now);
  void Start(Service& service, const AttemptKey& key, TimePoint now);
  void StartQueued(Service& service, TimePoint now);
  void ReportState(const AttemptKey& key, const AttemptRecord& record);
  bool IsClosed(const AttemptKey& key) const;
  void DiscardClosed(const AttemptArrival& arrival);
  void DiscardExpired(TimePoint now);
  bool IsServing(const Service& service, TimePoint now) const;

  AdmissionOptions options;
  bool leaving = false;
  std::map<std::string, Service> services;
  std::map<AttemptKey, AttemptRecord> attempts;
  std::map<std::string, EntryProgress> entries;
  TimePoint expiry_check_deadline;
  std::vector<AdmissionEffect> effects;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBROUTING_ADMISSION_H_
