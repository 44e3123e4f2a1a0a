#include "libreplay/replay.h"

#include <algorithm>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "libplacement/interference.h"

namespace savoryring {
namespace {

constexpr Milliseconds kTimeStep{100};
constexpr Milliseconds kMeasurementInterval{1000};
constexpr Milliseconds kMeasurementDelay{2000};
// A task makes no progress for this long after each start, while it loads its
// checkpoint.
constexpr Milliseconds kStartupTime{500};
constexpr double kTailQuantile = 0.99;
const TimePoint kStartTime = TimePoint(std::chrono::hours(1));

// Simulated state of one task that runs on a worker.
struct RunningTask {
  std::string worker;
  std::uint64_t epoch = 0;
  double remaining_startup_ms = 0;
  bool urgent_started = false;
};

// A measurement that reaches the leader at `arrival_time`.
struct DelayedMeasurement {
  TimePoint arrival_time;
  wire::ServiceMeasurement measurement;
};

struct SimulatedVm {
  const TraceWorker* worker = nullptr;
  bool lost = false;
  bool faulty = false;
  std::uint64_t incarnation = 1;
  std::deque<DelayedMeasurement> in_flight;
  std::map<std::string, wire::ServiceMeasurement> latest_measurements;
  std::vector<wire::TaskReport> reports;
};

class Simulation {
 public:
  Simulation(const Trace& trace, const SchedulerOptions& options)
      : trace(trace), scheduler(options, kStartTime - std::chrono::hours(1)) {
    for (const TraceWorker& worker : trace.workers)
      this->vms[worker.name].worker = &worker;
    this->SubmitEstate();
  }

  ReplayReport Run() {
    std::size_t next_event = 0;
    while (this->now < kStartTime + this->trace.end) {
      while (next_event < this->trace.events.size() &&
             kStartTime + this->trace.events[next_event].at <= this->now)
        this->HandleEvent(this->trace.events[next_event++]);
      this->AdvanceTasks();
      this->MeasureServices();
      this->SendHeartbeats();
      for (const wire::Command& command :
           this->scheduler.Decide(this->state, this->now))
        this->Apply(command);
      this->ExecuteOrders();
      this->now += kTimeStep;
    }
    return this->MakeReport();
  }

 private:
  void SubmitEstate() {
    nlohmann::json services = nlohmann::json::array();
    for (const TraceService& service : this->trace.services) {
      services.push_back(
          {{"name", service.name}, {"tail_target_ms", service.target.count()}});
    }
    nlohmann::json teams = nlohmann::json::array();
    for (const TeamSpec& team : this->trace.teams) {
      teams.push_back({{"name", team.name},
                       {"quota",
                        {{"processors", team.quota.processors},
                         {"memory_mb", team.quota.memory_mb},
                         {"accelerators", 0}}}});
    }
    const Weights& weights = this->trace.weights;
    const nlohmann::json estate{{"services", services},
                                {"teams", teams},
                                {"weights",
                                 {{"tail_latency", weights.tail_latency},
                                  {"throughput", weights.throughput},
                                  {"evictions", weights.evictions}}}};
    wire::Command command;
    command.mutable_submit_estate()->set_version(1);
    command.mutable_submit_estate()->set_text(estate.dump());
    this->Apply(command);
  }

  ApplyResult Apply(const wire::Command& command) {
    const ApplyResult result = this->state.Apply(command, ++this->index);
    this->RecordCommand(command);
    return result;
  }

  void AppendToSession(const std::string& text) {
    this->report.session.push_back(
        std::to_string(RemainingTime(kStartTime, this->now).count()) + " " +
        text);
  }

  void RecordCommand(const wire::Command& command) {
    for (const wire::Assignment& item : command.assign_tasks().assignments()) {
      const wire::TaskRecord& task = *this->state.FindTask(item.task());
      if (task.epoch() == item.epoch())
        this->AppendToSession("assign " + this->task_names[item.task()] + " " +
                              item.worker());
    }
    for (const std::string& task : command.stop_tasks().tasks()) {
      this->report.evictions += 1;
      this->AppendToSession("evict " + this->task_names[task]);
    }
    if (command.has_throttle_task()) {
      this->report.throttles += 1;
      this->AppendToSession(
          "throttle " + this->task_names[command.throttle_task().task()] + " " +
          nlohmann::json(command.throttle_task().share()).dump());
    }
    if (command.has_lose_worker())
      this->AppendToSession("lose " + command.lose_worker().worker());
    if (command.has_park_task())
      this->AppendToSession("park " +
                            this->task_names[command.park_task().task()]);
  }

  // --- Trace events ---

  void HandleEvent(const TraceEvent& event) {
    std::visit([this](const auto& action) { this->HandleAction(action); },
               event.action);
  }
  void HandleAction(const LoadChange& change) {
    this->load_factor = change.factor;
  }
  void HandleAction(const TaskArrival& arrival) {
    wire::Command command;
    *command.mutable_submit_task()->mutable_spec() = ToTaskSpec(arrival.spec);
    const std::string id = this->Apply(command).task;
    this->arrivals[id] = &arrival;
    this->task_names[id] = arrival.name;
    this->arrival_times[id] = this->now;
    this->report.tasks += 1;
    this->work_submitted += ProcessorTime(arrival);
  }
  void HandleAction(const TaskCancel& cancel) {
    for (const auto& [id, arrival] : this->arrivals) {
      const wire::TaskRecord* task = this->state.FindTask(id);
      if (!arrival->name.starts_with(cancel.prefix) || IsEnded(task->state()))
        continue;
      wire::Command command;
      command.mutable_cancel_task()->set_task(id);
      this->Apply(command);
      // Cancelled work counts neither as submitted nor as done in the
      // throughput.
      this->work_submitted -= ProcessorTime(*arrival);
      this->work_done -=
          this->progress_ms[id] * arrival->spec.resources.processors;
    }
  }
  void HandleAction(const WorkerLoss& loss) {
    SimulatedVm& vm = this->vms[loss.worker];
    vm.lost = true;
    vm.reports.clear();
    std::erase_if(this->running, [&loss](const auto& item) {
      return item.second.worker == loss.worker;
    });
  }
  void HandleAction(const WorkerReturn& change) {
    SimulatedVm& vm = this->vms[change.worker];
    vm.lost = false;
    vm.incarnation += 1;
  }
  void HandleAction(const WorkerFaultChange& change) {
    this->vms[change.worker].faulty = change.faulty;
  }

  static double ProcessorTime(const TaskArrival& arrival) {
    return static_cast<double>(arrival.run_time.count()) *
           arrival.spec.resources.processors;
  }

  // --- Simulated execution on the VMs ---

  double BusyProcessors(const std::string& worker) const {
    double busy = 0;
    for (const auto& [id, task] : this->running) {
      if (task.worker == worker)
        busy +=
            this->arrivals.at(id)->used_processors * this->ProcessorShare(id);
    }
    return busy;
  }
  double ProcessorShare(const std::string& id) const {
    const double share = this->state.FindTask(id)->share();
    return share > 0 ? share : 1;
  }
  // Busy processors over the capacity of the worker, at least one. Above one,
  // tasks progress more slowly and the latency of services rises by this
  // factor.
  double OvercommitFactor(const std::string& worker) const {
    const double capacity = this->vms.at(worker).worker->capacity.processors;
    return std::max(1.0, this->BusyProcessors(worker) / capacity);
  }

  void AdvanceTasks() {
    const auto step = static_cast<double>(kTimeStep.count());
    std::map<std::string, double> overcommit;
    for (const auto& [name, vm] : this->vms)
      overcommit[name] = this->OvercommitFactor(name);
    std::vector<std::string> ended;
    for (auto& [id, task] : this->running) {
      const double speed = this->ProcessorShare(id) / overcommit[task.worker];
      if (task.remaining_startup_ms > 0) {
        task.remaining_startup_ms -= step;
        continue;
      }
      const TaskArrival& arrival = *this->arrivals[id];
      const double before = this->progress_ms[id];
      const double after = std::min(
          before + step * speed, static_cast<double>(arrival.run_time.count()));
      this->progress_ms[id] = after;
      this->work_done += (after - before) * arrival.spec.resources.processors;
      if (this->vms[task.worker].faulty)
        this->Report(id, task, wire::TASK_FAILED);
      else if (after >= static_cast<double>(arrival.run_time.count()))
        this->Report(id, task, wire::TASK_FINISHED);
      else
        continue;
      ended.push_back(id);
    }
    for (const std::string& id : ended)
      this->running.erase(id);
  }

  void Report(const std::string& id,
              const RunningTask& task,
              wire::TaskRunState run_state) {
    wire::TaskReport& report = this->vms[task.worker].reports.emplace_back();
    report.set_task(id);
    report.set_epoch(task.epoch);
    report.set_state(run_state);
    if (run_state == wire::TASK_STOPPED)
      report.set_checkpoint(std::to_string(this->progress_ms[id]));
  }

  double TailLatencyMs(const TraceService& service,
                       const std::string& worker) const {
    double slowdown = 0;
    for (const auto& [id, task] : this->running) {
      if (task.worker != worker)
        continue;
      const TaskArrival& arrival = *this->arrivals.at(id);
      for (const TraceSlowdown& known : this->trace.slowdowns) {
        if (known.service == service.name &&
            known.task_class == arrival.spec.command)
          slowdown += known.per_processor * arrival.used_processors *
                      this->ProcessorShare(id);
      }
    }
    return service.baseline_ms * (0.6 + 0.4 * this->load_factor) *
           (1 + slowdown) * this->OvercommitFactor(worker);
  }

  void MeasureServices() {
    const bool measure = this->now >= this->next_measurement_time;
    if (measure)
      this->next_measurement_time = this->now + kMeasurementInterval;
    this->window += measure ? 1 : 0;
    for (const TraceService& service : this->trace.services) {
      for (const std::string& worker : service.workers) {
        SimulatedVm& vm = this->vms[worker];
        if (vm.lost)
          continue;
        const double tail = this->TailLatencyMs(service, worker);
        this->tail_ratios.push_back(
            tail / static_cast<double>(service.target.count()));
        if (!measure)
          continue;
        DelayedMeasurement& delayed = vm.in_flight.emplace_back();
        delayed.arrival_time = this->now + kMeasurementDelay;
        delayed.measurement.set_service(service.name);
        delayed.measurement.set_requests(100);
        delayed.measurement.set_p99_ms(tail);
        delayed.measurement.set_window(this->window);
      }
    }
  }

  void SendHeartbeats() {
    for (auto& [name, vm] : this->vms) {
      if (vm.lost)
        continue;
      while (!vm.in_flight.empty() &&
             vm.in_flight.front().arrival_time <= this->now) {
        const auto& item = vm.in_flight.front().measurement;
        vm.latest_measurements[item.service()] = item;
        vm.in_flight.pop_front();
      }
      const wire::WorkerHeartbeat heartbeat = this->MakeHeartbeat(name, vm);
      vm.reports.clear();
      for (const wire::Command& command : this->scheduler.OnHeartbeat(
               this->state, heartbeat, vm.incarnation, this->now))
        this->Apply(command);
    }
  }

  wire::WorkerHeartbeat MakeHeartbeat(const std::string& name,
                                      const SimulatedVm& vm) const {
    wire::WorkerHeartbeat heartbeat;
    wire::WorkerDescription* description = heartbeat.mutable_worker();
    description->set_id(name);
    description->set_rack(vm.worker->rack);
    description->set_availability_zone(vm.worker->availability_zone);
    description->set_processors(vm.worker->capacity.processors);
    description->set_memory_mb(vm.worker->capacity.memory_mb);
    for (const wire::TaskReport& report : vm.reports)
      *heartbeat.add_reports() = report;
    for (const auto& [id, task] : this->running) {
      if (task.worker != name)
        continue;
      wire::TaskUsage* usage = heartbeat.add_usage();
      usage->set_task(id);
      usage->set_epoch(task.epoch);
      usage->set_processors(this->arrivals.at(id)->used_processors *
                            this->ProcessorShare(id));
    }
    for (const TraceService& service : this->trace.services) {
      if (std::ranges::find(service.workers, name) != service.workers.end())
        heartbeat.add_serving(service.name);
    }
    for (const auto& [service, measurement] : vm.latest_measurements)
      *heartbeat.add_measurements() = measurement;
    return heartbeat;
  }

  void ExecuteOrders() {
    for (auto& [name, vm] : this->vms) {
      if (vm.lost)
        continue;
      for (const wire::TaskOrder& order : this->state.OrdersFor(name))
        this->ExecuteOrder(order, name);
      this->CheckCapacity(name);
    }
  }

  void ExecuteOrder(const wire::TaskOrder& order, const std::string& worker) {
    const auto found = this->running.find(order.task());
    const bool is_running_here = found != this->running.end() &&
                                 found->second.worker == worker &&
                                 found->second.epoch == order.epoch();
    if (!order.run()) {
      if (is_running_here) {
        this->Report(order.task(), found->second, wire::TASK_STOPPED);
        this->running.erase(found);
      }
      return;
    }
    const auto started = this->started_epochs.find(order.task());
    if (is_running_here || (started != this->started_epochs.end() &&
                            started->second == order.epoch()))
      return;
    if (found != this->running.end())
      this->report.one_place_kept = false;
    this->started_epochs[order.task()] = order.epoch();
    this->running[order.task()] = {
        .worker = worker,
        .epoch = order.epoch(),
        .remaining_startup_ms = static_cast<double>(kStartupTime.count())};
    if (order.checkpoint().empty())
      this->DiscardProgress(order.task());
    const TaskArrival& arrival = *this->arrivals[order.task()];
    if (arrival.spec.urgent && order.epoch() == 1) {
      this->report.longest_urgent_wait =
          std::max(this->report.longest_urgent_wait,
                   RemainingTime(this->arrival_times[order.task()], this->now));
    }
  }

  void DiscardProgress(const std::string& id) {
    this->work_done -=
        this->progress_ms[id] * this->arrivals[id]->spec.resources.processors;
    this->progress_ms[id] = 0;
  }

  void CheckCapacity(const std::string& name) {
    Resources used;
    for (const auto& [id, task] : this->running) {
      if (task.worker == name)
        used += this->arrivals[id]->spec.resources;
    }
    if (!used.FitsIn(this->vms[name].worker->capacity))
      this->report.capacity_kept = false;
  }

  ReplayReport MakeReport() {
    const auto late = std::ranges::count_if(
        this->tail_ratios, [](double ratio) { return ratio > 1; });
    ReplayReport& r = this->report;
    if (!this->tail_ratios.empty()) {
      r.late_share = static_cast<double>(late) /
                     static_cast<double>(this->tail_ratios.size());
      std::ranges::sort(this->tail_ratios);
      r.worst_tail_ratio = this->tail_ratios[static_cast<std::size_t>(
          kTailQuantile * static_cast<double>(this->tail_ratios.size() - 1))];
    }
    r.throughput =
        this->work_submitted > 0 ? this->work_done / this->work_submitted : 1;
    for (const auto& [id, task] : this->state.tasks()) {
      r.finished += task.state() == wire::TASK_STATE_FINISHED ? 1 : 0;
      r.parked += task.state() == wire::TASK_STATE_PARKED ? 1 : 0;
      r.outcome_unknown +=
          task.state() == wire::TASK_STATE_OUTCOME_UNKNOWN ? 1 : 0;
    }
    for (const auto& [id, worker] : this->state.workers())
      r.quarantined += worker.record.quarantined() ? 1 : 0;
    const double evicted = r.tasks == 0 ? 0
                                        : static_cast<double>(r.evictions) /
                                              static_cast<double>(r.tasks);
    const Weights& weights = this->trace.weights;
    r.cost = weights.tail_latency * r.late_share +
             weights.throughput * (1 - r.throughput) +
             weights.evictions * evicted;
    return std::move(r);
  }

  const Trace& trace;
  TimePoint now = kStartTime;
  ControlState state;
  Scheduler scheduler;
  std::uint64_t index = 0;
  std::uint64_t window = 0;
  double load_factor = 1;
  double work_submitted = 0;
  double work_done = 0;
  TimePoint next_measurement_time;
  std::map<std::string, SimulatedVm> vms;
  std::map<std::string, const TaskArrival*> arrivals;
  std::map<std::string, std::string> task_names;
  std::map<std::string, TimePoint> arrival_times;
  std::map<std::string, RunningTask> running;
  std::map<std::string, std::uint64_t> started_epochs;
  std::map<std::string, double> progress_ms;
  std::vector<double> tail_ratios;
  ReplayReport report;
};

}  // namespace

std::vector<ReplayPolicy> ReplayPolicies() {
  return {
      {.name = "savoryring", .options = {}},
      {.name = "first-fit",
       .options = {.first_fit = true,
                   .use_preemption = false,
                   .mitigation = {.policy = MitigationPolicy::kNone}},
       .baseline = true},
      {.name = "never-evict",
       .options = {.first_fit = true,
                   .use_preemption = false,
                   .mitigation = {.policy = MitigationPolicy::kThrottle}},
       .baseline = true},
      {.name = "always-evict",
       .options = {.first_fit = true,
                   .mitigation = {.policy = MitigationPolicy::kAlwaysEvict}},
       .baseline = true},
      {.name = "without-interference", .options = {.use_interference = false}},
      {.name = "without-learning", .options = {.mitigation = {.learn = false}}},
      {.name = "without-measured-use",
       .options = {.use_measured_usage = false}},
      {.name = "without-relief",
       .options = {.mitigation = {.policy = MitigationPolicy::kNone}}},
      {.name = "with-evictions",
       .options = {.mitigation = {.policy =
                                      MitigationPolicy::kThrottleThenEvict}}},
      {.name = "without-hysteresis",
       .options = {.mitigation = {.hysteresis = false}}},
      {.name = "without-preemption", .options = {.use_preemption = false}},
  };
}

ReplayReport RunReplay(const Trace& trace, const SchedulerOptions& options) {
  return Simulation(trace, options).Run();
}

}  // namespace savoryring
