#include "libjobs/overload_policy.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

namespace savoryring {
namespace {

// Until this fraction of its objective has passed, a job that has not started
// counts as on time even where typical speeds say that it will be late. Without
// it, all jobs would count as late when runs are slow, and would be served in
// order of arrival, so that none of them were in time.
constexpr std::uint64_t kMinOnTimeDivisor = 8;
// A job is refused only if its estimated end exceeds the last moment at which
// it has a value by this factor. The measured rate varies by about a fifth
// between windows of a few seconds.
constexpr double kErrorMargin = 1.2;
constexpr std::chrono::seconds kMinRetryAfter{1};
constexpr std::chrono::seconds kMaxRetryAfter{30};
constexpr double kMillisecondsPerSecond = 1000;

constexpr Milliseconds kSliceLength{500};
// The rate is the greater one of two windows: the short one follows a recovery,
// the long one covers several rounds of tasks of some seconds.
constexpr std::int64_t kShortWindowSlices = 8;
constexpr std::int64_t kLongWindowSlices = 24;
// Less backlog than this in a window says nothing: tasks of some seconds have
// not ended yet.
constexpr double kMinBacklogMs = 3000;
// Less running time than this in the long window gives no typical speed.
constexpr double kMinElapsedMs = 5000;
// A run that makes no progress at all is the fault of its worker.
constexpr double kMinTypicalSpeed = 0.2;
// A step ends with its last task, which is slower than the typical one.
constexpr double kLastTaskSpeed = 0.9;

std::size_t IndexOf(WorkClass work_class) {
  return static_cast<std::size_t>(work_class);
}

double Sum(const WorkAmounts& amounts) {
  return std::accumulate(amounts.begin(), amounts.end(), 0.0);
}

// The order in which waiting jobs are placed.
auto RankAt(const OpenJob& job, std::uint64_t time_ms) {
  return std::tuple(job.priority, TimelinessAt(job, time_ms),
                    Sum(job.waiting) + Sum(job.running),
                    job.accepted_ms + job.objective_ms);
}

// What a job that is late gets of the rate at least, even where jobs that are
// on time arrive faster than they can be served: the load swings.
constexpr double kMinLateShare = 0.1;

struct Wait {
  double work_ahead = 0;
  double time_ms = 0;
};

// How long the job waits until the work that is placed before it has been
// served. Jobs are served whole, one after the other; which one is next is
// decided when the one before is served, as jobs become late while they wait.
// A late job waits also for those that arrive later and are on time. Stops at
// the time `limit_ms`.
Wait WaitOf(const OpenJob& arriving,
            const std::vector<OpenJob>& open_jobs,
            WorkClass work_class,
            const WorkRate& rate,
            std::uint64_t now_ms,
            double limit_ms) {
  std::vector<const OpenJob*> waiting;
  for (const OpenJob& job : open_jobs) {
    if (job.waiting[IndexOf(work_class)] > 0)
      waiting.push_back(&job);
  }
  const double late_rate =
      std::max(rate.done - rate.arriving, rate.done * kMinLateShare);
  Wait wait;
  while (!waiting.empty() && wait.time_ms < limit_ms) {
    const std::uint64_t time_ms =
        now_ms + static_cast<std::uint64_t>(wait.time_ms);
    const auto first = std::ranges::min_element(
        waiting, {},
        [time_ms](const OpenJob* job) { return RankAt(*job, time_ms); });
    if (RankAt(arriving, time_ms) < RankAt(**first, time_ms))
      return wait;
    const double work = (*first)->waiting[IndexOf(work_class)];
    const bool late = TimelinessAt(arriving, time_ms) != Timeliness::kOnTime;
    wait.work_ahead += work;
    wait.time_ms += work / (late ? late_rate : rate.done);
    waiting.erase(first);
  }
  return wait;
}

// What runs now delays the job no further: when the job starts, about as much
// of the work that is placed before it is still running.
EndEstimate EstimateEnd(const OpenJob& arriving,
                        const std::vector<OpenJob>& open_jobs,
                        const WorkRates& rates,
                        std::uint64_t now_ms) {
  EndEstimate estimate{.end_ms = arriving.critical_path_ms};
  const double horizon_ms =
      kErrorMargin *
          static_cast<double>(kWorthlessMultiple * arriving.objective_ms) +
      kMaxRetryAfter.count() * kMillisecondsPerSecond;
  for (const WorkClass work_class :
       {WorkClass::kReserving, WorkClass::kBestEffort}) {
    const double own = arriving.waiting[IndexOf(work_class)];
    const std::optional<WorkRate>& rate = rates[IndexOf(work_class)];
    if (own <= 0 || !rate || rate->done <= 0)
      continue;
    const Wait wait =
        WaitOf(arriving, open_jobs, work_class, *rate, now_ms, horizon_ms);
    const double served_ms = std::max(
        static_cast<double>(arriving.critical_path_ms), own / rate->done);
    const auto end_ms =
        static_cast<std::uint64_t>(std::ceil(wait.time_ms + served_ms));
    if (end_ms >= estimate.end_ms) {
      estimate = {
          .end_ms = end_ms, .work_ahead = wait.work_ahead, .rate = rate->done};
    }
  }
  return estimate;
}

}  // namespace

Timeliness TimelinessAt(const OpenJob& job, std::uint64_t time_ms) {
  const std::uint64_t finish_ms =
      std::max(time_ms, job.accepted_ms) + job.critical_path_ms;
  const bool fresh =
      !job.started &&
      time_ms <= job.accepted_ms + job.objective_ms / kMinOnTimeDivisor;
  if (fresh || finish_ms <= job.accepted_ms + job.objective_ms)
    return Timeliness::kOnTime;
  if (finish_ms <= job.accepted_ms + kWorthlessMultiple * job.objective_ms)
    return Timeliness::kLate;
  return Timeliness::kWorthless;
}

ArrivalDecision DecideArrival(const OpenJob& arriving,
                              const std::vector<OpenJob>& open_jobs,
                              const WorkRates& rates,
                              std::uint64_t now_ms) {
  const EndEstimate estimate = EstimateEnd(arriving, open_jobs, rates, now_ms);
  const double last_ms =
      kErrorMargin *
      static_cast<double>(kWorthlessMultiple * arriving.objective_ms);
  // A job that would be worthless even if it ran alone is not delayed by
  // others: its owner may have his reasons.
  const bool delayed = estimate.work_ahead > 0;
  if (!delayed)
    return PlaceJob();
  if (static_cast<double>(estimate.end_ms) <= last_ms)
    return DelayJob{.estimate = estimate};
  // As time passes, the work ahead shrinks at the measured rate.
  const double excess_ms = static_cast<double>(estimate.end_ms) -
                           static_cast<double>(arriving.objective_ms);
  const std::chrono::seconds wait(
      static_cast<std::int64_t>(std::ceil(excess_ms / kMillisecondsPerSecond)));
  return RefuseJob{
      .estimate = estimate,
      .objective_ms = arriving.objective_ms,
      .retry_after = std::clamp(wait, kMinRetryAfter, kMaxRetryAfter)};
}

// --- WorkMeter ---

WorkMeter::Slice& WorkMeter::SliceAt(TimePoint now) {
  const std::int64_t number = now.time_since_epoch() / kSliceLength;
  if (this->slices.empty() || this->slices.back().number < number)
    this->slices.push_back({.number = number});
  while (this->slices.front().number <= number - kLongWindowSlices)
    this->slices.pop_front();
  return this->slices.back();
}

void WorkMeter::AddProgress(const Progress& progress, TimePoint now) {
  ClassTotals& totals = this->SliceAt(now).totals[IndexOf(progress.work_class)];
  if (this->HasBacklog(progress.work_class))
    totals.work += progress.work;
  totals.progress_ms += progress.progress_ms;
  totals.elapsed_ms += progress.elapsed_ms;
}

void WorkMeter::AddArrival(WorkClass work_class,
                           std::uint32_t priority,
                           double work,
                           TimePoint now) {
  while (!this->arrivals.empty() &&
         this->arrivals.front().time + kLongWindowSlices * kSliceLength < now)
    this->arrivals.pop_front();
  this->arrivals.push_back({.time = now,
                            .work_class = work_class,
                            .priority = priority,
                            .work = work});
}

double WorkMeter::ArrivalRate(WorkClass work_class,
                              std::uint32_t priority,
                              TimePoint now) const {
  constexpr Milliseconds kWindow = kLongWindowSlices * kSliceLength;
  double work = 0;
  for (const Arrival& arrival : this->arrivals) {
    if (arrival.work_class == work_class && arrival.priority <= priority &&
        now < arrival.time + kWindow)
      work += arrival.work;
  }
  return work / static_cast<double>(kWindow.count());
}

void WorkMeter::SetBacklog(WorkClass work_class, bool backlog, TimePoint now) {
  const std::size_t index = IndexOf(work_class);
  const TimePoint since = this->backlog_updates[index];
  if (this->backlogs[index] && now > since) {
    this->SliceAt(now).totals[index].backlog_ms +=
        std::chrono::duration<double, std::milli>(now - since).count();
  }
  this->backlogs[index] = backlog;
  this->backlog_updates[index] = now;
}

bool WorkMeter::HasBacklog(WorkClass work_class) const {
  return this->backlogs[IndexOf(work_class)];
}

WorkMeter::ClassTotals WorkMeter::TotalsOver(WorkClass work_class,
                                             std::int64_t slice_count,
                                             TimePoint now) const {
  const std::int64_t first =
      now.time_since_epoch() / kSliceLength - slice_count + 1;
  ClassTotals sum;
  for (const Slice& slice : this->slices) {
    if (slice.number < first)
      continue;
    const ClassTotals& totals = slice.totals[IndexOf(work_class)];
    sum.work += totals.work;
    sum.backlog_ms += totals.backlog_ms;
    sum.progress_ms += totals.progress_ms;
    sum.elapsed_ms += totals.elapsed_ms;
  }
  return sum;
}

std::optional<double> WorkMeter::Rate(WorkClass work_class,
                                      TimePoint now) const {
  std::optional<double> rate;
  for (const std::int64_t slice_count :
       {kShortWindowSlices, kLongWindowSlices}) {
    const ClassTotals totals = this->TotalsOver(work_class, slice_count, now);
    if (totals.backlog_ms >= kMinBacklogMs)
      rate = std::max(rate.value_or(0), totals.work / totals.backlog_ms);
  }
  return rate;
}

double WorkMeter::TypicalSpeed(TimePoint now) const {
  const ClassTotals totals =
      this->TotalsOver(WorkClass::kBestEffort, kLongWindowSlices, now);
  if (totals.elapsed_ms < kMinElapsedMs)
    return 1;
  return std::clamp(kLastTaskSpeed * totals.progress_ms / totals.elapsed_ms,
                    kMinTypicalSpeed, 1.0);
}

// --- Preemption ---

namespace {

// A job that is nearly done frees its room soon, and would end late for little.
constexpr double kMinJobShareLeft = 0.25;
// Keeps a task from being preempted time and again.
constexpr std::uint32_t kMaxPreemptionsPerTask = 2;

bool MayPreempt(std::uint32_t priority, const PreemptableRun& run) {
  return run.priority > priority && run.job_share_left >= kMinJobShareLeft &&
         run.preemptions < kMaxPreemptionsPerTask;
}

struct Victims {
  std::vector<std::size_t> runs;
  double cost = 0;
};

// Takes the cheapest runs until the task fits, and leaves out again what the
// later ones made needless.
std::optional<Victims> ChooseVictims(std::uint32_t priority,
                                     const HeldResources& need,
                                     const PreemptionSite& site,
                                     std::size_t max_runs) {
  std::vector<std::size_t> eligible;
  for (std::size_t i = 0; i < site.runs.size(); ++i) {
    if (MayPreempt(priority, site.runs[i]))
      eligible.push_back(i);
  }
  std::ranges::stable_sort(eligible, {}, [&site](std::size_t i) {
    return site.runs[i].unsaved_work;
  });
  HeldResources free = site.free;
  std::vector<std::size_t> taken;
  for (const std::size_t i : eligible) {
    if (free.Covers(need))
      break;
    free = free + site.runs[i].held;
    taken.push_back(i);
  }
  if (!free.Covers(need))
    return std::nullopt;
  Victims victims;
  for (auto it = taken.rbegin(); it != taken.rend(); ++it) {
    const PreemptableRun& run = site.runs[*it];
    if ((free - run.held).Covers(need)) {
      free = free - run.held;
      continue;
    }
    victims.runs.push_back(*it);
    victims.cost += run.unsaved_work;
  }
  if (victims.runs.size() > max_runs)
    return std::nullopt;
  return victims;
}

}  // namespace

bool HeldResources::Covers(const HeldResources& need) const {
  return this->cpu_milli >= need.cpu_milli &&
         this->memory_mb >= need.memory_mb &&
         this->accelerators >= need.accelerators;
}

HeldResources operator+(const HeldResources& a, const HeldResources& b) {
  return {.cpu_milli = a.cpu_milli + b.cpu_milli,
          .memory_mb = a.memory_mb + b.memory_mb,
          .accelerators = a.accelerators + b.accelerators};
}

HeldResources operator-(const HeldResources& a, const HeldResources& b) {
  return {.cpu_milli = a.cpu_milli - b.cpu_milli,
          .memory_mb = a.memory_mb - b.memory_mb,
          .accelerators = a.accelerators - b.accelerators};
}

std::optional<PreemptRuns> ChoosePreemption(
    std::uint32_t priority,
    const HeldResources& need,
    const std::vector<PreemptionSite>& sites,
    std::size_t max_runs) {
  std::optional<PreemptRuns> best;
  std::tuple<double, std::size_t> best_cost;
  for (std::size_t i = 0; i < sites.size(); ++i) {
    if (sites[i].free.Covers(need))
      return PreemptRuns{.site = i};
    auto victims = ChooseVictims(priority, need, sites[i], max_runs);
    if (!victims)
      continue;
    const std::tuple cost(victims->cost, victims->runs.size());
    if (best && cost >= best_cost)
      continue;
    best = PreemptRuns{.site = i, .runs = std::move(victims->runs)};
    best_cost = cost;
  }
  return best;
}

}  // namespace savoryring
