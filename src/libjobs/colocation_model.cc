#include "libjobs/colocation_model.h"

#include <algorithm>
#include <cmath>

namespace savoryring {
namespace {

// The lowest latency measured so far still includes some queueing, so that the
// idle latency is estimated as this fraction of it.
constexpr double kIdleLatencyFraction = 0.85;
// Estimate of the idle latency without measurements, relative to the target.
constexpr double kInitialIdleTargetFraction = 0.35;
constexpr double kMinUtilization = 0.05;
constexpr double kMaxCoupling = 1.0;
// Close to full load, the latency hardly tells how much load is too much.
constexpr double kSaturatedUtilization = 0.93;
// A latency that falls below this fraction of the one before tells little about
// where it ends.
constexpr double kMinLatencyRatio = 0.5;
// Limits the number of serving tasks whose last measurement is kept.
constexpr std::size_t kMaxServingLoads = 20'000;

// Relative error of a utilization whose latency is listed in whole ms. It is
// large close to the idle latency.
double RoundingError(double idle_ms, double latency_ms) {
  constexpr double kRoundingMs = 0.5;
  constexpr double kMinQueueingMs = 0.1;
  return kRoundingMs * idle_ms /
         (latency_ms * std::max(kMinQueueingMs, latency_ms - idle_ms));
}

// Weight of a growth between two utilizations with these errors.
double Weight(double error_before, double error_after) {
  constexpr double kToleratedError = 0.05;
  const double square = error_before * error_before + error_after * error_after;
  return 1 / (1 + square / (kToleratedError * kToleratedError));
}

std::map<std::string, double> CpusUsedByImage(
    const std::vector<ColocatedRun>& runs) {
  std::map<std::string, double> cpus_used;
  for (const ColocatedRun& run : runs) {
    if (run.best_effort)
      cpus_used[run.image] += run.cpus_used;
  }
  return cpus_used;
}

}  // namespace

double ColocationModel::EstimateUtilization(const ColocatedRun& serving) const {
  const auto found = this->images.find(serving.image);
  const double idle_ms =
      found == this->images.end()
          ? kInitialIdleTargetFraction * serving.tail_target_ms
          : found->second.idle_ms;
  return std::max(kMinUtilization, 1 - idle_ms / this->CurrentLatency(serving));
}

// The latency behind the moving average that the worker lists.
double ColocationModel::CurrentLatency(const ColocatedRun& serving) const {
  const double listed = serving.tail_latency_ms;
  const auto found = this->serving_loads.find(serving.task);
  if (found == this->serving_loads.end())
    return listed;
  const double weight = this->options.newest_weight;
  const double change = listed - found->second.tail_latency_ms;
  return std::max(listed + (1 - weight) / weight * change,
                  kMinLatencyRatio * listed);
}

// A load that grows is predicted ahead, as measurements arrive late.
double ColocationModel::PredictedLoad(const ServingLoad& load,
                                      bool smoothed) const {
  const double growth =
      this->options.prediction_steps * std::max(0.0, load.trend);
  return smoothed ? std::max(load.own, load.smoothed) : load.own + growth;
}

double ColocationModel::Coupling(const std::string& serving_image,
                                 const std::string& best_effort_image) const {
  const auto serving = this->couplings.find(serving_image);
  if (serving == this->couplings.end())
    return this->options.initial_coupling;
  const auto estimate = serving->second.find(best_effort_image);
  return estimate == serving->second.end() ? this->options.initial_coupling
                                           : estimate->second.coupling;
}

// Extra utilization caused by the best-effort tasks, relative to the own load.
double ColocationModel::Interference(
    const std::string& serving_image,
    const std::map<std::string, double>& cpus_used) const {
  double sum = 0;
  for (const auto& [image, cpus] : cpus_used)
    sum += cpus * this->Coupling(serving_image, image);
  return sum;
}

void ColocationModel::Learn(const std::string& worker,
                            const std::vector<ColocatedRun>& runs) {
  const Observation& before = this->last_observations[worker];
  Observation observation{.cpus_used = CpusUsedByImage(runs)};
  for (const ColocatedRun& run : runs) {
    if (run.tail_target_ms == 0 || run.tail_latency_ms == 0)
      continue;
    this->UpdateIdleLatency(run);
    const double utilization = this->EstimateUtilization(run);
    const double rounding =
        RoundingError(this->images.at(run.image).idle_ms, run.tail_latency_ms);
    const auto known = before.serving_loads.find(run.task);
    if (known != before.serving_loads.end() &&
        utilization < kSaturatedUtilization &&
        known->second.utilization < kSaturatedUtilization) {
      this->UpdateCouplings(
          run.image, before.cpus_used, observation.cpus_used,
          {.log_growth = std::log(utilization / known->second.utilization),
           .weight = Weight(rounding, known->second.rounding)});
    }
    ServingLoad& load = this->serving_loads[run.task];
    this->UpdateOwnLoad(
        utilization /
            (1 + this->Interference(run.image, observation.cpus_used)),
        load);
    load.utilization = utilization;
    load.rounding = rounding;
    load.tail_latency_ms = run.tail_latency_ms;
    observation.serving_loads[run.task] = load;
  }
  this->last_observations[worker] = std::move(observation);
  while (this->serving_loads.size() > kMaxServingLoads)
    this->serving_loads.erase(this->serving_loads.begin());
}

// The lowest latency listed so far tells what the image takes without load.
void ColocationModel::UpdateIdleLatency(const ColocatedRun& serving) {
  ImageProfile& image = this->images[serving.image];
  const double idle_ms = kIdleLatencyFraction * serving.tail_latency_ms;
  if (image.idle_ms == 0)
    image.idle_ms = kInitialIdleTargetFraction * serving.tail_target_ms;
  image.idle_ms = std::min(image.idle_ms, idle_ms);
}

void ColocationModel::UpdateOwnLoad(double own, ServingLoad& load) const {
  const bool is_first = load.smoothed == 0;
  if (is_first)
    load.smoothed = load.own = own;
  load.trend += this->options.trend_factor * (own - load.own - load.trend);
  load.smoothed += this->options.smoothing_factor * (own - load.smoothed);
  load.own = own;
}

// The own load hardly changes between two measurements. A change of the
// utilization is therefore attributed to the best-effort images whose CPU use
// has changed.
void ColocationModel::UpdateCouplings(
    const std::string& serving_image,
    const std::map<std::string, double>& before,
    const std::map<std::string, double>& after,
    const MeasuredGrowth& growth) {
  std::map<std::string, double> change = after;
  for (const auto& [image, cpus] : before)
    change[image] -= cpus;
  double square_sum = 0;
  for (const auto& [image, cpus] : change)
    square_sum += cpus * cpus;
  const double min_change = this->options.min_cpu_change;
  if (square_sum < min_change * min_change)
    return;
  const double expected =
      std::log((1 + this->Interference(serving_image, after)) /
               (1 + this->Interference(serving_image, before)));
  const double error = growth.weight * (growth.log_growth - expected);
  const double scale = 1 + this->Interference(serving_image, after);
  auto& estimates = this->couplings[serving_image];
  for (const auto& [image, cpus] : change) {
    if (cpus == 0)
      continue;
    CouplingEstimate& estimate =
        estimates
            .try_emplace(
                image,
                CouplingEstimate{.coupling = this->options.initial_coupling})
            .first->second;
    estimate.coupling +=
        this->options.learning_rate * error * scale * cpus / square_sum;
    estimate.coupling = std::clamp(estimate.coupling, 0.0, kMaxCoupling);
    estimate.updates += 1;
  }
}

wire::LearnedImage ColocationModel::ExportLearned(
    const std::string& serving_image,
    const std::set<std::string>& best_effort_images) const {
  wire::LearnedImage learned;
  learned.set_serving_image(serving_image);
  const auto image = this->images.find(serving_image);
  if (image != this->images.end())
    learned.set_idle_ms(image->second.idle_ms);
  const auto estimates = this->couplings.find(serving_image);
  if (estimates == this->couplings.end())
    return learned;
  for (const auto& [best_effort_image, estimate] : estimates->second) {
    if (!best_effort_images.contains(best_effort_image))
      continue;
    wire::FillCoupling* exported = learned.add_fills();
    exported->set_fill_image(best_effort_image);
    exported->set_coupling(estimate.coupling);
    exported->set_lessons(estimate.updates);
  }
  return learned;
}

void ColocationModel::MergeLearned(const wire::LearnedImage& learned) {
  const std::string& serving_image = learned.serving_image();
  if (learned.idle_ms() > 0) {
    ImageProfile& image =
        this->images.try_emplace(serving_image, ImageProfile{learned.idle_ms()})
            .first->second;
    image.idle_ms = std::min(image.idle_ms, learned.idle_ms());
  }
  auto& estimates = this->couplings[serving_image];
  for (const wire::FillCoupling& other : learned.fills()) {
    CouplingEstimate& estimate =
        estimates
            .try_emplace(other.fill_image(),
                         CouplingEstimate{this->options.initial_coupling})
            .first->second;
    if (estimate.updates < other.lessons())
      estimate = {.coupling = other.coupling(), .updates = other.lessons()};
  }
}

double ColocationModel::Headroom(const ColocatedRun& serving,
                                 bool smoothed) const {
  const auto found = this->serving_loads.find(serving.task);
  const auto image = this->images.find(serving.image);
  if (found == this->serving_loads.end() || image == this->images.end())
    return this->options.initial_coupling;
  const double max_utilization =
      1 - image->second.idle_ms /
              (this->options.max_target_fraction * serving.tail_target_ms);
  const double own = this->PredictedLoad(found->second, smoothed);
  return std::max(0.0, max_utilization / std::max(kMinUtilization, own) - 1);
}

namespace {

// A best-effort run that interferes with a serving task.
struct InterferingRun {
  std::size_t index = 0;  // among the worker's runs
  double coupling = 0;    // extra utilization per processor
  double cpus_requested = 0;
  double speed = 1;  // allowed by the other serving tasks
};

// Caps coupling * speed of all runs at a common level (water-filling), so that
// their total interference fits into `headroom`. The runs that interfere most
// are slowed down most, which gives the highest throughput without stopping any
// run.
void LimitInterference(double headroom, std::vector<InterferingRun>& runs) {
  const auto per_cpu = [](const InterferingRun& run) {
    return run.coupling * run.speed;
  };
  std::ranges::sort(runs, {}, per_cpu);
  double sum = 0;
  double cpus = 0;
  for (const InterferingRun& run : runs) {
    sum += per_cpu(run) * run.cpus_requested;
    cpus += run.cpus_requested;
  }
  if (sum <= headroom)
    return;
  // Runs below the level keep their speed; the others share the remaining
  // headroom.
  double kept = 0;
  double level = 0;
  for (const InterferingRun& run : runs) {
    level = std::max(0.0, headroom - kept) / cpus;
    if (per_cpu(run) >= level)
      break;
    kept += per_cpu(run) * run.cpus_requested;
    cpus -= run.cpus_requested;
  }
  for (InterferingRun& run : runs) {
    if (per_cpu(run) > level)
      run.speed = level / run.coupling;
  }
}

}  // namespace

std::vector<double> ColocationModel::AllowedSpeeds(
    const std::vector<ColocatedRun>& runs,
    bool smoothed) const {
  std::vector<double> speeds(runs.size(), 1.0);
  for (const ColocatedRun& serving : runs) {
    if (serving.tail_target_ms == 0)
      continue;
    std::vector<InterferingRun> interfering;
    for (std::size_t i = 0; i < runs.size(); ++i) {
      const double coupling = this->Coupling(serving.image, runs[i].image);
      if (!runs[i].best_effort || coupling <= 0)
        continue;
      interfering.push_back({.index = i,
                             .coupling = coupling,
                             .cpus_requested = runs[i].cpus_requested,
                             .speed = speeds[i]});
    }
    LimitInterference(this->Headroom(serving, smoothed), interfering);
    for (const InterferingRun& run : interfering)
      speeds[run.index] = run.speed;
  }
  return speeds;
}

}  // namespace savoryring
