#include "librouting/router.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>

namespace savoryring {

TEST_GROUP(Router) {
  TimePoint now = TimePoint(std::chrono::hours(1));
  std::unique_ptr<Router> router;
  RouterOptions options{.entry = "e",
                        .incarnation = 1,
                        .availability_zone = "telavi",
                        .use_hedges = false};
  std::vector<RouterEffect> effects;

  void Begin(const std::vector<std::string>& endpoints) {
    this->router = std::make_unique<Router>(this->options);
    Estate estate;
    estate.services.push_back({.name = "s"});
    this->router->OnEstate(estate);
    for (const std::string& id : endpoints)
      this->Announce(id, "telavi", true);
  }
  void Announce(const std::string& id, const std::string& zone, bool serving) {
    static std::uint64_t sequence = 0;
    wire::EndpointAnnouncement announcement;
    announcement.set_link(id);
    announcement.set_availability_zone(zone);
    announcement.set_sequence(++sequence);
    announcement.set_valid_ms(10'000);
    wire::ServiceAnnouncement* service = announcement.add_services();
    service->set_service("s");
    service->set_slots(8);
    service->set_serving(serving);
    this->router->OnAnnouncement(id, 1, announcement, this->now);
  }
  void Request(bool repeatable) {
    this->router->OnRequest({.id = 1,
                             .service = "s",
                             .deadline = this->now + Milliseconds(1000),
                             .repeatable = repeatable},
                            this->now);
    this->effects = this->router->TakeEffects();
  }
  template <typename Effect>
  std::optional<Effect> Find() {
    for (const RouterEffect& effect : this->effects) {
      if (const auto* found = std::get_if<Effect>(&effect))
        return *found;
    }
    return std::nullopt;
  }
  void ReportStatus(const AttemptKey& key, wire::AttemptState state,
                    ResultCode code) {
    this->router->OnAttemptStatus({.key = key, .state = state, .code = code},
                                  this->now);
    this->effects = this->router->TakeEffects();
  }
  void Wait(Milliseconds time) {
    this->now += time;
    this->router->OnTick(this->now);
    this->effects = this->router->TakeEffects();
  }
};

TEST(Router, ADrainingEntryAnswersOpenRequestsBeforeItStops) {
  this->Begin({"x"});
  this->Request(false);
  ReportStatus(this->Find<SendAttempt>()->key, wire::ATTEMPT_STARTED,
               ResultCode::kOk);
  this->router->LimitDeadlines(this->now + Milliseconds(300));
  this->Wait(Milliseconds(299));
  CHECK(!this->Find<AnswerWithCode>());
  this->Wait(Milliseconds(1));
  CHECK(this->Find<AnswerWithCode>()->code == ResultCode::kOutcomeUnknown);
}

TEST(Router, ARequestThatArrivesWhileTheEntryDrainsIsAnsweredBeforeItStops) {
  this->Begin({"x"});
  this->router->LimitDeadlines(this->now + Milliseconds(300));
  this->Request(false);
  ReportStatus(this->Find<SendAttempt>()->key, wire::ATTEMPT_STARTED,
               ResultCode::kOk);
  this->Wait(Milliseconds(299));
  CHECK(!this->Find<AnswerWithCode>());
  this->Wait(Milliseconds(1));
  CHECK(this->Find<AnswerWithCode>()->code == ResultCode::kOutcomeUnknown);
}

TEST(Router, ARefusedRequestIsRetriedOnAnotherEndpoint) {
  this->Begin({"x", "y"});
  this->Request(false);
  const SendAttempt first = *this->Find<SendAttempt>();
  this->ReportStatus(first.key, wire::ATTEMPT_REFUSED, ResultCode::kOverloaded);
  const SendAttempt second = *this->Find<SendAttempt>();
  CHECK(second.link != first.link);
}

TEST(Router, NoAcknowledgementReplacesTheConnectionAndRevokes) {
  this->Begin({"x", "y"});
  this->Request(false);
  const SendAttempt first = *this->Find<SendAttempt>();
  this->Wait(Milliseconds(200));
  CHECK(this->Find<ReplaceConnection>()->link == first.link);
  CHECK(this->Find<SendRevocation>()->key == first.key);
  // The attempt may have started, and the request is not repeatable: no retry
  // until the endpoint confirms the revocation.
  CHECK(!this->Find<SendAttempt>());
  this->ReportStatus(first.key, wire::ATTEMPT_BARRED,
                     ResultCode::kNotStartedInTime);
  CHECK(this->Find<SendAttempt>().has_value());
}

TEST(Router, MutationKeepsAnUnresponsiveConnection) {
  this->options.mutations.keep_unresponsive_connections = true;
  this->Begin({"x", "y"});
  this->Request(false);
  this->Wait(Milliseconds(200));
  CHECK(!this->Find<ReplaceConnection>());
}

TEST(Router, ARepeatableRequestIsRetriedWithoutAwaitingRevocation) {
  this->Begin({"x", "y"});
  this->Request(true);
  this->Wait(Milliseconds(200));
  CHECK(this->Find<SendAttempt>().has_value());
}

TEST(Router, AnUnknownOutcomeAtTheDeadlineIsNotReportedAsNotRun) {
  this->Begin({"x"});
  this->Request(false);
  this->Wait(Milliseconds(2000));
  CHECK(this->Find<AnswerWithCode>()->code == ResultCode::kOutcomeUnknown);
  CHECK_EQUAL(0, this->router->OpenRequests());
}

TEST(Router, AnAnswerToAnotherEntryIncarnationIsIgnored) {
  this->Begin({"x"});
  this->Request(true);
  AttemptKey key = this->Find<SendAttempt>()->key;
  key.entry_incarnation = 9;
  this->ReportStatus(key, wire::ATTEMPT_ANSWERED, ResultCode::kOk);
  CHECK(!this->Find<ForwardAnswer>());
}

TEST(Router, AnEndpointThatStopsServingGetsNoRequests) {
  this->Begin({"x"});
  this->Announce("x", "telavi", false);
  this->Request(true);
  CHECK(this->Find<AnswerWithCode>()->code == ResultCode::kNoEndpoint);
}

TEST(Router, TheOwnZoneIsPreferredWhileItHasFreeSlots) {
  this->Begin({"near"});
  for (int i = 0; i < 20; ++i)
    this->Announce("far-" + std::to_string(i), "sighnaghi", true);
  this->Request(true);
  STRCMP_EQUAL("near", this->Find<SendAttempt>()->link.c_str());
}

TEST(Router, AnUnknownServiceIsRefused) {
  this->Begin({"x"});
  this->router->OnRequest({.id = 1, .service = "none"}, this->now);
  this->effects = this->router->TakeEffects();
  CHECK(this->Find<AnswerWithCode>()->code == ResultCode::kUnknownService);
}

}  // namespace savoryring
