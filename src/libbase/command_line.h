/// Command-line parsing into gflags that reports errors as result codes.
#ifndef SAVORYRING_LIBBASE_COMMAND_LINE_H_
#define SAVORYRING_LIBBASE_COMMAND_LINE_H_

#include <string>
#include <vector>

namespace savoryring {

/// Sets the flags given as "--name=value", "--name value" or, for booleans,
/// "--name", and returns the positional arguments in order. "--help" is
/// returned as a positional argument. Throws Error (kUnknownFlag).
std::vector<std::string> ReadFlags(const std::vector<std::string>& arguments);

}  // namespace savoryring

#endif  // SAVORYRING_LIBBASE_COMMAND_LINE_H_
