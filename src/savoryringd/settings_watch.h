/// Reloads the settings on SIGHUP or when the file changes.
#ifndef SAVORYRING_SAVORYRINGD_SETTINGS_WATCH_H_
#define SAVORYRING_SAVORYRINGD_SETTINGS_WATCH_H_

#include <signal.h>

#include <string>

#include "savoryringd/process.h"

namespace savoryring {

class SettingsWatcher {
 public:
  /// `process` must outlive the watcher.
  SettingsWatcher(std::string path, Process& process);

  /// Reloads until one of `signals` other than SIGHUP arrives. All of them must
  /// be blocked.
  void RunUntilEndSignal(const sigset_t& signals);

 private:
  void ReloadIfChanged();

  std::string path;
  Process* process;
  std::string text;  // of the settings in use
};

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_SETTINGS_WATCH_H_
