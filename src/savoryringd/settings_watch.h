/// Reads the settings again on SIGHUP or when the file changes.
#ifndef SAVORYRING_SAVORYRINGD_SETTINGS_WATCH_H_
#define SAVORYRING_SAVORYRINGD_SETTINGS_WATCH_H_

#include <signal.h>

#include <string>

#include "savoryringd/process.h"

namespace savoryring {

class SettingsWatch {
 public:
  /// `process` must outlive the watch.
  SettingsWatch(std::string path, Process& process);

  /// Returns when one of `signals` but SIGHUP arrives. All must be blocked.
  void RunUntilEnd(const sigset_t& signals);

 private:
  void ReloadIfChanged();

  std::string path;
  Process* process;
  std::string text;
};

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_SETTINGS_WATCH_H_
