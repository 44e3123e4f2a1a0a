#include "libestate/estate_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "libbase/checksum.h"
#include "libbase/json_checker.h"

namespace savoryring {
namespace {

// Accepted revisions whose resend is recognised: three days at the target.
constexpr std::size_t kKeptRevisions = 10'000;

// Only what an entry or endpoint process needs to route. Dependencies may
// point into sections that such a process does not fetch.
Estate ParseServices(const std::string& json) {
  nlohmann::json services = ParseJson(json);
  for (nlohmann::json& service : services)
    service.erase("depends_on");
  return ParseEstate(nlohmann::json{{"services", services}}.dump());
}

std::uint64_t ChecksumOf(const std::map<std::string, std::string>& sections) {
  return Checksum(nlohmann::json(sections).dump());
}

std::string EmptyOf(const std::string& section) {
  return section == "weights" ? "{}" : "[]";
}

}  // namespace

ResultCode EstateState::Apply(const Submission& submission) {
  if (submission.highest_wins && submission.version <= this->current_revision)
    return ResultCode::kOk;
  const SectionTexts updated = CanonicalSections(submission.text);
  const std::uint64_t checksum = ChecksumOf(updated);
  if (submission.version <= this->current_revision)
    return this->JudgeOldVersion(submission.version, checksum);
  if (!submission.highest_wins &&
      submission.version != this->current_revision + 1)
    return ResultCode::kVersionNotNext;
  this->current = ParseEstate(submission.text);
  this->Replace(submission, updated);
  this->RememberAccepted(submission.version, checksum);
  return ResultCode::kOk;
}

ResultCode EstateState::JudgeOldVersion(std::uint64_t version,
                                        std::uint64_t checksum) const {
  const auto found = this->accepted_checksums.find(version);
  const bool same =
      found != this->accepted_checksums.end() && found->second == checksum;
  return same ? ResultCode::kOk : ResultCode::kVersionConflict;
}

void EstateState::Replace(const Submission& submission,
                          const SectionTexts& updated) {
  this->current_revision = submission.version;
  this->current_text = submission.text;
  this->current_source = submission.source;
  for (auto& [name, section] : this->sections) {
    if (updated.contains(name) || section.json() == EmptyOf(name))
      continue;
    section.set_json(EmptyOf(name));
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

void EstateState::RememberAccepted(std::uint64_t version,
                                   std::uint64_t checksum) {
  this->accepted_checksums[version] = checksum;
  if (this->accepted_checksums.size() > kKeptRevisions)
    this->accepted_checksums.erase(this->accepted_checksums.begin());
}

wire::EstateUpdate EstateState::ChangesSince(
    std::uint64_t known_revision,
    const std::vector<std::string>& wanted) const {
  wire::EstateUpdate update;
  update.set_revision(this->current_revision);
  for (const auto& [name, section] : this->sections) {
    const bool asked =
        wanted.empty() || std::ranges::find(wanted, name) != wanted.end();
    if (asked && section.revision() > known_revision)
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
  this->current = ParseEstate(this->current_text);
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
      this->current = ParseServices(section.json());
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
