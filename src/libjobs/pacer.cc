#include "libjobs/pacer.h"

#include <algorithm>
#include <cmath>

namespace savoryring {
namespace {

constexpr double kFullPercent = 100;
// A budget counts as used up from this share on, and may then grow.
constexpr double kUsedUp = 0.8;

}  // namespace

double Pacer::Headroom(const std::vector<PacedRun>& runs, bool* over_target) {
  double least = 1;
  for (const PacedRun& run : runs) {
    // No measurement has come yet where it is zero.
    if (run.tail_target_ms == 0 || run.measured == 0)
      continue;
    Serving& known = this->serving[run.task];
    if (known.run != run.run)
      known = {.run = run.run,
               .least_ms = std::max(1U, run.tail_target_ms / 2)};
    known.least_ms = std::min(known.least_ms, run.measured);
    const double idle = known.least_ms;
    const double used = 1 - idle / run.measured;
    const double wanted = 1 - idle / (this->options.aim * run.tail_target_ms);
    least = std::min(least, wanted - used);
    *over_target = *over_target || run.measured > run.tail_target_ms;
  }
  return least;
}

void Pacer::Steer(const std::vector<PacedRun>& runs,
                  std::uint32_t worker_milli,
                  double wanted,
                  TimePoint now) {
  const bool serves = std::ranges::any_of(
      runs, [](const PacedRun& run) { return run.tail_target_ms > 0; });
  if (!serves) {
    this->shared = false;
    this->budget = worker_milli;
    return;
  }
  const double first = this->options.first_share * worker_milli;
  if (!this->shared)
    this->budget = std::min(this->budget, std::max(first, wanted));
  this->shared = true;
  if (now < this->next_step)
    return;
  this->next_step = now + this->options.step;
  bool over_target = false;
  const double headroom = this->Headroom(runs, &over_target);
  const double used = std::min(this->budget, wanted);
  if (headroom < 0) {
    const double cut = this->options.cut_gain * headroom * worker_milli;
    const double factor = over_target ? this->options.over_target_factor : 1;
    // Without fills the serving tasks' own load is the cause.
    const double base = wanted > 0 ? used : this->budget;
    this->budget = std::max(0.0, (base + cut) * factor);
    return;
  }
  const bool may_grow = wanted > kUsedUp * this->budget || this->budget < first;
  if (may_grow) {
    this->budget += this->options.give_gain * headroom * worker_milli;
    this->budget = std::min<double>(this->budget, worker_milli);
  }
}

std::vector<PaceChange> Pacer::OnList(const std::vector<PacedRun>& runs,
                                      std::uint32_t worker_milli,
                                      TimePoint now) {
  double wanted = 0;
  for (const PacedRun& run : runs)
    wanted += run.fills ? run.cpu_milli : 0;
  this->Steer(runs, worker_milli, wanted, now);
  const double share =
      wanted <= this->budget ? 1 : this->budget / std::max(1.0, wanted);
  const double grain = this->options.pace_grain_percent;
  this->pace = static_cast<std::uint32_t>(
      std::floor(share * kFullPercent / grain) * grain);
  // On a worker without serving tasks nobody is disturbed.
  if (!this->shared)
    this->pace = static_cast<std::uint32_t>(kFullPercent);
  std::vector<PaceChange> changes;
  for (const PacedRun& run : runs) {
    if (!run.fills)
      continue;
    const auto found = this->sent.find(run.task);
    const bool known =
        found != this->sent.end() && found->second.run == run.run;
    const PaceChange change{
        .task = run.task, .run = run.run, .percent = this->pace};
    if (!known || found->second.percent != this->pace)
      changes.push_back(change);
    this->sent[run.task] = change;
  }
  return changes;
}

void Pacer::OnStarted(const std::string& task, std::uint32_t run) {
  this->sent[task] = {.task = task, .run = run, .percent = std::uint32_t{100}};
}

void Pacer::OnEnded(const std::string& task) {
  this->sent.erase(task);
  this->serving.erase(task);
}

void Pacer::Forget(const std::string& task) {
  this->sent.erase(task);
}

}  // namespace savoryring
