#include "testsuite/schedule/ledger.h"

#include <algorithm>

namespace savoryring {
namespace {

// Time within which entries must stop sending work to an endpoint that leaves.
constexpr Milliseconds kLeavingAllowance{3000};
// Calls sent this soon after a revision was shown may be decided by an older
// one.
constexpr Milliseconds kRollbackSlack{250};

std::string NameOf(const Sending& sending) {
  return "request " + std::to_string(sending.request) + " sending " +
         std::to_string(sending.number);
}

}  // namespace

void Ledger::OnTaskStart(const std::string& worker,
                         const std::string& task,
                         const Resources& size,
                         const Resources& capacity) {
  this->task_starts += 1;
  const auto [existing, is_new] = this->running_on.emplace(task, worker);
  if (!is_new) {
    throw Violation("two places: " + task + " starts on " + worker +
                    " and runs on " + existing->second);
  }
  this->used[worker] += size;
  if (!this->used[worker].FitsIn(capacity))
    throw Violation("capacity: " + task + " overfills " + worker);
}

void Ledger::OnTaskEnd(const std::string& worker,
                       const std::string& task,
                       const Resources& size,
                       bool has_finished,
                       bool repeatable) {
  this->running_on.erase(task);
  this->used[worker] -= size;
  if (!has_finished)
    return;
  this->finished[task] += 1;
  if (!repeatable && this->finished[task] > 1)
    throw Violation("doubled: " + task + " finished twice");
}

void Ledger::OnRequestRun(const Sending& sending,
                          bool repeatable,
                          TimePoint leaving_since,
                          TimePoint now) {
  this->requests_run += 1;
  if (this->not_run.contains(sending))
    throw Violation("not run: " + NameOf(sending) + " runs all the same");
  if (!repeatable && ++this->runs_of_request[sending.request] > 1)
    throw Violation("at most once: " + NameOf(sending) + " runs again");
  this->runs[sending] += 1;
  if (now - kLeavingAllowance > leaving_since)
    throw Violation("leaving: " + NameOf(sending) + " goes to a leaving one");
}

void Ledger::OnAnswer(const Sending& sending,
                      bool claims_not_run,
                      bool forwarded,
                      std::uint64_t answered_request) {
  if (forwarded) {
    this->answers_forwarded += 1;
    if (answered_request != sending.request)
      throw Violation("whole answer: " + NameOf(sending) + " got another's");
    return;
  }
  if (!claims_not_run) {
    this->answers_unknown += 1;
    return;
  }
  this->answers_not_run += 1;
  this->not_run.insert(sending);
  if (this->runs.contains(sending))
    throw Violation("not run: " + NameOf(sending) + " had run");
}

void Ledger::OnApplied(std::uint64_t index, std::uint64_t checksum) {
  const auto [existing, is_new] = this->applied.emplace(index, checksum);
  if (!is_new && existing->second != checksum)
    throw Violation("log: entry " + std::to_string(index) + " differs");
}

void Ledger::OnAccepted(std::uint64_t version, const std::string& content) {
  const auto [existing, is_new] = this->accepted.emplace(version, content);
  if (!is_new && existing->second != content)
    throw Violation("estate: two contents of " + std::to_string(version));
}

void Ledger::OnInForce(const std::string& process,
                       std::uint64_t revision,
                       const std::string& content) {
  std::uint64_t& known = this->in_force[process];
  if (revision < known)
    throw Violation("estate: " + process + " went back");
  known = revision;
  const auto found = this->accepted.find(revision);
  const bool known_content = !content.empty() && found != this->accepted.end();
  if (known_content && found->second != content)
    throw Violation("estate: other content in force on " + process);
}

void Ledger::OnDecided(const Decision& decision) {
  auto& uses = this->revision_uses[decision.process];
  RevisionUse& use = uses[decision.revision];
  use.first_shown = std::min(use.first_shown, decision.shown);
  use.last_sent = std::max(use.last_sent, decision.sent);
  TimePoint newer_shown = kNever;
  for (auto it = uses.rbegin(); it != uses.rend(); ++it) {
    const auto& [revision, known] = *it;
    const bool went_back =
        newer_shown != kNever && known.last_sent > newer_shown + kRollbackSlack;
    if (went_back) {
      throw Violation("estate: a call of " + decision.process +
                      " was decided by revision " + std::to_string(revision) +
                      " after a newer one");
    }
    newer_shown = std::min(newer_shown, known.first_shown);
  }
}

int Ledger::TimesFinished(const std::string& task) const {
  const auto found = this->finished.find(task);
  return found == this->finished.end() ? 0 : found->second;
}

std::uint64_t Ledger::HighestAccepted() const {
  return this->accepted.empty() ? 0 : this->accepted.rbegin()->first;
}

void Ledger::ForgetProcess(const std::string& process) {
  this->in_force.erase(process);
  this->in_force.erase(process + "/cache");
}

}  // namespace savoryring
