/// A seeded schedule: load, racing operators and faults on a test estate,
/// then healing, then the check that all work was done.
#ifndef SAVORYRING_TESTSUITE_SCHEDULE_SCHEDULE_H_
#define SAVORYRING_TESTSUITE_SCHEDULE_SCHEDULE_H_

#include <map>
#include <string>

#include "testsuite/schedule/nodes.h"

namespace savoryring {

/// How often each fault comes, in mean time between two; zero for never.
struct FaultPlan {
  Milliseconds kill_control{0};
  Milliseconds kill_vm_process{0};
  Milliseconds kill_entry{0};
  Milliseconds restart_vm{0};
  Milliseconds freeze{0};
  Milliseconds isolate_control{0};
  Milliseconds one_way_cut{0};
  Milliseconds silent_connection{0};
  Milliseconds lose_disk{0};
  Milliseconds leave{0};
  NetworkFaults network;
};

/// Every fault of the plan above, each every few seconds.
FaultPlan AllFaults();

class Schedule {
 public:
  Schedule(const ScheduleOptions& options, const FaultPlan& plan);

  /// Throws Violation where a promise is broken, also that all work is done
  /// once the faults have ended.
  void Run(Milliseconds length);

  const Ledger& ledger() const { return this->estate.ledger; }
  TestEstate estate;

 private:
  void Every(Milliseconds mean, std::function<void()> action);
  void SubmitEstate();
  void OneSubmission(const std::string& text, std::uint64_t version);
  void SubmitTask();
  void SendRequest();
  void SendAgain(const Sending& sending, const std::string& key);
  EntryNode* AnyEntry();
  Node* AnyNode();
  void PlanFaults(const FaultPlan& plan);
  void LoseADisk();
  bool GroupIsWhole();
  void CheckAllDone();
  std::string EstateText(std::uint64_t variant) const;

  ScheduleOptions options;
  FaultPlan plan;
  TimePoint fault_end;
  std::uint64_t next_request = 1;
  std::uint64_t next_key = 1;
  std::map<std::string, std::string> submitted_tasks;  // id, by key
};

}  // namespace savoryring

#endif  // SAVORYRING_TESTSUITE_SCHEDULE_SCHEDULE_H_
