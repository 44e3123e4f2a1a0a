#include "libbase/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace savoryring {

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return false;
  in_addr parsed{};
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) != 1)
    return false;
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, failure] =
      std::from_chars(text.data() + colon + 1, end, port);
  return failure == std::errc() && rest == end && port > 0 && port < 65536;
}

}  // namespace savoryring
