/// Admission of requests at one endpoint: a deterministic core of the
/// endpoint process. It decides what runs, waits or is refused, and keeps the
/// table of attempts by which nothing runs twice and nothing that was
/// answered "not run" runs at all.
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

struct AdmissionMutations {
  bool ignore_bars = false;      ///< A barred attempt may run.
  bool forget_attempts = false;  ///< A repeated attempt runs again.
  bool accept_while_leaving = false;
};

struct AdmissionOptions {
  std::uint64_t incarnation = 0;
  std::uint32_t queue_per_slot = 2;
  AdmissionMutations mutations;
};

/// What the local endpoint says of itself.
struct LocalEndpoint {
  std::string service;
  std::string url;
  std::uint32_t slots = 1;
  std::uint32_t connections = 64;
  bool serving = true;
  TimePoint valid_until;
};

/// An attempt as far as admission needs it.
struct AttemptArrival {
  AttemptKey key;
  std::uint64_t oldest_open = 0;
  std::uint64_t endpoint_incarnation = 0;
  std::string service;
  TimePoint deadline;
};

/// The endpoint is to run the attempt now.
struct RunAttempt {
  AttemptKey key;
};
/// The state of an attempt is to be told to its entry. Where it is
/// kAnswered, the answer kept by the shell goes along.
struct TellAttempt {
  AttemptKey key;
  wire::AttemptState state = wire::ATTEMPT_UNKNOWN;
  ResultCode code = ResultCode::kOk;
};
/// What the shell keeps of the attempt may go.
struct ForgetAttempt {
  AttemptKey key;
};
using AdmissionEffect = std::variant<RunAttempt, TellAttempt, ForgetAttempt>;

class Admission {
 public:
  explicit Admission(AdmissionOptions options);

  void OnLocalEndpoint(const LocalEndpoint& endpoint, TimePoint now);
  void OnAttempt(const AttemptArrival& arrival, TimePoint now);
  void OnBar(const AttemptKey& key,
             std::uint64_t endpoint_incarnation,
             TimePoint now);
  /// The endpoint has answered (or failed to) an attempt that was run.
  void OnRunEnded(const AttemptKey& key, bool answered, TimePoint now);
  void OnTick(TimePoint now);
  /// From now on nothing new is taken; what runs or waits is finished.
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
  std::size_t KeptAttempts() const { return this->attempts.size(); }

 private:
  struct AttemptRecord {
    wire::AttemptState state = wire::ATTEMPT_UNKNOWN;
    ResultCode code = ResultCode::kOk;
    std::string service;
    TimePoint deadline;
    TimePoint run_start;
    TimePoint forget_deadline = kNever;
  };
  // A waiting attempt; the earliest deadline goes first.
  struct Waiting {
    TimePoint deadline;
    AttemptKey key;
    auto operator<=>(const Waiting& other) const = default;
  };
  struct Service {
    LocalEndpoint endpoint;
    std::uint32_t running = 0;
    std::set<Waiting> queue;
    std::chrono::nanoseconds mean_run{0};
  };
  // How far one entry process has closed its attempts.
  struct EntryProgress {
    std::uint64_t incarnation = 0;
    std::uint64_t oldest_open = 0;
  };

  ResultCode JudgeArrival(const Service& service,
                          const AttemptArrival& arrival,
                          TimePoint now) const;
  void Refuse(const AttemptKey& key, ResultCode code, TimePoint now);
  void Start(Service& service, const AttemptKey& key, TimePoint now);
  void FillSlots(Service& service, TimePoint now);
  void Tell(const AttemptKey& key, const AttemptRecord& record);
  bool IsClosed(const AttemptKey& key) const;
  void ForgetClosed(const AttemptArrival& arrival);
  void ForgetExpired(TimePoint now);
  bool IsServing(const Service& service, TimePoint now) const;

  AdmissionOptions options;
  bool leaving = false;
  std::map<std::string, Service> services;
  std::map<AttemptKey, AttemptRecord> attempts;
  std::map<std::string, EntryProgress> entries;
  TimePoint forget_check_deadline;
  std::vector<AdmissionEffect> effects;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBROUTING_ADMISSION_H_
