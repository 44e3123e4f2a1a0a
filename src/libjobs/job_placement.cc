// The leader's placing: which ready task goes to which worker.

#include <algorithm>
#include <utility>

#include "libjobs/job_scheduler.h"

namespace savoryring {
namespace {

// Starts of one decision; the rest follow in the next. Keeps a log entry below
// 64 KB.
constexpr int kMostStarts = 400;
// How far a fill's place weighs a task that serves against free processors.
constexpr std::int64_t kServingPenaltyMilli = 8000;
// Below this use a job that has nothing running gets a place for one task,
// also where fills have no room left.
constexpr std::uint64_t kRoomyPercent = 60;
// What tasks that serve use of what they ask for.
constexpr std::int64_t kServingUsePercent = 60;
// Fills may want somewhat more than the room: they rarely use all they want.
constexpr std::int64_t kFillOvercommitPercent = 110;
// A place without room for fills comes after every one that has it.
constexpr std::int64_t kForcedFillCost = 10'000'000;
constexpr double kMilli = 1000;

}  // namespace

namespace {

// Longest chain of estimates; through the steps that `states` does not show as
// done, where it is given.
std::uint64_t LongestChain(const Job& job,
                           const std::vector<StepState>* states) {
  std::vector<std::uint64_t> chain;
  std::uint64_t longest = 0;
  for (const wire::JobStep& step : job.spec.steps()) {
    std::uint64_t before = 0;
    for (const std::uint32_t after : step.after())
      before = std::max(before, chain[after]);
    const bool done = states != nullptr && (*states)[chain.size()].IsDone();
    chain.push_back(before + (done ? 0 : step.estimated_ms()));
    longest = std::max(longest, chain.back());
  }
  return longest;
}

// How long the owner is ready to wait: the longest chain of estimates,
// stretched by the queue's slack, and the queue's own latency target.
std::uint64_t ObjectiveOf(const Job& job) {
  return LongestChain(job, nullptr) * job.spec.slack_percent() / 100 +
         job.spec.latency_target_ms();
}

// What waiting still can change for a job. Under overload the order by due
// time alone would make every job late, so those that can be in time go first.
enum class Prospect { kInTime, kLate, kTooLate };

Prospect ProspectOf(const Job& job,
                    const StepKey& key,
                    std::uint64_t group_time_ms) {
  // A job that takes this many objectives is worth nothing to its owner.
  constexpr std::uint64_t kWorthlessObjectives = 3;
  const std::uint64_t objective = ObjectiveOf(job);
  const std::uint64_t finish =
      std::max(group_time_ms, job.accepted_ms) +
      LongestChain(job, &job.occurrences.at(key.occurrence));
  if (finish <= job.accepted_ms + objective)
    return Prospect::kInTime;
  if (finish <= job.accepted_ms + kWorthlessObjectives * objective)
    return Prospect::kLate;
  return Prospect::kTooLate;
}

// Whether the workers' processors are mostly not spoken for.
bool IsRoomy(const JobTable& table) {
  std::uint64_t used = 0;
  std::uint64_t whole = 0;
  for (const auto& [agent, worker] : table.workers()) {
    used += worker.lost ? 0 : worker.used_cpu_milli;
    whole += worker.lost ? 0 : worker.description.cpu_milli();
  }
  return used * 100 < whole * kRoomyPercent;
}

}  // namespace

void JobScheduler::Place(const JobTable& table,
                         TimePoint now,
                         wire::JobCommand& command) {
  if (table.ready_steps().empty())
    return;
  struct Candidate {
    std::uint32_t priority = 0;
    Prospect prospect = Prospect::kInTime;
    std::uint64_t due = 0;
    StepKey key;
    auto operator<=>(const Candidate& other) const = default;
  };
  std::vector<Candidate> candidates;
  for (const StepKey& key : table.ready_steps()) {
    const Job& job = *table.FindSequence(key.sequence);
    candidates.push_back({.priority = job.spec.priority(),
                          .prospect = ProspectOf(job, key, this->group_time_ms),
                          .due = job.accepted_ms + ObjectiveOf(job),
                          .key = key});
  }
  std::ranges::sort(candidates);
  std::erase_if(this->waiting_since, [&table](const auto& item) {
    return !table.ready_steps().contains(item.first);
  });
  std::map<std::string, Room> rooms = this->Rooms(table, now);
  const bool roomy = IsRoomy(table);
  for (const Candidate& candidate : candidates) {
    if (command.starts_size() >= kMostStarts)
      return;
    const Job& job = *table.FindSequence(candidate.key.sequence);
    this->waiting_since.try_emplace(candidate.key, now);
    const bool idle =
        job.assigned == 0 &&
        now > this->waiting_since[candidate.key] + this->options.idle_job;
    this->force_one = roomy && idle;
    if (table.Step(candidate.key).gang())
      this->PlaceGang(table, candidate.key, rooms, command);
    else
      this->PlaceStep(table, candidate.key, rooms, command);
  }
}

// Tasks that serve use less than they ask for; fills get the rest.
std::int64_t JobScheduler::Room::FillRoom() const {
  const std::int64_t unused =
      this->serving_cpu_milli * (100 - kServingUsePercent) / 100;
  return (this->cpu_milli + unused) * kFillOvercommitPercent / 100 -
         this->fill_cpu_milli;
}

namespace {

// Processors at work for fills.
double FillThroughput(const SharingModel& sharing,
                      const std::vector<SharedRun>& runs) {
  const std::vector<double> speeds = sharing.Speeds(runs, true);
  double sum = 0;
  for (std::size_t i = 0; i < runs.size(); ++i)
    sum += runs[i].wanted * speeds[i];
  return sum;
}

}  // namespace

// What another fill would add to the work of all fills there, as a share of the
// processors that it asks for.
double JobScheduler::FillShare(const Room& room,
                               const wire::JobStep& step) const {
  if (room.FillRoom() < step.cpu_milli())
    return 0;
  std::vector<SharedRun> trial = room.shared;
  const double before = FillThroughput(this->sharing, trial);
  trial.push_back(ToSharedRun("", step, 0));
  const double gain = FillThroughput(this->sharing, trial) - before;
  return gain * kMilli / std::max(1U, step.cpu_milli());
}

// Nothing where the fill would get on mostly at the expense of those that are
// there: sharing a worker's room makes all of them late.
std::optional<std::int64_t> JobScheduler::FillCost(
    const Room& room,
    const wire::JobStep& step) const {
  const double share = this->FillShare(room, step);
  if (share < this->options.least_fill_gain)
    return std::nullopt;
  return static_cast<std::int64_t>((1 - share) * kMilli * kMilli) +
         static_cast<std::int64_t>(room.serving) * kServingPenaltyMilli -
         room.FillRoom();
}

JobScheduler::Absence JobScheduler::AbsenceOf(const JobWorker& worker,
                                              TimePoint now) const {
  const auto found = this->agents.find(worker.description.agent());
  if (worker.lost || found == this->agents.end() || found->second.gone)
    return Absence::kLost;
  const LiveAgent& live = found->second;
  if (worker.description.draining())
    return Absence::kDraining;
  const bool heard = live.born_ms == worker.description.born_ms() &&
                     live.heard != TimePoint() &&
                     now < live.heard + this->options.quiet;
  if (!heard)
    return Absence::kSilent;
  return now < live.suspended_until ? Absence::kSuspended : Absence::kNone;
}

std::map<std::string, JobScheduler::Room> JobScheduler::Rooms(
    const JobTable& table,
    TimePoint now) const {
  std::map<std::string, Room> rooms;
  for (const auto& [agent, worker] : table.workers()) {
    if (this->AbsenceOf(worker, now) != Absence::kNone)
      continue;
    const LiveAgent& live = this->agents.at(agent);
    Room& room = rooms[agent];
    const wire::JobWorkerDescription& size = worker.description;
    room.worker = &worker;
    room.cpu_milli = std::int64_t{size.cpu_milli()} -
                     static_cast<std::int64_t>(worker.used_cpu_milli);
    room.memory_mb = static_cast<std::int64_t>(size.memory_mb()) -
                     static_cast<std::int64_t>(worker.used_memory_mb);
    room.accelerators = std::int64_t{size.accelerators()} -
                        static_cast<std::int64_t>(worker.used_accelerators);
    room.fill_cpu_milli =
        static_cast<std::int64_t>(worker.best_effort_cpu_milli);
    room.probes = this->IsProbing(live);
    room.closed = room.probes && now < live.probe_deadline;
    for (const TaskKey& key : worker.runs) {
      const wire::JobStep& step = table.Step(key.step);
      if (step.fills() || step.tail_target_ms() > 0) {
        room.shared.push_back(
            ToSharedRun(TaskNameText(table.NameOf(key)), step, 0));
      }
      if (step.tail_target_ms() > 0) {
        room.serving += 1;
        room.serving_cpu_milli += step.cpu_milli();
      }
      room.of_step[key.step] += 1;
    }
  }
  return rooms;
}

namespace {

bool HasLabel(const JobWorker& worker, const std::string& label) {
  const auto& labels = worker.description.labels();
  return label.empty() || std::ranges::find(labels, label) != labels.end();
}

// What a task of the step takes of a worker's processors.
std::int64_t ProcessorsOf(const wire::JobStep& step) {
  return step.fills() ? 0 : std::int64_t{step.cpu_milli()};
}

}  // namespace

JobScheduler::Misfit JobScheduler::MisfitOf(const JobTable& table,
                                            const StepKey& key,
                                            const Room& room) {
  const wire::JobStep& step = table.Step(key);
  const Job& job = *table.FindSequence(key.sequence);
  const auto held = room.of_step.find(key);
  const std::size_t of_step = held == room.of_step.end() ? 0 : held->second;
  if (room.worker->description.service() != job.spec.service())
    return Misfit::kOtherService;
  if (!HasLabel(*room.worker, step.required_label()))
    return Misfit::kNoLabel;
  if (room.closed)
    return Misfit::kProbed;
  if (step.spread_limit() > 0 && of_step >= step.spread_limit())
    return Misfit::kSpread;
  if (room.cpu_milli < ProcessorsOf(step))
    return Misfit::kProcessors;
  if (room.memory_mb < static_cast<std::int64_t>(step.memory_mb()))
    return Misfit::kMemory;
  if (room.accelerators < std::int64_t{step.accelerators()})
    return Misfit::kAccelerators;
  return Misfit::kNone;
}

// Nothing where the worker does not take the task. `forced` takes a fill also
// where it has no room.
std::optional<std::int64_t> JobScheduler::CostOf(const JobTable& table,
                                                 const StepKey& key,
                                                 const Room& room,
                                                 bool forced) const {
  if (MisfitOf(table, key, room) != Misfit::kNone)
    return std::nullopt;
  const wire::JobStep& step = table.Step(key);
  std::int64_t cost = 0;
  if (step.fills()) {
    const auto fill_cost = this->FillCost(room, step);
    if (!fill_cost && !forced)
      return std::nullopt;
    cost = fill_cost.value_or(kForcedFillCost - room.FillRoom());
  } else {
    // Best fit keeps large gaps for large tasks, and keeps the tasks that
    // serve together, away from the workers that fills use.
    cost = room.cpu_milli - ProcessorsOf(step);
    if (step.tail_target_ms() > 0) {
      cost += 2 * room.fill_cpu_milli;
      cost -= room.serving > 0 ? kServingPenaltyMilli : 0;
    }
  }
  if (!step.data_rack().empty() && !HasLabel(*room.worker, step.data_rack()))
    cost += kServingPenaltyMilli;
  return cost;
}

JobScheduler::Offers JobScheduler::OffersFor(const JobTable& table,
                                             const StepKey& key,
                                             std::map<std::string, Room>& rooms,
                                             bool forced) const {
  Offers offers;
  for (auto& [agent, room] : rooms) {
    if (const auto cost = this->CostOf(table, key, room, forced))
      offers.insert({.cost = *cost, .agent = agent, .room = &room});
  }
  return offers;
}

// Tasks of a step are alike: one list of offers serves all of them, and a
// start changes the offer of one worker only.
void JobScheduler::PlaceStep(const JobTable& table,
                             const StepKey& key,
                             std::map<std::string, Room>& rooms,
                             wire::JobCommand& command) {
  const StepState& state = table.State(key);
  Offers offers = this->OffersFor(table, key, rooms, false);
  const bool forced = offers.empty() && this->force_one;
  if (forced)
    offers = this->OffersFor(table, key, rooms, true);
  for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
    const JobTask& task = state.tasks[index];
    if (task.state != JobTaskState::kWaiting)
      continue;
    if (offers.empty() || command.starts_size() >= kMostStarts)
      return;
    const auto best = BestOffer(offers, task);
    const Offer taken = *best;
    offers.erase(best);
    this->Take(table, {.step = key, .index = index}, *taken.room, command);
    if (forced)
      return;
    if (const auto cost = this->CostOf(table, key, *taken.room, false)) {
      offers.insert({.cost = *cost, .agent = taken.agent, .room = taken.room});
    }
  }
}

// The worker where a task failed or was slow last is the last choice for it.
JobScheduler::Offers::iterator JobScheduler::BestOffer(Offers& offers,
                                                       const JobTask& task) {
  if (task.run == 0)
    return offers.begin();
  const auto other = std::ranges::find_if(offers, [&task](const Offer& offer) {
    return offer.agent != task.agent;
  });
  return other == offers.end() ? offers.begin() : other;
}

void JobScheduler::Take(const JobTable& table,
                        const TaskKey& key,
                        Room& room,
                        wire::JobCommand& command) {
  const wire::JobStep& step = table.Step(key.step);
  const wire::JobWorkerDescription& worker = room.worker->description;
  room.cpu_milli -= ProcessorsOf(step);
  room.memory_mb -= static_cast<std::int64_t>(step.memory_mb());
  room.accelerators -= step.accelerators();
  room.of_step[key.step] += 1;
  if (step.fills()) {
    room.fill_cpu_milli += step.cpu_milli();
    room.shared.push_back(ToSharedRun("", step, 0));
  }
  if (step.tail_target_ms() > 0)
    room.serving += 1;
  if (room.probes) {
    room.closed = true;
    this->agents[worker.agent()].probe_deadline =
        this->decided + this->options.probe;
  }
  wire::TaskStart* start = command.add_starts();
  *start->mutable_task() = table.NameOf(key);
  start->set_run(table.Task(key).run + 1);
  start->set_agent(worker.agent());
  start->set_born_ms(worker.born_ms());
}

// A gang starts as a whole or not at all.
void JobScheduler::PlaceGang(const JobTable& table,
                             const StepKey& key,
                             std::map<std::string, Room>& rooms,
                             wire::JobCommand& command) {
  const StepState& state = table.State(key);
  if (state.waiting != state.tasks.size())
    return;
  std::map<std::string, Room> trial = rooms;
  wire::JobCommand placed;
  this->PlaceStep(table, key, trial, placed);
  if (static_cast<std::size_t>(placed.starts_size()) != state.tasks.size())
    return;
  rooms = std::move(trial);
  for (const wire::TaskStart& start : placed.starts())
    *command.add_starts() = start;
}

}  // namespace savoryring
