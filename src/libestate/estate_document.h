/// Validation of an estate that is at hand as a JSON document.
#ifndef SAVORYRING_LIBESTATE_ESTATE_DOCUMENT_H_
#define SAVORYRING_LIBESTATE_ESTATE_DOCUMENT_H_

#include <nlohmann/json.hpp>

#include "savoryring/estate.h"

namespace savoryring {

/// Does what ParseEstate does, without the parsing of a text.
Estate ParseEstateDocument(const nlohmann::json& document);

}  // namespace savoryring

#endif  // SAVORYRING_LIBESTATE_ESTATE_DOCUMENT_H_
