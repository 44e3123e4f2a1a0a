/// A seeded schedule with jobs on a test estate: clients, concurrent operators
/// and faults, then recovery without faults, then a check that all work was
/// done.
#ifndef SAVORYRING_TESTSUITE_SCHEDULE_JOB_SCHEDULE_H_
#define SAVORYRING_TESTSUITE_SCHEDULE_JOB_SCHEDULE_H_

#include <string>

#include "testsuite/schedule/fault_driver.h"
#include "testsuite/schedule/nodes.h"

namespace savoryring {

class JobSchedule {
 public:
  JobSchedule(const ScheduleOptions& options, const FaultPlan& plan);

  /// Throws Violation if a guarantee is violated, or if work is not done some
  /// time after the faults have ended.
  void Run(Milliseconds length);

  TestEstate estate;

 private:
  void SubmitFirstEstate();
  void SubmitEstate();
  void SubmitEstateVersion(std::uint64_t version, std::uint64_t variant);
  void SubmitJob();
  void SendJob(const std::string& id, int sending);
  void OnJobReply(const std::string& id,
                  int sending,
                  const wire::ControlReply& reply);
  void ResendLater(const std::string& id, int sending, Milliseconds max_delay);
  void CancelRandomJob();
  void QueryRandomJob();
  GatewayNode* RandomGateway();
  std::string RandomJob();
  std::string CreateJob();
  void TraceReplicas();
  void CheckAllDone();

  FaultDriver faults;
  Estate parsed_estate;  // the first one submitted
  std::uint64_t last_version = 1;
  std::map<std::string, std::string> documents;  // by job
};

}  // namespace savoryring

#endif  // SAVORYRING_TESTSUITE_SCHEDULE_JOB_SCHEDULE_H_
