/// A seeded schedule with jobs on a test estate: clients, concurrent operators
/// and faults, then recovery without faults, then a check that all work was
/// done.
#ifndef SAVORYRING_TESTSUITE_SCHEDULE_JOB_SCHEDULE_H_
#define SAVORYRING_TESTSUITE_SCHEDULE_JOB_SCHEDULE_H_

#include <string>

#include "testsuite/schedule/fault_driver.h"
#include "testsuite/schedule/nodes.h"

namespace savoryring {

/// What clients submit. Each interval is a mean; zero disables the kind.
struct JobLoad {
  Milliseconds mixed_job{400};
  Milliseconds cancellation{1500};
  std::uint64_t first_lasting_jobs = 0;  ///< Submitted before the faults begin.
  int first_failing_waves = 0;           ///< Submitted before the faults begin.
  /// Of a job submitted when suspensions of the first waves are over.
  std::uint64_t late_lasting_tasks = 0;
  Milliseconds lasting_job{0};
  Milliseconds short_job{0};
  Milliseconds failing_jobs{0};     ///< Several that fail on every attempt.
  Milliseconds drain_of_worker{0};  ///< Beside lasting jobs that arrive.
  Milliseconds crashing_job{0};     ///< With a task that crashes its workers.
  /// Size of the document that each estate is submitted with.
  std::size_t estate_source_bytes = 0;
};

/// More work than workers have room for.
JobLoad ManyShortJobs();

class JobSchedule {
 public:
  JobSchedule(const ScheduleOptions& options,
              const FaultPlan& plan,
              const JobLoad& load = {});

  /// Throws Violation if a guarantee is violated, or if work is not done some
  /// time after the faults have ended.
  void Run(Milliseconds length);

  TestEstate estate;

 private:
  void SubmitFirstEstate();
  void SubmitEstate();
  void SubmitEstateVersion(std::uint64_t version, std::uint64_t variant);
  void SubmitJob();
  void SubmitLastingJob(std::uint64_t count);
  void SubmitShortJob();
  void SubmitFailingJobs();
  void SubmitCrashingJob();
  void DrainWorkerBesideArrivals();
  void StartClients();
  void CheckLastingTasks();
  void SendJob(const std::string& id, int sending);
  void OnJobReply(const std::string& id,
                  int sending,
                  const wire::ControlReply& reply);
  void ResendLater(const std::string& id, int sending, Milliseconds max_delay);
  void CancelRandomJob();
  void QueryRandomJob();
  GatewayNode* RandomGateway();
  std::string RandomJob();
  std::string NextJobId() const;
  std::string CreateJob();
  void TraceReplicas();
  void CheckAllDone();

  FaultDriver faults;
  JobLoad load;
  Estate parsed_estate;  // the first one submitted
  std::uint64_t last_version = 1;
  std::map<std::string, std::string> documents;  // by job
};

}  // namespace savoryring

#endif  // SAVORYRING_TESTSUITE_SCHEDULE_JOB_SCHEDULE_H_
