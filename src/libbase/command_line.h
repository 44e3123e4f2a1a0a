/// Reading of the command line into gflags, with numbered errors.
#ifndef SAVORYRING_LIBBASE_COMMAND_LINE_H_
#define SAVORYRING_LIBBASE_COMMAND_LINE_H_

#include <string>
#include <vector>

namespace savoryring {

/// Sets every "--name=value", "--name value" and "--name" (for a boolean)
/// among `arguments` and returns the rest in order. "--help" is returned as
/// the word "--help". Throws Error (kUnknownFlag).
std::vector<std::string> ReadFlags(const std::vector<std::string>& arguments);

}  // namespace savoryring

#endif  // SAVORYRING_LIBBASE_COMMAND_LINE_H_
