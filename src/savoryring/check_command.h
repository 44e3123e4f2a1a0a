/// The `check` command: validates and reviews a file before it is submitted.
#ifndef SAVORYRING_SAVORYRING_CHECK_COMMAND_H_
#define SAVORYRING_SAVORYRING_CHECK_COMMAND_H_

#include "savoryring/commands.h"

namespace savoryring {

/// Throws Error with all problems if the file is invalid.
void Check(const Arguments& arguments);

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRING_CHECK_COMMAND_H_
