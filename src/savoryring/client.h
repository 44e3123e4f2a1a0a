/// HTTP client of the command line.
#ifndef SAVORYRING_SAVORYRING_CLIENT_H_
#define SAVORYRING_SAVORYRING_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "savoryring/result.h"

namespace savoryring {

/// Sends a request to an entry or control process and returns the JSON body of
/// the response. Throws Error with the result code of an error response, or
/// kUnreachable if there is no valid response.
nlohmann::json CallSystem(const std::string& server,
                          const std::string& method,
                          const std::string& path,
                          const nlohmann::json& body = nullptr);

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRING_CLIENT_H_
