/// The committed estate: part of the control group's state machine.
#ifndef SAVORYRING_LIBESTATE_ESTATE_STATE_H_
#define SAVORYRING_LIBESTATE_ESTATE_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libestate/estate.pb.h"
#include "savoryring/estate.h"
#include "savoryring/result.h"

namespace savoryring {

struct Submission {
  std::uint64_t version = 0;
  std::string request_id;
  std::string text;
  bool highest_wins = false;  ///< Otherwise the next version only is taken.
  std::string source;         ///< Document that the text was translated from.
};

/// Revisions only grow; a section keeps the revision that last changed it.
class EstateState {
 public:
  /// Takes a checked text. kOk also where the same version with the same
  /// content stands already; kVersionConflict, kVersionNotNext otherwise.
  /// Under `highest_wins` a version that is not higher is kOk and changes
  /// nothing.
  ResultCode Apply(const Submission& submission);

  /// Sections changed after `known_revision`, of the `wanted` names (all
  /// where `wanted` is empty).
  wire::EstateUpdate ChangesSince(std::uint64_t known_revision,
                                  const std::vector<std::string>& wanted) const;

  wire::EstateSnapshot Save() const;
  /// Replaces the whole state by one read from a snapshot.
  void Restore(const wire::EstateSnapshot& snapshot);

  std::uint64_t revision() const { return this->current_revision; }
  const std::string& text() const { return this->current_text; }
  /// What the operator sent, where the text was translated from it.
  const std::string& source() const { return this->current_source; }
  const Estate& estate() const { return this->current; }

 private:
  using SectionTexts = std::map<std::string, std::string>;

  ResultCode JudgeOldVersion(std::uint64_t version,
                             std::uint64_t checksum) const;
  void Replace(const Submission& submission, const SectionTexts& updated);
  void RememberAccepted(std::uint64_t version, std::uint64_t checksum);

  std::uint64_t current_revision = 0;
  std::string current_text = "{}";
  std::string current_source;
  Estate current;
  std::map<std::string, wire::EstateSection> sections;
  std::map<std::uint64_t, std::uint64_t> accepted_checksums;
};

/// What a process without control duty knows of the estate. Revisions never
/// go back.
class EstateCache {
 public:
  /// Takes an update. Returns whether the revision grew.
  bool Apply(const wire::EstateUpdate& update);

  std::uint64_t revision() const { return this->current_revision; }
  const Estate& estate() const { return this->current; }
  /// Answers another process that is behind.
  wire::EstateUpdate ChangesSince(std::uint64_t known_revision) const;

 private:
  std::uint64_t current_revision = 0;
  std::map<std::string, wire::EstateSection> sections;
  Estate current;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBESTATE_ESTATE_STATE_H_
