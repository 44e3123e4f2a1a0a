/// `savoryring replay`: a trace through the placement cores.
#ifndef SAVORYRING_SAVORYRING_REPLAY_COMMAND_H_
#define SAVORYRING_SAVORYRING_REPLAY_COMMAND_H_

#include <string>

namespace savoryring {

struct ReplayCommandOptions {
  std::string path;
  std::string policy;    ///< Empty: the system's own.
  bool session = false;  ///< Also print each decision.
  bool all = false;      ///< Compare every policy in a table.
  bool json = false;
};

/// Throws Error (kUnreadableFile, kUnknownCommand and those of the trace).
void RunReplayCommand(const ReplayCommandOptions& options);

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRING_REPLAY_COMMAND_H_
