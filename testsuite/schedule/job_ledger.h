/// Records which job tasks the workers ran and what clients were told, and
/// checks the guarantees for jobs. Uses only these observations, never the
/// system's own state.
#ifndef SAVORYRING_TESTSUITE_SCHEDULE_JOB_LEDGER_H_
#define SAVORYRING_TESTSUITE_SCHEDULE_JOB_LEDGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libjobs/jobs.pb.h"
#include "savoryring/time.h"
#include "testsuite/workers/model_worker.h"

namespace savoryring {

struct WorkerCapacity {
  std::uint32_t cpu_milli = 0;
  std::uint64_t memory_mb = 0;
};

class JobLedger {
 public:
  /// A job as seen by its client.
  struct KnownJob {
    wire::JobSpec spec;
    std::uint64_t sent = 0;
    std::uint64_t refused = 0;
    bool accepted = false;
    TimePoint accepted_at;
    bool cancel_sent = false;
    bool cancelled = false;  ///< The cancellation was acknowledged.
    bool started = false;
  };

  // --- Clients ---
  void OnSent(const wire::JobSpec& spec);
  void OnAccepted(const std::string& job, TimePoint now);
  void OnRefused(const std::string& job);
  void OnCancelSent(const std::string& job);
  void OnCancelled(const std::string& job);
  /// A client's query was answered with this state.
  void OnStateShown(const std::string& job, const std::string& state);

  // --- Workers; `incarnation` names one incarnation of one worker ---
  void OnIncarnationStarted(const std::string& incarnation,
                            const WorkerCapacity& capacity,
                            TimePoint now);
  void OnCapacity(const std::string& incarnation,
                  const WorkerCapacity& capacity,
                  TimePoint now);
  void OnDraining(const std::string& incarnation);
  void OnZone(const std::string& incarnation, const std::string& zone);
  /// The worker itself is faulty until then; the others are not affected.
  void OnFaulty(const std::string& incarnation, TimePoint until);
  void OnRunChange(const std::string& incarnation,
                   const WorkerCapacity& capacity,
                   const ModelRunChange& change,
                   TimePoint now);
  /// The worker was told that its run ends up to this number are recorded.
  void OnEndsAcknowledged(const std::string& incarnation, std::uint64_t up_to);
  /// The worker's hold has expired. A finished run that it had listed by then
  /// and that is acknowledged later does not count as recorded: the leader was
  /// entitled to give the run up in between. Failed runs count all the same.
  void OnHoldLapsed(const std::string& incarnation);
  /// The incarnation is gone, with all runs in it.
  void OnIncarnationEnded(const std::string& incarnation, TimePoint now);

  // --- Zones ---
  /// An evacuation was sent, and may be committed from now on.
  void OnEvacuationSent(const std::string& zone);
  /// The evacuation of the zone was acknowledged.
  void OnZoneEvacuated(const std::string& zone, TimePoint now);
  /// Its return was sent, and may be committed from now on.
  void OnZoneReturnSent(const std::string& zone);
  /// Its return was acknowledged, or its evacuation refused.
  void OnZoneInUse(const std::string& zone, TimePoint now);

  // --- Lasting tasks ---
  /// A fault of a process, a worker or the network lasts until `until`.
  void OnFault(TimePoint until);
  /// Throws Violation if a lasting task has been without a run for too long
  /// although all was calm and several workers had room. To be called at short
  /// intervals.
  void CheckLastingTasks(TimePoint now);

  /// Throws Violation if an accepted job has not ended.
  void CheckAllDone() const;

  const std::map<std::string, KnownJob>& jobs() const {
    return this->known_jobs;
  }
  std::uint64_t starts = 0;
  std::uint64_t lapsed_runs = 0;

 private:
  struct End {
    std::string task;
    wire::RunEnd how = wire::RUN_END_UNSPECIFIED;
  };
  struct Incarnation {
    std::set<std::string> running;
    std::map<std::uint64_t, End> ends;
    std::uint64_t acknowledged_up_to = 0;
    std::uint64_t void_up_to = 0;  // ends listed before the hold expired
    WorkerCapacity capacity;
    WorkerCapacity used;
    WorkerCapacity peak_used;  // since the last check of lasting tasks
    bool draining = false;
    std::string zone;
    TimePoint sound_since;
    std::map<std::string, std::uint32_t> runs_of_step;
  };

  void OnRunStarted(Incarnation& incarnation,
                    const std::string& name,
                    const WorkerCapacity& capacity,
                    const ModelRunChange& change,
                    TimePoint now);
  void OnRunEnded(Incarnation& incarnation,
                  const ModelRunChange& change,
                  TimePoint now);
  void CheckStart(const KnownJob& job, const ModelRunChange& change) const;
  void CheckCrashes(const std::string& task);
  bool IsStepDone(const KnownJob& job,
                  std::uint32_t occurrence,
                  std::uint32_t step) const;
  bool IsAllDone(const KnownJob& job) const;
  bool MayBeGivenUp(const KnownJob& job) const;
  bool HasFailed(const KnownJob& job) const;
  void CheckLastingStep(const KnownJob& job, int step, TimePoint now);
  std::vector<std::string> WorkersWithRoom(const KnownJob& job,
                                           int step,
                                           TimePoint now) const;

  std::map<std::string, KnownJob> known_jobs;
  std::map<std::string, Incarnation> incarnations;
  std::map<std::string, std::string> running_on;  // incarnation, by task
  std::set<std::string> done;                     // by task
  std::set<std::string> acknowledged_done;        // by task
  std::map<std::string, std::uint32_t> failures;  // by task
  std::map<std::string, std::uint32_t> acknowledged_failures;  // by task
  // Workers that a task has crashed, and its starts after the third; by task.
  std::map<std::string, std::uint32_t> crashes;
  std::map<std::string, std::uint32_t> starts_after_crashes;
  std::map<std::string, TimePoint> last_ends;   // of lasting tasks
  std::map<std::string, TimePoint> owed_since;  // lasting tasks without a run
  TimePoint calm_since;
  std::map<std::string, TimePoint> evacuated_since;  // by zone
  std::set<std::string> unusable_zones;              // perhaps evacuated
};

}  // namespace savoryring

#endif  // SAVORYRING_TESTSUITE_SCHEDULE_JOB_LEDGER_H_
