#include "libjobs/pacer.h"

#include <algorithm>
#include <cmath>

namespace savoryring {
namespace {

constexpr std::uint32_t kFullPercent = 100;
constexpr double kMilli = 1000;
// The model of one agent knows of one worker.
constexpr const char* kWorker = "here";

}  // namespace

std::vector<SharedRun> ToSharedRuns(const std::vector<PacedRun>& runs) {
  std::vector<SharedRun> shared;
  for (const PacedRun& run : runs) {
    SharedRun item{.task = run.task,
                   .image = run.image,
                   .fills = run.fills,
                   .tail_target_ms = static_cast<double>(run.tail_target_ms)};
    if (run.fills) {
      item.processors = run.measured / kMilli;
      item.wanted = run.cpu_milli / kMilli;
    } else if (run.tail_target_ms > 0) {
      item.tail_latency_ms = run.measured;
    }
    shared.push_back(std::move(item));
  }
  return shared;
}

bool Pacer::IsOverForLong(const std::vector<PacedRun>& runs, TimePoint now) {
  const bool over = std::ranges::any_of(runs, [](const PacedRun& run) {
    return run.tail_target_ms > 0 && run.measured > run.tail_target_ms;
  });
  if (!over)
    this->over_since = kNever;
  else
    this->over_since = std::min(this->over_since, now);
  return over && now >= this->over_since + this->options.patience;
}

std::uint32_t Pacer::NextPace(const PacedRun& run,
                              double speed,
                              std::uint32_t gift) const {
  const std::uint32_t grain = this->options.grain_percent;
  const auto wanted =
      static_cast<std::uint32_t>(speed * kFullPercent / grain) * grain;
  const auto found = this->sent.find(run.task);
  if (found == this->sent.end() || found->second.run != run.run)
    return wanted;
  return std::min(wanted, found->second.percent + gift);
}

std::vector<PaceChange> Pacer::OnList(const std::vector<PacedRun>& runs,
                                      TimePoint now) {
  if (now < this->next_step)
    return {};
  this->next_step = now + this->options.step;
  this->model.Learn(kWorker, ToSharedRuns(runs));
  return this->Changes(runs, true, now);
}

std::vector<PaceChange> Pacer::OnNewFill(const std::vector<PacedRun>& runs,
                                         TimePoint now) {
  return this->Changes(runs, false, now);
}

std::vector<PaceChange> Pacer::Changes(const std::vector<PacedRun>& runs,
                                       bool may_give,
                                       TimePoint now) {
  const std::vector<double> speeds =
      this->model.Speeds(ToSharedRuns(runs), false);
  const bool stop = this->IsOverForLong(runs, now);
  const std::uint32_t gift = may_give ? this->options.gift_percent : 0;
  std::vector<PaceChange> changes;
  this->lowest = kFullPercent;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const PacedRun& run = runs[i];
    if (!run.fills)
      continue;
    const PaceChange change{
        .task = run.task,
        .run = run.run,
        .percent = this->NextPace(run, stop ? 0 : speeds[i], gift)};
    const auto found = this->sent.find(run.task);
    const bool same = found != this->sent.end() &&
                      found->second.run == run.run &&
                      found->second.percent == change.percent;
    if (!same)
      changes.push_back(change);
    this->sent[run.task] = change;
    this->lowest = std::min(this->lowest, change.percent);
  }
  return changes;
}

void Pacer::OnStarted(const std::string& task, std::uint32_t run) {
  this->sent[task] = {.task = task, .run = run, .percent = kFullPercent};
}

void Pacer::OnEnded(const std::string& task) {
  this->sent.erase(task);
}

void Pacer::Forget(const std::string& task) {
  this->sent.erase(task);
}

}  // namespace savoryring
