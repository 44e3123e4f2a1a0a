/// Records what workers, endpoints, callers and operators observed and checks
/// the guarantees of the system on every new observation. Uses only these
/// observations, never the system's own state.
#ifndef SAVORYRING_TESTSUITE_SCHEDULE_LEDGER_H_
#define SAVORYRING_TESTSUITE_SCHEDULE_LEDGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>

#include "savoryring/estate.h"
#include "savoryring/time.h"

namespace savoryring {

/// A guarantee was violated; the text says which one and how.
class Violation : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// One transmission of a caller's request. A resend has the same `request` and
/// the next `number`.
struct Sending {
  std::uint64_t request = 0;
  std::uint64_t number = 0;
  auto operator<=>(const Sending& other) const = default;
};

/// A call of one process that the leader has decided.
struct Decision {
  std::string process;  ///< One incarnation of the caller.
  TimePoint sent;
  TimePoint shown;  ///< From then on, the caller relies on the revision.
  std::uint64_t revision = 0;
};

class Ledger {
 public:
  // --- Tasks, as workers run them ---
  void OnTaskStart(const std::string& worker,
                   const std::string& task,
                   const Resources& size,
                   const Resources& capacity);
  void OnTaskEnd(const std::string& worker,
                 const std::string& task,
                 const Resources& size,
                 bool finished,
                 bool repeatable);

  // --- Requests, as endpoints run them and callers are answered ---
  void OnRequestRun(const Sending& sending,
                    bool repeatable,
                    TimePoint leaving_since,
                    TimePoint now);
  void OnAnswer(const Sending& sending,
                bool not_run,
                bool forwarded,
                std::uint64_t answered_request);

  // --- Log and estate ---
  void OnApplied(std::uint64_t index, std::uint64_t checksum);
  void OnAccepted(std::uint64_t version, const std::string& content);
  void OnInForce(const std::string& process,
                 std::uint64_t revision,
                 const std::string& content);
  /// Calls that a process sends after it was shown a revision must not be
  /// decided by an older one.
  void OnDecided(const Decision& decision);
  std::uint64_t HighestAccepted() const;
  int TimesFinished(const std::string& task) const;
  void ForgetProcess(const std::string& process);

  std::uint64_t task_starts = 0;
  std::uint64_t requests_run = 0;
  std::uint64_t answers_forwarded = 0;
  std::uint64_t answers_not_run = 0;
  std::uint64_t answers_unknown = 0;

 private:
  struct RevisionUse {
    TimePoint first_shown = kNever;
    TimePoint last_sent;
  };
  std::map<std::string, std::map<std::uint64_t, RevisionUse>> revision_uses;
  std::map<std::string, std::string> running_on;  // worker, by task
  std::map<std::string, Resources> used;          // by worker
  std::map<std::string, int> finished;            // by task
  std::map<Sending, int> runs;
  std::map<std::uint64_t, int> runs_of_request;
  std::set<Sending> not_run;
  std::map<std::uint64_t, std::uint64_t> applied;
  std::map<std::uint64_t, std::string> accepted;
  std::map<std::string, std::uint64_t> in_force;
};

}  // namespace savoryring

#endif  // SAVORYRING_TESTSUITE_SCHEDULE_LEDGER_H_
