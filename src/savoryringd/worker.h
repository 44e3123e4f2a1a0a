/// Interface of the endpoint duty to the platform's worker on the same VM.
#ifndef SAVORYRING_SAVORYRINGD_WORKER_H_
#define SAVORYRING_SAVORYRINGD_WORKER_H_

#include <optional>
#include <string>
#include <vector>

#include "libplacement/task_runner.h"
#include "savoryring/time.h"

namespace savoryring {

struct WorkerSize {
  std::uint32_t processors = 0;
  std::uint64_t memory_mb = 0;
  std::uint32_t accelerators = 0;
};

struct StopOutcome {
  bool stopped = false;
  std::string checkpoint;
};

/// Calls block until the worker answers or a timeout passes. A call that gets
/// no valid answer returns false, nullopt or an empty value.
class Worker {
 public:
  virtual ~Worker() = default;
  virtual std::optional<WorkerSize> Describe() = 0;
  virtual bool Start(const wire::TaskOrder& order, TimePoint lease_end) = 0;
  virtual bool Renew(const TaskRun& run, TimePoint lease_end) = 0;
  virtual StopOutcome CheckpointAndStop(const TaskRun& run) = 0;
  virtual bool Throttle(const TaskRun& run, double share) = 0;
  virtual std::optional<std::vector<WorkerTask>> ListTasks() = 0;
  virtual std::vector<wire::TaskUsage> ListUsage() = 0;
};

/// Calls the worker over HTTP on loopback.
class HttpWorker : public Worker {
 public:
  explicit HttpWorker(std::string url);

  std::optional<WorkerSize> Describe() override;
  bool Start(const wire::TaskOrder& order, TimePoint lease_end) override;
  bool Renew(const TaskRun& run, TimePoint lease_end) override;
  StopOutcome CheckpointAndStop(const TaskRun& run) override;
  bool Throttle(const TaskRun& run, double share) override;
  std::optional<std::vector<WorkerTask>> ListTasks() override;
  std::vector<wire::TaskUsage> ListUsage() override;

 private:
  std::string url;
};

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_WORKER_H_
