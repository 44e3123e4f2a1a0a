#include "libbase/paced_work.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

struct ThreadProgress {
  PacedWork* paced = nullptr;
  std::uint64_t parts = 0;
  std::uint64_t parts_since_clock_read = 0;
};

thread_local ThreadProgress progress;

}  // namespace

PacedWork::PacedWork(PacedWorkOptions options)
    : options(std::move(options)),
      slice_end(this->options.now() + kMinSliceTime),
      outer(progress.paced) {
  progress.paced = this;
}

PacedWork::~PacedWork() {
  progress.paced = this->outer;
}

void PacedWork::PauseIfDue() {
  const TimePoint pause_begin = this->options.now();
  if (pause_begin < this->slice_end)
    return;
  this->options.pause();
  const TimePoint now = this->options.now();
  this->slice_end = now + std::clamp(RemainingTime(pause_begin, now),
                                     kMinSliceTime, kMaxSliceTime);
}

void CountParts(std::uint64_t parts) {
  progress.parts += parts;
  progress.parts_since_clock_read += parts;
  if (progress.parts_since_clock_read < kPartsPerClockRead)
    return;
  progress.parts_since_clock_read = 0;
  if (progress.paced != nullptr)
    progress.paced->PauseIfDue();
}

std::uint64_t CountedParts() {
  return progress.parts;
}

}  // namespace savoryring
