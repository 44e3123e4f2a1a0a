#include "testsuite/workers/model_worker.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

#include "libjobs/job_table.h"

namespace savoryring {
namespace {

constexpr std::uint32_t kPercent = 100;
// How long a run lasts on a faulty worker.
constexpr Milliseconds kFaultyRunTime{50};

std::uint32_t ToNumber(const std::string& text) {
  std::uint32_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

TaskBehaviour ReadBehaviour(const std::string& payload) {
  TaskBehaviour behaviour;
  std::istringstream words(payload);
  std::string word;
  while (words >> word) {
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos)
      continue;
    const std::string name = word.substr(0, equals);
    const std::uint32_t number = ToNumber(word.substr(equals + 1));
    if (name == "work_ms")
      behaviour.work = Milliseconds(number);
    else if (name == "fails")
      behaviour.failing_runs = number;
    else if (name == "lasts")
      behaviour.runs_until_stopped = number != 0;
    else if (name == "crashes")
      behaviour.crashing_task = number;
  }
  return behaviour;
}

bool ModelWorker::AcceptToken(std::uint64_t token) {
  if (token < this->highest_token)
    return false;
  this->highest_token = token;
  return true;
}

void ModelWorker::ExtendHold(TimePoint until, TimePoint now) {
  const TimePoint bounded = std::min(until, now + this->options.max_hold);
  this->hold_end = std::max(this->hold_end, bounded);
}

CallOutcome ModelWorker::Start(const StartCall& call,
                               TimePoint now,
                               bool faulty) {
  this->Advance(now);
  if (!this->AcceptToken(call.token))
    return CallOutcome::kStaleToken;
  if (now >= call.hold_until)
    return CallOutcome::kDeadlineExceeded;
  this->ExtendHold(call.hold_until, now);
  const std::string name = TaskNameText(call.order.task());
  const std::uint32_t number = call.order.run();
  const auto found = this->running.find(name);
  if (found != this->running.end() && found->second.run == number)
    return CallOutcome::kDone;
  const auto highest_ended = this->highest_ended_runs.find(name);
  const bool already_over = highest_ended != this->highest_ended_runs.end() &&
                            number <= highest_ended->second;
  if (already_over ||
      (found != this->running.end() && number < found->second.run))
    return CallOutcome::kAlreadyEnded;
  if (found != this->running.end())
    return CallOutcome::kRejected;
  const bool resumes = !call.order.checkpoint().empty();
  this->running[name] = {
      .task = call.order.task(),
      .run = number,
      .behaviour = ReadBehaviour(call.order.payload()),
      .saved_work = Milliseconds(ToNumber(call.order.checkpoint())),
      .work_begin =
          now + (resumes ? this->options.restore_time : Milliseconds(0)),
      .cpu_milli = call.order.cpu_milli(),
      .faulty = faulty};
  this->changes.push_back(
      {.task = call.order.task(), .run = number, .started = true});
  return CallOutcome::kDone;
}

CallOutcome ModelWorker::Stop(const StopCall& call, TimePoint now) {
  this->Advance(now);
  if (!this->AcceptToken(call.token))
    return CallOutcome::kStaleToken;
  const std::string name = TaskNameText(call.task);
  std::uint32_t& highest_ended = this->highest_ended_runs[name];
  highest_ended = std::max(highest_ended, call.run);
  const auto found = this->running.find(name);
  if (found != this->running.end() && found->second.run <= call.run &&
      found->second.stop_at == TimePoint())
    found->second.stop_at = now + this->options.stop_time;
  return CallOutcome::kDone;
}

CallOutcome ModelWorker::Watch(const WatchCall& call,
                               TimePoint now,
                               WorkerListing& listing) {
  this->Advance(now);
  if (!this->AcceptToken(call.token))
    return CallOutcome::kStaleToken;
  if (call.hold_until != TimePoint())
    this->ExtendHold(call.hold_until, now);
  this->acknowledged_up_to =
      std::max(this->acknowledged_up_to, call.acknowledged);
  std::erase_if(this->ends, [this](const wire::TaskEnd& end) {
    return end.number() <= this->acknowledged_up_to;
  });
  for (const auto& [name, run] : this->running) {
    const Milliseconds done = this->WorkDone(run, now);
    const auto percent =
        run.behaviour.runs_until_stopped || run.behaviour.work.count() == 0
            ? kPercent
            : static_cast<std::uint32_t>(done.count() * kPercent /
                                         run.behaviour.work.count());
    listing.running.push_back(
        {.task = run.task,
         .run = run.run,
         .checkpoint = this->CheckpointOf(run, now, false),
         .percent = percent,
         .measured = run.cpu_milli * run.speed_percent / kPercent});
  }
  listing.ended = this->ends;
  return CallOutcome::kDone;
}

CallOutcome ModelWorker::Throttle(const ThrottleCall& call, TimePoint now) {
  this->Advance(now);
  if (!this->AcceptToken(call.token))
    return CallOutcome::kStaleToken;
  const auto found = this->running.find(TaskNameText(call.task));
  if (found == this->running.end() || found->second.run != call.run)
    return CallOutcome::kRejected;
  found->second.speed_percent = call.percent;
  return CallOutcome::kDone;
}

void ModelWorker::Advance(TimePoint now) {
  std::vector<std::pair<std::string, wire::RunEnd>> ended_runs;
  for (const auto& [name, run] : this->running) {
    const bool completed = !run.behaviour.runs_until_stopped &&
                           this->WorkDone(run, now) >= run.behaviour.work;
    if (now >= this->hold_end)
      ended_runs.emplace_back(name, wire::RUN_END_LAPSED);
    else if (run.stop_at != TimePoint() && now >= run.stop_at)
      ended_runs.emplace_back(name, wire::RUN_END_STOPPED);
    else if (run.faulty && now >= run.work_begin + kFaultyRunTime)
      ended_runs.emplace_back(name, wire::RUN_END_FAILED);
    else if (completed && run.run <= run.behaviour.failing_runs)
      ended_runs.emplace_back(name, wire::RUN_END_FAILED);
    else if (completed)
      ended_runs.emplace_back(name, wire::RUN_END_DONE);
  }
  for (const auto& [name, how] : ended_runs)
    this->EndRun(name, how, now);
  const bool lapsed = this->hold_end != TimePoint() && now >= this->hold_end;
  if (lapsed && this->lapsed_hold_end != this->hold_end) {
    this->lapsed_hold_end = this->hold_end;
    this->lapse_count += 1;
  }
}

void ModelWorker::EndRun(const std::string& name,
                         wire::RunEnd how,
                         TimePoint now) {
  const Running run = this->running.at(name);
  this->running.erase(name);
  std::uint32_t& highest_ended = this->highest_ended_runs[name];
  highest_ended = std::max(highest_ended, run.run);
  wire::TaskEnd end;
  end.set_number(++this->last_end_number);
  *end.mutable_task() = run.task;
  end.set_run(run.run);
  end.set_how(how);
  if (how != wire::RUN_END_DONE) {
    end.set_checkpoint(
        this->CheckpointOf(run, now, how == wire::RUN_END_STOPPED));
  }
  this->changes.push_back(
      {.task = run.task, .run = run.run, .how = how, .number = end.number()});
  this->ends.push_back(std::move(end));
}

Milliseconds ModelWorker::WorkDone(const Running& run, TimePoint now) const {
  return run.saved_work + RemainingTime(run.work_begin, now);
}

// The work that a later run can skip. An orderly stop saves all of it;
// otherwise only the work up to the last checkpoint counts.
std::string ModelWorker::CheckpointOf(const Running& run,
                                      TimePoint now,
                                      bool stopping) const {
  Milliseconds done = std::min(this->WorkDone(run, now), run.behaviour.work);
  if (!stopping)
    done -= done % this->options.checkpoint_interval;
  const Milliseconds resumable = std::max(done, run.saved_work);
  return resumable.count() == 0 ? "" : std::to_string(resumable.count());
}

bool ModelWorker::IsCrashing() const {
  return std::ranges::any_of(this->running, [](const auto& item) {
    return item.second.behaviour.CrashesWorker(item.second.task);
  });
}

std::vector<ModelRunChange> ModelWorker::TakeChanges() {
  return std::exchange(this->changes, {});
}

}  // namespace savoryring
