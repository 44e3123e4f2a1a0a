#include "libjobs/over_target_cause.h"

#include <algorithm>
#include <set>
#include <utility>

namespace savoryring {
namespace {

// A list covers half a second. After a longer gap nothing is known of the time
// before.
constexpr Milliseconds kMaxListedTime{1000};
constexpr double kMilli = 1000;

bool IsOverTarget(const MeasuredRun& run) {
  return run.tail_target_ms > 0 && run.measured > run.tail_target_ms;
}

}  // namespace

const char* NameOf(OverTargetCause cause) {
  switch (cause) {
    case OverTargetCause::kLateMeasurement:
      return "late_measurement";
    case OverTargetCause::kLoadSwing:
      return "load_swing";
    case OverTargetCause::kUnknownPair:
      return "unknown_pair";
    case OverTargetCause::kFullSpeedStart:
      return "full_speed_start";
    case OverTargetCause::kMove:
      return "move";
  }
  return "";
}

bool OverTargetMonitor::IsYoungerThan(const MeasuredRun& run,
                                      Milliseconds age,
                                      TimePoint now) const {
  const auto found = this->seen.find(run.task);
  return found != this->seen.end() && found->second.first_seen != TimePoint() &&
         now < found->second.first_seen + age;
}

// The most particular cause counts: one that explains the time over target
// without any other.
OverTargetCause OverTargetMonitor::CauseOf(const MeasuredRun& serving,
                                           const std::vector<MeasuredRun>& runs,
                                           const ColocationModel& model,
                                           TimePoint now) const {
  if (this->IsYoungerThan(serving, this->options.move_time, now))
    return OverTargetCause::kMove;
  double best_effort_milli = 0;
  bool new_pair = false;
  bool new_run = false;
  for (const MeasuredRun& run : runs) {
    if (!run.best_effort)
      continue;
    best_effort_milli += run.measured;
    new_pair = new_pair ||
               (run.measured > 0 && model.IsNewPair(serving.image, run.image));
    new_run =
        new_run || this->IsYoungerThan(run, this->options.start_time, now);
  }
  if (best_effort_milli < this->options.min_best_effort_cpus * kMilli)
    return OverTargetCause::kLoadSwing;
  if (new_pair)
    return OverTargetCause::kUnknownPair;
  if (new_run)
    return OverTargetCause::kFullSpeedStart;
  return model.LoadGrowth(serving.task) >= this->options.min_load_growth
             ? OverTargetCause::kLoadSwing
             : OverTargetCause::kLateMeasurement;
}

void OverTargetMonitor::UpdateSeen(const std::vector<MeasuredRun>& runs,
                                   TimePoint now) {
  const bool is_first_list = this->last_list == TimePoint();
  std::set<std::string> present;
  for (const MeasuredRun& run : runs) {
    present.insert(run.task);
    SeenRun& seen_run = this->seen[run.task];
    if (seen_run.run != run.run) {
      seen_run = {.run = run.run,
                  .first_seen = is_first_list ? TimePoint() : now};
    }
  }
  std::erase_if(this->seen, [&present](const auto& item) {
    return !present.contains(item.first);
  });
}

void OverTargetMonitor::OnRunsListed(const std::vector<MeasuredRun>& runs,
                                     const ColocationModel& model,
                                     TimePoint now) {
  this->UpdateSeen(runs, now);
  const bool is_first_list = this->last_list == TimePoint();
  const auto listed_time =
      is_first_list
          ? Milliseconds(0)
          : std::min(kMaxListedTime, std::chrono::duration_cast<Milliseconds>(
                                         now - this->last_list));
  this->last_list = now;
  std::set<std::string> over_target;
  for (const MeasuredRun& run : runs) {
    if (!IsOverTarget(run))
      continue;
    over_target.insert(run.task);
    const auto [found, begins] = this->spans.try_emplace(run.task);
    OverTargetSpan& span = found->second;
    if (begins) {
      span = {.task = run.task,
              .image = run.image,
              .cause = this->CauseOf(run, runs, model, now)};
    }
    span.duration += listed_time;
    this->total_ms.at(static_cast<std::size_t>(span.cause)) +=
        static_cast<std::uint64_t>(listed_time.count());
    // The next part may have another cause.
    if (span.duration >= this->options.max_span)
      over_target.erase(run.task);
  }
  std::erase_if(this->spans, [&](auto& item) {
    if (over_target.contains(item.first))
      return false;
    this->EndSpan(std::move(item.second), now);
    return true;
  });
}

void OverTargetMonitor::EndSpan(OverTargetSpan span, TimePoint now) {
  if (now >= this->next_period) {
    this->next_period = now + this->options.max_span;
    this->returned_in_period = 0;
  }
  if (this->returned_in_period >= this->options.max_spans) {
    this->omitted += 1;
    return;
  }
  this->returned_in_period += 1;
  span.omitted = std::exchange(this->omitted, 0);
  this->ended.push_back(std::move(span));
}

void OverTargetMonitor::OnWorkerReplaced() {
  for (auto& [task, span] : this->spans)
    this->EndSpan(std::move(span), this->last_list);
  this->spans.clear();
  this->seen.clear();
  this->last_list = TimePoint();
}

std::vector<OverTargetSpan> OverTargetMonitor::TakeSpans() {
  return std::exchange(this->ended, {});
}

}  // namespace savoryring
