/// A seeded schedule on a test estate: load, concurrent operators and faults,
/// then recovery without faults, then a check that all work was done.
#ifndef SAVORYRING_TESTSUITE_SCHEDULE_SCHEDULE_H_
#define SAVORYRING_TESTSUITE_SCHEDULE_SCHEDULE_H_

#include <map>
#include <string>

#include "testsuite/schedule/fault_driver.h"
#include "testsuite/schedule/nodes.h"

namespace savoryring {

class Schedule {
 public:
  Schedule(const ScheduleOptions& options, const FaultPlan& plan);

  /// Throws Violation if a guarantee is violated, or if work is not done some
  /// time after the faults have ended.
  void Run(Milliseconds length);

  const Ledger& ledger() const { return this->estate.ledger; }
  TestEstate estate;

 private:
  void SubmitEstate();
  void SubmitEstateVersion(const std::string& text, std::uint64_t version);
  void SubmitTask();
  void SendRequest();
  void SendKeyedRequest(const Sending& sending, const std::string& key);
  EntryNode* RandomEntry();
  void CheckAllDone();
  std::string EstateText(std::uint64_t variant) const;

  ScheduleOptions options;
  FaultDriver faults;
  std::uint64_t next_request = 1;
  std::uint64_t next_key = 1;
  std::map<std::string, std::string> submitted_tasks;  // task id, by key
};

}  // namespace savoryring

#endif  // SAVORYRING_TESTSUITE_SCHEDULE_SCHEDULE_H_
