// savoryring: the operators' command line.

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
  std::cout << "\nexit status: 0 done, 1 refused or failed, 2 bad input\n";
}

// gflags keeps --version for itself; the estate's version goes by another
// name inside.
std::vector<std::string> RenameVersion(std::vector<std::string> arguments) {
  for (std::string& argument : arguments) {
    if (argument == "--version" || argument.starts_with("--version="))
      argument.replace(0, std::string("--version").size(), "--estate_version");
  }
  return arguments;
}

int Run(const std::vector<std::string>& arguments) {
  std::vector<std::string> words = ReadFlags(RenameVersion(arguments));
  const bool help = std::ranges::find(words, "--help") != words.end();
  std::erase(words, "--help");
  if (words.empty()) {
    PrintHelp();
    return help ? 0 : kExitUsage;
  }
  const auto commands = CliCommands();
  const auto found = std::ranges::find(commands, words[0], &CliCommand::name);
  if (found == commands.end())
    throw Error(ResultCode::kUnknownCommand, words[0]);
  if (help) {
    std::cout << "usage: savoryring " << found->usage << "\n"
              << found->help << '\n';
    return 0;
  }
  found->run({words.begin() + 1, words.end()});
  return 0;
}

}  // namespace
}  // namespace savoryring

int main(int argc, char** argv) {
  try {
    return savoryring::Run({argv + 1, argv + argc});
  } catch (const savoryring::Error& failure) {
    std::cerr << failure.what() << '\n';
    return savoryring::NumberOf(failure.code()) < savoryring::kFirstRequestCode
               ? savoryring::kExitUsage
               : savoryring::kExitFailed;
  }
}
