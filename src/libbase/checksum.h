/// Checksum of records and message bodies.
#ifndef SAVORYRING_LIBBASE_CHECKSUM_H_
#define SAVORYRING_LIBBASE_CHECKSUM_H_

#include <cstdint>
#include <string_view>

namespace savoryring {

/// xxHash64 of the bytes.
std::uint64_t Checksum(std::string_view bytes);

}  // namespace savoryring

#endif  // SAVORYRING_LIBBASE_CHECKSUM_H_
