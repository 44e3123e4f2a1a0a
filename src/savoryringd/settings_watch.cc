#include "savoryringd/settings_watch.h"

#include <ctime>
#include <utility>

#include "libbase/events.h"

namespace savoryring {
namespace {

// Time between two looks at the file for a change without a signal.
constexpr timespec kLookInterval{.tv_sec = 2, .tv_nsec = 0};

}  // namespace

SettingsWatch::SettingsWatch(std::string path, Process& process)
    : path(std::move(path)), process(&process), text(ReadFile(this->path)) {}

void SettingsWatch::RunUntilEnd(const sigset_t& signals) {
  while (true) {
    const int received = sigtimedwait(&signals, nullptr, &kLookInterval);
    if (received > 0 && received != SIGHUP)
      return;
    this->ReloadIfChanged();
  }
}

void SettingsWatch::ReloadIfChanged() {
  try {
    std::string fresh = ReadFile(this->path);
    if (fresh == this->text)
      return;
    this->process->Reload(ParseSettings(fresh));
    this->text = std::move(fresh);
    LogEvent(Event::kSettingsReloaded, {{"settings", this->path}});
  } catch (const Error& failure) {
    // The file may be in the middle of being written; it is read again soon.
    LogEvent(Event::kSettingsRefused, {{"why", failure.what()}});
  }
}

}  // namespace savoryring
