/// Decides which worker may test a suspect: a task whose worker crashed just
/// after it had begun a run. Answers the load of a task that crashes worker
/// after worker among many sound tasks that are lost with it. A suspect runs
/// where no other job has begun a run shortly before, and no other job begins
/// one until the suspect has survived, so that a second crash tells which job
/// is at fault. Deterministic, soft state of the leader.
#ifndef SAVORYRING_LIBJOBS_CRASH_ISOLATION_H_
#define SAVORYRING_LIBJOBS_CRASH_ISOLATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "savoryring/time.h"

namespace savoryring {

struct CrashIsolationOptions {
  /// Exceeds the time before a crash in which agents count runs as recent, by
  /// the time that an order may take.
  Milliseconds quiet_time{300};
  /// How long a worker is kept free of new runs for a suspect.
  Milliseconds reservation_time{1500};
  /// A worker gets other jobs again after this, if nobody tells whether the
  /// suspect has survived.
  Milliseconds max_test_time{3000};
  /// One of this many workers may be reserved or test suspects at a time ...
  std::size_t workers_per_test = 3;
  /// ... and one of this many, with those that have crashed in a test and are
  /// not back.
  std::size_t workers_per_crash = 2;
  /// A worker that is not back after this is not waited for.
  Milliseconds max_crash_time{10'000};
};

class CrashIsolation {
 public:
  /// `led_since`: runs that earlier leaders assigned may have begun until then.
  CrashIsolation(CrashIsolationOptions options, TimePoint led_since);

  /// A run of the job, given by its sequence number, is assigned to the worker
  /// of the agent.
  void OnRunAssigned(const std::string& agent,
                     std::uint64_t job,
                     TimePoint now);
  /// A suspect of the job is assigned to the worker.
  void StartTest(const std::string& agent, std::uint64_t job, TimePoint now);
  /// The jobs whose suspects are assigned to workers, by agent. Ends the tests
  /// on all other workers.
  void SetTests(const std::map<std::string, std::uint64_t>& jobs,
                TimePoint now);
  void OnWorkerCrashed(const std::string& agent, TimePoint now);
  /// Another worker took the place of the agent's worker; it has begun nothing.
  void OnWorkerReplaced(const std::string& agent);

  /// Workers that have crashed in a test and are not back.
  std::size_t CountCrashedWorkers(TimePoint now) const;
  /// The only job that the worker may begin runs of; 0: any.
  std::uint64_t JobUnderTest(const std::string& agent, TimePoint now) const;
  /// Whether a suspect of the job may begin on the worker, one of
  /// `worker_count` that are available.
  bool MayTest(const std::string& agent,
               std::uint64_t job,
               std::size_t worker_count,
               TimePoint now) const;
  /// Keeps the worker free of other jobs' runs, unless too many are already.
  /// Returns whether it is.
  bool Reserve(const std::string& agent,
               std::uint64_t job,
               std::size_t worker_count,
               TimePoint now);

 private:
  struct Worker {
    std::uint64_t job = 0;  // reserved for it, or testing it
    bool testing = false;
    TimePoint until;                            // of the reservation or test
    TimePoint crashed_until;                    // the epoch: not in a test
    std::map<std::uint64_t, TimePoint> starts;  // latest of each job
  };
  bool MayUseAnother(std::size_t worker_count, TimePoint now) const;
  bool IsQuiet(const Worker& worker, std::uint64_t job, TimePoint now) const;

  CrashIsolationOptions options;
  TimePoint led_since;
  std::map<std::string, Worker> workers;  // by agent
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_CRASH_ISOLATION_H_
