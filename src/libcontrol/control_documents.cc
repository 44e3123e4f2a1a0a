// Documents in ControlCore: estates and received snapshots. What takes time in
// proportion to them runs as document tasks; the core waits for their results.

#include <algorithm>
#include <utility>

#include "libbase/checksum.h"
#include "libcontrol/control_core.h"

namespace savoryring {
namespace {

// Estate calls that wait to be checked hold no more than this, or are a single
// one.
constexpr std::size_t kMaxWaitingBytes = 24U << 20U;
constexpr Milliseconds kRetryAfter{1000};

}  // namespace

std::uint64_t ControlCore::StartDocumentTask(DocumentInput input) {
  this->last_task_id += 1;
  this->effects.emplace_back(
      DocumentTask{.id = this->last_task_id, .input = std::move(input)});
  return this->last_task_id;
}

void ControlCore::OnDocumentResult(DocumentResult result, TimePoint now) {
  this->UpdateLeadership();
  const auto preparation = std::ranges::find_if(
      this->estate_preparations,
      [&result](const auto& item) { return item.second.task_id == result.id; });
  if (this->restoration && this->restoration->task_id == result.id) {
    if (const auto* failure = std::get_if<Error>(&result.output))
      throw Error(*failure);
    this->FinishRestoration(
        std::move(std::get<std::unique_ptr<ControlState>>(result.output)));
  } else if (preparation != this->estate_preparations.end()) {
    if (const auto* failure = std::get_if<Error>(&result.output))
      throw Error(*failure);
    preparation->second.submission =
        std::get<EstateSubmission>(std::move(result.output));
  } else {
    this->OnDocumentOutput(result.id, std::move(result.output));
    this->ProposeCheckedEstates(now);
  }
  if (this->ApplyDelivered())
    this->OnApplied(now);
}

// --- Calls on the leader ---

void ControlCore::OnEstateCall(wire::ControlCall call,
                               std::uint64_t call_token,
                               TimePoint now) {
  const std::uint64_t checksum = Checksum(call.body());
  const PendingCall pending = this->MakePendingCall(call, call_token, now);
  if (this->JoinOpenEstateCall(checksum, pending))
    return;
  std::size_t waiting_bytes = 0;
  for (const auto& [task, open] : this->document_calls)
    waiting_bytes += open.body_bytes;
  const std::size_t bytes = call.body().size();
  if (waiting_bytes > 0 && waiting_bytes + bytes > kMaxWaitingBytes) {
    wire::ControlReply refusal =
        MakeErrorReply(ResultCode::kOverloaded, "other estates are checked");
    refusal.set_retry_after_ms(static_cast<std::uint32_t>(kRetryAfter.count()));
    this->ReplyAsLeader(call_token, std::move(refusal));
    return;
  }
  const std::uint64_t task =
      this->StartDocumentTask(CheckEstateCall{.call = std::move(call)});
  this->document_calls[task] = {
      .body_checksum = checksum, .body_bytes = bytes, .calls = {pending}};
}

// A submission is sent again while the first one is being checked and stored,
// and may be large: it waits for the same outcome.
bool ControlCore::JoinOpenEstateCall(std::uint64_t body_checksum,
                                     const PendingCall& pending) {
  const auto proposed = this->proposed_estates.find(body_checksum);
  if (proposed != this->proposed_estates.end()) {
    this->pending_calls.emplace(proposed->second, pending);
    return true;
  }
  for (auto& [task, open] : this->document_calls) {
    if (open.body_bytes > 0 && open.body_checksum == body_checksum) {
      open.calls.push_back(pending);
      return true;
    }
  }
  return false;
}

void ControlCore::OnEstateQuery(const wire::ControlCall& call,
                                std::uint64_t call_token,
                                TimePoint now) {
  const EstateState& estate = this->control_state.estate();
  const std::uint64_t task = this->StartDocumentTask(
      FormatEstate{.revision = estate.revision(), .estate = estate.prepared()});
  this->document_calls[task].calls = {
      this->MakePendingCall(call, call_token, now)};
}

// The calls are gone if this process has lost its leadership meanwhile.
void ControlCore::OnDocumentOutput(std::uint64_t task_id,
                                   DocumentOutput output) {
  const auto found = this->document_calls.find(task_id);
  if (found == this->document_calls.end())
    return;
  if (auto* checked = std::get_if<CheckedEstate>(&output)) {
    found->second.checked = std::move(*checked);
    return;
  }
  wire::ControlReply reply;
  if (const auto* failure = std::get_if<Error>(&output)) {
    if (found->second.body_bytes > 0)
      this->ReportEvent(Event::kEstateRejected, failure->what());
    reply = MakeErrorReply(failure->code(), failure->what());
  } else {
    reply = std::get<wire::ControlReply>(std::move(output));
  }
  for (const PendingCall& pending : found->second.calls)
    this->ReplyAsLeader(pending.call_token, reply);
  this->document_calls.erase(found);
}

void ControlCore::ProposeCheckedEstates(TimePoint now) {
  if (!this->Serves(now))
    return;
  for (auto item = this->document_calls.begin();
       item != this->document_calls.end();) {
    if (!item->second.checked) {
      ++item;
      continue;
    }
    this->ProposeEstate(item->second);
    item = this->document_calls.erase(item);
  }
}

void ControlCore::ProposeEstate(DocumentCalls& open) {
  EstateSubmission& submission = open.checked->submission;
  const std::uint64_t revision = this->control_state.estate().revision();
  // Applying such a submission would change nothing, now and at any later
  // index.
  if (submission.highest_wins && submission.version <= revision) {
    for (const PendingCall& pending : open.calls) {
      this->ReplyAsLeader(pending.call_token,
                          AnswerApplied(pending.call, ApplyResult()));
    }
    this->effects.emplace_back(
        ReleaseDocument{.document = std::move(submission.prepared)});
    return;
  }
  const auto index =
      this->log_replica.Propose(std::move(open.checked->command));
  this->estate_preparations[*index] = {.term = this->log_replica.term(),
                                       .submission = std::move(submission)};
  this->proposed_estates[open.body_checksum] = *index;
  for (PendingCall& pending : open.calls) {
    pending.estate_revision = revision;
    this->pending_calls.emplace(*index, std::move(pending));
  }
}

// Nothing was proposed for these calls.
void ControlCore::RejectDocumentCalls() {
  for (const auto& [task, open] : this->document_calls) {
    for (const PendingCall& pending : open.calls) {
      ReplyToCall rejection{.call_token = pending.call_token,
                            .reply = MakeErrorReply(ResultCode::kNoLeader, "")};
      rejection.reply.set_leader_link(this->LeaderLink());
      this->effects.emplace_back(std::move(rejection));
    }
  }
  this->document_calls.clear();
}

// --- Entries of the log ---

// An estate is prepared while its entry is being replicated, so that it can be
// applied when it is committed.
void ControlCore::PrepareEntry(const wire::LogEntry& entry) {
  if (!SubmitsEstate(entry))
    return;
  const auto [found, added] =
      this->estate_preparations.try_emplace(entry.index());
  EstatePreparation& preparation = found->second;
  if (!added && preparation.term == entry.term())
    return;
  preparation = {.term = entry.term(),
                 .task_id = this->StartDocumentTask(
                     ReadEstateEntry{.command = entry.command()})};
}

bool ControlCore::IsPrepared(const wire::LogEntry& entry) const {
  if (!SubmitsEstate(entry))
    return true;
  const auto found = this->estate_preparations.find(entry.index());
  return found != this->estate_preparations.end() &&
         found->second.term == entry.term() && found->second.submission;
}

void ControlCore::ApplyEstate(const wire::LogEntry& entry,
                              ApplyResult& result) {
  const auto found = this->estate_preparations.find(entry.index());
  const EstateSubmission submission = std::move(*found->second.submission);
  std::shared_ptr<const PreparedEstate> unused =
      this->control_state.estate().prepared();
  const std::uint64_t before = this->control_state.estate().revision();
  result = this->control_state.ApplyEstate(submission, entry.index());
  const std::uint64_t after = this->control_state.estate().revision();
  if (after != before)
    this->ReportEvent(Event::kEstateApplied,
                      "revision " + std::to_string(after));
  else
    unused = submission.prepared;
  this->effects.emplace_back(ReleaseDocument{.document = std::move(unused)});
  this->estate_preparations.erase(this->estate_preparations.begin(),
                                  std::next(found));
}

// --- Received snapshots ---

// What was delivered before is in the snapshot.
void ControlCore::StartRestoration(const wire::Snapshot& snapshot) {
  this->unapplied.clear();
  this->estate_preparations.clear();
  this->restoration = {
      .task_id = this->StartDocumentTask(ReadSnapshot{
          .state = snapshot.state(), .mutations = this->options.mutations}),
      .index = snapshot.index()};
}

void ControlCore::FinishRestoration(std::unique_ptr<ControlState> restored) {
  std::swap(this->control_state, *restored);
  this->effects.emplace_back(ReleaseDocument{.document = std::move(restored)});
  this->last_applied = this->restoration->index;
  this->applied_log_bytes = 0;
  this->restoration.reset();
}

}  // namespace savoryring
