#include "libestate/estate_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

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

// The JSON of a section; that of an empty one if the estate has none.
std::string_view SectionJson(const PreparedEstate& estate,
                             const std::string& name) {
  const auto found = estate.sections.find(name);
  if (found != estate.sections.end())
    return found->second;
  return name == "weights" ? "{}" : "[]";
}

}  // namespace

EstateState::EstateState() : current(PrepareEstate("{}")) {}

ResultCode EstateState::Apply(const EstateSubmission& submission) {
  if (submission.version <= this->current_revision) {
    if (submission.highest_wins)
      return ResultCode::kOk;
    return this->CheckAcceptedVersion(submission.version,
                                      submission.prepared->checksum);
  }
  if (!submission.highest_wins &&
      submission.version != this->current_revision + 1)
    return ResultCode::kVersionNotNext;
  this->ReplaceCurrent(submission);
  this->RecordAccepted(submission.version, submission.prepared->checksum);
  return ResultCode::kOk;
}

ResultCode EstateState::CheckAcceptedVersion(std::uint64_t version,
                                             std::uint64_t checksum) const {
  const auto found = this->accepted_checksums.find(version);
  const bool is_resend =
      found != this->accepted_checksums.end() && found->second == checksum;
  return is_resend ? ResultCode::kOk : ResultCode::kVersionConflict;
}

void EstateState::ReplaceCurrent(const EstateSubmission& submission) {
  const PreparedEstate& updated = *submission.prepared;
  for (auto& [name, revision] : this->section_revisions) {
    if (SectionJson(*this->current, name) != SectionJson(updated, name))
      revision = submission.version;
  }
  for (const auto& [name, json] : updated.sections)
    this->section_revisions.try_emplace(name, submission.version);
  this->current_revision = submission.version;
  this->current = submission.prepared;
}

void EstateState::RecordAccepted(std::uint64_t version,
                                 std::uint64_t checksum) {
  this->accepted_checksums[version] = checksum;
  if (this->accepted_checksums.size() > kMaxAcceptedRevisions)
    this->accepted_checksums.erase(this->accepted_checksums.begin());
}

wire::EstateSection EstateState::MakeSection(const std::string& name) const {
  wire::EstateSection section;
  section.set_name(name);
  section.set_json(std::string(SectionJson(*this->current, name)));
  section.set_revision(this->section_revisions.at(name));
  return section;
}

wire::EstateUpdate EstateState::ChangesSince(
    std::uint64_t known_revision,
    const std::vector<std::string>& wanted) const {
  wire::EstateUpdate update;
  update.set_revision(this->current_revision);
  for (const auto& [name, revision] : this->section_revisions) {
    const bool requested =
        wanted.empty() || std::ranges::find(wanted, name) != wanted.end();
    if (requested && revision > known_revision)
      *update.add_sections() = this->MakeSection(name);
  }
  return update;
}

wire::EstateSnapshot EstateState::Save() const {
  wire::EstateSnapshot snapshot;
  snapshot.set_revision(this->current_revision);
  snapshot.set_text(this->current->text);
  snapshot.set_source(this->current->source);
  snapshot.set_parsed(this->current->parsed);
  for (const auto& [name, revision] : this->section_revisions)
    *snapshot.add_sections() = this->MakeSection(name);
  for (const auto& [version, checksum] : this->accepted_checksums) {
    wire::AcceptedRevision* accepted = snapshot.add_accepted();
    accepted->set_version(version);
    accepted->set_checksum(checksum);
  }
  return snapshot;
}

void EstateState::Restore(const wire::EstateSnapshot& snapshot) {
  this->current_revision = snapshot.revision();
  this->current =
      PrepareEstate(snapshot.text(), snapshot.source(), snapshot.parsed());
  this->section_revisions.clear();
  for (const wire::EstateSection& section : snapshot.sections())
    this->section_revisions[section.name()] = section.revision();
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
