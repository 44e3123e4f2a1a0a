#include "libplacement/relief.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

// Measurements in a row before something is taken, and before it is given
// back: giving back is slower, so that the two don't chase each other.
constexpr int kOverNeeded = 1;
constexpr int kUnderNeeded = 4;
constexpr double kUnderShare = 0.75;
// An action shows in measurements only after this time.
constexpr Milliseconds kSettleTime{1500};
constexpr double kLeastShare = 0.25;
// A task that adds less than this to the latency is not worth touching.
constexpr double kLeastContribution = 0.03;
// An eviction puts work at risk: only latency that passes the limit by this
// much is worth it.
constexpr double kSevere = 1.3;
// Slowdown of a service that is worth one eviction where both weigh the same.
constexpr double kEvictionCost = 0.2;
constexpr Milliseconds kEvictionWindow{60'000};
// Evictions in a window: a share of the running tasks, and at least this many.
constexpr double kEvictionShare = 0.02;
constexpr std::size_t kLeastEvictions = 2;
// Tolerance above the target when throughput counts for everything.
constexpr double kMostTolerance = 0.5;
constexpr std::uint32_t kLeastRequests = 5;

double LimitOf(const Weights& weights) {
  const double sum = weights.tail_latency + weights.throughput;
  return sum == 0 ? 1 : 1 + kMostTolerance * weights.throughput / sum;
}

void AddEviction(const wire::TaskRecord& task,
                 const std::string& why,
                 std::vector<wire::Command>& commands) {
  wire::StopTasks* command = commands.emplace_back().mutable_stop_tasks();
  command->add_tasks(task.id());
  command->set_cause(wire::STOP_CAUSE_EVICTED);
  command->set_why(why);
}

double ShareOf(const wire::TaskRecord& task) {
  return task.share() > 0 ? task.share() : 1;
}

}  // namespace

Pressure PressureOn(const WorkerState& worker, const ControlState& state) {
  Pressure pressure;
  for (const std::string& id : worker.tasks) {
    const wire::TaskRecord& task = *state.FindTask(id);
    pressure[ClassOf(task.spec())] += task.spec().processors() * ShareOf(task);
  }
  return pressure;
}

std::vector<wire::Command> Relief::Decide(const ControlState& state,
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
      Place& place = this->places[{.worker = id, .service = service.name}];
      if (found->second.window() <= place.window ||
          found->second.requests() < kLeastRequests)
        continue;
      this->Measure(place, *worker, state, service, found->second);
      this->Act(place, *worker, state, service, now, commands);
    }
  }
  return commands;
}

void Relief::Measure(Place& place,
                     const WorkerState& worker,
                     const ControlState& state,
                     const ServiceSpec& service,
                     const wire::ServiceMeasurement& measurement) {
  place.window = measurement.window();
  if (this->options.learn) {
    this->interference.OnMeasurement(service.name, measurement.p99_ms(),
                                     PressureOn(worker, state));
  }
  place.relative =
      measurement.p99_ms() / static_cast<double>(service.tail_target.count());
  const double limit = LimitOf(state.estate().estate().weights);
  place.over = place.relative > limit ? place.over + 1 : 0;
  place.under = place.relative < limit * kUnderShare ? place.under + 1 : 0;
}

void Relief::Act(Place& place,
                 const WorkerState& worker,
                 const ControlState& state,
                 const ServiceSpec& service,
                 TimePoint now,
                 std::vector<wire::Command>& commands) {
  if (this->options.policy == ReliefPolicy::kNone)
    return;
  const bool steady = this->options.hysteresis;
  if (steady && now < place.action_deadline)
    return;
  if (place.over >= (steady ? kOverNeeded : 1)) {
    place.action_deadline = now + kSettleTime;
    this->Reduce(worker, state, service, place.relative, now, commands);
  } else if (place.under >= (steady ? kUnderNeeded : 1)) {
    place.under = 0;
    this->GiveBack(worker, state, service.name, place.relative, commands);
  }
}

// Throttles the tasks that slow the service most, as many as are expected to
// bring it below the limit. Where throttling can't, one task is evicted, if
// that alone can. Where nothing can, nothing is taken: slower batch work would
// buy no request that is in time.
void Relief::Reduce(const WorkerState& worker,
                    const ControlState& state,
                    const ServiceSpec& service,
                    double relative,
                    TimePoint now,
                    std::vector<wire::Command>& commands) {
  const Weights& weights = state.estate().estate().weights;
  const std::string& id = worker.record.description().id();
  const std::string why = "it slows " + service.name + " on " + id;
  const std::vector<const wire::TaskRecord*> tasks =
      this->ByContribution(worker, state, service.name);
  if (tasks.empty())
    return;
  if (this->options.policy == ReliefPolicy::kAlwaysEvict) {
    AddEviction(*tasks.front(), why, commands);
    return;
  }
  const Pressure pressure = PressureOn(worker, state);
  const double slowdown =
      1 + this->interference.Slowdown(service.name, pressure);
  // Relative latency per unit of slowdown, as just measured.
  const double unit = relative / slowdown;
  const double excess = (relative - LimitOf(weights)) / unit;
  // Where throughput counts more than the tail, work is slowed less.
  const double floor =
      weights.throughput > weights.tail_latency ? 2 * kLeastShare : kLeastShare;
  if (this->Throttle(tasks, service.name, floor, excess, why, commands))
    return;
  const double gain = this->Contribution(*tasks.front(), service.name);
  const bool severe = relative > kSevere * LimitOf(weights);
  const bool worth_it =
      severe && gain >= excess &&
      weights.tail_latency * gain > weights.evictions * kEvictionCost;
  const bool may_evict = this->options.policy == ReliefPolicy::kGraded &&
                         worth_it && this->TakeEviction(state, now);
  if (may_evict)
    AddEviction(*tasks.front(), why, commands);
}

// Takes away at least `excess` of slowdown by throttling; false, and nothing
// taken, where that is not possible.
bool Relief::Throttle(const std::vector<const wire::TaskRecord*>& tasks,
                      const std::string& service,
                      double floor,
                      double excess,
                      const std::string& why,
                      std::vector<wire::Command>& commands) const {
  std::vector<wire::Command> throttles;
  for (const wire::TaskRecord* task : tasks) {
    const double share = ShareOf(*task);
    if (excess <= 0 || share <= floor)
      continue;
    const double per_share = this->Contribution(*task, service) / share;
    const double new_share = std::max(floor, share - excess / per_share);
    excess -= per_share * (share - new_share);
    wire::ThrottleTask* command =
        throttles.emplace_back().mutable_throttle_task();
    command->set_task(task->id());
    command->set_epoch(task->epoch());
    command->set_share(new_share);
    command->set_why(why);
  }
  if (excess > 0)
    return false;
  for (wire::Command& command : throttles)
    commands.push_back(std::move(command));
  return true;
}

std::vector<const wire::TaskRecord*> Relief::ByContribution(
    const WorkerState& worker,
    const ControlState& state,
    const std::string& service) const {
  std::vector<const wire::TaskRecord*> tasks;
  for (const std::string& id : worker.tasks) {
    const wire::TaskRecord& task = *state.FindTask(id);
    if (task.state() == wire::TASK_STATE_ASSIGNED && !task.spec().monitor() &&
        this->Contribution(task, service) >= kLeastContribution)
      tasks.push_back(&task);
  }
  std::ranges::stable_sort(tasks, std::greater(), [&](const auto* task) {
    return this->Contribution(*task, service);
  });
  return tasks;
}

void Relief::GiveBack(const WorkerState& worker,
                      const ControlState& state,
                      const std::string& service,
                      double relative,
                      std::vector<wire::Command>& commands) {
  const double limit = LimitOf(state.estate().estate().weights);
  for (const std::string& id : worker.tasks) {
    const wire::TaskRecord& task = *state.FindTask(id);
    if (task.state() != wire::TASK_STATE_ASSIGNED || ShareOf(task) >= 1)
      continue;
    const double share = std::min(1.0, ShareOf(task) * 2);
    const double added =
        this->Contribution(task, service) * (share / ShareOf(task) - 1);
    if (relative * (1 + added) > limit)
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

bool Relief::TakeEviction(const ControlState& state, TimePoint now) {
  while (!this->eviction_ends.empty() && this->eviction_ends.front() <= now)
    this->eviction_ends.pop_front();
  double running = 0;
  for (const auto& [id, worker] : state.workers())
    running += static_cast<double>(worker.tasks.size());
  const auto cap = std::max(kLeastEvictions,
                            static_cast<std::size_t>(running * kEvictionShare));
  if (this->eviction_ends.size() >= cap)
    return false;
  this->eviction_ends.push_back(now + kEvictionWindow);
  return true;
}

double Relief::Contribution(const wire::TaskRecord& task,
                            const std::string& service) const {
  return task.spec().processors() * ShareOf(task) *
         this->interference.SlowdownPerProcessor(service, ClassOf(task.spec()));
}

double Relief::RelativeLatency(const std::string& worker,
                               const std::string& service) const {
  const auto found = this->places.find({.worker = worker, .service = service});
  return found == this->places.end() ? 0 : found->second.relative;
}

}  // namespace savoryring
