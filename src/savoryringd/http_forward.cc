#include "savoryringd/http_forward.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace savoryring {

bool IsHopByHopHeader(const std::string& name) {
  static constexpr std::array<const char*, 11> kHopByHopHeaders{
      "Connection",
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
  return std::ranges::any_of(kHopByHopHeaders, [&name](const char* header) {
    return strcasecmp(name.c_str(), header) == 0;
  });
}

}  // namespace savoryring
