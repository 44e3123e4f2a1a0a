#include "libjobs/coupling_estimate.h"

#include <algorithm>
#include <cmath>

namespace savoryring {
namespace {

// The terms depend on each other only through their sums; after this many
// passes over all of them they change by less than 1%.
constexpr int kPasses = 12;
// Lower couplings matter to no decision, and their logarithm has no meaning.
constexpr double kMinCoupling = 0.01;
// Relative to a lower coupling, a measurement error is taken as relative to
// this. Otherwise light images would never be known.
constexpr double kMinErrorBase = 0.04;
// Measurements of a pair combined: its deviation does not fall below this, as
// couplings change with the work that a task does.
constexpr double kMinDeviation = 0.1;
// The weight of n measurements is limited to n / (n + this).
constexpr double kLimitingLessons = 2;

double Square(double value) {
  return value * value;
}

}  // namespace

double EstimatedCoupling::Upper(double deviations) const {
  return this->coupling * std::exp(deviations * this->deviation);
}

std::size_t CouplingEstimator::Effects::IndexOf(const std::string& image) {
  const auto [found, inserted] =
      this->index.try_emplace(image, this->terms.size());
  if (inserted)
    this->terms.push_back({.variance = this->prior_variance});
  return found->second;
}

CouplingEstimator::Term CouplingEstimator::Effects::Find(
    const std::string& image) const {
  const auto found = this->index.find(image);
  return found == this->index.end() ? Term{.variance = this->prior_variance}
                                    : this->terms[found->second];
}

double CouplingEstimator::Residual(const Sample& sample) const {
  return sample.log_coupling - this->mean.mean -
         this->sensitivities.terms[sample.serving].mean -
         this->pressures.terms[sample.best_effort].mean;
}

std::vector<CouplingEstimator::Sample> CouplingEstimator::MakeSamples(
    const std::vector<MeasuredCoupling>& measurements) {
  std::vector<Sample> samples;
  for (const MeasuredCoupling& measured : measurements) {
    if (measured.lessons <= 0)
      continue;
    samples.push_back(
        {.serving = this->sensitivities.IndexOf(measured.serving_image),
         .best_effort = this->pressures.IndexOf(measured.best_effort_image),
         .log_coupling = std::log(std::max(measured.coupling, kMinCoupling)),
         .lessons = std::min(measured.lessons, this->options.max_lessons)});
  }
  return samples;
}

// An error is relative to the lower one of the predicted and the measured
// coupling: a wild measurement would otherwise look more certain than others.
// What few measurements show far from the prediction is likely wild.
void CouplingEstimator::UpdateErrors(std::vector<Sample>& samples) const {
  for (Sample& sample : samples) {
    const double residual = this->Residual(sample);
    const double predicted = sample.log_coupling - residual;
    const double lower = std::exp(std::min(predicted, sample.log_coupling));
    const double relative_error =
        this->options.lesson_error / std::max(lower, kMinErrorBase);
    sample.error_variance =
        (Square(relative_error) + Square(residual)) / sample.lessons;
  }
}

void CouplingEstimator::FitMean(const std::vector<Sample>& samples) {
  const double prior_mean = std::log(this->options.typical_coupling);
  const double prior_precision = 1 / Square(this->options.mean_deviation);
  double precision = prior_precision;
  double sum = prior_precision * prior_mean;
  // Pairs of the same images share an error, so that the images are counted
  // instead.
  const double shared = (this->sensitivities.prior_variance /
                         static_cast<double>(std::max<std::size_t>(
                             1, this->sensitivities.terms.size()))) +
                        (this->pressures.prior_variance /
                         static_cast<double>(std::max<std::size_t>(
                             1, this->pressures.terms.size())));
  for (const Sample& sample : samples) {
    const double weight = 1 / (sample.error_variance + this->pair_variance);
    precision += weight;
    sum += weight * (this->Residual(sample) + this->mean.mean);
  }
  this->mean.mean = sum / precision;
  this->mean.variance = std::min(1 / prior_precision, (1 / precision) + shared);
}

void CouplingEstimator::FitEffects(const std::vector<Sample>& samples,
                                   std::size_t Sample::*image,
                                   double assumed_deviation,
                                   Effects& effects) const {
  std::vector<double> precisions(effects.terms.size(),
                                 1 / effects.prior_variance);
  std::vector<double> sums(effects.terms.size(), 0);
  for (const Sample& sample : samples) {
    const std::size_t i = sample.*image;
    const double weight = 1 / (sample.error_variance + this->pair_variance);
    precisions[i] += weight;
    sums[i] += weight * (this->Residual(sample) + effects.terms[i].mean);
  }
  const double assumed_images = this->options.assumed_images;
  double square_sum = assumed_images * Square(assumed_deviation);
  for (std::size_t i = 0; i < effects.terms.size(); ++i) {
    effects.terms[i] = {.mean = sums[i] / precisions[i],
                        .variance = 1 / precisions[i]};
    square_sum += Square(effects.terms[i].mean) + effects.terms[i].variance;
  }
  effects.prior_variance =
      square_sum / (assumed_images + static_cast<double>(effects.terms.size()));
}

// A residual is what is particular to the pair plus the measurement error. Only
// the part that the error does not explain counts.
void CouplingEstimator::FitPairVariance(const std::vector<Sample>& samples) {
  const double assumed_images = this->options.assumed_images;
  double sum = assumed_images * Square(this->options.pair_deviation);
  double weights = assumed_images;
  for (const Sample& sample : samples) {
    const double share =
        this->pair_variance / (this->pair_variance + sample.error_variance);
    sum += share * (Square(share * this->Residual(sample)) +
                    ((1 - share) * this->pair_variance));
    weights += share;
  }
  this->pair_variance = sum / weights;
}

void CouplingEstimator::Fit(const std::vector<MeasuredCoupling>& measurements) {
  this->fitted = true;
  this->mean = {.mean = std::log(this->options.typical_coupling),
                .variance = Square(this->options.mean_deviation)};
  this->sensitivities = {.prior_variance =
                             Square(this->options.sensitivity_deviation)};
  this->pressures = {.prior_variance =
                         Square(this->options.pressure_deviation)};
  this->pair_variance = Square(this->options.pair_deviation);
  std::vector<Sample> samples = this->MakeSamples(measurements);
  for (int pass = 0; pass < kPasses && !samples.empty(); ++pass) {
    this->UpdateErrors(samples);
    this->FitMean(samples);
    this->FitEffects(samples, &Sample::best_effort,
                     this->options.pressure_deviation, this->pressures);
    this->FitEffects(samples, &Sample::serving,
                     this->options.sensitivity_deviation, this->sensitivities);
    this->FitPairVariance(samples);
  }
}

EstimatedCoupling CouplingEstimator::Estimate(
    const std::string& serving_image,
    const std::string& best_effort_image) const {
  if (!this->fitted) {
    return {.coupling = this->options.typical_coupling,
            .deviation = std::sqrt(Square(this->options.mean_deviation) +
                                   Square(this->options.sensitivity_deviation) +
                                   Square(this->options.pressure_deviation) +
                                   Square(this->options.pair_deviation))};
  }
  const Term sensitivity = this->sensitivities.Find(serving_image);
  const Term pressure = this->pressures.Find(best_effort_image);
  return {
      .coupling = std::exp(this->mean.mean + sensitivity.mean + pressure.mean),
      .deviation = std::sqrt(this->mean.variance + sensitivity.variance +
                             pressure.variance + this->pair_variance)};
}

EstimatedCoupling CouplingEstimator::Combine(const EstimatedCoupling& estimate,
                                             double measured,
                                             double lessons) const {
  if (lessons <= 0)
    return estimate;
  // The variance of the estimate lies between that at its median and that at
  // the measured value: a distribution of logarithms reaches far up.
  const double higher = std::max(estimate.coupling, measured);
  const double variance =
      Square(estimate.deviation) * estimate.coupling * higher;
  const double error = Square(this->options.lesson_error) /
                       std::min(lessons, this->options.max_lessons);
  const double weight = std::min(variance / (variance + error),
                                 lessons / (lessons + kLimitingLessons));
  return {
      .coupling = std::max(
          0.0, estimate.coupling + (weight * (measured - estimate.coupling))),
      .deviation =
          std::max(kMinDeviation, estimate.deviation * std::sqrt(1 - weight))};
}

double CouplingEstimator::Sensitivity(const std::string& serving_image) const {
  return std::exp(this->sensitivities.Find(serving_image).mean);
}

}  // namespace savoryring
