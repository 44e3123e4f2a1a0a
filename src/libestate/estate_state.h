/// The committed estate, a part of the control group's replicated state
/// machine, and the copy that other processes cache.
#ifndef SAVORYRING_LIBESTATE_ESTATE_STATE_H_
#define SAVORYRING_LIBESTATE_ESTATE_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libestate/estate.pb.h"
#include "libestate/prepared_estate.h"
#include "savoryring/estate.h"
#include "savoryring/result.h"

namespace savoryring {

/// An estate that an operator submits.
struct EstateSubmission {
  std::uint64_t version = 0;
  std::string request_id;
  /// Accepts any higher version; otherwise only the next version is accepted.
  bool highest_wins = false;
  std::shared_ptr<const PreparedEstate> prepared;
};

/// The revision never decreases. Each section records the revision that last
/// changed it, so that only changed sections are sent.
class EstateState {
 public:
  EstateState();

  /// Applies a submission, without work on its items. Returns kOk also for a
  /// resend of an accepted version with the same content, kVersionConflict for
  /// a current or earlier version with other content (or one no longer
  /// recorded), and kVersionNotNext for a version that skips ahead. With
  /// `highest_wins`, a version that is not higher returns kOk and has no
  /// effect.
  ResultCode Apply(const EstateSubmission& submission);

  /// Returns the sections that changed after `known_revision`, restricted to
  /// the names in `wanted`; an empty `wanted` selects all sections.
  wire::EstateUpdate ChangesSince(std::uint64_t known_revision,
                                  const std::vector<std::string>& wanted) const;

  wire::EstateSnapshot Save() const;
  /// Replaces the whole state by that of the snapshot.
  void Restore(const wire::EstateSnapshot& snapshot);

  std::uint64_t revision() const { return this->current_revision; }
  const std::string& text() const { return this->current->text; }
  /// The operator's document that the text was converted from; empty if the
  /// text was submitted as it is.
  const std::string& source() const { return this->current->source; }
  const Estate& estate() const { return this->current->estate; }
  /// Never null.
  const std::shared_ptr<const PreparedEstate>& prepared() const {
    return this->current;
  }

 private:
  ResultCode CheckAcceptedVersion(std::uint64_t version,
                                  std::uint64_t checksum) const;
  void ReplaceCurrent(const EstateSubmission& submission);
  void RecordAccepted(std::uint64_t version, std::uint64_t checksum);
  wire::EstateSection MakeSection(const std::string& name) const;

  std::uint64_t current_revision = 0;
  std::shared_ptr<const PreparedEstate> current;
  // The revision that last changed each section, also of removed ones.
  std::map<std::string, std::uint64_t> section_revisions;
  // Checksum of the accepted sections, by version.
  std::map<std::uint64_t, std::uint64_t> accepted_checksums;
};

/// Copy of the estate in a process without the control duty. The revision
/// never decreases.
class EstateCache {
 public:
  /// Applies an update. An update that is not newer is ignored and returns
  /// false.
  bool Apply(const wire::EstateUpdate& update);

  std::uint64_t revision() const { return this->current_revision; }
  const Estate& estate() const { return this->current_estate; }
  /// Returns the changed sections for a process with an older revision.
  wire::EstateUpdate ChangesSince(std::uint64_t known_revision) const;

 private:
  std::uint64_t current_revision = 0;
  std::map<std::string, wire::EstateSection> sections;
  Estate current_estate;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBESTATE_ESTATE_STATE_H_
