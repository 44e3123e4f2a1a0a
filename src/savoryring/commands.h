/// The commands of the command line.
#ifndef SAVORYRING_SAVORYRING_COMMANDS_H_
#define SAVORYRING_SAVORYRING_COMMANDS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savoryring {

using Arguments = std::vector<std::string>;

/// A command; `run` receives the arguments after the command name and throws
/// Error.
struct CliCommand {
  std::string_view name;
  std::string_view usage;
  std::string_view help;
  void (*run)(const Arguments& arguments);
};

std::span<const CliCommand> CliCommands();

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRING_COMMANDS_H_
