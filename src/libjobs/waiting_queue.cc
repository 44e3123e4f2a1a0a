#include "libjobs/waiting_queue.h"

#include <iterator>

namespace savoryring {
namespace {

StepKey FirstStepOf(std::uint64_t sequence, std::uint32_t occurrence) {
  return {.sequence = sequence, .occurrence = occurrence};
}

// The least key after all steps of the occurrence.
StepKey EndOf(std::uint64_t sequence, std::uint32_t occurrence) {
  return occurrence == UINT32_MAX ? FirstStepOf(sequence + 1, 0)
                                  : FirstStepOf(sequence, occurrence + 1);
}

}  // namespace

void WaitingQueue::Begin(const std::set<StepKey>& ready,
                         const RankFunction& rank_of) {
  this->RankNext(ready, rank_of);
  this->position.reset();
  this->cost = 0;
  this->skipped_to_rest = false;
  this->examined_steps.clear();
}

void WaitingQueue::Rank(const OccurrenceId& id, const RankFunction& rank_of) {
  const WaitingRank rank = rank_of(id.first, id.second);
  this->ranked_count += 1;
  const auto [found, added] = this->entries.try_emplace(id);
  Entry& entry = found->second;
  entry.round = this->round;
  if (!added && entry.rank == rank)
    return;
  if (!added)
    this->order.erase(entry.rank);
  entry.rank = rank;
  this->order.insert(rank);
}

void WaitingQueue::RankNext(const std::set<StepKey>& ready,
                            const RankFunction& rank_of) {
  auto step = ready.lower_bound(this->next_to_rank);
  for (std::size_t i = 0; i < this->options.max_ranked && step != ready.end();
       ++i) {
    this->Rank({step->sequence, step->occurrence}, rank_of);
    step = ready.lower_bound(EndOf(step->sequence, step->occurrence));
  }
  if (step != ready.end()) {
    this->next_to_rank = *step;
    this->RankNewest(ready, rank_of);
    return;
  }
  this->DropUnranked();
  this->round += 1;
  this->next_to_rank = {};
}

void WaitingQueue::RankNewest(const std::set<StepKey>& ready,
                              const RankFunction& rank_of) {
  auto step = ready.end();
  for (std::size_t i = 0;
       i < this->options.newest_ranked && step != ready.begin(); ++i) {
    const StepKey last = *std::prev(step);
    this->Rank({last.sequence, last.occurrence}, rank_of);
    step = ready.lower_bound(FirstStepOf(last.sequence, last.occurrence));
  }
}

void WaitingQueue::DropUnranked() {
  std::erase_if(this->entries, [this](const auto& item) {
    const bool drop = item.second.round != this->round;
    if (drop)
      this->order.erase(item.second.rank);
    return drop;
  });
}

// The ranks may have changed since; the place in the order counts.
void WaitingQueue::SkipToRest() {
  this->skipped_to_rest = true;
  const bool is_ahead =
      this->rest &&
      (!this->position || this->position->rank < this->rest->rank ||
       (this->position->rank == this->rest->rank &&
        this->position->step < this->rest->step));
  if (is_ahead)
    this->position = this->rest;
}

std::optional<WaitingStep> WaitingQueue::Next(const std::set<StepKey>& ready) {
  if (!this->skipped_to_rest && this->cost >= this->options.front_cost)
    this->SkipToRest();
  auto rank = this->position ? this->order.lower_bound(this->position->rank)
                             : this->order.begin();
  for (; rank != this->order.end(); ++rank) {
    if (this->cost >= this->options.max_cost) {
      this->rest = this->position;
      return std::nullopt;
    }
    const bool begun = this->position && this->position->rank == *rank;
    const auto step =
        begun
            ? ready.upper_bound(this->position->step)
            : ready.lower_bound(FirstStepOf(rank->sequence, rank->occurrence));
    this->cost += 1;
    const bool found = step != ready.end() &&
                       step->sequence == rank->sequence &&
                       step->occurrence == rank->occurrence;
    if (!found)
      continue;
    this->position = Position{.rank = *rank, .step = *step};
    this->examined_steps.push_back(*step);
    return WaitingStep{.key = *step, .timeliness = rank->timeliness};
  }
  this->rest.reset();
  return std::nullopt;
}

const WaitingRank* WaitingQueue::RankOf(const StepKey& key) const {
  const auto found = this->entries.find({key.sequence, key.occurrence});
  return found == this->entries.end() ? nullptr : &found->second.rank;
}

}  // namespace savoryring
