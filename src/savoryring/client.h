/// The command line's access to a running system.
#ifndef SAVORYRING_SAVORYRING_CLIENT_H_
#define SAVORYRING_SAVORYRING_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "savoryring/result.h"

namespace savoryring {

/// Sends a request to an entry or control process and returns the JSON of its
/// answer. Throws Error with the code that the system answered, or
/// kUnreachable.
nlohmann::json CallSystem(const std::string& server,
                          const std::string& method,
                          const std::string& path,
                          const nlohmann::json& body = nullptr);

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRING_CLIENT_H_
