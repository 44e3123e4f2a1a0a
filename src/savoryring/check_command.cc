#include "savoryring/check_command.h"

#include <gflags/gflags.h>

#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <variant>

#include "codec.h"
#include "libbase/json_checker.h"
#include "savoryring/client.h"
#include "savoryring/result.h"
#include "savoryring/review.h"

DECLARE_string(server);
DECLARE_bool(json);
DEFINE_string(against,
              "",
              "file that a checked file is compared with; without it, an "
              "estate is compared with that of --server if it is given");

namespace savoryring {
namespace {

using nlohmann::json;

/// A valid file of one of the kinds that `check` knows.
struct SettingsFile {
  Settings settings;
  json document;
};
struct EstateFile {
  Estate estate;
};
using CheckedFile = std::variant<SettingsFile, EstateFile>;

CheckedFile ParseFile(const std::string& path) {
  const std::string text = ReadFile(path);
  json document = ParseJson(text);
  if (document.is_object() && document.contains("duties")) {
    return SettingsFile{.settings = ParseSettings(text),
                        .document = std::move(document)};
  }
  if (platform::IsConfig(document)) {
    return EstateFile{
        ParseEstate(platform::EstateSubmissionFromConfig(text).text())};
  }
  return EstateFile{ParseEstate(text)};
}

// One line for each value that was added (+), removed (-) or changed (~).
std::vector<std::string> CompareDocuments(const json& before,
                                          const json& after) {
  const json old_values = before.flatten();
  const json new_values = after.flatten();
  std::vector<std::string> lines;
  for (const auto& [pointer, value] : old_values.items()) {
    if (!new_values.contains(pointer))
      lines.push_back("- " + pointer + ": " + value.dump());
    else if (new_values[pointer] != value)
      lines.push_back("~ " + pointer + ": " + value.dump() + " -> " +
                      new_values[pointer].dump());
  }
  for (const auto& [pointer, value] : new_values.items()) {
    if (!old_values.contains(pointer))
      lines.push_back("+ " + pointer + ": " + value.dump());
  }
  return lines;
}

bool IsServerGiven() {
  return !gflags::GetCommandLineFlagInfoOrDie("server").is_default;
}

// Lines that describe the differences; nullopt if nothing is compared.
using Differences = std::optional<std::vector<std::string>>;

/// Name of the kind of a file.
struct FileKind {
  std::string operator()(const SettingsFile&) const { return "settings"; }
  std::string operator()(const EstateFile&) const { return "estate"; }
};

struct Review {
  std::vector<ReviewFinding> operator()(const SettingsFile& file) const {
    return ReviewSettings(file.settings);
  }
  std::vector<ReviewFinding> operator()(const EstateFile& file) const {
    return ReviewEstate(file.estate);
  }
};

struct CompareWithInForce {
  Differences operator()(const SettingsFile& file) const {
    if (FLAGS_against.empty())
      return std::nullopt;
    const CheckedFile other = ParseFile(FLAGS_against);
    const auto* before = std::get_if<SettingsFile>(&other);
    if (before == nullptr)
      throw Error(ResultCode::kWrongType, FLAGS_against + ": no settings file");
    return CompareDocuments(before->document, file.document);
  }
  Differences operator()(const EstateFile& file) const {
    if (!FLAGS_against.empty()) {
      const CheckedFile other = ParseFile(FLAGS_against);
      const auto* before = std::get_if<EstateFile>(&other);
      if (before == nullptr)
        throw Error(ResultCode::kWrongType, FLAGS_against + ": no estate file");
      return DescribeDifference(before->estate, file.estate,
                                DifferenceDetail::kFields);
    }
    if (!IsServerGiven())
      return std::nullopt;
    const json in_force = CallSystem(FLAGS_server, "GET", "/estate");
    return DescribeDifference(ParseEstate(in_force["estate"].dump()),
                              file.estate, DifferenceDetail::kFields);
  }
};

json ToJson(const std::string& kind,
            const std::vector<ReviewFinding>& findings,
            const Differences& differences) {
  json document{{"valid", true}, {"kind", kind}, {"findings", json::array()}};
  for (const ReviewFinding& finding : findings) {
    document["findings"].push_back({{"kind", NameOf(finding.kind)},
                                    {"item", finding.item},
                                    {"detail", finding.detail}});
  }
  if (differences)
    document["differences"] = *differences;
  return document;
}

void PrintText(const std::string& path,
               const std::string& kind,
               const std::vector<ReviewFinding>& findings,
               const Differences& differences) {
  std::cout << path << ": valid " << kind << '\n';
  for (const ReviewFinding& finding : findings) {
    std::cout << NameOf(finding.kind) << ": " << finding.item << ": "
              << finding.detail << '\n';
  }
  if (!differences)
    return;
  for (const std::string& line : *differences)
    std::cout << line << '\n';
  if (differences->empty())
    std::cout << "no difference\n";
}

}  // namespace

void Check(const Arguments& arguments) {
  if (arguments.empty())
    throw Error(ResultCode::kUnknownCommand, "an argument is missing");
  const std::string& path = arguments[0];
  const CheckedFile file = ParseFile(path);
  const std::string kind = std::visit(FileKind(), file);
  const std::vector<ReviewFinding> findings = std::visit(Review(), file);
  const Differences differences = std::visit(CompareWithInForce(), file);
  if (FLAGS_json)
    std::cout << ToJson(kind, findings, differences).dump(2) << '\n';
  else
    PrintText(path, kind, findings, differences);
}

}  // namespace savoryring
