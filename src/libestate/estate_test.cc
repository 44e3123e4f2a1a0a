#include "savoryring/estate.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include "libbase/checksum.h"
#include "libbase/paced_work.h"
#include "libestate/estate_document.h"
#include "libestate/estate_state.h"
#include "savoryring/result.h"

namespace savoryring {
namespace {

std::vector<Problem> ProblemsOf(const std::string& text) {
  try {
    ParseEstate(text);
  } catch (const Error& failure) {
    return failure.problems();
  }
  return {};
}

constexpr const char* kTeamsSection =
    R"("teams": [{"name": "steel", "quota": {"processors": 4,
        "memory_mb": 1000, "accelerators": 0}}])";

std::string EstateWithTasks(const std::string& tasks) {
  return "{\"tasks\": [" + tasks + "], " + kTeamsSection + "}";
}

std::string TaskJson(const std::string& name, const std::string& depends_on) {
  return "{\"name\": \"" + name +
         "\", \"team\": \"steel\", \"processors\": 1, \"memory_mb\": 1, "
         "\"command\": \"x\", \"depends_on\": [" +
         depends_on + "]}";
}

}  // namespace

TEST_GROUP(Estate){};

TEST(Estate, ReportsAllProblemsOfATextAtOnce) {
  const auto problems = ProblemsOf(EstateWithTasks(
      TaskJson("a", "\"b\"") + "," + TaskJson("b", "\"a\", \"none\"") +
      R"(, {"name": "big", "team": "steel", "processors": 5,
            "memory_mb": 1, "command": "x"},
          {"name": "a", "team": "nobody", "processors": 1, "memory_mb": 1,
           "command": "x"})"));
  std::vector<ResultCode> codes;
  for (const Problem& problem : problems)
    codes.push_back(problem.code);
  const auto has = [&codes](ResultCode code) {
    return std::find(codes.begin(), codes.end(), code) != codes.end();
  };
  CHECK(has(ResultCode::kDependencyCycle));
  CHECK(has(ResultCode::kImpossibleSize));
  CHECK(has(ResultCode::kDuplicateName));
  CHECK(has(ResultCode::kDanglingDependency));
}

// A recursive check for cycles would overflow the stack here.
TEST(Estate, AcceptsADependencyChainOfManyThousandTasks) {
  std::string tasks = TaskJson("t0", "");
  for (int i = 1; i < 20000; ++i) {
    tasks += "," + TaskJson("t" + std::to_string(i),
                            "\"t" + std::to_string(i - 1) + "\"");
  }
  CHECK_EQUAL(20000, ParseEstate(EstateWithTasks(tasks)).tasks.size());
}

TEST(Estate, DifferenceListsAddedRemovedAndChangedItems) {
  const Estate before = ParseEstate(
      R"({"services": [{"name": "a"}, {"name": "b", "timeout_ms": 5}]})");
  const Estate after = ParseEstate(
      R"({"services": [{"name": "b", "timeout_ms": 6}, {"name": "c"}]})");
  const auto lines = DescribeDifference(before, after);
  CHECK_EQUAL(3, lines.size());
  STRCMP_EQUAL("- service a", lines[0].c_str());
  STRCMP_EQUAL("~ service b", lines[1].c_str());
  STRCMP_EQUAL("+ service c", lines[2].c_str());
}

// Guards against job calls that compare all queues of a large estate.
TEST(Estate, AQueueIsFoundByItsLongestPrefixWithoutALookAtAll) {
  std::string text = R"({"services":[{"name":"s"}],"queues":[)"
                     R"({"name":"short","host":"h","prefix":"/q/",)"
                     R"("service":"s"},)"
                     R"({"name":"long","host":"h","prefix":"/q/7/a/",)"
                     R"("service":"s"})";
  for (int i = 0; i < 16'640; ++i) {
    const std::string number = std::to_string(i);
    text += R"(,{"name":"q)" + number + R"(","host":"h","prefix":"/q/)" +
            number + R"(/","service":"s"})";
  }
  const Estate estate = ParseEstate(text + "]}");
  const auto name_of = [&estate](const std::string& host,
                                 const std::string& path) {
    const std::uint64_t before = CountedParts();
    const auto found = estate.queue_index.Find(host, path);
    CHECK(CountedParts() - before < 10);
    return found ? estate.queues[*found].name : "";
  };
  STRCMP_EQUAL("q16639", name_of("h", "/q/16639/job").c_str());
  STRCMP_EQUAL("q7", name_of("h", "/q/7/job").c_str());
  STRCMP_EQUAL("long", name_of("h", "/q/7/a/job").c_str());
  STRCMP_EQUAL("short", name_of("h", "/q/job").c_str());
  STRCMP_EQUAL("short", name_of("h", "/q/").c_str());
  STRCMP_EQUAL("", name_of("h", "/q").c_str());
  STRCMP_EQUAL("", name_of("other", "/q/7/job").c_str());
  CHECK(estate.queue_index.FindByName("q7") == 9);
  CHECK(!estate.queue_index.FindByName("q"));
}

TEST_GROUP(EstateState) {
  EstateState state;

  ResultCode Submit(std::uint64_t version, const std::string& text) {
    return this->state.Apply(
        {.version = version, .prepared = PrepareEstate(text)});
  }
};

TEST(EstateState, TakesOnlyTheNextVersionAndRecognizesResends) {
  const std::string one = R"({"services": [{"name": "a"}]})";
  const std::string two = R"({"services": [{"name": "b"}]})";
  CHECK(this->Submit(2, one) == ResultCode::kVersionNotNext);
  CHECK(this->Submit(1, one) == ResultCode::kOk);
  CHECK(this->Submit(1, one) == ResultCode::kOk);
  CHECK(this->Submit(1, two) == ResultCode::kVersionConflict);
  CHECK(this->Submit(2, two) == ResultCode::kOk);
  // A resend of an earlier version, and the same version with other content.
  CHECK(this->Submit(1, one) == ResultCode::kOk);
  CHECK(this->Submit(1, two) == ResultCode::kVersionConflict);
  CHECK_EQUAL(2, this->state.revision());
}

// Guards against a loop that stops while it applies a large estate: all that
// grows with the text is done when the estate is prepared.
TEST(EstateState, ApplyingAPreparedEstateHandlesNoneOfItsItems) {
  std::string text = R"({"services":[{"name":"a"}],"queues":[)";
  for (int i = 0; i < 2000; ++i) {
    text += (i == 0 ? "" : ",") + std::string(R"({"name":"q)") +
            std::to_string(i) + R"(","host":"h","prefix":"/)" +
            std::to_string(i) + R"(/","service":"a"})";
  }
  const auto prepared = PrepareEstate(text + "]}", "source");
  const std::uint64_t before = CountedParts();
  CHECK(this->state.Apply({.version = 1, .prepared = prepared}) ==
        ResultCode::kOk);
  CHECK(this->state.Apply({.version = 1, .prepared = prepared}) ==
        ResultCode::kOk);
  LONGS_EQUAL(0, CountedParts() - before);
  LONGS_EQUAL(2000, this->state.estate().queues.size());
  STRCMP_EQUAL("source", this->state.source().c_str());
}

// Guards against replicas that take as long to read an estate as its sender
// took to check it.
TEST(EstateState, AnEstateIsReadFromItsParsedForm) {
  std::string text =
      R"({"queues":[{"attempts":2,"host":"h","latency_target_ms":7,"name":"q",)"
      R"("prefix":"/a\"/","priority":3,"service":"a","slack":1.5,)"
      R"("timeout_ms":9}],"services":[{"depends_on":["b"],"name":"a",)"
      R"("tail_target_ms":5,"timeout_ms":6},{"name":"b"}]})";
  const auto parsed = PrepareEstate(text);
  CHECK(!parsed->parsed.empty());
  const std::uint64_t before = CountedParts();
  const auto read = PrepareEstate(text, "source", parsed->parsed);
  LONGS_EQUAL(31, CountedParts() - before);
  CHECK(read->text == text);
  CHECK(read->source == "source");
  CHECK(read->parsed == parsed->parsed);
  CHECK(read->sections == parsed->sections);
  CHECK(read->checksum == parsed->checksum);
  CHECK(DescribeDifference(parsed->estate, read->estate).empty());
  EstateState from_text;
  EstateState from_parsed_form;
  from_text.Apply({.version = 1, .prepared = PrepareEstate(text, "source")});
  from_parsed_form.Apply({.version = 1, .prepared = read});
  CHECK(from_text.Save().SerializeAsString() ==
        from_parsed_form.Save().SerializeAsString());
  CHECK(parsed->text ==
        PrepareEstateDocument(nlohmann::json::parse(text))->text);
  CHECK(parsed->parsed ==
        PrepareEstateDocument(nlohmann::json::parse(text))->parsed);
  // Another text, or one in another form, is parsed.
  const std::string other = R"({"queues":[],"services":[{"name":"c"}]})";
  STRCMP_EQUAL("c", PrepareEstate(other, "", parsed->parsed)
                        ->estate.services.at(0)
                        .name.c_str());
  CHECK_THROWS(Error, PrepareEstate(R"({"services":[{}]})", "", "x"));
  CHECK(PrepareEstate(R"({"queues": [], "services": []})")->parsed.empty());
  CHECK(PrepareEstate(R"({"queues":[],"services":[],"weights":{}})")
            ->parsed.empty());
}

TEST(EstateState, AnInvalidTextIsNotPrepared) {
  CHECK_THROWS(Error, PrepareEstate(R"({"services": [{}]})"));
  CHECK_THROWS(Error, PrepareEstate("{"));
}

// Snapshots hold the checksums of accepted versions.
TEST(EstateState, TheChecksumIsThatOfTheSectionsAsOneObject) {
  const auto prepared =
      PrepareEstate(R"({"weights": {}, "services": [{"name": "a"}]})");
  const nlohmann::json sections(prepared->sections);
  CHECK(prepared->checksum == Checksum(sections.dump()));
}

TEST(EstateState, TheHighestVersionWinsIfRequested) {
  const auto submit = [this](std::uint64_t version, const std::string& text) {
    return this->state.Apply({.version = version,
                              .highest_wins = true,
                              .prepared = PrepareEstate(text)});
  };
  const std::string one = R"({"services": [{"name": "a"}]})";
  const std::string two = R"({"services": [{"name": "b"}]})";
  CHECK(submit(4, one) == ResultCode::kOk);
  // A lower version, a resend, and the same version with other content are
  // acknowledged without effect.
  CHECK(submit(3, two) == ResultCode::kOk);
  CHECK(submit(4, one) == ResultCode::kOk);
  CHECK(submit(4, two) == ResultCode::kOk);
  CHECK_EQUAL(4, this->state.revision());
  STRCMP_EQUAL(one.c_str(), this->state.text().c_str());
  CHECK(submit(9, two) == ResultCode::kOk);
  CHECK_EQUAL(9, this->state.revision());
  STRCMP_EQUAL(two.c_str(), this->state.text().c_str());
}

TEST(EstateState, SendsOnlyChangedSections) {
  this->Submit(1, R"({"services": [{"name": "a"}], "weights": {}})");
  this->Submit(2, R"({"services": [{"name": "b"}], "weights": {}})");
  const auto update = this->state.ChangesSince(1, {});
  CHECK_EQUAL(1, update.sections_size());
  STRCMP_EQUAL("services", update.sections(0).name().c_str());
  CHECK_EQUAL(0, this->state.ChangesSince(2, {}).sections_size());
}

TEST(EstateState, ARemovedSectionIsSentToCachesAsEmpty) {
  EstateCache cache;
  this->Submit(1, R"({"services": [{"name": "a"}]})");
  cache.Apply(this->state.ChangesSince(0, {"services"}));
  CHECK_EQUAL(1, cache.estate().services.size());
  this->Submit(2, "{}");
  cache.Apply(this->state.ChangesSince(1, {"services"}));
  CHECK_EQUAL(0, cache.estate().services.size());
}

TEST(EstateState, ACacheIgnoresAnOlderRevision) {
  EstateCache cache;
  this->Submit(1, R"({"services": [{"name": "a"}]})");
  const auto older_update = this->state.ChangesSince(0, {});
  this->Submit(2, R"({"services": [{"name": "b"}]})");
  CHECK(cache.Apply(this->state.ChangesSince(0, {})));
  CHECK(!cache.Apply(older_update));
  STRCMP_EQUAL("b", cache.estate().services[0].name.c_str());
}

TEST(EstateState, RecognizesResendsAfterRestoringASnapshot) {
  const std::string one = R"({"services": [{"name": "a"}]})";
  this->Submit(1, one);
  this->Submit(2, "{}");
  EstateState restored;
  restored.Restore(this->state.Save());
  CHECK(restored.Apply({.version = 1, .prepared = PrepareEstate(one)}) ==
        ResultCode::kOk);
  CHECK_EQUAL(2, restored.revision());
}

}  // namespace savoryring
