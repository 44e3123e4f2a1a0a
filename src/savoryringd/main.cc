// savoryringd: the daemon. Runs the duties that its settings name until it is
// told to end by SIGTERM or SIGINT, then leaves in order.

#include <gflags/gflags.h>
#include <signal.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include "adapter.h"
#include "libbase/command_line.h"
#include "libbase/events.h"
#include "savoryring/result.h"
#include "savoryring/settings.h"
#include "savoryringd/control_duty.h"
#include "savoryringd/endpoint_duty.h"
#include "savoryringd/entry_duty.h"
#include "savoryringd/metrics_duty.h"
#include "savoryringd/process.h"
#include "savoryringd/settings_watch.h"

DEFINE_string(settings, "", "settings file of this process (JSON)");

namespace savoryring {
namespace {

constexpr Milliseconds kDrainPoll{50};

sigset_t BlockEndSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

std::vector<std::unique_ptr<Duty>> MakeDuties(Process& process) {
  const Settings& settings = process.settings();
  std::vector<std::unique_ptr<Duty>> duties;
  if (settings.control)
    duties.push_back(std::make_unique<ControlDuty>(process));
  if (settings.endpoint) {
    std::unique_ptr<Worker> worker;
    if (!settings.endpoint->worker_url.empty())
      worker = std::make_unique<HttpWorker>(settings.endpoint->worker_url);
    duties.push_back(
        std::make_unique<EndpointDuty>(process, std::move(worker)));
  }
  if (settings.entry)
    duties.push_back(std::make_unique<EntryDuty>(process));
  if (!settings.metrics_http.empty())
    duties.push_back(std::make_unique<MetricsDuty>(process));
  if (settings.platform)
    platform::AddDuties(process, duties);
  return duties;
}

// The listeners stay open until the balancer has seen /readyz fail; then what
// is in flight is finished, as far as the deadline allows.
void Drain(const std::vector<std::unique_ptr<Duty>>& duties,
           const TimingSettings& timing) {
  LogEvent(Event::kDraining, {});
  const TimePoint begin = BootClock::now();
  for (const auto& duty : duties)
    duty->Leave();
  std::this_thread::sleep_for(timing.balancer_notice);
  const auto all_idle = [&duties] {
    return std::ranges::all_of(duties,
                               [](const auto& d) { return d->IsIdle(); });
  };
  while (BootClock::now() < begin + timing.drain && !all_idle())
    std::this_thread::sleep_for(kDrainPoll);
}

int Run(const std::string& path) {
  const sigset_t signals = BlockEndSignals();
  const Settings settings = ParseSettings(ReadFile(path));
  StartLog(settings.log, settings.id);
  Process process(settings);
  try {
    const auto duties = MakeDuties(process);
    for (const auto& duty : duties)
      duty->Start();
    LogEvent(Event::kStarted, {{"settings", path}});
    SettingsWatch watch(path, process);
    watch.RunUntilEnd(signals);
    Drain(duties, settings.timing);
    // Fronts stand behind the duties that they call, and stop first.
    std::for_each(duties.rbegin(), duties.rend(),
                  [](const auto& duty) { duty->Stop(); });
  } catch (const Error& failure) {
    const Event event = failure.code() == ResultCode::kDamagedLog
                            ? Event::kLogDamaged
                            : Event::kStartFailed;
    LogEvent(event, {{"why", failure.what()}});
    StopLog();
    throw;
  }
  LogEvent(Event::kStopped, {});
  StopLog();
  return 0;
}

}  // namespace
}  // namespace savoryring

int main(int argc, char** argv) {
  constexpr const char* kUsage =
      "usage: savoryringd --settings=FILE\n"
      "Runs the duties of one savoryring process until SIGTERM. SIGHUP, or a\n"
      "change of the file, makes it read its seeds again.\n";
  try {
    const std::vector<std::string> words =
        savoryring::ReadFlags({argv + 1, argv + argc});
    if (!words.empty() && words[0] == "--help") {
      std::cout << kUsage;
      return 0;
    }
    if (!words.empty() || FLAGS_settings.empty()) {
      throw savoryring::Error(savoryring::ResultCode::kUnknownFlag, kUsage);
    }
    return savoryring::Run(FLAGS_settings);
  } catch (const savoryring::Error& failure) {
    std::cerr << failure.what() << '\n';
    return 2;
  }
}
