#include "libplacement/interference.h"

#include <algorithm>
#include <cmath>

namespace savoryring {
namespace {

// Slowdown by one processor of a class of which nothing is known.
constexpr double kGuess = 0.02;
// Step of the normalised least-mean-squares update.
constexpr double kLearningRate = 0.3;
constexpr double kAloneRate = 0.05;
constexpr double kSampleDecay = 0.995;
constexpr double kSamplesForTrust = 8;
// Width, in relative latency, of the step from in time to late.
constexpr double kLateWidth = 0.2;
// Cost of latency as such, beside that of passing the target.
constexpr double kLateSlope = 0.15;

}  // namespace

double LatenessCost(double relative_latency) {
  const double late = 1 / (1 + std::exp((1 - relative_latency) / kLateWidth));
  return late + kLateSlope * relative_latency;
}

std::string ClassOf(const wire::TaskSpec& spec) {
  if (!spec.task_class().empty())
    return spec.task_class();
  return spec.command().substr(0, spec.command().find(' '));
}

void InterferenceModel::OnMeasurement(const std::string& service_name,
                                      double latency_ms,
                                      const Pressure& pressure) {
  Service& service = this->services[service_name];
  if (service.alone_ms == 0)
    service.alone_ms = latency_ms;
  double square_sum = 0;
  for (const auto& [task_class, processors] : pressure)
    square_sum += processors * processors;
  const double expected = this->Slowdown(service_name, pressure);
  // Load shifts move the latency alone; it follows slowly, and at once down.
  const double alone_now = latency_ms / (1 + expected);
  if (square_sum == 0 || alone_now < service.alone_ms)
    service.alone_ms += kAloneRate * 4 * (alone_now - service.alone_ms);
  else
    service.alone_ms += kAloneRate * (alone_now - service.alone_ms);
  if (square_sum == 0)
    return;
  const double seen = latency_ms / service.alone_ms - 1;
  const double error = seen - expected;
  for (const auto& [task_class, processors] : pressure) {
    const auto [place, added] =
        service.pairs.try_emplace(task_class, Pair{.slowdown = kGuess});
    Pair& pair = place->second;
    pair.slowdown += kLearningRate * error * processors / square_sum;
    pair.slowdown = std::max(0.0, pair.slowdown);
    pair.samples = pair.samples * kSampleDecay + 1;
  }
}

double InterferenceModel::SlowdownPerProcessor(
    const std::string& service_name,
    const std::string& task_class) const {
  const auto service = this->services.find(service_name);
  if (service == this->services.end())
    return kGuess;
  const auto pair = service->second.pairs.find(task_class);
  if (pair == service->second.pairs.end())
    return kGuess;
  const double trust = this->Confidence(service_name, task_class);
  return trust * pair->second.slowdown + (1 - trust) * kGuess;
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
      known->second.alone_ms * (1 + this->Slowdown(service.name, pressure));
  return expected_ms / static_cast<double>(service.tail_target.count());
}

double InterferenceModel::Confidence(const std::string& service_name,
                                     const std::string& task_class) const {
  const auto service = this->services.find(service_name);
  if (service == this->services.end())
    return 0;
  const auto pair = service->second.pairs.find(task_class);
  if (pair == service->second.pairs.end())
    return 0;
  return std::min(1.0, pair->second.samples / kSamplesForTrust);
}

}  // namespace savoryring
