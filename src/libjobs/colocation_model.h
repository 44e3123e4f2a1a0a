/// Learns how much best-effort tasks slow down the serving tasks on the same
/// worker, by pairs of images. A deterministic core; agents use it to throttle
/// best-effort tasks and the leader uses it to place them.
///
/// A serving task is modeled as a queue with the tail latency t0/(1 - u). Its
/// utilization u is its own load times 1 + the sum of coupling * processors
/// used over the best-effort tasks on the worker. The own load varies within
/// seconds, whereas the coupling of two images is constant.
#ifndef SAVORYRING_LIBJOBS_COLOCATION_MODEL_H_
#define SAVORYRING_LIBJOBS_COLOCATION_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libjobs/coupling_estimate.h"
#include "libjobs/jobs.pb.h"
#include "savoryring/time.h"

namespace savoryring {

/// A run on a worker with its measurements over the last half second.
struct ColocatedRun {
  std::string task;
  std::string image;
  bool best_effort = false;
  double cpus_used = 0;        ///< Processors; of a best-effort task.
  double cpus_requested = 0;   ///< Processors; of a best-effort task.
  double tail_target_ms = 0;   ///< 0 for a task that is not a serving task.
  double tail_latency_ms = 0;  ///< 0: not measured yet.
};

struct ColocationModelOptions {
  /// Fraction of its latency target that a serving task may reach.
  double max_target_fraction = 0.95;
  /// Coupling, per processor, of two images without measurements.
  double initial_coupling = 0.04;
  /// Step size of the normalized least-mean-squares update.
  double learning_rate = 0.25;
  /// Smallest change of the best-effort CPU use, in processors, that updates
  /// the couplings.
  double min_cpu_change = 0.7;
  /// Weight of a new measurement in the smoothed own load of a serving task.
  double smoothing_factor = 0.1;
  /// Weight of the newest half second in the moving average of the tail latency
  /// that workers list.
  double newest_weight = 0.6;
  /// Weight of a new measurement in the trend of a serving task's own load.
  double trend_factor = 0.4;
  /// How many measurements ahead the own load is predicted while it grows.
  double prediction_steps = 0.5;
  /// Estimates the coupling of images without measurements of their pair from
  /// what other pairs show. Otherwise it is `initial_coupling`.
  bool estimates = false;
  /// Standard deviations that a likely coupling is above the median: the mean
  /// of a coupling with a deviation of 0.4, as couplings of a few measurements
  /// have it.
  double likely_deviations = 0.2;
  /// The same for a cautious coupling of a new pair. In the play of
  /// coupling_play_test.cc, 0.3 (with 0.15 above) gets some 5% more work done,
  /// at 10 to 20% more time over target.
  double cautious_deviations = 0.4;
  /// A pair with fewer measurements than this is new.
  double new_pair_lessons = 4;
};

/// Which coupling of a pair counts.
enum class CouplingKind {
  kLikely,
  kCautious,  ///< For a new pair, the upper end of its estimate.
};

class ColocationModel {
 public:
  explicit ColocationModel(ColocationModelOptions options = {})
      : options(options) {}

  /// Updates the model with new measurements of all runs on one worker.
  void Learn(const std::string& worker, const std::vector<ColocatedRun>& runs);

  /// Extra utilization of a serving task, relative to its own load, per
  /// processor that the best-effort task uses.
  double Coupling(const std::string& serving_image,
                  const std::string& best_effort_image) const {
    return this->Coupling(serving_image, best_effort_image,
                          CouplingKind::kLikely);
  }
  /// Without estimates, all kinds are the same.
  double Coupling(const std::string& serving_image,
                  const std::string& best_effort_image,
                  CouplingKind kind) const;
  /// Whether estimates are used and the pair has few measurements.
  bool IsNewPair(const std::string& serving_image,
                 const std::string& best_effort_image) const;
  /// How much best-effort tasks slow down a serving image, relative to others.
  double Sensitivity(const std::string& serving_image) const;
  /// Growth of a serving task's own load over its smoothed one, relative to
  /// that; 0 for an unknown task.
  double LoadGrowth(const std::string& task) const;
  bool has_estimates() const { return this->options.estimates; }
  /// Pairs of images that are kept.
  std::size_t CountPairs() const;

  /// Sum of coupling * processors that a serving task tolerates before its
  /// latency exceeds max_target_fraction of its target. With `smoothed`, uses
  /// the smoothed own load where it is higher than the current one.
  double Headroom(const ColocatedRun& serving, bool smoothed) const;

  /// The speed of each run from 0 to 1, in the order of `runs`, at which no
  /// serving task on the worker exceeds max_target_fraction of its target. 1
  /// for runs that are not best-effort.
  std::vector<double> AllowedSpeeds(const std::vector<ColocatedRun>& runs,
                                    bool smoothed,
                                    CouplingKind kind) const;
  std::vector<double> AllowedSpeeds(const std::vector<ColocatedRun>& runs,
                                    bool smoothed) const {
    return this->AllowedSpeeds(runs, smoothed, CouplingKind::kLikely);
  }

  void ForgetWorker(const std::string& worker) {
    this->last_observations.erase(worker);
  }

  /// Forgets all runs, and keeps what was learned of images.
  void ForgetRuns();

  /// Exports the idle latency of a serving image and its couplings with the
  /// given best-effort images. With estimates, pairs with few measurements have
  /// another entry for their estimate.
  wire::LearnedImage ExportLearned(
      const std::string& serving_image,
      const std::set<std::string>& best_effort_images) const;
  /// Exports the measured couplings of these serving images, up to a limit that
  /// bounds the message.
  std::vector<wire::LearnedImage> ExportMeasured(
      const std::set<std::string>& serving_images) const;
  /// Merges the export of another model. A coupling is replaced if the other
  /// model derived it from more measurements. Estimates of the other model
  /// replace estimates only.
  void MergeLearned(const wire::LearnedImage& learned);

 private:
  struct LearnedCoupling {
    // With estimates: the mean of the measurements alone, which noise may make
    // negative.
    double coupling = 0;
    double updates = 0;  // `lessons` on the wire; with estimates, weighted
    std::optional<EstimatedCoupling> received;  // estimate of the leader
  };
  // Couplings of a pair, by kind; below 0: not computed.
  struct CachedCouplings {
    double likely = -1;
    double cautious = -1;
  };
  struct ImageProfile {
    double idle_ms = 0;   // tail latency without load
    double own_load = 0;  // smoothed, of all tasks; 0: none measured
  };
  struct ServingLoad {
    double utilization = 0;
    double own = 0;       // utilization without interference
    double smoothed = 0;  // exponentially smoothed `own`
    double trend = 0;     // smoothed change of `own` between measurements
    double tail_latency_ms = 0;  // as listed
    double rounding = 0;         // relative error of `utilization`
  };
  // Growth of a utilization between two measurements.
  struct MeasuredGrowth {
    double log_growth = 0;
    double weight = 1;      // by its precision
    bool at_least = false;  // saturated: the growth may be larger
  };
  struct Observation {
    std::map<std::string, double> cpus_used;           // by best-effort image
    std::map<std::string, ServingLoad> serving_loads;  // by task
  };

  void UpdateIdleLatency(const ColocatedRun& serving);
  void UpdateOwnLoad(double own, ServingLoad& load) const;
  double EstimateUtilization(const ColocatedRun& serving) const;
  double CurrentLatency(const ColocatedRun& serving) const;
  double PredictedLoad(const ServingLoad& load, bool smoothed) const;
  double Interference(const std::string& serving_image,
                      const std::map<std::string, double>& cpus_used) const;
  void UpdateCouplings(const std::string& serving_image,
                       const std::map<std::string, double>& before,
                       const std::map<std::string, double>& after,
                       const MeasuredGrowth& growth);
  void AddLesson(const std::string& serving_image,
                 const std::string& best_effort_image,
                 double measured,
                 double weight);
  void MakeRoomForPair(const std::string& serving_image,
                       const std::string& best_effort_image);
  const LearnedCoupling* FindLearned(
      const std::string& serving_image,
      const std::string& best_effort_image) const;
  double ComputeCoupling(const std::string& serving_image,
                         const std::string& best_effort_image,
                         CouplingKind kind) const;
  void ForgetCached() const;
  EstimatedCoupling EstimateOf(const std::string& serving_image,
                               const std::string& best_effort_image) const;
  const CouplingEstimator& Estimator() const;

  ColocationModelOptions options;
  std::map<std::string, ImageProfile> images;
  // By serving image, then by best-effort image.
  std::map<std::string, std::map<std::string, LearnedCoupling>> couplings;
  std::map<std::string, Observation> last_observations;  // by worker
  std::map<std::string, ServingLoad> serving_loads;      // by task
  std::size_t pair_count = 0;                            // in `couplings`
  // Fitted when it is needed, after enough lessons.
  mutable CouplingEstimator estimator;
  mutable std::size_t fitted_pairs = 0;
  mutable std::size_t lessons_since_fit = 0;
  // By serving image, then by best-effort image, until the next lesson: one
  // decision of the leader asks for the same couplings for every worker.
  mutable std::map<std::string, std::map<std::string, CachedCouplings>> cached;
  mutable std::size_t cached_pairs = 0;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_COLOCATION_MODEL_H_
