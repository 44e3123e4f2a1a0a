#include "libestate/estate_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libbase/checksum.h"
#include "libbase/json_checker.h"

namespace savoryring {
namespace {

// Number of accepted revisions for which a resend is still recognized; covers
// three days at the target rate of changes.
constexpr std::size_t kMaxAcceptedRevisions = 10'000;

// Parses the services section alone, which is all that an entry or endpoint
// process needs for routing. Dependencies are removed because they may refer to
// sections that such a process does not fetch, and would fail validation.
Estate ParseServices(const std::string& json) {
  nlohmann::json services = ParseJson(json);
  for (nlohmann::json& service : services)
    service.erase("depends_on");
  return ParseEstate(nlohmann::json{{"services", services}}.dump());
}

std::uint64_t SectionsChecksum(
    const std::map<std::string, std::string>& sections) {
  return Checksum(nlohmann::json(sections).dump());
}

std::string EmptySectionJson(const std::string& section) {
  return section == "weights" ? "{}" : "[]";
}

}  // namespace

void EstateState::Prepare(const std::string& text) {
  this->prepared = {.text = text, .parsed = ParseEstateAndSections(text)};
}

ParsedEstate EstateState::TakeParsed(const std::string& text) {
  auto taken = std::exchange(this->prepared, std::nullopt);
  if (taken && taken->text == text)
    return std::move(taken->parsed);
  return ParseEstateAndSections(text);
}

ResultCode EstateState::Apply(const EstateSubmission& submission) {
  if (submission.version <= this->current_revision) {
    if (submission.highest_wins)
      return ResultCode::kOk;
    return this->CheckAcceptedVersion(
        submission.version,
        SectionsChecksum(CanonicalSections(submission.text)));
  }
  if (!submission.highest_wins &&
      submission.version != this->current_revision + 1)
    return ResultCode::kVersionNotNext;
  ParsedEstate parsed = this->TakeParsed(submission.text);
  this->current_estate = std::move(parsed.estate);
  this->ReplaceCurrent(submission, parsed.sections);
  this->RecordAccepted(submission.version, SectionsChecksum(parsed.sections));
  return ResultCode::kOk;
}

ResultCode EstateState::CheckAcceptedVersion(std::uint64_t version,
                                             std::uint64_t checksum) const {
  const auto found = this->accepted_checksums.find(version);
  const bool is_resend =
      found != this->accepted_checksums.end() && found->second == checksum;
  return is_resend ? ResultCode::kOk : ResultCode::kVersionConflict;
}

void EstateState::ReplaceCurrent(const EstateSubmission& submission,
                                 const SectionTexts& updated) {
  this->current_revision = submission.version;
  this->current_text = submission.text;
  this->current_source = submission.source;
  for (auto& [name, section] : this->sections) {
    if (updated.contains(name) || section.json() == EmptySectionJson(name))
      continue;
    section.set_json(EmptySectionJson(name));
    section.set_revision(submission.version);
  }
  for (const auto& [name, json] : updated) {
    wire::EstateSection& section = this->sections[name];
    if (section.json() == json)
      continue;
    section.set_name(name);
    section.set_json(json);
    section.set_revision(submission.version);
  }
}

void EstateState::RecordAccepted(std::uint64_t version,
                                 std::uint64_t checksum) {
  this->accepted_checksums[version] = checksum;
  if (this->accepted_checksums.size() > kMaxAcceptedRevisions)
    this->accepted_checksums.erase(this->accepted_checksums.begin());
}

wire::EstateUpdate EstateState::ChangesSince(
    std::uint64_t known_revision,
    const std::vector<std::string>& wanted) const {
  wire::EstateUpdate update;
  update.set_revision(this->current_revision);
  for (const auto& [name, section] : this->sections) {
    const bool requested =
        wanted.empty() || std::ranges::find(wanted, name) != wanted.end();
    if (requested && section.revision() > known_revision)
      *update.add_sections() = section;
  }
  return update;
}

wire::EstateSnapshot EstateState::Save() const {
  wire::EstateSnapshot snapshot;
  snapshot.set_revision(this->current_revision);
  snapshot.set_text(this->current_text);
  snapshot.set_source(this->current_source);
  for (const auto& [name, section] : this->sections)
    *snapshot.add_sections() = section;
  for (const auto& [version, checksum] : this->accepted_checksums) {
    wire::AcceptedRevision* accepted = snapshot.add_accepted();
    accepted->set_version(version);
    accepted->set_checksum(checksum);
  }
  return snapshot;
}

void EstateState::Restore(const wire::EstateSnapshot& snapshot) {
  this->current_revision = snapshot.revision();
  this->current_text = snapshot.text();
  this->current_source = snapshot.source();
  this->current_estate = ParseEstate(this->current_text);
  this->sections.clear();
  for (const wire::EstateSection& section : snapshot.sections())
    this->sections[section.name()] = section;
  this->accepted_checksums.clear();
  for (const wire::AcceptedRevision& accepted : snapshot.accepted())
    this->accepted_checksums[accepted.version()] = accepted.checksum();
}

bool EstateCache::Apply(const wire::EstateUpdate& update) {
  if (update.revision() <= this->current_revision)
    return false;
  for (const wire::EstateSection& section : update.sections()) {
    if (section.name() == "services")
      this->current_estate = ParseServices(section.json());
    this->sections[section.name()] = section;
  }
  this->current_revision = update.revision();
  return true;
}

wire::EstateUpdate EstateCache::ChangesSince(
    std::uint64_t known_revision) const {
  wire::EstateUpdate update;
  update.set_revision(this->current_revision);
  for (const auto& [name, section] : this->sections) {
    if (section.revision() > known_revision)
      *update.add_sections() = section;
  }
  return update;
}

}  // namespace savoryring
