#include "testsuite/workers/model_worker.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

#include "libjobs/job_table.h"

namespace savoryring {
namespace {

constexpr std::uint32_t kPercent = 100;

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
      behaviour.fails = number;
    else if (name == "lasts")
      behaviour.lasts = number != 0;
  }
  return behaviour;
}

bool ModelWorker::TakeToken(std::uint64_t token) {
  if (token < this->highest_token)
    return false;
  this->highest_token = token;
  return true;
}

void ModelWorker::Hold(TimePoint until, TimePoint now) {
  const TimePoint bounded = std::min(until, now + this->options.longest_hold);
  this->hold_end = std::max(this->hold_end, bounded);
}

CallOutcome ModelWorker::Start(const StartCall& call, TimePoint now) {
  this->Advance(now);
  if (!this->TakeToken(call.token))
    return CallOutcome::kStaleToken;
  if (now >= call.hold_until)
    return CallOutcome::kDeadlineExceeded;
  this->Hold(call.hold_until, now);
  const std::string name = TaskNameText(call.order.task());
  const std::uint32_t number = call.order.run();
  const auto found = this->running.find(name);
  if (found != this->running.end() && found->second.run == number)
    return CallOutcome::kDone;
  const auto bar = this->barred.find(name);
  const bool over = bar != this->barred.end() && number <= bar->second;
  if (over || (found != this->running.end() && number < found->second.run))
    return CallOutcome::kAlreadyEnded;
  if (found != this->running.end())
    return CallOutcome::kRejected;
  const bool restored = !call.order.checkpoint().empty();
  this->running[name] = {
      .task = call.order.task(),
      .run = number,
      .behaviour = ReadBehaviour(call.order.payload()),
      .saved = Milliseconds(ToNumber(call.order.checkpoint())),
      .work_begin = now + (restored ? this->options.restore : Milliseconds(0)),
      .cpu_milli = call.order.cpu_milli()};
  this->changes.push_back(
      {.task = call.order.task(), .run = number, .began = true});
  return CallOutcome::kDone;
}

CallOutcome ModelWorker::Stop(const StopCall& call, TimePoint now) {
  this->Advance(now);
  if (!this->TakeToken(call.token))
    return CallOutcome::kStaleToken;
  const std::string name = TaskNameText(call.task);
  std::uint32_t& bar = this->barred[name];
  bar = std::max(bar, call.run);
  const auto found = this->running.find(name);
  if (found != this->running.end() && found->second.run <= call.run &&
      found->second.stopped == TimePoint())
    found->second.stopped = now + this->options.stop_time;
  return CallOutcome::kDone;
}

CallOutcome ModelWorker::Watch(const WatchCall& call,
                               TimePoint now,
                               WorkerListing& listing) {
  this->Advance(now);
  if (!this->TakeToken(call.token))
    return CallOutcome::kStaleToken;
  if (call.hold_until != TimePoint())
    this->Hold(call.hold_until, now);
  this->acknowledged_up_to =
      std::max(this->acknowledged_up_to, call.acknowledged);
  std::erase_if(this->ends, [this](const wire::TaskEnd& end) {
    return end.number() <= this->acknowledged_up_to;
  });
  for (const auto& [name, run] : this->running) {
    const Milliseconds done = this->WorkDone(run, now);
    const auto percent =
        run.behaviour.lasts || run.behaviour.work.count() == 0
            ? kPercent
            : static_cast<std::uint32_t>(done.count() * kPercent /
                                         run.behaviour.work.count());
    listing.running.push_back(
        {.task = run.task,
         .run = run.run,
         .checkpoint = this->CheckpointOf(run, now, false),
         .percent = percent,
         .measured = run.cpu_milli * run.percent / kPercent});
  }
  listing.ended = this->ends;
  return CallOutcome::kDone;
}

CallOutcome ModelWorker::Pace(const ThrottleCall& call, TimePoint now) {
  this->Advance(now);
  if (!this->TakeToken(call.token))
    return CallOutcome::kStaleToken;
  const auto found = this->running.find(TaskNameText(call.task));
  if (found == this->running.end() || found->second.run != call.run)
    return CallOutcome::kRejected;
  found->second.percent = call.percent;
  return CallOutcome::kDone;
}

void ModelWorker::Advance(TimePoint now) {
  std::vector<std::pair<std::string, wire::RunEnd>> over;
  for (const auto& [name, run] : this->running) {
    const bool worked =
        !run.behaviour.lasts && this->WorkDone(run, now) >= run.behaviour.work;
    if (now >= this->hold_end)
      over.emplace_back(name, wire::RUN_END_LAPSED);
    else if (run.stopped != TimePoint() && now >= run.stopped)
      over.emplace_back(name, wire::RUN_END_STOPPED);
    else if (worked && run.run <= run.behaviour.fails)
      over.emplace_back(name, wire::RUN_END_FAILED);
    else if (worked)
      over.emplace_back(name, wire::RUN_END_DONE);
  }
  for (const auto& [name, how] : over)
    this->EndRun(name, how, now);
}

void ModelWorker::EndRun(const std::string& name,
                         wire::RunEnd how,
                         TimePoint now) {
  const Running run = this->running.at(name);
  this->running.erase(name);
  std::uint32_t& bar = this->barred[name];
  bar = std::max(bar, run.run);
  wire::TaskEnd end;
  end.set_number(++this->last_end);
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
  return run.saved + RemainingTime(run.work_begin, now);
}

// The work that a later run need not do again; a stop saves all of it.
std::string ModelWorker::CheckpointOf(const Running& run,
                                      TimePoint now,
                                      bool stopping) const {
  Milliseconds done = std::min(this->WorkDone(run, now), run.behaviour.work);
  if (!stopping)
    done -= done % this->options.checkpoint;
  const Milliseconds kept = std::max(done, run.saved);
  return kept.count() == 0 ? "" : std::to_string(kept.count());
}

std::vector<ModelRunChange> ModelWorker::TakeChanges() {
  return std::exchange(this->changes, {});
}

}  // namespace savoryring
