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
// Close to full load, the latency hardly tells how much load is too much.
constexpr double kSaturatedUtilization = 0.93;
// A latency that falls below this fraction of the one before tells little about
// where it ends.
constexpr double kMinLatencyRatio = 0.5;
// Limits the number of serving tasks whose last measurement is kept.
constexpr std::size_t kMaxServingLoads = 20'000;

// Limits the images whose profile is kept, with estimates.
constexpr std::size_t kMaxImages = 4096;
// A serving task that has not been measured yet is assumed to have this load if
// none of its image has been measured: the usual one of a task that uses 60% of
// its request, plus a margin.
constexpr double kAssumedOwnLoad = 0.55;
// Weight of a new measurement in the own load of an image.
constexpr double kImageLoadFactor = 0.02;

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
    const bool saturated = utilization >= kSaturatedUtilization;
    if (known != before.serving_loads.end() &&
        (!saturated || this->options.estimates) &&
        known->second.utilization < kSaturatedUtilization) {
      const double measured = std::min(utilization, kSaturatedUtilization);
      this->UpdateCouplings(
          run.image, before.cpus_used, observation.cpus_used,
          {.log_growth = std::log(measured / known->second.utilization),
           .weight = Weight(rounding, known->second.rounding),
           .at_least = saturated});
    }
    ServingLoad& load = this->serving_loads[run.task];
    this->UpdateOwnLoad(
        utilization /
            (1 + this->Interference(run.image, observation.cpus_used)),
        load);
    ImageProfile& image = this->images.at(run.image);
    image.own_load =
        image.own_load == 0
            ? load.own
            : image.own_load + (kImageLoadFactor * (load.own - image.own_load));
    load.utilization = utilization;
    load.rounding = rounding;
    load.tail_latency_ms = run.tail_latency_ms;
    observation.serving_loads[run.task] = load;
  }
  this->last_observations[worker] = std::move(observation);
  while (this->serving_loads.size() > kMaxServingLoads)
    this->serving_loads.erase(this->serving_loads.begin());
  while (this->options.estimates && this->images.size() > kMaxImages)
    this->images.erase(this->images.begin());
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

double ColocationModel::LoadGrowth(const std::string& task) const {
  const auto found = this->serving_loads.find(task);
  if (found == this->serving_loads.end() || found->second.smoothed <= 0)
    return 0;
  return (found->second.own / found->second.smoothed) - 1;
}

void ColocationModel::ForgetRuns() {
  this->last_observations.clear();
  this->serving_loads.clear();
}

double ColocationModel::Headroom(const ColocatedRun& serving,
                                 bool smoothed) const {
  const auto found = this->serving_loads.find(serving.task);
  const auto image = this->images.find(serving.image);
  const bool measured =
      found != this->serving_loads.end() && image != this->images.end();
  if (!measured && !this->options.estimates)
    return this->options.initial_coupling;
  const bool known_image =
      image != this->images.end() && image->second.idle_ms > 0;
  const double idle_ms =
      known_image ? image->second.idle_ms
                  : kInitialIdleTargetFraction * serving.tail_target_ms;
  const double max_utilization =
      1 -
      idle_ms / (this->options.max_target_fraction * serving.tail_target_ms);
  double own = kAssumedOwnLoad;
  if (measured)
    own = this->PredictedLoad(found->second, smoothed);
  else if (known_image && image->second.own_load > 0)
    own = image->second.own_load;
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
    bool smoothed,
    CouplingKind kind) const {
  std::vector<double> speeds(runs.size(), 1.0);
  for (const ColocatedRun& serving : runs) {
    if (serving.tail_target_ms == 0)
      continue;
    std::vector<InterferingRun> interfering;
    for (std::size_t i = 0; i < runs.size(); ++i) {
      if (!runs[i].best_effort)
        continue;
      const double coupling =
          this->Coupling(serving.image, runs[i].image, kind);
      if (coupling <= 0)
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
