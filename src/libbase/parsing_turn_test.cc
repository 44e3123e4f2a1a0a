#include "libbase/parsing_turn.h"

#include <functional>
#include <string>
#include <thread>

#include "savoryring/result.h"

// After the headers above, as it redefines `new`.
#include <CppUTest/TestHarness.h>

namespace savoryring {
namespace {

constexpr std::size_t kLegalBytes = 262'144;

std::string Fill(const std::string& part, std::size_t bytes) {
  std::string text = "[";
  while (text.size() + part.size() + 2 < bytes)
    text += part + ",";
  return text + part + "]";
}

ResultCode CodeOf(const std::function<void()>& action) {
  try {
    action();
  } catch (const Error& error) {
    return error.code();
  }
  return ResultCode::kOk;
}

}  // namespace

TEST_GROUP(ParsingTurn){};

// A text of legal size is never refused, whatever it holds.
TEST(ParsingTurn, AdmitsEveryTextOfLegalSize) {
  for (const char* part :
       {"0", "{}", "[]", "\"\"", R"({"":0})", R"({"a":[{}]})"})
    CHECK(CodeOf([&] { CheckParsedBytes(Fill(part, kLegalBytes)); }) ==
          ResultCode::kOk);
}

// Guards against documents whose parsed form exhausts the memory of a VM.
TEST(ParsingTurn, RefusesADocumentWithTooManyValues) {
  for (const char* part : {"0", "{}", "[]", "\"\"", R"({"":0})"}) {
    CHECK(CodeOf([&] { CheckParsedBytes(Fill(part, 8 * kLegalBytes)); }) ==
          ResultCode::kBodyTooLarge);
  }
  const std::string long_string =
      "\"" + std::string(8 * kLegalBytes, ',') + "\"";
  CHECK(CodeOf([&] { CheckParsedBytes(long_string); }) == ResultCode::kOk);
}

// Guards against a configuration that is refused once it has grown by thousands
// of routes.
TEST(ParsingTurn, AdmitsALargeConfiguration) {
  const std::string route =
      R"({"name":"r-000001","hostname":"desk.example","path_prefix":"/one/",)"
      R"("type":"unsafe","timeout_ms":3000,"target_latency_ms":250,)"
      R"("priority":0,"service":"gauge-check","attempts":2,)"
      R"("slack_factor":1.5})";
  const auto admits = [&route](std::size_t routes) {
    const std::string text = Fill(route, routes * (route.size() + 1));
    return CodeOf([&text] {
             CheckParsedBytes(text, kMaxParsedConfigurationBytes);
           }) == ResultCode::kOk;
  };
  CHECK(admits(10'000));
  CHECK(!admits(40'000));
}

// A small text must not wait for a large one.
TEST(ParsingTurn, SmallTextsPassBesideALargeOne) {
  const ParsingTurn large(Fill("0", kLegalBytes));
  bool passed = false;
  std::thread([&passed] {
    const ParsingTurn small("{}");
    passed = true;
  }).join();
  CHECK(passed);
}

}  // namespace savoryring
