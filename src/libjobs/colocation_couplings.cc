// Couplings of pairs of images: what is learned, estimated and exchanged.

#include <algorithm>
#include <cmath>

#include "libjobs/colocation_model.h"

namespace savoryring {
namespace {

constexpr double kMaxCoupling = 1.0;
// --- With estimates only ---

// Limits the pairs of images that are kept, to some 1 MB.
constexpr std::size_t kMaxPairs = 4096;
// Limits the pairs in one report, to some 3 KB: all agents report to a new
// leader at about the same time.
constexpr int kMaxReportedPairs = 64;
// A change of the best-effort CPU use by this many processors is one
// measurement; a smaller one counts less, by its square.
constexpr double kFullLessonCpus = 1.0;
// Estimates are fitted again after as many lessons as this fraction of the
// pairs: a fit takes time in proportion to the pairs, and each lesson changes
// one of them.
constexpr std::size_t kPairsPerRefitLesson = 4;
// Estimates are sent for pairs with fewer measurements than this. The estimate
// of others hardly counts.
constexpr double kLessonsWithoutEstimate = 16;

// What one measurement shows of a pair.
struct Lesson {
  std::string best_effort_image;
  double measured = 0;
  double weight = 0;
};

}  // namespace

double ColocationModel::Coupling(const std::string& serving_image,
                                 const std::string& best_effort_image,
                                 CouplingKind kind) const {
  if (!this->options.estimates) {
    const LearnedCoupling* learned =
        this->FindLearned(serving_image, best_effort_image);
    return learned == nullptr ? this->options.initial_coupling
                              : learned->coupling;
  }
  const auto serving = this->cached.find(serving_image);
  if (serving != this->cached.end()) {
    const auto found = serving->second.find(best_effort_image);
    const double coupling = found == serving->second.end() ? -1
                            : kind == CouplingKind::kLikely
                                ? found->second.likely
                                : found->second.cautious;
    if (coupling >= 0)
      return coupling;
  }
  const double coupling =
      this->ComputeCoupling(serving_image, best_effort_image, kind);
  if (this->cached_pairs >= kMaxPairs)
    this->ForgetCached();
  const auto [entry, inserted] =
      this->cached[serving_image].try_emplace(best_effort_image);
  this->cached_pairs += inserted ? 1 : 0;
  (kind == CouplingKind::kLikely ? entry->second.likely
                                 : entry->second.cautious) = coupling;
  return coupling;
}

void ColocationModel::ForgetCached() const {
  this->cached.clear();
  this->cached_pairs = 0;
}

double ColocationModel::ComputeCoupling(const std::string& serving_image,
                                        const std::string& best_effort_image,
                                        CouplingKind kind) const {
  const LearnedCoupling* learned =
      this->FindLearned(serving_image, best_effort_image);
  const EstimatedCoupling estimate =
      this->EstimateOf(serving_image, best_effort_image);
  const bool cautious =
      kind == CouplingKind::kCautious &&
      (learned == nullptr || learned->updates < this->options.new_pair_lessons);
  return std::min(kMaxCoupling,
                  estimate.Upper(cautious ? this->options.cautious_deviations
                                          : this->options.likely_deviations));
}

const ColocationModel::LearnedCoupling* ColocationModel::FindLearned(
    const std::string& serving_image,
    const std::string& best_effort_image) const {
  const auto serving = this->couplings.find(serving_image);
  if (serving == this->couplings.end())
    return nullptr;
  const auto learned = serving->second.find(best_effort_image);
  return learned == serving->second.end() ? nullptr : &learned->second;
}

// The estimate that the leader has sent rests on more measurements than those
// of this model.
EstimatedCoupling ColocationModel::EstimateOf(
    const std::string& serving_image,
    const std::string& best_effort_image) const {
  const LearnedCoupling* learned =
      this->FindLearned(serving_image, best_effort_image);
  const CouplingEstimator& fitted = this->Estimator();
  const EstimatedCoupling estimate =
      learned != nullptr && learned->received
          ? *learned->received
          : fitted.Estimate(serving_image, best_effort_image);
  return learned == nullptr
             ? estimate
             : fitted.Combine(estimate, learned->coupling, learned->updates);
}

bool ColocationModel::IsNewPair(const std::string& serving_image,
                                const std::string& best_effort_image) const {
  if (!this->options.estimates)
    return false;
  const LearnedCoupling* learned =
      this->FindLearned(serving_image, best_effort_image);
  return learned == nullptr ||
         learned->updates < this->options.new_pair_lessons;
}

double ColocationModel::Sensitivity(const std::string& serving_image) const {
  return this->options.estimates ? this->Estimator().Sensitivity(serving_image)
                                 : 1;
}

const CouplingEstimator& ColocationModel::Estimator() const {
  if (this->lessons_since_fit == 0 ||
      this->lessons_since_fit * kPairsPerRefitLesson < this->fitted_pairs)
    return this->estimator;
  std::vector<MeasuredCoupling> measurements;
  for (const auto& [serving_image, pairs] : this->couplings) {
    for (const auto& [best_effort_image, learned] : pairs) {
      if (learned.updates > 0) {
        measurements.push_back({.serving_image = serving_image,
                                .best_effort_image = best_effort_image,
                                .coupling = learned.coupling,
                                .lessons = learned.updates});
      }
    }
  }
  this->estimator.Fit(measurements);
  this->fitted_pairs = measurements.size();
  this->lessons_since_fit = 0;
  this->ForgetCached();
  return this->estimator;
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
  const double difference = growth.log_growth - expected;
  const double error = growth.weight * difference;
  const double scale = 1 + this->Interference(serving_image, after);
  if (this->options.estimates) {
    if (growth.at_least && difference <= 0)
      return;
    // All lessons are computed before any of them changes a coupling.
    std::vector<Lesson> lessons;
    for (const auto& [image, cpus] : change) {
      const double weight =
          growth.weight * cpus * cpus /
          std::max(square_sum, kFullLessonCpus * kFullLessonCpus);
      const double measured = this->Coupling(serving_image, image) +
                              (difference * scale * cpus / square_sum);
      if (weight > 0)
        lessons.push_back({image, measured, weight});
    }
    for (const Lesson& lesson : lessons)
      this->AddLesson(serving_image, lesson.best_effort_image, lesson.measured,
                      lesson.weight);
    return;
  }
  auto& estimates = this->couplings[serving_image];
  for (const auto& [image, cpus] : change) {
    if (cpus == 0)
      continue;
    LearnedCoupling& estimate =
        estimates
            .try_emplace(
                image,
                LearnedCoupling{.coupling = this->options.initial_coupling})
            .first->second;
    estimate.coupling +=
        this->options.learning_rate * error * scale * cpus / square_sum;
    estimate.coupling = std::clamp(estimate.coupling, 0.0, kMaxCoupling);
    estimate.updates += 1;
  }
}

// The coupling is the weighted mean of all measurements at first, and one that
// forgets the earliest ones later.
void ColocationModel::AddLesson(const std::string& serving_image,
                                const std::string& best_effort_image,
                                double measured,
                                double weight) {
  this->MakeRoomForPair(serving_image, best_effort_image);
  LearnedCoupling& learned = this->couplings[serving_image][best_effort_image];
  learned.updates += weight;
  const double remembered =
      std::min(learned.updates, 1 / this->options.learning_rate);
  learned.coupling +=
      std::min(1.0, weight / remembered) *
      (std::clamp(measured, -kMaxCoupling, kMaxCoupling) - learned.coupling);
  this->lessons_since_fit += 1;
  this->ForgetCached();
}

// Forgets the pair with the fewest measurements when there are too many.
void ColocationModel::MakeRoomForPair(const std::string& serving_image,
                                      const std::string& best_effort_image) {
  if (!this->options.estimates ||
      this->FindLearned(serving_image, best_effort_image) != nullptr)
    return;
  this->pair_count += 1;
  if (this->pair_count <= kMaxPairs)
    return;
  const std::string* least_serving = nullptr;
  const std::string* least_best_effort = nullptr;
  double least = 0;
  for (const auto& [serving, pairs] : this->couplings) {
    for (const auto& [best_effort, learned] : pairs) {
      if (least_serving != nullptr && learned.updates >= least)
        continue;
      least_serving = &serving;
      least_best_effort = &best_effort;
      least = learned.updates;
    }
  }
  const auto serving = this->couplings.find(*least_serving);
  serving->second.erase(std::string(*least_best_effort));
  if (serving->second.empty())
    this->couplings.erase(serving);
  this->pair_count -= 1;
}

std::size_t ColocationModel::CountPairs() const {
  std::size_t count = 0;
  for (const auto& [serving_image, pairs] : this->couplings)
    count += pairs.size();
  return count;
}

wire::LearnedImage ColocationModel::ExportLearned(
    const std::string& serving_image,
    const std::set<std::string>& best_effort_images) const {
  wire::LearnedImage learned;
  learned.set_serving_image(serving_image);
  const auto image = this->images.find(serving_image);
  if (image != this->images.end())
    learned.set_idle_ms(image->second.idle_ms);
  for (const std::string& best_effort_image : best_effort_images) {
    const LearnedCoupling* found =
        this->FindLearned(serving_image, best_effort_image);
    const double updates = found == nullptr ? 0 : found->updates;
    if (found != nullptr && (!this->options.estimates || updates >= 1)) {
      wire::FillCoupling* exported = learned.add_fills();
      exported->set_fill_image(best_effort_image);
      exported->set_coupling(std::max(0.0, found->coupling));
      exported->set_lessons(static_cast<std::uint32_t>(updates));
    }
    if (this->options.estimates && updates < kLessonsWithoutEstimate) {
      const EstimatedCoupling estimate =
          found != nullptr && found->received
              ? *found->received
              : this->Estimator().Estimate(serving_image, best_effort_image);
      wire::FillCoupling* exported = learned.add_fills();
      exported->set_fill_image(best_effort_image);
      exported->set_coupling(estimate.coupling);
      exported->set_estimated(true);
      exported->set_deviation(estimate.deviation);
    }
  }
  return learned;
}

std::vector<wire::LearnedImage> ColocationModel::ExportMeasured(
    const std::set<std::string>& serving_images) const {
  std::vector<wire::LearnedImage> exported;
  int pairs_left = kMaxReportedPairs;
  for (const auto& [serving_image, pairs] : this->couplings) {
    if (!serving_images.contains(serving_image))
      continue;
    wire::LearnedImage image;
    image.set_serving_image(serving_image);
    const auto profile = this->images.find(serving_image);
    if (profile != this->images.end())
      image.set_idle_ms(profile->second.idle_ms);
    for (const auto& [best_effort_image, learned] : pairs) {
      if (learned.updates < 1 || pairs_left == 0)
        continue;
      pairs_left -= 1;
      wire::FillCoupling* pair = image.add_fills();
      pair->set_fill_image(best_effort_image);
      pair->set_coupling(std::max(0.0, learned.coupling));
      pair->set_lessons(static_cast<std::uint32_t>(learned.updates));
    }
    if (image.fills_size() > 0)
      exported.push_back(std::move(image));
  }
  return exported;
}

void ColocationModel::MergeLearned(const wire::LearnedImage& learned) {
  const std::string& serving_image = learned.serving_image();
  if (learned.idle_ms() > 0) {
    ImageProfile& image =
        this->images
            .try_emplace(serving_image,
                         ImageProfile{.idle_ms = learned.idle_ms()})
            .first->second;
    image.idle_ms = std::min(image.idle_ms, learned.idle_ms());
  }
  this->ForgetCached();
  for (const wire::FillCoupling& other : learned.fills()) {
    if (other.estimated() && !this->options.estimates)
      continue;
    const bool valid = std::isfinite(other.coupling()) &&
                       std::isfinite(other.deviation()) &&
                       other.coupling() >= 0 && other.deviation() >= 0;
    if (this->options.estimates && !valid)
      continue;
    this->MakeRoomForPair(serving_image, other.fill_image());
    LearnedCoupling& pair =
        this->couplings[serving_image]
            .try_emplace(
                other.fill_image(),
                LearnedCoupling{.coupling = this->options.initial_coupling})
            .first->second;
    if (other.estimated()) {
      pair.received = EstimatedCoupling{.coupling = other.coupling(),
                                        .deviation = other.deviation()};
    } else if (pair.updates < other.lessons()) {
      pair.coupling = other.coupling();
      pair.updates = other.lessons();
      this->lessons_since_fit += 1;
    }
  }
}

}  // namespace savoryring
