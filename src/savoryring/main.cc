// savoryring: command line for operators.

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

#include "libbase/command_line.h"
#include "savoryring/commands.h"
#include "savoryring/result.h"

namespace savoryring {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kFirstRequestCode = 200;

void PrintHelp() {
  std::cout << "usage: savoryring COMMAND [ARGUMENTS] [--server=URL] [--json]\n"
               "\ncommands:\n";
  for (const CliCommand& command : CliCommands())
    std::cout << "  " << command.usage << "\n      " << command.help << '\n';
  std::cout
      << "\nexit status: 0 success, 1 rejected or failed, 2 invalid input\n";
}

// gflags reserves --version, so --version is parsed as --estate_version.
std::vector<std::string> RenameVersionFlag(std::vector<std::string> arguments) {
  for (std::string& argument : arguments) {
    if (argument == "--version" || argument.starts_with("--version="))
      argument.replace(0, std::string("--version").size(), "--estate_version");
  }
  return arguments;
}

int Run(const std::vector<std::string>& arguments) {
  std::vector<std::string> positional = ReadFlags(RenameVersionFlag(arguments));
  const bool help = std::ranges::find(positional, "--help") != positional.end();
  std::erase(positional, "--help");
  if (positional.empty()) {
    PrintHelp();
    return help ? 0 : kExitUsage;
  }
  const auto commands = CliCommands();
  const auto found =
      std::ranges::find(commands, positional[0], &CliCommand::name);
  if (found == commands.end())
    throw Error(ResultCode::kUnknownCommand, positional[0]);
  if (help) {
    std::cout << "usage: savoryring " << found->usage << "\n"
              << found->help << '\n';
    return 0;
  }
  found->run({positional.begin() + 1, positional.end()});
  return 0;
}

}  // namespace
}  // namespace savoryring

int main(int argc, char** argv) {
  try {
    return savoryring::Run({argv + 1, argv + argc});
  } catch (const savoryring::Error& error) {
    std::cerr << error.what() << '\n';
    return savoryring::NumberOf(error.code()) < savoryring::kFirstRequestCode
               ? savoryring::kExitUsage
               : savoryring::kExitFailed;
  }
}
