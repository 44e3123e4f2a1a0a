/// Network addresses as text.
#ifndef SAVORYRING_LIBBASE_ADDRESS_H_
#define SAVORYRING_LIBBASE_ADDRESS_H_

#include <string>

namespace savoryring {

/// Whether `text` has the form IP:PORT, with an IPv4 address and a port from 1
/// to 65535.
bool IsAddress(const std::string& text);

}  // namespace savoryring

#endif  // SAVORYRING_LIBBASE_ADDRESS_H_
