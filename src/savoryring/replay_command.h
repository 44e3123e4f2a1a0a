/// The command `savoryring replay`, which replays a recorded trace through the
/// placement code.
#ifndef SAVORYRING_SAVORYRING_REPLAY_COMMAND_H_
#define SAVORYRING_SAVORYRING_REPLAY_COMMAND_H_

#include <string>

namespace savoryring {

struct ReplayCommandOptions {
  std::string path;
  std::string policy;    ///< Empty: the default policy.
  bool session = false;  ///< Also print each placement decision.
  bool all = false;      ///< Print a table that compares all policies.
  bool json = false;
};

/// Throws Error (kUnreadableFile, kUnknownCommand for an unknown policy, and
/// those of ParseTrace).
void RunReplayCommand(const ReplayCommandOptions& options);

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRING_REPLAY_COMMAND_H_
