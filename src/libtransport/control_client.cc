#include "libtransport/control_client.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "savoryring/result.h"

namespace savoryring {
namespace {

// Delay before the next attempt while the group elects a leader.
constexpr Milliseconds kElectionRetryDelay{60};
// Replicas with different views of the leader may redirect to each other. After
// this many redirects in a row the next attempt is delayed too.
constexpr int kMaxRedirects = 3;
// The transfer of a call of this size or more is allowed for, at the rate of
// the slowest link of a VM (2 Mbit/s).
constexpr std::size_t kLargeCallBytes = 16U << 10U;
constexpr std::size_t kAssumedBytesPerMillisecond = 250;

bool ChangesNothing(const wire::ControlCall& call) {
  return call.method() == "GET" || call.read_only();
}

// Whether a late copy of the call may undo a later one: calls on zones have no
// version. Such a call is sent again only after a leader has certainly not
// accepted it.
bool IsUnsafeToRepeat(const wire::ControlCall& call) {
  constexpr std::string_view kZones = "/zones/";
  return !ChangesNothing(call) && call.path().starts_with(kZones);
}

// Whether a leader may refuse a call with this code after an earlier leader has
// accepted it: the state that decided it may have changed in between.
bool MayFollowAcceptance(std::uint32_t result_code) {
  switch (static_cast<ResultCode>(result_code)) {
    case ResultCode::kUnknownQueue:
    case ResultCode::kUnknownTaskClass:
    case ResultCode::kUnknownTeam:
    case ResultCode::kNothingToDecide:
    case ResultCode::kUnknownZone:
    case ResultCode::kLastZone:
    case ResultCode::kOverloaded:
      return true;
    default:
      return false;
  }
}

wire::ControlReply MakeErrorReply(std::uint64_t call_id, ResultCode code) {
  wire::ControlReply reply;
  reply.set_call_id(call_id);
  reply.set_status(static_cast<std::uint32_t>(InfoOf(code).http_status));
  reply.set_result_code(static_cast<std::uint32_t>(NumberOf(code)));
  reply.set_body(ResultBody(code, ""));
  return reply;
}

}  // namespace

ControlClient::ControlClient(ControlClientOptions options)
    : options(std::move(options)), finder(this->options.links) {}

void ControlClient::OnCall(wire::ControlCall call,
                           TimePoint deadline,
                           TimePoint now) {
  const std::uint64_t id = call.call_id();
  OpenCall& open = this->calls[id];
  open.call = std::move(call);
  open.call.set_accepts_progress(true);
  open.deadline = deadline;
  open.no_leader_deadline = now + this->options.no_leader_timeout;
  if (this->leader_known)
    return this->Send(open, now);
  this->Hold(open, now);
  this->ProbeReplica(now);
}

void ControlClient::OnReply(const std::string& link,
                            const wire::ControlReply& reply,
                            TimePoint now) {
  if (link == this->leader_link())
    this->probe_answer_deadline = kNever;
  const auto found = this->calls.find(reply.call_id());
  if (found == this->calls.end())
    return;
  OpenCall& open = found->second;
  // A late reply of a replica that the call has left does not tell who leads.
  const bool is_current = open.asked_link == link;
  if (reply.in_progress()) {
    if (is_current)
      this->OnProgress(open, link, now);
    return;
  }
  const bool not_leader =
      reply.result_code() ==
      static_cast<std::uint32_t>(NumberOf(ResultCode::kNoLeader));
  if (not_leader) {
    open.may_be_committed = open.may_be_committed || reply.proposed();
    if (is_current)
      this->OnNotLeader(open, link, reply, now);
    return;
  }
  const bool outcome_open = open.may_be_committed &&
                            !ChangesNothing(open.call) &&
                            MayFollowAcceptance(reply.result_code());
  wire::ControlReply answer = reply;
  if (outcome_open) {
    answer = MakeErrorReply(reply.call_id(), ResultCode::kNotCommittedInTime);
    answer.set_estate_revision(reply.estate_revision());
  }
  this->Deliver(open, std::move(answer), now);
  this->calls.erase(found);
  if (!is_current)
    return;
  this->redirects = 0;
  this->OnLeaderFound(link, now);
}

// Only a leader works on a call. It repeats this until it answers.
void ControlClient::OnProgress(OpenCall& open,
                               const std::string& link,
                               TimePoint now) {
  open.answer_deadline =
      std::max(open.answer_deadline, now + this->options.answer_timeout);
  this->redirects = 0;
  this->OnLeaderFound(link, now);
}

void ControlClient::OnNotLeader(OpenCall& open,
                                const std::string& link,
                                const wire::ControlReply& reply,
                                TimePoint now) {
  this->Hold(open, now);
  // While one replica is asked, others don't tell who leads: the call was sent
  // to them before.
  if (!this->leader_known && link != this->leader_link())
    return;
  const std::string& hint = reply.leader_link();
  const bool hint_names_other = !hint.empty() && hint != link;
  if (hint_names_other && this->redirects < kMaxRedirects) {
    this->redirects += 1;
    open.history.set_redirects(open.history.redirects() + 1);
    return this->OnRedirect(hint, now);
  }
  open.history.set_no_leader(open.history.no_leader() + 1);
  if (this->leader_link() != link)
    return;
  this->OnLeaderLost(now + kElectionRetryDelay);
}

// Sends all other calls to the leader, the oldest first. Those that another
// replica has not answered may be accepted by it.
void ControlClient::OnLeaderFound(const std::string& link, TimePoint now) {
  if (this->leader_known && link == this->leader_link())
    return;
  this->finder.OnHint(link);
  this->leader_known = true;
  this->probe_answer_deadline = kNever;
  for (auto& [id, open] : this->calls) {
    if (open.asked_link == link)
      continue;
    if (!open.asked_link.empty()) {
      open.may_be_committed = true;
      open.history.set_redirects(open.history.redirects() + 1);
    }
    this->Send(open, now);
  }
}

// The replica named may not serve yet, and may begin to between two calls that
// reach it. So only the oldest call is sent until it is answered: a later one
// must not be decided before it.
void ControlClient::OnRedirect(const std::string& link, TimePoint now) {
  if (this->leader_known && link == this->leader_link())
    return;
  if (link != this->leader_link()) {
    this->finder.OnHint(link);
    this->probe_answer_deadline = kNever;
  }
  this->leader_known = false;
  this->AskOldest(now);
}

void ControlClient::OnLeaderLost(TimePoint retry_time) {
  this->leader_known = false;
  this->probe_time = retry_time;
  this->probe_answer_deadline = kNever;
  this->finder.SelectNext();
}

void ControlClient::OnTick(TimePoint now) {
  this->LeaveSilentReplicas(now);
  this->FailExpiredCalls(now);
  this->ProbeReplica(now);
}

void ControlClient::LeaveSilentReplicas(TimePoint now) {
  std::set<std::string> silent_links;
  if (now >= this->probe_answer_deadline)
    silent_links.insert(this->leader_link());
  for (const auto& [id, open] : this->calls) {
    if (!open.asked_link.empty() && now >= open.answer_deadline)
      silent_links.insert(open.asked_link);
  }
  for (const std::string& link : silent_links)
    this->LeaveSilentReplica(link, now);
}

// No answer can arrive over the connection that is replaced, so that all calls
// that were sent over it are sent again.
void ControlClient::LeaveSilentReplica(const std::string& link, TimePoint now) {
  this->effects.emplace_back(ReplaceControlConnection{.link = link});
  this->transfer_ends.erase(link);
  for (auto& [id, open] : this->calls) {
    if (open.asked_link != link)
      continue;
    open.may_be_committed = true;
    open.history.set_answer_timeouts(open.history.answer_timeouts() + 1);
    this->Hold(open, now);
  }
  if (this->leader_link() == link)
    this->OnLeaderLost(now);
}

void ControlClient::FailExpiredCalls(TimePoint now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [id, open] : this->calls) {
    const bool no_leader = !open.may_be_committed && open.asked_link.empty() &&
                           now >= open.no_leader_deadline;
    const bool unknown = open.may_be_committed && IsUnsafeToRepeat(open.call);
    if (now >= open.deadline || no_leader || unknown)
      expired.push_back(id);
  }
  for (const std::uint64_t id : expired) {
    // A call that was sent and not rejected may still be committed.
    OpenCall& open = this->calls.at(id);
    const bool not_committed =
        ChangesNothing(open.call) ||
        (!open.may_be_committed && open.asked_link.empty()) ||
        this->options.mutations.report_unknown_as_refused;
    const ResultCode code =
        not_committed ? ResultCode::kNoLeader : ResultCode::kNotCommittedInTime;
    this->Deliver(open, MakeErrorReply(id, code), now);
    this->calls.erase(id);
  }
}

std::vector<ControlClientEffect> ControlClient::TakeEffects() {
  return std::exchange(this->effects, {});
}

// Believed only while no leader is known: it may be that of an earlier term.
void ControlClient::OnLeaderAnnounced(const std::string& link, TimePoint now) {
  if (!this->leader_known)
    this->OnRedirect(link, now);
}

void ControlClient::AddLinks(const std::vector<std::string>& links) {
  const std::string before = this->leader_link();
  this->finder.Add(links);
  if (this->leader_link() != before)
    this->leader_known = false;
}

void ControlClient::ProbeReplica(TimePoint now) {
  if (this->leader_known || now < this->probe_time)
    return;
  if (this->AskOldest(now))
    this->redirects = 0;
}

bool ControlClient::AskOldest(TimePoint now) {
  if (this->calls.empty())
    return false;
  OpenCall& oldest = this->calls.begin()->second;
  if (oldest.asked_link == this->leader_link())
    return false;
  // An unanswered call at another replica may be accepted there.
  if (!oldest.asked_link.empty())
    oldest.may_be_committed = true;
  this->Send(oldest, now);
  if (this->probe_answer_deadline == kNever)
    this->probe_answer_deadline = oldest.answer_deadline;
  return true;
}

void ControlClient::Send(OpenCall& open, TimePoint now) {
  // FailExpiredCalls answers that the outcome is unknown.
  if (open.may_be_committed && IsUnsafeToRepeat(open.call))
    return;
  EndHold(open, now);
  open.asked_link = this->leader_link();
  open.answer_deadline = this->AnswerDeadline(open, now);
  open.call.set_may_refuse(!open.may_be_committed);
  open.call.set_remaining_ms(
      static_cast<std::uint32_t>(RemainingTime(now, open.deadline).count()));
  this->effects.emplace_back(
      SendCall{.link = open.asked_link, .call = open.call});
}

// A call follows the calls that were sent to the same link before it.
TimePoint ControlClient::AnswerDeadline(const OpenCall& open, TimePoint now) {
  TimePoint transfer_end = now;
  const auto found = this->transfer_ends.find(open.asked_link);
  if (found != this->transfer_ends.end())
    transfer_end = std::max(now, found->second);
  const std::size_t bytes = open.call.body().size();
  if (bytes >= kLargeCallBytes) {
    transfer_end += Milliseconds(bytes / kAssumedBytesPerMillisecond);
    this->transfer_ends[open.asked_link] = transfer_end;
  }
  return transfer_end + this->options.answer_timeout;
}

void ControlClient::Hold(OpenCall& open, TimePoint now) {
  open.asked_link.clear();
  open.held_since = now;
}

void ControlClient::EndHold(OpenCall& open, TimePoint now) {
  const TimePoint held_since = std::exchange(open.held_since, kNever);
  if (held_since == kNever)
    return;
  const auto held_ms =
      static_cast<std::uint32_t>(RemainingTime(held_since, now).count());
  open.history.set_held_ms(open.history.held_ms() + held_ms);
}

void ControlClient::Deliver(OpenCall& open,
                            wire::ControlReply reply,
                            TimePoint now) {
  EndHold(open, now);
  *reply.mutable_history() = open.history;
  this->effects.emplace_back(DeliverReply{.reply = std::move(reply)});
}

}  // namespace savoryring
