#include "libtransport/control_client.h"

#include <algorithm>
#include <utility>

#include "savoryring/result.h"

namespace savoryring {
namespace {

// Delay before the next attempt while the group elects a leader.
constexpr Milliseconds kElectionRetryDelay{60};

void EndHold(TimePoint& held_since, wire::CallHistory& history, TimePoint now) {
  const TimePoint since = std::exchange(held_since, kNever);
  if (since == kNever)
    return;
  const auto held_ms =
      static_cast<std::uint32_t>(RemainingTime(since, now).count());
  history.set_held_ms(history.held_ms() + held_ms);
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
  open.deadline = deadline;
  open.no_leader_deadline = now + this->options.no_leader_timeout;
  this->SendToLeader(open, now);
}

void ControlClient::OnReply(const std::string& link,
                            const wire::ControlReply& reply,
                            TimePoint now) {
  const auto found = this->calls.find(reply.call_id());
  if (found == this->calls.end())
    return;
  OpenCall& open = found->second;
  const bool not_leader =
      reply.result_code() ==
      static_cast<std::uint32_t>(NumberOf(ResultCode::kNoLeader));
  if (!not_leader) {
    this->OnLeaderHint(link);
    this->Deliver(open, reply, now);
    this->calls.erase(found);
    return;
  }
  open.may_be_committed = open.may_be_committed || reply.proposed();
  if (reply.leader_link().empty() || reply.leader_link() == link) {
    // The replica knows no leader: ask another one after a delay.
    if (this->leader_link() == link)
      this->finder.SelectNext();
    open.history.set_no_leader(open.history.no_leader() + 1);
    open.answer_deadline = now + kElectionRetryDelay;
    open.asked_link.clear();
    open.held_since = now;
    return;
  }
  this->OnLeaderHint(reply.leader_link());
  open.history.set_redirects(open.history.redirects() + 1);
  this->SendToLeader(open, now);
}

void ControlClient::OnTick(TimePoint now) {
  std::vector<std::uint64_t> expired;
  for (auto& [id, open] : this->calls) {
    const bool awaits_answer =
        !open.asked_link.empty() && now < open.answer_deadline;
    const bool no_leader = !open.may_be_committed && !awaits_answer &&
                           now >= open.no_leader_deadline;
    if (now >= open.deadline || no_leader) {
      expired.push_back(id);
      continue;
    }
    if (now < open.answer_deadline)
      continue;
    if (!open.asked_link.empty()) {
      open.may_be_committed = true;
      open.history.set_answer_timeouts(open.history.answer_timeouts() + 1);
      this->effects.emplace_back(
          ReplaceControlConnection{.link = open.asked_link});
      if (this->leader_link() == open.asked_link)
        this->finder.SelectNext();
    }
    this->SendToLeader(open, now);
  }
  for (const std::uint64_t id : expired) {
    wire::ControlReply reply;
    reply.set_call_id(id);
    // GET calls change nothing. Other calls that were sent and not rejected may
    // still be committed.
    OpenCall& open = this->calls.at(id);
    const bool not_committed =
        open.call.method() == "GET" ||
        (!open.may_be_committed && open.asked_link.empty()) ||
        this->options.mutations.report_unknown_as_refused;
    const ResultCode code =
        not_committed ? ResultCode::kNoLeader : ResultCode::kNotCommittedInTime;
    reply.set_status(static_cast<std::uint32_t>(InfoOf(code).http_status));
    reply.set_result_code(static_cast<std::uint32_t>(NumberOf(code)));
    reply.set_body(ResultBody(code, ""));
    this->Deliver(open, std::move(reply), now);
    this->calls.erase(id);
  }
}

void ControlClient::OnLeaderHint(const std::string& link) {
  this->finder.OnHint(link);
}

std::vector<ControlClientEffect> ControlClient::TakeEffects() {
  return std::exchange(this->effects, {});
}

void ControlClient::SendToLeader(OpenCall& open, TimePoint now) {
  EndHold(open.held_since, open.history, now);
  open.asked_link = this->leader_link();
  open.answer_deadline = now + this->options.answer_timeout;
  open.call.set_remaining_ms(
      static_cast<std::uint32_t>(RemainingTime(now, open.deadline).count()));
  this->effects.emplace_back(
      SendCall{.link = open.asked_link, .call = open.call});
}

void ControlClient::Deliver(OpenCall& open,
                            wire::ControlReply reply,
                            TimePoint now) {
  EndHold(open.held_since, open.history, now);
  *reply.mutable_history() = open.history;
  this->effects.emplace_back(DeliverReply{.reply = std::move(reply)});
}

}  // namespace savoryring
