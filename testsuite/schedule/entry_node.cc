#include <utility>

#include "testsuite/schedule/nodes.h"

namespace savoryring {

EntryNode::EntryNode(TestEstate& test_estate,
                     std::string name,
                     DriftingClock clock)
    : ControlClientNode(test_estate, std::move(name), clock) {}

void EntryNode::OnStart() {
  this->router = std::make_unique<Router>(
      RouterOptions{.entry = this->name(),
                    .incarnation = this->incarnation,
                    .acknowledge_timeout = Milliseconds(60),
                    .seed = this->simulation().Random(1U << 30U),
                    .mutations = this->test_estate->options.mutations.router});
  this->StartClient(
      {.links = NodeNames("control", this->test_estate->options.controls)});
  this->cache = {};
  this->heartbeat_deadline = TimePoint();
}

void EntryNode::OnKill() {
  this->router.reset();
  this->StopClient();
  this->open_requests.clear();
}

void EntryNode::OnTick() {
  const TimePoint now = this->LocalNow();
  this->router->OnTick(now);
  this->RunRouterEffects();
  this->TickClient();
  if (now < this->heartbeat_deadline)
    return;
  this->heartbeat_deadline = now + kHeartbeatInterval;
  for (const auto& control : this->test_estate->controls) {
    ControlNode* to = control.get();
    this->SendOnOwnConnection(*to, [this, to, known = this->cache.revision()] {
      const auto update =
          to->core()->state().estate().ChangesSince(known, {"services"});
      to->Reply(*this, [this, update] { this->OnEstateUpdate(update); });
    });
  }
}

void EntryNode::OnEstateUpdate(const wire::EstateUpdate& update) {
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
  auto* to = static_cast<VmNode*>(this->test_estate->Find(sender));
  this->Reply(*to, [to, from = this->name(),
                    update = this->cache.ChangesSince(revision)] {
    to->OnHeard(from);
    to->OnEstateUpdate(update);
  });
}

void EntryNode::OnAttemptStatus(const AttemptStatus& status,
                                std::uint64_t answered_request) {
  this->current_answer_request = answered_request;
  this->router->OnAttemptStatus(status, this->LocalNow());
  this->RunRouterEffects();
}

void EntryNode::Request(const Sending& sending,
                        bool repeatable,
                        const std::string& key,
                        Milliseconds timeout,
                        std::function<void(bool)> on_answer) {
  const TimePoint now = this->LocalNow();
  const std::uint64_t id = this->next_id++;
  OpenRequest& request = this->open_requests[id];
  request.sending = sending;
  request.request = {.id = id,
                     .service = kService,
                     .deadline = now + timeout,
                     .repeatable = repeatable,
                     .key = key};
  request.on_answer = std::move(on_answer);
  const CallerRequest copy = request.request;
  this->router->OnRequest(copy, now);
  this->RunRouterEffects();
}

void EntryNode::RunRouterEffects() {
  for (const RouterEffect& effect : this->router->TakeEffects()) {
    if (const auto* send = std::get_if<SendAttempt>(&effect)) {
      auto* to = static_cast<VmNode*>(this->test_estate->Find(send->link));
      const OpenRequest& request = this->open_requests.at(send->request);
      const Milliseconds remaining =
          RemainingTime(this->LocalNow(), send->deadline);
      this->SendOnOwnConnection(
          *to, [to, copy = *send, sending = request.sending,
                repeatable = request.request.repeatable, remaining,
                from = this->name()] {
            to->OnAttempt(copy, kService, sending, repeatable, remaining, from);
          });
    } else if (const auto* revocation = std::get_if<SendRevocation>(&effect)) {
      auto* to =
          static_cast<VmNode*>(this->test_estate->Find(revocation->link));
      this->SendOnOwnConnection(*to,
                                [to, copy = *revocation, from = this->name()] {
                                  to->OnRevocation(copy, from);
                                });
    } else if (const auto* replace = std::get_if<ReplaceConnection>(&effect)) {
      this->simulation().stalled_connections.erase(
          {.from = this->name(), .to = replace->link});
    } else if (const auto* request_claim = std::get_if<RequestClaim>(&effect)) {
      const std::uint64_t id = request_claim->request;
      this->CallClaim("CLAIM", this->open_requests.at(id), wire::CLAIM_UNKNOWN,
                      [this, id](const wire::ClaimRecord& claim) {
                        this->recorded_request = claim.status();
                        this->router->OnClaim(id, claim.state(),
                                              this->LocalNow());
                        this->RunRouterEffects();
                      });
    } else if (const auto* settle = std::get_if<SettleClaim>(&effect)) {
      this->CallClaim("SETTLE", this->open_requests.at(settle->request),
                      settle->state, [](const wire::ClaimRecord&) {});
    } else if (const auto* forward = std::get_if<ForwardAnswer>(&effect)) {
      this->Answer(forward->request, true, false, this->current_answer_request);
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
    const OpenRequest& request,
    wire::ClaimState state,
    std::function<void(const wire::ClaimRecord&)> on_answer) {
  wire::ClaimRecord claim;
  claim.set_key(request.request.key);
  FillAttemptId({.entry = this->name(),
                 .entry_incarnation = this->incarnation,
                 .counter = request.request.id},
                claim.mutable_holder());
  claim.set_state(state);
  claim.set_request_checksum(request.sending.request);
  // The status field of the claim record holds the number of the request that
  // the answer belongs to, so that the ledger can compare it.
  claim.set_status(static_cast<std::uint32_t>(this->current_answer_request));
  this->Call(
      method, "/claims", claim.SerializeAsString(), Milliseconds(1000),
      [on_answer](const wire::ControlReply& reply) {
        wire::ClaimRecord record;
        if (reply.result_code() != 0 || !record.ParseFromString(reply.body()))
          record.Clear();
        on_answer(record);
      });
}

void EntryNode::Answer(std::uint64_t request,
                       bool forwarded,
                       bool not_run,
                       std::uint64_t answered_request) {
  const auto found = this->open_requests.find(request);
  if (found == this->open_requests.end())
    return;
  const OpenRequest copy = std::move(found->second);
  this->open_requests.erase(found);
  this->ledger().OnAnswer(copy.sending, not_run, forwarded, answered_request);
  copy.on_answer(forwarded);
}

}  // namespace savoryring
