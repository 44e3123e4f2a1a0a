/// What a leader remembers for its decisions on arriving jobs: measured rates
/// by service, jobs that are proposed and not applied, and recent refusals.
/// Deterministic and soft: a new leader starts without it and refuses nothing
/// until it has measured.
#ifndef SAVORYRING_LIBJOBS_JOB_ADMISSION_H_
#define SAVORYRING_LIBJOBS_JOB_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libjobs/job_memory.h"
#include "libjobs/jobs.pb.h"
#include "libjobs/overload_policy.h"
#include "savoryring/time.h"

namespace savoryring {

class JobAdmission {
 public:
  /// Records that a run of a task of `step` went from one percentage to another
  /// within `elapsed`.
  void OnProgress(const std::string& service,
                  const wire::JobStep& step,
                  std::uint32_t from_percent,
                  std::uint32_t to_percent,
                  std::chrono::nanoseconds elapsed,
                  TimePoint now);
  /// Records whether work of each class waits for capacity; the services that
  /// are not named have no backlog.
  void SetBacklogs(
      const std::map<std::string, std::array<bool, kWorkClasses>>& backlogs,
      TimePoint now);
  bool HasBacklog(const std::string& service, WorkClass work_class) const;
  double TypicalSpeed(const std::string& service, TimePoint now) const;

  /// Measured rates of the classes that have a backlog, for a job of this
  /// priority.
  WorkRates Rates(const std::string& service,
                  std::uint32_t priority,
                  TimePoint now) const;

  /// A job is proposed until the table knows it.
  void OnProposed(const wire::JobSpec& spec, const OpenJob& job, TimePoint now);
  /// Adds the memory of proposed jobs, those of `queue` apart.
  void AddProposedMemory(const std::string& queue, JobMemoryUse& use) const;
  void OnAccepted(const std::string& id) { this->proposed.erase(id); }
  bool IsProposed(const std::string& id) const {
    return this->proposed.contains(id);
  }
  void AddProposed(const std::string& service,
                   std::vector<OpenJob>& open_jobs) const;

  void OnRefused(const std::string& id,
                 const RefuseJob& refusal,
                 TimePoint now);
  /// The earlier refusal of the job, as long as a copy of the refused call may
  /// still arrive: accepting it would make the refusal untrue.
  std::optional<RefuseJob> FindRefusal(const std::string& id, TimePoint now);

 private:
  struct Proposed {
    std::string service;
    std::string queue;
    OpenJob job;
    std::uint64_t held_bytes = 0;
  };
  struct Refused {
    RefuseJob refusal;
    TimePoint held_until;
    TimePoint retry_time;
  };
  std::map<std::string, WorkMeter> meters;   // by service
  std::map<std::string, Proposed> proposed;  // by job id
  std::map<std::string, Refused> refused;    // by job id
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_JOB_ADMISSION_H_
