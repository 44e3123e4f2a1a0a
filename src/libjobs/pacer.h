/// How much processor time tasks that fill may use on one worker, so that the
/// tasks there that serve their own users stay under their latency targets. It
/// answers for interference between tasks on one machine that shifts within
/// seconds, from measurements that come twice a second.
///
/// A serving task's tail latency grows like that of a queue, t0 / (1 - u): the
/// budget is steered on u, where what fills add is about linear, and not on
/// the latency, which explodes close to full load.
#ifndef SAVORYRING_LIBJOBS_PACER_H_
#define SAVORYRING_LIBJOBS_PACER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "savoryring/time.h"

namespace savoryring {

struct PacerOptions {
  /// Share of its target that a serving task's latency is steered to.
  double aim = 0.75;
  /// Share of the worker that fills get beside serving tasks at first.
  double first_share = 0.25;
  /// Processors cut or given for a whole unit of utilization, as a share of
  /// the worker.
  double cut_gain = 1.0;
  double give_gain = 0.3;
  /// Further cut while a target is passed.
  double over_target_factor = 0.6;
  /// Time that a measurement covers: one step of the budget.
  Milliseconds step{500};
  /// Paces are whole multiples of this, to save calls.
  std::uint32_t pace_grain_percent = 5;
};

/// One run as the worker lists it.
struct PacedRun {
  std::string task;
  std::uint32_t run = 0;
  bool fills = false;
  std::uint32_t cpu_milli = 0;       ///< What a fill wants.
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

  /// Takes a whole list of the runs of a worker of that size; returns what
  /// must change.
  std::vector<PaceChange> OnList(const std::vector<PacedRun>& runs,
                                 std::uint32_t worker_milli,
                                 TimePoint now);
  /// A run began, at full speed. Of any other run the pace is not known.
  void OnStarted(const std::string& task, std::uint32_t run);
  void OnEnded(const std::string& task);
  /// The change was not carried out and must be asked for again.
  void Forget(const std::string& task);

  std::uint32_t budget_milli() const {
    return static_cast<std::uint32_t>(this->budget);
  }
  /// Pace of the fills, in percent of full speed.
  std::uint32_t percent() const { return this->pace; }

 private:
  struct Serving {
    std::uint32_t run = 0;
    std::uint32_t least_ms = 0;  // lowest latency seen: that of an idle queue
  };

  /// Room for more utilization of the serving task that has least; negative
  /// where one is above its aim.
  double Headroom(const std::vector<PacedRun>& runs, bool* over_target);
  void Steer(const std::vector<PacedRun>& runs,
             std::uint32_t worker_milli,
             double wanted,
             TimePoint now);

  PacerOptions options;
  double budget = 0;
  bool shared = false;  // whether the last list had serving tasks
  std::uint32_t pace = 100;
  TimePoint next_step;
  std::map<std::string, Serving> serving;
  std::map<std::string, PaceChange> sent;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_PACER_H_
