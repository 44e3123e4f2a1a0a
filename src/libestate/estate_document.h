/// Validation of an estate that is at hand as a JSON document.
#ifndef SAVORYRING_LIBESTATE_ESTATE_DOCUMENT_H_
#define SAVORYRING_LIBESTATE_ESTATE_DOCUMENT_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "libestate/prepared_estate.h"
#include "savoryring/estate.h"

namespace savoryring {

/// Does what ParseEstate does, without the parsing of a text.
Estate ParseEstateDocument(const nlohmann::json& document);

/// The top-level sections of the document; see CanonicalSections.
std::map<std::string, std::string> SectionsOf(const nlohmann::json& document);

/// Does what PrepareEstate does, for the canonical text of the document.
std::shared_ptr<const PreparedEstate> PrepareEstateDocument(
    const nlohmann::json& document);

}  // namespace savoryring

#endif  // SAVORYRING_LIBESTATE_ESTATE_DOCUMENT_H_
