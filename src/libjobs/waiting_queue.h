/// The order in which decisions examine the steps that wait for workers, and
/// how many of them each one examines.
#ifndef SAVORYRING_LIBJOBS_WAITING_QUEUE_H_
#define SAVORYRING_LIBJOBS_WAITING_QUEUE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "libjobs/job_table.h"
#include "libjobs/overload_policy.h"

namespace savoryring {

/// Rank of the waiting steps of one occurrence; the smallest comes first.
struct WaitingRank {
  std::uint32_t priority = 0;
  Timeliness timeliness = Timeliness::kOnTime;
  std::uint64_t remaining_work = 0;
  std::uint64_t due_ms = 0;
  std::uint64_t sequence = 0;  ///< Of the job.
  std::uint32_t occurrence = 0;
  auto operator<=>(const WaitingRank& other) const = default;
};

struct WaitingStep {
  StepKey key;
  Timeliness timeliness = Timeliness::kOnTime;
};

struct WaitingQueueOptions {
  /// Occurrences that are ranked anew in one decision. With more waiting ones,
  /// a rank may be as old as it takes to rank all of them in turn.
  std::size_t max_ranked = 2000;
  /// The newest jobs are ranked in each decision.
  std::size_t newest_ranked = 200;
  /// Cost of one decision, in examined steps and in workers that are considered
  /// for them.
  std::uint64_t max_cost = 20'000;
  /// Part of the cost that is spent on the steps at the front. The rest is
  /// spent on the others in turn, so that a step that finds a worker is not
  /// held up by those before it that find none.
  std::uint64_t front_cost = 15'000;
};

/// Deterministic core. Load: up to hundreds of thousands of waiting steps, of a
/// few jobs or of many, while a decision has a few milliseconds. With fewer
/// steps than the limits, each decision ranks and examines all of them.
class WaitingQueue {
 public:
  /// Rank of an occurrence that has ready steps.
  using RankFunction =
      std::function<WaitingRank(std::uint64_t sequence, std::uint32_t number)>;

  explicit WaitingQueue(WaitingQueueOptions options = {}) : options(options) {}

  /// Updates the ranks and starts a pass at the front.
  void Begin(const std::set<StepKey>& ready, const RankFunction& rank_of);
  /// The next step to examine; none when the pass ends.
  std::optional<WaitingStep> Next(const std::set<StepKey>& ready);
  /// Cost of the step that was returned last.
  void AddCost(std::uint64_t cost) { this->cost += cost; }

  /// Null if the step's occurrence was not ranked yet.
  const WaitingRank* RankOf(const StepKey& key) const;
  /// The steps of the pass, in their order.
  const std::vector<StepKey>& examined() const { return this->examined_steps; }
  std::uint64_t pass_cost() const { return this->cost; }
  /// Occurrences ranked so far.
  std::uint64_t ranked() const { return this->ranked_count; }

 private:
  using OccurrenceId = std::pair<std::uint64_t, std::uint32_t>;
  struct Entry {
    WaitingRank rank;
    std::uint64_t round = 0;  // in which it was last ranked
  };
  struct Position {
    WaitingRank rank;
    StepKey step;
  };

  void Rank(const OccurrenceId& id, const RankFunction& rank_of);
  void RankNext(const std::set<StepKey>& ready, const RankFunction& rank_of);
  void RankNewest(const std::set<StepKey>& ready, const RankFunction& rank_of);
  void DropUnranked();
  void SkipToRest();

  WaitingQueueOptions options;
  std::map<OccurrenceId, Entry> entries;
  std::set<WaitingRank> order;
  std::uint64_t round = 1;
  StepKey next_to_rank;
  std::uint64_t ranked_count = 0;
  // Where the pass before ended, if it did not reach the end.
  std::optional<Position> rest;
  // Of the present pass:
  std::optional<Position> position;  // the step that was returned last
  std::uint64_t cost = 0;
  bool skipped_to_rest = false;
  std::vector<StepKey> examined_steps;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBJOBS_WAITING_QUEUE_H_
