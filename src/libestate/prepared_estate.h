/// A validated estate together with what is derived from it.
#ifndef SAVORYRING_LIBESTATE_PREPARED_ESTATE_H_
#define SAVORYRING_LIBESTATE_PREPARED_ESTATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "savoryring/estate.h"

namespace savoryring {

/// Making one takes time in proportion to the text; it may be made on one
/// thread and used on another.
struct PreparedEstate {
  std::string text;
  /// The operator's document that `text` was converted from, if any.
  std::string source;
  /// A wire::ParsedEstate; empty if `text` is not canonical or has sections
  /// other than services and queues.
  std::string parsed;
  Estate estate;
  std::map<std::string, std::string> sections;  ///< See CanonicalSections.
  std::uint64_t checksum = 0;                   ///< Of `sections`.
};

/// Validates an estate text. `parsed` is that of an earlier PreparedEstate, or
/// empty; if it belongs to the text, the text is not parsed. Counts parts (see
/// paced_work.h). Throws Error as ParseEstate.
std::shared_ptr<const PreparedEstate> PrepareEstate(
    std::string text,
    std::string source = "",
    const std::string& parsed = "");

}  // namespace savoryring

#endif  // SAVORYRING_LIBESTATE_PREPARED_ESTATE_H_
