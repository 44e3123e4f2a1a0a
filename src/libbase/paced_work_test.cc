#include "libbase/paced_work.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "libbase/json_checker.h"
#include "libbase/parsing_turn.h"

namespace savoryring {
namespace {

// A document with many objects of one string each.
std::string ManyObjects(int count) {
  std::string text = "[";
  for (int i = 0; i < count; ++i)
    text += (i == 0 ? "" : ",") + std::string(R"({"name":"\u00e9\n"})");
  return text + "]";
}

}  // namespace

TEST_GROUP(PacedWork){};

TEST(PacedWork, PausesAfterEachSliceWhileItExists) {
  int pauses = 0;
  TimePoint now;
  const PacedWorkOptions options{.pause = [&pauses] { pauses += 1; },
                                 .now = [&now] { return now; }};
  CountParts(kPartsPerClockRead);
  {
    const PacedWork paced(options);
    for (int i = 0; i < 100; ++i) {
      now += Milliseconds(1);
      CountParts(kPartsPerClockRead);
    }
    LONGS_EQUAL(100 / kMinSliceTime.count(), pauses);
    {
      const PacedWork inner({.pause = [] {}, .now = options.now});
      now += 2 * kMinSliceTime;
      CountParts(kPartsPerClockRead);
    }
    LONGS_EQUAL(100 / kMinSliceTime.count(), pauses);
    CountParts(kPartsPerClockRead);
    LONGS_EQUAL(100 / kMinSliceTime.count() + 1, pauses);
  }
  now += 2 * kMinSliceTime;
  CountParts(kPartsPerClockRead);
  LONGS_EQUAL(100 / kMinSliceTime.count() + 1, pauses);
}

// Guards against work that gets next to nothing of the processor beside a busy
// loop, and against slices that are as long as it is slow.
TEST(PacedWork, ASliceIsAsLongAsThePauseBeforeIt) {
  TimePoint now;
  Milliseconds pause{40};
  int pauses = 0;
  const PacedWork paced({.pause =
                             [&] {
                               now += pause;
                               pauses += 1;
                             },
                         .now = [&now] { return now; }});
  const auto slice_length = [&] {
    const TimePoint begin = now;
    for (const int before = pauses; pauses == before;) {
      now += Milliseconds(1);
      CountParts(kPartsPerClockRead);
    }
    return now - pause - begin;
  };
  CHECK(slice_length() == kMinSliceTime);
  CHECK(slice_length() == Milliseconds(40));
  pause = Milliseconds(500);
  CHECK(slice_length() == Milliseconds(40));
  CHECK(slice_length() == kMaxSliceTime);
  pause = Milliseconds(0);
  CHECK(slice_length() == kMaxSliceTime);
  CHECK(slice_length() == kMinSliceTime);
}

TEST(PacedWork, OtherThreadsAreNotPaced) {
  int pauses = 0;
  TimePoint now;
  const PacedWork paced(
      {.pause = [&pauses] { pauses += 1; }, .now = [&now] { return now; }});
  now += 2 * kMinSliceTime;
  std::thread([] { CountParts(10 * kPartsPerClockRead); }).join();
  LONGS_EQUAL(0, pauses);
}

// Guards against a long text that is scanned, parsed or written without a
// pause.
TEST(PacedWork, JsonIsHandledInSlices) {
  const std::string text = ManyObjects(20'000);
  const auto parts_of = [](const auto& work) {
    const std::uint64_t before = CountedParts();
    work();
    return CountedParts() - before;
  };
  nlohmann::json document;
  CHECK(parts_of([&] { CheckParsedBytes(text, UINT64_MAX); }) > 10'000);
  CHECK(parts_of([&] { document = ParseJson(text); }) > 30'000);
  std::string dumped;
  CHECK(parts_of([&] { dumped = DumpInParts(document); }) >= 40'000);
  CHECK(dumped == document.dump());
  std::string quoted;
  CHECK(parts_of([&] { quoted = QuoteInParts(dumped); }) > 10'000);
  CHECK(quoted == nlohmann::json(dumped).dump());
  CHECK(parts_of([&] { ReleaseInParts(document); }) >= 20'000);
}

TEST(PacedWork, DumpsAnObjectWithSections) {
  const auto document = nlohmann::json::parse(
      R"({"b":[],"a\"":{"x":[1,2]},"list":[{"n":1},null,"é"],"z":1.5})");
  CHECK(DumpInParts(document) == document.dump());
  CHECK(DumpInParts(nlohmann::json::object()) == "{}");
  CHECK(QuoteInParts("") == R"("")");
}

}  // namespace savoryring
