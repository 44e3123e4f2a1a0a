#include "savoryring/settings.h"

#include <CppUTest/TestHarness.h>

#include "libbase/events.h"
#include "libbase/trace.h"
#include "savoryring/result.h"

namespace savoryring {
namespace {

constexpr const char* kOneMachine = R"({
  "id": "vm-1", "availability_zone": "telavi", "duties": ["entry", "control"],
  "data_folder": "data",
  "entry": {"http": "127.0.0.1:1", "link": "127.0.0.1:2"},
  "control": {"http": "127.0.0.1:3", "link": "127.0.0.1:4"},
  "entries": ["127.0.0.1:2"],
  "controls": [{"id": "vm-1", "link": "127.0.0.1:4"}]})";

std::vector<Problem> ProblemsOf(const std::string& text) {
  try {
    ParseSettings(text);
  } catch (const Error& failure) {
    return failure.problems();
  }
  return {};
}

}  // namespace

TEST_GROUP(Settings){};

TEST(Settings, AcceptsValidSettings) {
  const Settings settings = ParseSettings(kOneMachine);
  CHECK(settings.entry.has_value());
  CHECK(!settings.endpoint.has_value());
  CHECK(settings.timing.worker_lease == Milliseconds(3000));
}

TEST(Settings, ReportsEveryProblemAtOnceWithItsPointer) {
  const auto problems = ProblemsOf(R"({
    "id": 7, "availability_zone": "z", "duties": ["control", "cook"],
    "control": {"http": "localhost:1", "link": "127.0.0.1:99999"},
    "controls": [], "colour": "red", "timing": {"heartbeat_ms": -5}})");
  const auto has = [&problems](ResultCode code, const std::string& pointer) {
    for (const Problem& problem : problems) {
      if (problem.code == code && problem.pointer == pointer)
        return true;
    }
    return false;
  };
  CHECK(has(ResultCode::kWrongType, "/id"));
  CHECK(has(ResultCode::kOutOfRange, "/duties"));
  CHECK(has(ResultCode::kOutOfRange, "/control/http"));
  CHECK(has(ResultCode::kOutOfRange, "/control/link"));
  CHECK(has(ResultCode::kOutOfRange, "/controls"));
  CHECK(has(ResultCode::kUnknownKey, "/colour"));
  CHECK(has(ResultCode::kOutOfRange, "/timing/heartbeat_ms"));
  CHECK(has(ResultCode::kMissingKey, "/data_folder"));
}

TEST(Settings, RefusesTextThatIsNotJson) {
  const auto problems = ProblemsOf("{\"id\": ");
  CHECK_EQUAL(1, problems.size());
  CHECK(problems[0].code == ResultCode::kMalformedJson);
}

TEST(Settings, RefusesALeaseThatOneLostHeartbeatWouldEnd) {
  std::string text = kOneMachine;
  text.insert(1, R"("timing": {"worker_lease_ms": 600},)");
  const auto problems = ProblemsOf(text);
  CHECK_EQUAL(1, problems.size());
  STRCMP_EQUAL("/timing/worker_lease_ms", problems[0].pointer.c_str());
}

TEST_GROUP(Tables){};

TEST(Tables, ResultNumbersAscendWithoutDuplicates) {
  int last = -1;
  for (const ResultInfo& info : ResultTable()) {
    CHECK(NumberOf(info.code) > last);
    last = NumberOf(info.code);
  }
}

TEST(Tables, EventNumbersAscendWithoutDuplicates) {
  int last = 0;
  for (const EventInfo& info : EventCatalogue()) {
    CHECK(static_cast<int>(info.event) > last);
    last = static_cast<int>(info.event);
  }
}

TEST_GROUP(Trace){};

TEST(Trace, ContinuesAValidTraceAndBeginsANewOneOtherwise) {
  const std::string parent =
      "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01";
  const TraceContext continued = StartSpan(parent, 1, 2);
  STRCMP_EQUAL("0123456789abcdef0123456789abcdef", continued.trace_id.c_str());
  STRCMP_EQUAL("0123456789abcdef", continued.parent_id.c_str());
  const TraceContext new_trace = StartSpan("00-zz", 1, 2);
  STRCMP_EQUAL("", new_trace.parent_id.c_str());
  CHECK_EQUAL(55, new_trace.Traceparent().size());
}

}  // namespace savoryring
