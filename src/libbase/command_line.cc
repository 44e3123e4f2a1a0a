#include "libbase/command_line.h"

#include <gflags/gflags.h>

#include "savoryring/result.h"

namespace savoryring {
namespace {

void SetFlag(const std::string& name, const std::string& value) {
  if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
    throw Error(ResultCode::kUnknownFlag,
                "--" + name + " has the invalid value \"" + value + "\"");
  }
}

}  // namespace

std::vector<std::string> ReadFlags(const std::vector<std::string>& arguments) {
  std::vector<std::string> positional;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (!argument.starts_with("--") || argument == "--help") {
      positional.push_back(argument);
      continue;
    }
    const std::size_t equals = argument.find('=');
    const std::string name = argument.substr(2, equals - 2);
    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info))
      throw Error(ResultCode::kUnknownFlag, "--" + name);
    if (equals != std::string::npos) {
      SetFlag(name, argument.substr(equals + 1));
    } else if (info.type == "bool") {
      SetFlag(name, "true");
    } else if (i + 1 < arguments.size()) {
      SetFlag(name, arguments[++i]);
    } else {
      throw Error(ResultCode::kUnknownFlag, "--" + name + " requires a value");
    }
  }
  return positional;
}

}  // namespace savoryring
