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
                              bool stop) const {
  const std::uint32_t grain = this->options.grain_percent;
  const auto wanted =
      stop ? 0U
           : static_cast<std::uint32_t>(speed * kFullPercent / grain) * grain;
  const auto found = this->sent.find(run.task);
  if (found == this->sent.end() || found->second.run != run.run)
    return wanted;
  const std::uint32_t before = found->second.percent;
  return std::min(wanted, before + this->options.gift_percent);
}

std::vector<PaceChange> Pacer::OnList(const std::vector<PacedRun>& runs,
                                      TimePoint now) {
  std::vector<PaceChange> changes;
  const bool due = now >= this->next_step;
  if (!due)
    return changes;
  this->next_step = now + this->options.step;
  const std::vector<SharedRun> shared = ToSharedRuns(runs);
  this->model.Learn(kWorker, shared);
  const std::vector<double> speeds = this->model.Speeds(shared, false);
  const bool stop = this->IsOverForLong(runs, now);
  this->lowest = kFullPercent;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const PacedRun& run = runs[i];
    if (!run.fills)
      continue;
    const PaceChange change{.task = run.task,
                            .run = run.run,
                            .percent = this->NextPace(run, speeds[i], stop)};
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
