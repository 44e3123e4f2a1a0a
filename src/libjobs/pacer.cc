#include "libjobs/pacer.h"

#include <algorithm>

namespace savoryring {
namespace {

constexpr std::uint32_t kFullSpeed = 100;

}  // namespace

void Pacer::UpdateAllowed(const std::vector<PacedRun>& runs, TimePoint now) {
  bool over = false;
  bool calm = true;
  for (const PacedRun& run : runs) {
    if (run.tail_target_ms == 0)
      continue;
    const std::uint64_t measured = std::uint64_t{run.measured} * kFullSpeed;
    over = over || measured > std::uint64_t{run.tail_target_ms} *
                                  this->options.high_percent;
    calm = calm && measured < std::uint64_t{run.tail_target_ms} *
                                  this->options.low_percent;
  }
  if (over) {
    this->next_gift = now + 2 * this->options.recovery;
    if (now < this->next_cut)
      return;
    this->allowed /= 3;
    if (this->allowed < this->options.step_percent)
      this->allowed = 0;
    this->next_cut = now + this->options.settle;
  } else if (calm && now >= this->next_gift) {
    this->allowed =
        std::min(kFullSpeed, this->allowed + this->options.step_percent);
    this->next_gift = now + this->options.recovery;
  }
}

std::vector<PaceChange> Pacer::OnList(const std::vector<PacedRun>& runs,
                                      TimePoint now) {
  this->UpdateAllowed(runs, now);
  std::vector<PaceChange> changes;
  for (const PacedRun& run : runs) {
    if (!run.fills)
      continue;
    const auto found = this->sent.find(run.task);
    const bool known =
        found != this->sent.end() && found->second.run == run.run;
    const PaceChange wanted{
        .task = run.task, .run = run.run, .percent = this->allowed};
    if (!known || found->second.percent != this->allowed)
      changes.push_back(wanted);
    this->sent[run.task] = wanted;
  }
  return changes;
}

void Pacer::OnStarted(const std::string& task, std::uint32_t run) {
  this->sent[task] = {.task = task, .run = run, .percent = kFullSpeed};
}

void Pacer::OnEnded(const std::string& task) {
  this->sent.erase(task);
}

void Pacer::Forget(const std::string& task) {
  this->sent.erase(task);
}

}  // namespace savoryring
