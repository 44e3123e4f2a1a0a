/// Pauses in long work on a background thread. A process may have a small share
/// of one processor, which a busy thread keeps for hundreds of milliseconds
/// while the thread of a duty's loop waits for it.
#ifndef SAVORYRING_LIBBASE_PACED_WORK_H_
#define SAVORYRING_LIBBASE_PACED_WORK_H_

#include <cstdint>
#include <functional>

#include "savoryring/time.h"

namespace savoryring {

/// Length of a slice: that of the pause before it, within these limits. Work
/// thus gets a share of the processor also beside a busy loop. The upper limit
/// is below the time in which replicas expect a heartbeat.
constexpr Milliseconds kMinSliceTime{25};
constexpr Milliseconds kMaxSliceTime{60};
/// The clock is read after this many parts.
constexpr std::uint64_t kPartsPerClockRead = 50;

struct PacedWorkOptions {
  /// Called after each slice; returns when the next one may begin.
  std::function<void()> pause;
  std::function<TimePoint()> now = BootClock::now;
};

/// While it exists, the thread that created it pauses in CountParts() after
/// each slice of its work.
class PacedWork {
 public:
  explicit PacedWork(PacedWorkOptions options);
  ~PacedWork();
  PacedWork(const PacedWork&) = delete;
  PacedWork& operator=(const PacedWork&) = delete;

 private:
  friend void CountParts(std::uint64_t parts);
  void PauseIfDue();

  PacedWorkOptions options;
  TimePoint slice_end;
  PacedWork* outer;  // of the same thread
};

/// Called by code whose work grows with a document, as it goes on. A part is a
/// JSON value, or what takes about as long.
void CountParts(std::uint64_t parts = 1);

/// Parts that the calling thread has counted since its start.
std::uint64_t CountedParts();

}  // namespace savoryring

#endif  // SAVORYRING_LIBBASE_PACED_WORK_H_
