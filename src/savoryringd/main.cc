// savoryringd: the daemon. Runs the duties that its settings name until SIGTERM
// or SIGINT, then drains them and exits.

#include <gflags/gflags.h>
#include <malloc.h>
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

constexpr Milliseconds kDrainPollInterval{50};
// Each arena keeps memory of its own that is free, and handlers run on many
// threads.
constexpr int kMaxArenas = 4;
// Blocks of at least this size are returned to the kernel when they are freed.
// Without the setting the threshold rises with the size of freed blocks, and
// freed bodies and documents stay with the process.
constexpr int kMinMappedBytes = 64 << 10;

sigset_t BlockSignals() {
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

void WaitUntilIdle(const std::vector<std::unique_ptr<Duty>>& duties,
                   TimePoint deadline) {
  const auto all_idle = [&duties] {
    return std::ranges::all_of(duties,
                               [](const auto& duty) { return duty->IsIdle(); });
  };
  while (BootClock::now() < deadline && !all_idle())
    std::this_thread::sleep_for(kDrainPollInterval);
}

// Keeps the listeners open until the load balancer has seen /readyz fail, then
// waits until requests in flight are complete, at most until the end of the
// drain. No request is accepted between the last check and the return.
void Drain(const std::vector<std::unique_ptr<Duty>>& duties,
           const TimingSettings& timing,
           DrainPolicy& policy) {
  LogEvent(Event::kDraining, {});
  const TimePoint begin = BootClock::now();
  const TimePoint end = begin + timing.drain;
  policy.Begin(begin, end);
  for (const auto& duty : duties)
    duty->Leave();
  std::this_thread::sleep_for(timing.balancer_notice);
  WaitUntilIdle(duties, end);
  policy.RefuseNewCalls();
  WaitUntilIdle(duties, end);
}

void LimitFreeMemory() {
  mallopt(M_ARENA_MAX, kMaxArenas);
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
}

int Run(const std::string& path) {
  LimitFreeMemory();
  const sigset_t signals = BlockSignals();
  const Settings settings = ParseSettings(ReadFile(path));
  StartLog(settings.log, settings.id);
  Process process(settings);
  try {
    const auto duties = MakeDuties(process);
    for (const auto& duty : duties)
      duty->Start();
    LogEvent(Event::kStarted, {{"settings", path}});
    SettingsWatcher watcher(path, process);
    watcher.RunUntilEndSignal(signals);
    Drain(duties, settings.timing, process.drain());
    // A platform front comes after the duty that it calls, and must be stopped
    // before it.
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
      "change of the file, makes it reload its seeds.\n";
  try {
    const std::vector<std::string> arguments =
        savoryring::ReadFlags({argv + 1, argv + argc});
    if (!arguments.empty() && arguments[0] == "--help") {
      std::cout << kUsage;
      return 0;
    }
    if (!arguments.empty() || FLAGS_settings.empty()) {
      throw savoryring::Error(savoryring::ResultCode::kUnknownFlag, kUsage);
    }
    return savoryring::Run(FLAGS_settings);
  } catch (const savoryring::Error& failure) {
    std::cerr << failure.what() << '\n';
    return 2;
  }
}
