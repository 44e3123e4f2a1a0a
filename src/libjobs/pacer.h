/// Slows tasks that fill a worker while a task that serves its own users is
/// over its latency target there, and gives the speed back step by step. It
/// answers for interference between tasks on one machine, from measurements
/// that come twice a second.
#ifndef SAVORYRING_LIBJOBS_PACER_H_
#define SAVORYRING_LIBJOBS_PACER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "savoryring/time.h"

namespace savoryring {

struct PacerOptions {
  /// Share of a target above which fills are slowed, in percent of the target.
  std::uint32_t high_percent = 90;
  /// Share of a target below which fills get speed back.
  std::uint32_t low_percent = 70;
  std::uint32_t step_percent = 10;
  /// Time between two gifts of speed.
  Milliseconds recovery{1000};
  /// Time that a slower pace needs to show in the measurements.
  Milliseconds settle{700};
};

/// One run as the worker lists it.
struct PacedRun {
  std::string task;
  std::uint32_t run = 0;
  bool fills = false;
  std::uint32_t tail_target_ms = 0;  ///< 0 where it serves no users.
  std::uint32_t measured = 0;        ///< Tail latency in ms, where it serves.
};

struct PaceChange {
  std::string task;
  std::uint32_t run = 0;
  std::uint32_t percent = 100;
};

class Pacer {
 public:
  explicit Pacer(PacerOptions options = {}) : options(options) {}

  /// Takes a whole list of the worker's runs; returns what must change.
  std::vector<PaceChange> OnList(const std::vector<PacedRun>& runs,
                                 TimePoint now);
  /// A run began, at full speed. Of any other run the pace is not known.
  void OnStarted(const std::string& task, std::uint32_t run);
  void OnEnded(const std::string& task);
  /// The change was not carried out and must be asked for again.
  void Forget(const std::string& task);
  std::uint32_t percent() const { return this->allowed; }

 private:
  void UpdateAllowed(const std::vector<PacedRun>& runs, TimePoint now);

  PacerOptions options;
  std::uint32_t allowed = 100;
  TimePoint next_cut;
  TimePoint next_gift;
  std::map<std::string, PaceChange> sent;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_PACER_H_
