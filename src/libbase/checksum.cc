#include "libbase/checksum.h"

#include <xxhash.h>

namespace savoryring {

std::uint64_t Checksum(std::string_view bytes) {
  return XXH64(bytes.data(), bytes.size(), 0);
}

}  // namespace savoryring
