#include "savoryringd/http_forward.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace savoryring {

bool IsHopHeader(const std::string& name) {
  static constexpr std::array<const char*, 11> kHopHeaders{"Connection",
                                                           "Content-Length",
                                                           "Date",
                                                           "Expect",
                                                           "Host",
                                                           "Keep-Alive",
                                                           "Proxy-Connection",
                                                           "TE",
                                                           "Transfer-Encoding",
                                                           "Upgrade",
                                                           "traceparent"};
  return std::ranges::any_of(kHopHeaders, [&name](const char* hop) {
    return strcasecmp(name.c_str(), hop) == 0;
  });
}

}  // namespace savoryring
