/// Estimates how much a best-effort image slows down a serving image that it
/// was never, or hardly, measured with. A deterministic core.
///
/// Load: best-effort images that differ by a factor of five and more in what
/// they do to serving tasks, and pairs of images that meet for the first time.
///
/// The logarithm of a coupling is modeled as a common mean, plus the
/// sensitivity of the serving image, plus the pressure of the best-effort
/// image, plus what is particular to the pair. Each is shrunk toward 0 by how
/// little is known about it, with variances that are learned as well
/// (empirical Bayes).
#ifndef SAVORYRING_LIBJOBS_COUPLING_ESTIMATE_H_
#define SAVORYRING_LIBJOBS_COUPLING_ESTIMATE_H_

#include <map>
#include <string>
#include <vector>

namespace savoryring {

/// The coupling of two images by measurements of the pair itself.
struct MeasuredCoupling {
  std::string serving_image;
  std::string best_effort_image;
  double coupling = 0;  ///< Per processor; noise may make it negative.
  double lessons = 0;   ///< Sum of the weights of its measurements.
};

struct EstimatedCoupling {
  double coupling = 0;   ///< Median, per processor.
  double deviation = 0;  ///< Standard deviation of its logarithm.

  /// The coupling that is this many standard deviations above the median.
  double Upper(double deviations) const;
};

struct CouplingEstimateOptions {
  /// Median coupling without any measurement; the geometric mean of 0.04 and
  /// 0.15, between which the typical coupling of known sites lies.
  double typical_coupling = 0.08;
  /// Deviation of the common mean from its typical value: a site's mean lies
  /// between 0.04 and 0.15 with 80% probability.
  double mean_deviation = 0.5;
  /// Deviation of the sensitivities and pressures while few are known.
  /// Couplings vary by a factor of five between best-effort images, and by half
  /// as much between serving images.
  double sensitivity_deviation = 0.4;
  double pressure_deviation = 0.8;
  /// Deviation of what is particular to a pair.
  double pair_deviation = 0.25;
  /// How many images the three deviations above count as when they are combined
  /// with the measured ones.
  double assumed_images = 4;
  /// Standard error of a coupling by one measurement. The own load of a serving
  /// task changes by some 6% between two measurements, which a change of one
  /// best-effort processor can't be told from.
  double lesson_error = 0.08;
  /// Further measurements of a pair replace earlier ones.
  double max_lessons = 7;
};

class CouplingEstimator {
 public:
  explicit CouplingEstimator(CouplingEstimateOptions options = {})
      : options(options) {}

  /// Replaces all that is known by these measurements.
  void Fit(const std::vector<MeasuredCoupling>& measurements);

  /// The estimate for a pair from what other pairs of its images show.
  EstimatedCoupling Estimate(const std::string& serving_image,
                             const std::string& best_effort_image) const;

  /// Combines an estimate with measurements of the pair itself. The weight of
  /// few measurements is limited, however certain they look.
  EstimatedCoupling Combine(const EstimatedCoupling& estimate,
                            double measured,
                            double lessons) const;

  /// The sensitivity of a serving image relative to the mean, from 0. 1 for an
  /// unknown image.
  double Sensitivity(const std::string& serving_image) const;

 private:
  // Mean and variance of a term of the logarithm.
  struct Term {
    double mean = 0;
    double variance = 0;
  };
  // A measured pair; `serving` and `best_effort` are indexes.
  struct Sample {
    std::size_t serving = 0;
    std::size_t best_effort = 0;
    double log_coupling = 0;
    double lessons = 0;
    double error_variance = 0;
  };
  // A term for each image of one kind.
  struct Effects {
    std::map<std::string, std::size_t> index;
    std::vector<Term> terms;
    double prior_variance = 0;

    std::size_t IndexOf(const std::string& image);
    Term Find(const std::string& image) const;
  };

  std::vector<Sample> MakeSamples(
      const std::vector<MeasuredCoupling>& measurements);
  void UpdateErrors(std::vector<Sample>& samples) const;
  void FitMean(const std::vector<Sample>& samples);
  void FitEffects(const std::vector<Sample>& samples,
                  std::size_t Sample::*image,
                  double assumed_deviation,
                  Effects& effects) const;
  void FitPairVariance(const std::vector<Sample>& samples);
  double Residual(const Sample& sample) const;

  CouplingEstimateOptions options;
  bool fitted = false;
  Term mean;
  Effects sensitivities;  // of serving images
  Effects pressures;      // of best-effort images
  double pair_variance = 0;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_COUPLING_ESTIMATE_H_
