#include "savoryringd/settings_watch.h"

#include <ctime>
#include <utility>

#include "libbase/events.h"

namespace savoryring {
namespace {

// How often the file is checked for a change without a signal.
constexpr timespec kCheckInterval{.tv_sec = 2, .tv_nsec = 0};

}  // namespace

SettingsWatcher::SettingsWatcher(std::string path, Process& process)
    : path(std::move(path)), process(&process), text(ReadFile(this->path)) {}

void SettingsWatcher::RunUntilEndSignal(const sigset_t& signals) {
  while (true) {
    const int received = sigtimedwait(&signals, nullptr, &kCheckInterval);
    if (received > 0 && received != SIGHUP)
      return;
    this->ReloadIfChanged();
  }
}

void SettingsWatcher::ReloadIfChanged() {
  try {
    std::string new_text = ReadFile(this->path);
    if (new_text == this->text)
      return;
    this->process->Reload(ParseSettings(new_text));
    this->text = std::move(new_text);
    LogEvent(Event::kSettingsReloaded, {{"settings", this->path}});
  } catch (const Error& failure) {
    // The file may be partly written; the next check reads it again.
    LogEvent(Event::kSettingsRefused, {{"why", failure.what()}});
  }
}

}  // namespace savoryring
