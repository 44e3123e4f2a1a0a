#include "libplacement/interference_mitigator.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

// Consecutive measurements that are needed before interference is reduced and
// before a throttled task gets its share back. Restoring takes more of them so
// that the two do not oscillate.
constexpr int kHighMeasurementsToReduce = 1;
constexpr int kLowMeasurementsToRestore = 4;
// Fraction of the latency limit below which a measurement counts as low.
constexpr double kRestoreThreshold = 0.75;
// Time until an action shows in the measurements.
constexpr Milliseconds kSettleTime{1500};
// Lowest processor share to which a task is throttled.
constexpr double kMinShare = 0.25;
// Tasks that add less than this relative slowdown are left alone.
constexpr double kMinContribution = 0.03;
// Multiple of the latency limit above which an eviction is considered. Eviction
// can lose work, so a slight excess does not justify it.
constexpr double kEvictionThreshold = 1.3;
// Relative slowdown of a service that justifies one eviction when tail latency
// and evictions have equal weights.
constexpr double kEvictionCost = 0.2;
constexpr Milliseconds kEvictionWindow{60'000};
// Cap on evictions per window: a fraction of the running tasks, but at least
// kMinEvictionCap.
constexpr double kMaxEvictedFraction = 0.02;
constexpr std::size_t kMinEvictionCap = 2;
// Tolerated excess over the latency target when only throughput has weight; it
// scales with the weight of throughput.
constexpr double kMaxTolerance = 0.5;
// Measurements over fewer requests are ignored.
constexpr std::uint32_t kMinRequests = 5;

double LatencyLimit(const Weights& weights) {
  const double sum = weights.tail_latency + weights.throughput;
  return sum == 0 ? 1 : 1 + kMaxTolerance * weights.throughput / sum;
}

void AddEviction(const wire::TaskRecord& task,
                 const std::string& reason,
                 std::vector<wire::Command>& commands) {
  wire::StopTasks* command = commands.emplace_back().mutable_stop_tasks();
  command->add_tasks(task.id());
  command->set_cause(wire::STOP_CAUSE_EVICTED);
  command->set_why(reason);
}

// An unset share means that the task is not throttled.
double ShareOf(const wire::TaskRecord& task) {
  return task.share() > 0 ? task.share() : 1;
}

}  // namespace

Pressure PressureOn(const WorkerState& worker, const ControlState& state) {
  Pressure pressure;
  for (const std::string& id : worker.tasks) {
    const wire::TaskRecord& task = *state.FindTask(id);
    pressure[InterferenceClassOf(task.spec())] +=
        task.spec().processors() * ShareOf(task);
  }
  return pressure;
}

std::vector<wire::Command> InterferenceMitigator::Decide(
    const ControlState& state,
    const WorkerWatch& watch,
    TimePoint now) {
  std::vector<wire::Command> commands;
  for (const auto& [id, live] : watch.workers()) {
    const WorkerState* worker = state.FindWorker(id);
    if (worker == nullptr || live.measurements.empty())
      continue;
    for (const ServiceSpec& service : state.estate().estate().services) {
      const auto found = live.measurements.find(service.name);
      if (found == live.measurements.end())
        continue;
      InstanceState& instance =
          this->instances[{.worker = id, .service = service.name}];
      if (found->second.window() <= instance.last_window ||
          found->second.requests() < kMinRequests)
        continue;
      this->RecordMeasurement(instance, *worker, state, service, found->second);
      this->ApplyPolicy(instance, *worker, state, service, now, commands);
    }
  }
  return commands;
}

void InterferenceMitigator::RecordMeasurement(
    InstanceState& instance,
    const WorkerState& worker,
    const ControlState& state,
    const ServiceSpec& service,
    const wire::ServiceMeasurement& measurement) {
  instance.last_window = measurement.window();
  if (this->options.learn) {
    this->interference.OnMeasurement(service.name, measurement.p99_ms(),
                                     PressureOn(worker, state));
  }
  instance.relative_latency =
      measurement.p99_ms() / static_cast<double>(service.tail_target.count());
  const double limit = LatencyLimit(state.estate().estate().weights);
  instance.consecutive_high =
      instance.relative_latency > limit ? instance.consecutive_high + 1 : 0;
  instance.consecutive_low =
      instance.relative_latency < limit * kRestoreThreshold
          ? instance.consecutive_low + 1
          : 0;
}

void InterferenceMitigator::ApplyPolicy(InstanceState& instance,
                                        const WorkerState& worker,
                                        const ControlState& state,
                                        const ServiceSpec& service,
                                        TimePoint now,
                                        std::vector<wire::Command>& commands) {
  if (this->options.policy == MitigationPolicy::kNone)
    return;
  const bool hysteresis = this->options.hysteresis;
  if (hysteresis && now < instance.next_action_time)
    return;
  if (instance.consecutive_high >=
      (hysteresis ? kHighMeasurementsToReduce : 1)) {
    instance.next_action_time = now + kSettleTime;
    this->ReduceInterference(worker, state, service, instance.relative_latency,
                             now, commands);
  } else if (instance.consecutive_low >=
             (hysteresis ? kLowMeasurementsToRestore : 1)) {
    instance.consecutive_low = 0;
    this->RestoreShare(worker, state, service.name, instance.relative_latency,
                       commands);
  }
}

// Throttles the tasks that slow the service most, as far as needed to bring its
// expected latency below the limit. If throttling cannot do that, one task is
// evicted, provided that this alone suffices. If nothing suffices, no action is
// taken: slowing batch work would not bring any request within the target.
void InterferenceMitigator::ReduceInterference(
    const WorkerState& worker,
    const ControlState& state,
    const ServiceSpec& service,
    double relative_latency,
    TimePoint now,
    std::vector<wire::Command>& commands) {
  const Weights& weights = state.estate().estate().weights;
  const std::string& id = worker.record.description().id();
  const std::string reason = "it slows " + service.name + " on " + id;
  const std::vector<const wire::TaskRecord*> tasks =
      this->TasksByContribution(worker, state, service.name);
  if (tasks.empty())
    return;
  if (this->options.policy == MitigationPolicy::kAlwaysEvict) {
    AddEviction(*tasks.front(), reason, commands);
    return;
  }
  const Pressure pressure = PressureOn(worker, state);
  const double slowdown =
      1 + this->interference.Slowdown(service.name, pressure);
  // Relative latency without interference, derived from the measurement.
  const double baseline = relative_latency / slowdown;
  const double excess_slowdown =
      (relative_latency - LatencyLimit(weights)) / baseline;
  // Tasks are throttled less where throughput outweighs tail latency.
  const double min_share =
      weights.throughput > weights.tail_latency ? 2 * kMinShare : kMinShare;
  if (this->ThrottleTasks(tasks, service.name, min_share, excess_slowdown,
                          reason, commands))
    return;
  const double gain = this->Contribution(*tasks.front(), service.name);
  const bool severe =
      relative_latency > kEvictionThreshold * LatencyLimit(weights);
  const bool justified =
      severe && gain >= excess_slowdown &&
      weights.tail_latency * gain > weights.evictions * kEvictionCost;
  const bool may_evict =
      this->options.policy == MitigationPolicy::kThrottleThenEvict &&
      justified && this->ReserveEviction(state, now);
  if (may_evict)
    AddEviction(*tasks.front(), reason, commands);
}

// Throttles tasks so that the slowdown drops by at least `excess_slowdown`.
// Returns false, without any command, if that is not possible.
bool InterferenceMitigator::ThrottleTasks(
    const std::vector<const wire::TaskRecord*>& tasks,
    const std::string& service,
    double min_share,
    double excess_slowdown,
    const std::string& reason,
    std::vector<wire::Command>& commands) const {
  std::vector<wire::Command> throttles;
  for (const wire::TaskRecord* task : tasks) {
    const double share = ShareOf(*task);
    if (excess_slowdown <= 0 || share <= min_share)
      continue;
    const double slowdown_per_share =
        this->Contribution(*task, service) / share;
    const double new_share =
        std::max(min_share, share - excess_slowdown / slowdown_per_share);
    excess_slowdown -= slowdown_per_share * (share - new_share);
    wire::ThrottleTask* command =
        throttles.emplace_back().mutable_throttle_task();
    command->set_task(task->id());
    command->set_epoch(task->epoch());
    command->set_share(new_share);
    command->set_why(reason);
  }
  if (excess_slowdown > 0)
    return false;
  for (wire::Command& command : throttles)
    commands.push_back(std::move(command));
  return true;
}

std::vector<const wire::TaskRecord*> InterferenceMitigator::TasksByContribution(
    const WorkerState& worker,
    const ControlState& state,
    const std::string& service) const {
  std::vector<const wire::TaskRecord*> tasks;
  for (const std::string& id : worker.tasks) {
    const wire::TaskRecord& task = *state.FindTask(id);
    if (task.state() == wire::TASK_STATE_ASSIGNED && !task.spec().monitor() &&
        this->Contribution(task, service) >= kMinContribution)
      tasks.push_back(&task);
  }
  std::ranges::stable_sort(tasks, std::greater(), [&](const auto* task) {
    return this->Contribution(*task, service);
  });
  return tasks;
}

void InterferenceMitigator::RestoreShare(const WorkerState& worker,
                                         const ControlState& state,
                                         const std::string& service,
                                         double relative_latency,
                                         std::vector<wire::Command>& commands) {
  const double limit = LatencyLimit(state.estate().estate().weights);
  for (const std::string& id : worker.tasks) {
    const wire::TaskRecord& task = *state.FindTask(id);
    if (task.state() != wire::TASK_STATE_ASSIGNED || ShareOf(task) >= 1)
      continue;
    const double share = std::min(1.0, ShareOf(task) * 2);
    const double added_slowdown =
        this->Contribution(task, service) * (share / ShareOf(task) - 1);
    if (relative_latency * (1 + added_slowdown) > limit)
      continue;
    wire::ThrottleTask* command =
        commands.emplace_back().mutable_throttle_task();
    command->set_task(id);
    command->set_epoch(task.epoch());
    command->set_share(share);
    command->set_why(service + " has room on " + task.worker());
    return;
  }
}

bool InterferenceMitigator::ReserveEviction(const ControlState& state,
                                            TimePoint now) {
  while (!this->eviction_expiries.empty() &&
         this->eviction_expiries.front() <= now)
    this->eviction_expiries.pop_front();
  double running_tasks = 0;
  for (const auto& [id, worker] : state.workers())
    running_tasks += static_cast<double>(worker.tasks.size());
  const auto cap =
      std::max(kMinEvictionCap,
               static_cast<std::size_t>(running_tasks * kMaxEvictedFraction));
  if (this->eviction_expiries.size() >= cap)
    return false;
  this->eviction_expiries.push_back(now + kEvictionWindow);
  return true;
}

double InterferenceMitigator::Contribution(const wire::TaskRecord& task,
                                           const std::string& service) const {
  return task.spec().processors() * ShareOf(task) *
         this->interference.SlowdownPerProcessor(
             service, InterferenceClassOf(task.spec()));
}

double InterferenceMitigator::RelativeLatency(
    const std::string& worker,
    const std::string& service) const {
  const auto found =
      this->instances.find({.worker = worker, .service = service});
  return found == this->instances.end() ? 0 : found->second.relative_latency;
}

}  // namespace savoryring
