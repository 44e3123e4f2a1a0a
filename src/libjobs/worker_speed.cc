#include "libjobs/worker_speed.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <numbers>
#include <utility>

namespace savoryring {
namespace {

constexpr double kFullPercent = 100;
// A report may show a list that is up to 500 ms old, half of that in the mean.
// Between two reports most of it cancels out, but not from the start of a run
// on.
constexpr double kListAgeMs = 250;
constexpr double kMaxListAgeMs = 500;
constexpr double kStartJitterMs = 150;
constexpr double kJitterMs = 120;
// Shorter intervals between two lists are joined.
constexpr double kMinIntervalMs = 400;
// Ends are reported at once.
constexpr double kEndJitterMs = 60;
// A run without progress for the usual time of this many percent stands still.
constexpr double kMaxPercentBehind = 10;
// A run that took no longer than this is judged by its whole duration.
constexpr double kShortRunMs = 1500;
// Largest age difference between the rates in one group. Older rates may be
// from before a change of the worker's speed.
constexpr Milliseconds kGroupSpan{1000};

// Standard deviations of logarithms. Tasks of a step differ by 15 to 30%; steps
// of an image and images differ in how wrong their estimates are.
constexpr double kTaskDeviation = 0.3;
constexpr double kStepDeviation = 0.3;
constexpr double kImageDeviation = 0.7;
// Some workers are several times slower.
constexpr double kWorkerDeviation = 0.5;
// Weight of a best-effort run, whose measured CPU use is an approximation. It
// falls with the square of the fraction, so that a run that gets little counts
// for nothing.
constexpr double kBestEffortWeight = 0.5;
constexpr double kMinCpuFraction = 0.2;

// How often a task takes several times as long as the rest of its step, and the
// largest such factor, as a logarithm. Of a group the median counts, so that
// several such tasks would have to come together.
constexpr double kLongTaskShare = 0.08;
constexpr double kLongGroupShare = 0.03;
constexpr double kLongestTask = 2.1;
// Density of rates that nothing explains. Bounds what one group can say.
constexpr double kUnexplainedDensity = 0.005;

// Comparison needs at least this many other workers ...
constexpr std::size_t kMinOtherWorkers = 2;
// ... or this many earlier groups.
constexpr double kMinHistory = 10;
// A sorted list of rates is thinned out to this many. Bounds the cost of an
// evaluation.
constexpr std::size_t kMaxSamples = 64;

struct SpeedHypothesis {
  double speed;
  double prior;
};
// Slow workers are rare enough that one task of several times the usual length
// outweighs none of this.
constexpr std::array<SpeedHypothesis, 8> kHypotheses{{
    {.speed = 1.4, .prior = 0.04},
    {.speed = 1.0, .prior = 0.805},
    {.speed = 0.75, .prior = 0.09},
    {.speed = 0.5, .prior = 0.03},
    {.speed = 0.35, .prior = 0.012},
    {.speed = 0.25, .prior = 0.01},
    {.speed = 0.18, .prior = 0.01},
    {.speed = 0.12, .prior = 0.003},
}};

double Square(double value) {
  return value * value;
}

double MsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

struct Sample {
  double log_rate = 0;
  const std::string* worker = nullptr;
  StepKey step;
};

using Samples = std::vector<Sample>;

void SortAndThin(Samples& samples) {
  std::ranges::sort(samples, {}, &Sample::log_rate);
  if (samples.size() <= kMaxSamples)
    return;
  for (std::size_t i = 0; i < kMaxSamples; ++i) {
    const std::size_t position =
        (2 * i + 1) * samples.size() / (2 * kMaxSamples);
    samples[i] = samples[position];
  }
  samples.resize(kMaxSamples);
}

// Of a group's rate on any worker.
constexpr double kSampleVariance =
    kTaskDeviation * kTaskDeviation + kWorkerDeviation * kWorkerDeviation;

struct Location {
  double log_rate = 0;
  double variance = 0;
};

// Median of the sorted samples of which `counts` is true, with `variance` for
// their mean and that of a single one. None if there is none.
template <typename Predicate>
std::optional<Location> MedianOf(const Samples& samples,
                                 double shared_variance,
                                 const Predicate& counts) {
  const auto count =
      static_cast<std::size_t>(std::ranges::count_if(samples, counts));
  if (count == 0)
    return std::nullopt;
  const std::size_t lower = (count - 1) / 2;
  const std::size_t upper = count / 2;
  double sum = 0;
  std::size_t position = 0;
  for (const Sample& sample : samples) {
    if (!counts(sample))
      continue;
    sum += position == lower ? sample.log_rate : 0;
    sum += position == upper ? sample.log_rate : 0;
    if (position++ == upper)
      break;
  }
  return Location{.log_rate = sum / 2,
                  .variance = shared_variance +
                              kSampleVariance / static_cast<double>(count)};
}

double NormalDensity(double deviation, double variance) {
  return std::exp(-Square(deviation) / (2 * variance)) /
         std::sqrt(2 * std::numbers::pi * variance);
}

// Density of a group's deviation from the usual rate on a worker of that speed.
double Density(double deviation, double variance, double long_share) {
  const bool may_be_long = deviation < 0 && deviation > -kLongestTask;
  return (1 - long_share) * NormalDensity(deviation, variance) +
         (may_be_long ? long_share / kLongestTask : 0) + kUnexplainedDensity;
}

}  // namespace

// All groups, and their rates by what they may be compared with.
struct WorkerSpeed::Groups {
  std::vector<Group> groups;  // those of a worker follow one another
  std::map<StepKey, Samples> by_step;
  std::map<std::string, Samples> by_image;
  std::map<bool, Samples> by_kind;

  void Add(const Group& group);
  void Sort();
  /// The usual rate of the group's step, without its worker's own groups but
  /// for those in the history.
  std::optional<Location> UsualRate(const Group& group,
                                    const WorkerSpeed& speeds) const;
};

void WorkerSpeed::Groups::Add(const Group& group) {
  const Sample sample{
      .log_rate = group.log_rate, .worker = group.worker, .step = group.step};
  this->groups.push_back(group);
  this->by_step[group.step].push_back(sample);
  if (!group.image->empty())
    this->by_image[*group.image].push_back(sample);
  this->by_kind[group.best_effort].push_back(sample);
}

void WorkerSpeed::Groups::Sort() {
  for (auto& [step, samples] : this->by_step)
    SortAndThin(samples);
  for (auto& [image, samples] : this->by_image)
    SortAndThin(samples);
  for (auto& [kind, samples] : this->by_kind)
    SortAndThin(samples);
}

std::optional<Location> WorkerSpeed::Groups::UsualRate(
    const Group& group,
    const WorkerSpeed& speeds) const {
  const auto elsewhere = [&group](const Sample& sample) {
    return sample.worker != group.worker;
  };
  const auto other_step = [&group](const Sample& sample) {
    return sample.worker != group.worker && sample.step != group.step;
  };
  double precision = 0;
  double sum = 0;
  const auto add = [&](const std::optional<Location>& location) {
    if (!location)
      return;
    precision += 1 / location->variance;
    sum += location->log_rate / location->variance;
  };
  const auto add_history = [&](const History& history, double deviation) {
    if (history.count < kMinHistory)
      return;
    add(Location{
        .log_rate = history.log_rates / history.count,
        .variance = Square(deviation) + kSampleVariance / history.count});
  };
  if (!group.image->empty()) {
    add(MedianOf(this->by_image.at(*group.image), Square(kStepDeviation),
                 other_step));
    const auto found = speeds.image_history.find(*group.image);
    if (found != speeds.image_history.end())
      add_history(found->second, kStepDeviation);
  }
  const auto found = speeds.kind_history.find(group.best_effort);
  if (found != speeds.kind_history.end())
    add_history(found->second, kImageDeviation);
  const Samples& kind = this->by_kind.at(group.best_effort);
  const auto others = std::ranges::count_if(kind, elsewhere);
  if (std::cmp_less(others, kMinOtherWorkers) && precision == 0)
    return std::nullopt;
  add(MedianOf(this->by_step.at(group.step), 0, elsewhere));
  add(MedianOf(kind, Square(kImageDeviation), elsewhere));
  return Location{.log_rate = sum / precision, .variance = 1 / precision};
}

// --- Observations ---

void WorkerSpeed::Add(RunRate& rate,
                      double work_ms,
                      double elapsed_ms,
                      double jitter_ms,
                      const RunProgress& progress,
                      TimePoint now) {
  const double cpu = progress.best_effort ? std::clamp(progress.cpu_fraction,
                                                       kMinCpuFraction, 1.0)
                                          : 1;
  const double rate_time = static_cast<double>(this->options.rate_time.count());
  const double kept = std::exp(-elapsed_ms / rate_time);
  rate.work_ms = rate.work_ms * kept + work_ms / cpu;
  rate.elapsed_ms = rate.elapsed_ms * kept + elapsed_ms;
  rate.jitter_ms = std::max(jitter_ms, rate.jitter_ms * kept);
  rate.weight = progress.best_effort ? kBestEffortWeight * Square(cpu) : 1;
  rate.observed = now;
  WorkerState& state = this->workers[progress.worker];
  state.observed = now;
}

void WorkerSpeed::OnProgress(const RunProgress& progress, TimePoint now) {
  if (progress.estimated_ms == 0)
    return;
  RunRate& rate = this->RateFor(progress, now);
  if (progress.percent <= rate.percent ||
      now < progress.started + this->options.start_time)
    return;
  const bool first = rate.anchor == TimePoint();
  const TimePoint anchor = first ? progress.started : rate.anchor;
  const double elapsed_ms = MsBetween(anchor, now);
  if (!first && elapsed_ms < kMinIntervalMs)
    return;
  const double work_ms =
      (progress.percent - rate.percent) * rate.granularity_ms;
  const double standstill_ms =
      std::max(static_cast<double>(this->options.standstill_time.count()),
               kMaxPercentBehind * rate.granularity_ms);
  rate.percent = progress.percent;
  rate.anchor = now;
  // The progress that a resumed run has at its start is not known, and a young
  // run may be listed from its very start.
  const double start_ms = static_cast<double>(this->options.start_time.count());
  const bool unknown_before =
      first && (progress.resumed || elapsed_ms < start_ms + kMaxListAgeMs);
  if (unknown_before || elapsed_ms > standstill_ms)
    return;
  if (first) {
    this->Add(rate, work_ms, elapsed_ms - kListAgeMs, kStartJitterMs, progress,
              now);
  } else {
    this->Add(rate, work_ms, elapsed_ms, kJitterMs, progress, now);
  }
}

void WorkerSpeed::OnDone(const RunProgress& progress, TimePoint now) {
  if (progress.estimated_ms == 0)
    return;
  const double total_ms = MsBetween(progress.started, now);
  if (total_ms > kShortRunMs || progress.resumed) {
    RunProgress full = progress;
    full.percent = static_cast<std::uint32_t>(kFullPercent);
    this->OnProgress(full, now);
    return;
  }
  RunRate& rate = this->RateFor(progress, now);
  rate.work_ms = 0;
  rate.elapsed_ms = 0;
  rate.jitter_ms = 0;
  rate.percent = static_cast<std::uint32_t>(kFullPercent);
  rate.anchor = now;
  this->Add(rate, progress.estimated_ms, std::max(1.0, total_ms), kEndJitterMs,
            progress, now);
}

WorkerSpeed::RunRate& WorkerSpeed::RateFor(const RunProgress& progress,
                                           TimePoint now) {
  std::map<TaskKey, RunRate>& runs = this->workers[progress.worker].runs;
  const bool full = runs.size() >= this->options.max_runs_per_worker;
  if (full && !runs.contains(progress.task)) {
    runs.erase(std::ranges::min_element(
        runs, {}, [](const auto& item) { return item.second.reported; }));
  }
  RunRate& rate = runs[progress.task];
  if (rate.run != progress.run) {
    rate = {.run = progress.run,
            .image = progress.image,
            .best_effort = progress.best_effort,
            .granularity_ms = progress.estimated_ms / kFullPercent};
  }
  rate.reported = now;
  return rate;
}

// --- Evaluation ---

void WorkerSpeed::AddGroups(const std::string& worker,
                            const WorkerState& state,
                            Groups& groups) const {
  auto it = state.runs.begin();
  while (it != state.runs.end()) {
    const StepKey step = it->first.step;
    const auto first = it;
    TimePoint newest;
    for (; it != state.runs.end() && it->first.step == step; ++it)
      newest = std::max(newest, it->second.observed);
    if (newest == TimePoint())
      continue;
    Group group{.step = step,
                .worker = &worker,
                .image = &first->second.image,
                .best_effort = first->second.best_effort,
                .observed = newest};
    std::vector<double> log_rates;
    double weight = 0;
    double timing_variance = std::numeric_limits<double>::infinity();
    for (auto run = first; run != it; ++run) {
      const RunRate& rate = run->second;
      if (rate.observed == TimePoint() || rate.observed + kGroupSpan < newest)
        continue;
      log_rates.push_back(std::log(rate.work_ms / rate.elapsed_ms));
      weight += rate.weight;
      // Lists are equally old for all runs of a worker.
      timing_variance = std::min(
          timing_variance, Square(rate.jitter_ms / rate.elapsed_ms) +
                               Square(rate.granularity_ms / rate.work_ms));
    }
    if (log_rates.empty())
      continue;
    // Of two the faster, so that one long task does not count as two.
    std::ranges::sort(log_rates);
    group.runs = log_rates.size();
    group.log_rate = log_rates[log_rates.size() / 2];
    group.variance = Square(kTaskDeviation) / weight + timing_variance;
    groups.Add(group);
  }
}

void WorkerSpeed::UpdateHistory(const Groups& groups, TimePoint now) {
  const double history_ms = static_cast<double>(
      std::chrono::duration_cast<Milliseconds>(this->options.history).count());
  const auto add = [&](History& history, double log_rate) {
    const double kept = std::exp(-MsBetween(history.updated, now) / history_ms);
    history.log_rates = history.log_rates * kept + log_rate;
    history.count = history.count * kept + 1;
    history.updated = now;
  };
  for (const Group& group : groups.groups) {
    if (group.observed <= this->last_evaluation)
      continue;
    add(this->kind_history[group.best_effort], group.log_rate);
    if (!group.image->empty())
      add(this->image_history[*group.image], group.log_rate);
  }
  while (this->image_history.size() > this->options.max_images) {
    this->image_history.erase(std::ranges::min_element(
        this->image_history, {},
        [](const auto& item) { return item.second.updated; }));
  }
  this->last_evaluation = now;
}

// Weight of what the group says, from 0 to 1.
double WorkerSpeed::EvidenceOf(const Group& group,
                               const WorkerState& state,
                               TimePoint now) const {
  const double superseded_time =
      static_cast<double>(this->options.superseded_time.count());
  const double evidence_time =
      static_cast<double>(this->options.evidence_time.count());
  return std::exp(-MsBetween(group.observed, state.observed) / superseded_time -
                  MsBetween(state.observed, now) / evidence_time);
}

void WorkerSpeed::Evaluate(TimePoint now) {
  if (now < this->next_evaluation)
    return;
  this->next_evaluation = now + this->options.evaluation_interval;
  Groups groups;
  for (auto& [worker, state] : this->workers) {
    std::erase_if(state.runs, [&](const auto& item) {
      return item.second.reported + this->options.memory < now;
    });
    this->AddGroups(worker, state, groups);
  }
  groups.Sort();
  this->UpdateHistory(groups, now);
  auto group = groups.groups.cbegin();
  for (auto& [worker, state] : this->workers) {
    std::array<double, kHypotheses.size()> log_odds{};
    bool known = false;
    for (; group != groups.groups.cend() && group->worker == &worker; ++group) {
      const std::optional<Location> usual = groups.UsualRate(*group, *this);
      if (!usual)
        continue;
      known = true;
      const double evidence = this->EvidenceOf(*group, state, now);
      const double deviation = group->log_rate - usual->log_rate;
      const double variance = group->variance + usual->variance;
      const double long_share =
          group->runs == 1 ? kLongTaskShare : kLongGroupShare;
      for (std::size_t i = 0; i < kHypotheses.size(); ++i) {
        const double expected = std::log(kHypotheses[i].speed);
        log_odds[i] += evidence * std::log(Density(deviation - expected,
                                                   variance, long_share));
      }
    }
    const double highest = std::ranges::max(log_odds);
    double sum = 0;
    double mean = 0;
    for (std::size_t i = 0; i < kHypotheses.size(); ++i) {
      const double share =
          kHypotheses[i].prior * std::exp(log_odds[i] - highest);
      sum += share;
      mean += share * std::log(kHypotheses[i].speed);
    }
    this->UpdateState(worker, known ? std::exp(mean / sum) : 1, state, now);
  }
  std::erase_if(this->workers, [&](const auto& item) {
    return item.second.runs.empty() && !item.second.slow;
  });
}

void WorkerSpeed::UpdateState(const std::string& worker,
                              double speed,
                              WorkerState& state,
                              TimePoint now) {
  state.speed = speed;
  const bool slow = state.slow ? speed < this->options.recovered_speed
                               : speed < this->options.slow_speed;
  if (slow == state.slow)
    return;
  state.slow = slow;
  state.slow_since = now;
  this->changes.push_back({.worker = worker, .slow = slow, .speed = speed});
}

std::vector<WorkerSpeedChange> WorkerSpeed::TakeChanges() {
  return std::exchange(this->changes, {});
}

double WorkerSpeed::SpeedOf(const std::string& worker) const {
  const auto found = this->workers.find(worker);
  return found == this->workers.end() ? 1 : found->second.speed;
}

bool WorkerSpeed::IsSlow(const std::string& worker) const {
  const auto found = this->workers.find(worker);
  return found != this->workers.end() && found->second.slow;
}

std::size_t WorkerSpeed::CountSlow() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->workers, [](const auto& item) { return item.second.slow; }));
}

Milliseconds WorkerSpeed::SlowFor(const std::string& worker,
                                  TimePoint now) const {
  const auto found = this->workers.find(worker);
  const bool slow = found != this->workers.end() && found->second.slow;
  return slow ? RemainingTime(found->second.slow_since, now) : Milliseconds(0);
}

std::optional<double> WorkerSpeed::RateOf(const std::string& worker,
                                          const TaskKey& task,
                                          std::uint32_t run) const {
  const auto found = this->workers.find(worker);
  if (found == this->workers.end())
    return std::nullopt;
  const auto rate = found->second.runs.find(task);
  const bool known = rate != found->second.runs.end() &&
                     rate->second.run == run &&
                     rate->second.observed != TimePoint();
  if (!known)
    return std::nullopt;
  return rate->second.work_ms / rate->second.elapsed_ms;
}

bool WorkerSpeed::NeedsProbe(const std::string& worker, TimePoint now) const {
  const auto found = this->workers.find(worker);
  return found != this->workers.end() && found->second.slow &&
         now >= found->second.observed + this->options.probe_interval &&
         now >= found->second.next_probe;
}

void WorkerSpeed::OnProbe(const std::string& worker, TimePoint now) {
  const auto found = this->workers.find(worker);
  if (found != this->workers.end())
    found->second.next_probe = now + this->options.probe_interval;
}

std::size_t WorkerSpeed::CountRates() const {
  std::size_t count = 0;
  for (const auto& [worker, state] : this->workers)
    count += state.runs.size();
  return count;
}

}  // namespace savoryring
