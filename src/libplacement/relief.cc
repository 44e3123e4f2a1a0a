#include "libplacement/relief.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

// Measurements in a row before something is taken, and before it is given
// back: giving back is slower, so that the two don't chase each other.
constexpr int kOverNeeded = 2;
constexpr int kUnderNeeded = 4;
constexpr double kUnderShare = 0.75;
// An action shows in measurements only after this time.
constexpr Milliseconds kSettleTime{3000};
constexpr double kLeastShare = 0.25;
// A task that adds less than this to the latency is not worth touching.
constexpr double kLeastContribution = 0.03;
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
    const wire::TaskRecord* worst = nullptr;
    for (const std::string& id : worker.tasks) {
      const wire::TaskRecord& task = *state.FindTask(id);
      const bool running = task.state() == wire::TASK_STATE_ASSIGNED;
      if (running && !task.spec().monitor() &&
          (worst == nullptr ||
           this->Contribution(task, service.name) >
               this->Contribution(*worst, service.name)))
        worst = &task;
    }
    if (worst == nullptr ||
        this->Contribution(*worst, service.name) < kLeastContribution)
      return;
    place.action_deadline = now + kSettleTime;
    this->Reduce(*worst, service.name, state.estate().estate().weights, state,
                 now, commands);
  } else if (place.under >= (steady ? kUnderNeeded : 1)) {
    place.under = 0;
    this->GiveBack(worker, state, service.name, place.relative, commands);
  }
}

void Relief::Reduce(const wire::TaskRecord& task,
                    const std::string& service,
                    const Weights& weights,
                    const ControlState& state,
                    TimePoint now,
                    std::vector<wire::Command>& commands) {
  const std::string why = "it slows " + service + " on " + task.worker();
  // Where throughput counts more than the tail, work is slowed less.
  const double floor =
      weights.throughput > weights.tail_latency ? 2 * kLeastShare : kLeastShare;
  const bool evict_at_once =
      this->options.policy == ReliefPolicy::kAlwaysEvict;
  if (ShareOf(task) > floor && !evict_at_once) {
    wire::ThrottleTask* command =
        commands.emplace_back().mutable_throttle_task();
    command->set_task(task.id());
    command->set_epoch(task.epoch());
    command->set_share(ShareOf(task) / 2);
    command->set_why(why);
    return;
  }
  const bool worth_it =
      weights.tail_latency * this->Contribution(task, service) >
      weights.evictions * kLeastContribution;
  const bool may_evict =
      evict_at_once ||
      (this->options.policy == ReliefPolicy::kGraded && worth_it &&
       this->TakeEviction(state, now));
  if (!may_evict)
    return;
  wire::StopTasks* command = commands.emplace_back().mutable_stop_tasks();
  command->add_tasks(task.id());
  command->set_cause(wire::STOP_CAUSE_EVICTED);
  command->set_why(why);
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
    // Doubling the share doubles what the task adds to the latency.
    const double expected =
        relative * (1 + this->Contribution(task, service));
    if (expected > limit)
      continue;
    wire::ThrottleTask* command =
        commands.emplace_back().mutable_throttle_task();
    command->set_task(id);
    command->set_epoch(task.epoch());
    command->set_share(std::min(1.0, ShareOf(task) * 2));
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
         this->interference.SlowdownPerProcessor(service,
                                                 ClassOf(task.spec()));
}

double Relief::RelativeLatency(const std::string& worker,
                               const std::string& service) const {
  const auto found =
      this->places.find({.worker = worker, .service = service});
  return found == this->places.end() ? 0 : found->second.relative;
}

}  // namespace savoryring
