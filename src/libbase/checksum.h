/// Checksum of stored records and message bodies.
#ifndef SAVORYRING_LIBBASE_CHECKSUM_H_
#define SAVORYRING_LIBBASE_CHECKSUM_H_

#include <cstdint>
#include <string_view>

namespace savoryring {

/// XXH64 of `bytes` with seed 0.
std::uint64_t Checksum(std::string_view bytes);

}  // namespace savoryring

#endif  // SAVORYRING_LIBBASE_CHECKSUM_H_
