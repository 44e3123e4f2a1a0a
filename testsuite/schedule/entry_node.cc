#include <utility>

#include "testsuite/schedule/nodes.h"

namespace savoryring {

EntryNode::EntryNode(TestEstate& all, std::string name, DriftingClock clock)
    : CallerNode(all, std::move(name), clock) {}

void EntryNode::OnStart() {
  this->router = std::make_unique<Router>(
      RouterOptions{.entry = this->name(),
                    .incarnation = this->incarnation,
                    .acknowledge_timeout = Milliseconds(60),
                    .seed = this->world().Random(1U << 30U),
                    .mutations = this->all->options.mutations.router});
  this->StartClient({.links = NamesOf("control", this->all->options.controls)});
  this->cache = {};
  this->heartbeat_deadline = TimePoint();
}

void EntryNode::OnKill() {
  this->router.reset();
  this->StopClient();
  this->open.clear();
}

void EntryNode::OnTick() {
  const TimePoint now = this->LocalNow();
  this->router->OnTick(now);
  this->RunRouterEffects();
  this->TickClient();
  if (now < this->heartbeat_deadline)
    return;
  this->heartbeat_deadline = now + kHeartbeat;
  for (const auto& control : this->all->controls) {
    ControlNode* to = control.get();
    this->SendOwn(*to, [this, to, known = this->cache.revision()] {
      const auto update =
          to->core()->state().estate().ChangesSince(known, {"services"});
      to->Reply(*this, [this, update] { this->OnRevision(update); });
    });
  }
}

void EntryNode::OnRevision(const wire::EstateUpdate& update) {
  if (!this->cache.Apply(update))
    return;
  this->router->OnEstate(this->cache.estate());
  this->ledger().OnInForce(this->name() + "/cache", update.revision(), "");
}

void EntryNode::OnAnnouncement(const std::string& sender,
                               std::uint64_t sender_incarnation,
                               const wire::EndpointAnnouncement& announcement,
                               std::uint64_t revision) {
  this->router->OnAnnouncement(sender, sender_incarnation, announcement,
                               this->LocalNow());
  auto* to = static_cast<VmNode*>(this->all->Find(sender));
  this->Reply(*to, [to, from = this->name(),
                    update = this->cache.ChangesSince(revision)] {
    to->OnHeard(from);
    to->OnRevision(update);
  });
}

void EntryNode::OnNews(const AttemptStatus& news,
                       std::uint64_t answered_request) {
  this->current_answered = answered_request;
  this->router->OnAttemptStatus(news, this->LocalNow());
  this->RunRouterEffects();
}

void EntryNode::Request(const Sending& sending,
                        bool repeatable,
                        const std::string& key,
                        Milliseconds timeout,
                        std::function<void(bool)> answered) {
  const TimePoint now = this->LocalNow();
  const std::uint64_t id = this->next_id++;
  Open& request = this->open[id];
  request.sending = sending;
  request.request = {.id = id,
                     .service = kService,
                     .deadline = now + timeout,
                     .repeatable = repeatable,
                     .key = key};
  request.answered = std::move(answered);
  const CallerRequest copy = request.request;
  this->router->OnRequest(copy, now);
  this->RunRouterEffects();
}

void EntryNode::RunRouterEffects() {
  for (const RouterEffect& effect : this->router->TakeEffects()) {
    if (const auto* send = std::get_if<SendAttempt>(&effect)) {
      auto* to = static_cast<VmNode*>(this->all->Find(send->link));
      const Open& request = this->open.at(send->request);
      const Milliseconds remaining =
          RemainingTime(this->LocalNow(), send->deadline);
      this->SendOwn(*to, [to, copy = *send, sending = request.sending,
                          repeatable = request.request.repeatable, remaining,
                          from = this->name()] {
        to->OnAttempt(copy, kService, sending, repeatable, remaining, from);
      });
    } else if (const auto* bar = std::get_if<SendRevocation>(&effect)) {
      auto* to = static_cast<VmNode*>(this->all->Find(bar->link));
      this->SendOwn(*to, [to, copy = *bar, from = this->name()] {
        to->OnBar(copy, from);
      });
    } else if (const auto* replace = std::get_if<ReplaceConnection>(&effect)) {
      this->world().silent.erase({.from = this->name(), .to = replace->link});
    } else if (const auto* ask = std::get_if<RequestClaim>(&effect)) {
      const std::uint64_t id = ask->request;
      this->CallClaim("CLAIM", this->open.at(id), wire::CLAIM_UNKNOWN,
                      [this, id](const wire::ClaimRecord& claim) {
                        this->recorded_request = claim.status();
                        this->router->OnClaim(id, claim.state(),
                                              this->LocalNow());
                        this->RunRouterEffects();
                      });
    } else if (const auto* settle = std::get_if<SettleClaim>(&effect)) {
      this->CallClaim("SETTLE", this->open.at(settle->request), settle->state,
                      [](const wire::ClaimRecord&) {});
    } else if (const auto* pass = std::get_if<ForwardAnswer>(&effect)) {
      this->Answer(pass->request, true, false, this->current_answered);
    } else if (const auto* recorded =
                   std::get_if<ForwardRecordedAnswer>(&effect)) {
      this->Answer(recorded->request, true, false, this->recorded_request);
    } else if (const auto* result = std::get_if<AnswerWithCode>(&effect)) {
      this->Answer(result->request, false, InfoOf(result->code).not_run, 0);
    }
  }
}

void EntryNode::CallClaim(
    const std::string& method,
    const Open& request,
    wire::ClaimState state,
    std::function<void(const wire::ClaimRecord&)> answered) {
  wire::ClaimRecord claim;
  claim.set_key(request.request.key);
  FillAttemptId({.entry = this->name(),
                 .entry_incarnation = this->incarnation,
                 .counter = request.request.id},
                claim.mutable_holder());
  claim.set_state(state);
  claim.set_request_checksum(request.sending.request);
  // The recorded answer of this test is the request that it belongs to.
  claim.set_status(static_cast<std::uint32_t>(this->current_answered));
  this->Call(
      method, "/claims", claim.SerializeAsString(), Milliseconds(1000),
      [answered](const wire::ControlReply& reply) {
        wire::ClaimRecord record;
        if (reply.result_code() != 0 || !record.ParseFromString(reply.body()))
          record.Clear();
        answered(record);
      });
}

void EntryNode::Answer(std::uint64_t request,
                       bool passed_on,
                       bool not_run,
                       std::uint64_t answered_request) {
  const auto found = this->open.find(request);
  if (found == this->open.end())
    return;
  const Open copy = std::move(found->second);
  this->open.erase(found);
  this->ledger().OnAnswer(copy.sending, not_run, passed_on, answered_request);
  copy.answered(passed_on);
}

}  // namespace savoryring
