#include "libplacement/interference.h"

#include <algorithm>
#include <cmath>

namespace savoryring {
namespace {

// Slowdown per processor that is assumed for an unknown class.
constexpr double kDefaultSlowdown = 0.02;
// Step of the normalised least-mean-squares update.
constexpr double kLearningRate = 0.3;
// Step of the moving average of the baseline latency.
constexpr double kBaselineRate = 0.05;
constexpr double kSampleDecay = 0.995;
constexpr double kSamplesForFullConfidence = 8;
// Width, in relative latency, of the cost step at the target.
constexpr double kTargetStepWidth = 0.2;
// Cost per unit of relative latency, in addition to the step at the target.
constexpr double kLatencySlope = 0.15;

}  // namespace

double LatencyCost(double relative_latency) {
  const double target_step =
      1 / (1 + std::exp((1 - relative_latency) / kTargetStepWidth));
  return target_step + kLatencySlope * relative_latency;
}

std::string InterferenceClassOf(const wire::TaskSpec& spec) {
  if (!spec.task_class().empty())
    return spec.task_class();
  return spec.command().substr(0, spec.command().find(' '));
}

void InterferenceModel::OnMeasurement(const std::string& service_name,
                                      double latency_ms,
                                      const Pressure& pressure) {
  ServiceModel& service = this->services[service_name];
  if (service.baseline_ms == 0)
    service.baseline_ms = latency_ms;
  double square_sum = 0;
  for (const auto& [task_class, processors] : pressure)
    square_sum += processors * processors;
  const double expected = this->Slowdown(service_name, pressure);
  // The baseline changes with the load. It follows increases slowly, as they
  // may be interference, and decreases and undisturbed measurements faster.
  const double measured_baseline = latency_ms / (1 + expected);
  if (square_sum == 0 || measured_baseline < service.baseline_ms)
    service.baseline_ms +=
        kBaselineRate * 4 * (measured_baseline - service.baseline_ms);
  else
    service.baseline_ms +=
        kBaselineRate * (measured_baseline - service.baseline_ms);
  if (square_sum == 0)
    return;
  const double observed = latency_ms / service.baseline_ms - 1;
  const double error = observed - expected;
  for (const auto& [task_class, processors] : pressure) {
    const auto [iterator, inserted] = service.class_effects.try_emplace(
        task_class, ClassEffect{.slowdown = kDefaultSlowdown});
    ClassEffect& effect = iterator->second;
    effect.slowdown += kLearningRate * error * processors / square_sum;
    effect.slowdown = std::max(0.0, effect.slowdown);
    effect.samples = effect.samples * kSampleDecay + 1;
  }
}

double InterferenceModel::SlowdownPerProcessor(
    const std::string& service_name,
    const std::string& task_class) const {
  const auto service = this->services.find(service_name);
  if (service == this->services.end())
    return kDefaultSlowdown;
  const auto effect = service->second.class_effects.find(task_class);
  if (effect == service->second.class_effects.end())
    return kDefaultSlowdown;
  const double confidence = this->Confidence(service_name, task_class);
  return confidence * effect->second.slowdown +
         (1 - confidence) * kDefaultSlowdown;
}

double InterferenceModel::Slowdown(const std::string& service,
                                   const Pressure& pressure) const {
  double sum = 0;
  for (const auto& [task_class, processors] : pressure)
    sum += processors * this->SlowdownPerProcessor(service, task_class);
  return sum;
}

double InterferenceModel::RelativeLatency(const ServiceSpec& service,
                                          const Pressure& pressure) const {
  const auto known = this->services.find(service.name);
  if (known == this->services.end())
    return 0;
  const double expected_ms =
      known->second.baseline_ms * (1 + this->Slowdown(service.name, pressure));
  return expected_ms / static_cast<double>(service.tail_target.count());
}

double InterferenceModel::Confidence(const std::string& service_name,
                                     const std::string& task_class) const {
  const auto service = this->services.find(service_name);
  if (service == this->services.end())
    return 0;
  const auto effect = service->second.class_effects.find(task_class);
  if (effect == service->second.class_effects.end())
    return 0;
  return std::min(1.0, effect->second.samples / kSamplesForFullConfidence);
}

}  // namespace savoryring
