// Benchmarks of the control state, the scheduler, the router and the replica
// log on this machine, for docs/CAPACITY.md. Not part of CI, as there are no
// pass or fail criteria.

#include <fcntl.h>
#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "libcontrol/control_core.h"
#include "libplacement/scheduler.h"
#include "libreplication/replica_store.h"
#include "librouting/router.h"

namespace savoryring {
namespace {

namespace fs = std::filesystem;

const TimePoint kStartTime = TimePoint(std::chrono::hours(1));

double ToFractionalMs(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

double MeasureMs(const std::function<void()>& work) {
  const TimePoint begin = BootClock::now();
  work();
  return ToFractionalMs(BootClock::now() - begin);
}

std::uint64_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  statm >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

// A control state with registered workers and pending tasks. The scheduler
// sees the workers only after SendHeartbeats().
class PopulatedState {
 public:
  PopulatedState(int workers, int tasks) {
    this->SubmitEstateWithTeams();
    for (int i = 0; i < workers; ++i)
      this->RegisterWorker("vm-" + std::to_string(i));
    for (int i = 0; i < tasks; ++i)
      this->SubmitTask();
  }

  void SendHeartbeats(Scheduler& scheduler, TimePoint now) {
    for (const auto& [id, worker] : this->state.workers()) {
      wire::WorkerHeartbeat heartbeat;
      *heartbeat.mutable_worker() = worker.record.description();
      heartbeat.add_serving("gauge-check");
      scheduler.OnHeartbeat(this->state, heartbeat, 1, now);
    }
  }
  void Apply(const wire::Command& command) {
    this->state.Apply(command, ++this->index);
  }
  void SubmitTask() {
    wire::Command command;
    wire::TaskSpec* spec = command.mutable_submit_task()->mutable_spec();
    spec->set_name("temper");
    spec->set_team("team-" + std::to_string(this->index % 210));
    spec->set_processors(1);
    spec->set_memory_mb(512);
    spec->set_command("temper lot");
    command.mutable_submit_task()->set_key("key-" +
                                           std::to_string(this->index));
    this->Apply(command);
  }

  ControlState state;
  std::uint64_t index = 0;

 private:
  void SubmitEstateWithTeams() {
    std::string teams;
    for (int i = 0; i < 210; ++i) {
      teams += (i == 0 ? "" : ",") + std::string("{\"name\":\"team-") +
               std::to_string(i) +
               "\",\"quota\":{\"processors\":100000,\"memory_mb\":100000000}}";
    }
    wire::Command command;
    command.mutable_submit_estate()->set_version(1);
    command.mutable_submit_estate()->set_text(
        "{\"services\":[{\"name\":\"gauge-check\"}],\"teams\":[" + teams +
        "]}");
    this->Apply(command);
  }
  void RegisterWorker(const std::string& id) {
    wire::Command command;
    auto* description =
        command.mutable_register_worker()->mutable_description();
    description->set_id(id);
    description->set_processors(16);
    description->set_memory_mb(61440);
    command.mutable_register_worker()->set_incarnation(1);
    this->Apply(command);
  }
};

void BenchPlacement() {
  std::cout << "\nplacement: assignments a second, one core\n";
  for (const int workers : {11, 300, 1000, 2100}) {
    PopulatedState populated(workers, workers * 14);
    Scheduler scheduler({}, kStartTime - std::chrono::hours(1));
    TimePoint now = kStartTime;
    populated.SendHeartbeats(scheduler, now);
    std::uint64_t assigned = 0;
    const double decide_ms = MeasureMs([&] {
      while (true) {
        const auto commands = scheduler.Decide(populated.state, now);
        std::uint64_t count = 0;
        for (const wire::Command& command : commands) {
          count += static_cast<std::uint64_t>(
              command.assign_tasks().assignments_size());
          populated.Apply(command);
        }
        assigned += count;
        now += Milliseconds(1);
        if (count == 0)
          break;
      }
    });
    const double idle_ms =
        MeasureMs([&] { scheduler.Decide(populated.state, now); });
    std::cout << "  workers " << std::setw(5) << workers << "  assigned "
              << std::setw(6) << assigned << "  per second " << std::setw(9)
              << static_cast<double>(assigned) / decide_ms * 1000
              << "  idle decision ms " << idle_ms << '\n';
  }
}

void BenchSnapshot() {
  std::cout << "\nstate: snapshot and memory by tasks (2100 workers)\n";
  for (const int tasks : {1000, 10000, 30000}) {
    const std::uint64_t before = ResidentBytes();
    PopulatedState populated(2100, tasks);
    const std::uint64_t after = ResidentBytes();
    std::string bytes;
    const double save_ms =
        MeasureMs([&] { bytes = populated.state.Save().SerializeAsString(); });
    ControlState restored;
    const double restore_ms = MeasureMs([&] {
      wire::ControlSnapshot snapshot;
      snapshot.ParseFromString(bytes);
      restored.Restore(snapshot);
    });
    std::cout << "  tasks " << std::setw(6) << tasks << "  snapshot KB "
              << std::setw(7) << bytes.size() / 1024 << "  save ms "
              << std::setw(8) << save_ms << "  restore ms " << std::setw(8)
              << restore_ms << "  resident MB " << (after - before) / (1 << 20)
              << '\n';
  }
}

void BenchHeartbeats() {
  std::cout << "\nheartbeat: bytes by tasks on the worker (envelope added), "
               "and the leader's time for one\n";
  for (const int tasks : {0, 5, 15, 30}) {
    wire::WorkerHeartbeat heartbeat;
    wire::WorkerDescription* worker = heartbeat.mutable_worker();
    worker->set_id("vm-1234");
    worker->set_rack("rack-412");
    worker->set_availability_zone("gurjaani");
    worker->set_processors(16);
    worker->set_memory_mb(61440);
    heartbeat.set_sent_boottime_ns(1);
    heartbeat.set_orders_version(123456);
    for (int i = 0; i < tasks; ++i) {
      wire::TaskReport* report = heartbeat.add_reports();
      report->set_task("task-123456");
      report->set_epoch(1);
      report->set_state(wire::TASK_RUNNING);
      wire::TaskUsage* usage = heartbeat.add_usage();
      usage->set_task("task-123456");
      usage->set_epoch(1);
      usage->set_processors(1.5);
      usage->set_memory_mb(400);
    }
    heartbeat.add_serving("gauge-check");
    wire::Envelope envelope;
    envelope.set_sender("vm-1234");
    envelope.set_incarnation(1);
    envelope.set_revision(3300);
    envelope.set_kind(wire::WORKER_HEARTBEAT);
    envelope.set_body(heartbeat.SerializeAsString());
    envelope.set_body_checksum(1);
    PopulatedState populated(2100, 0);
    Scheduler scheduler({}, kStartTime);
    constexpr int kHeartbeats = 20000;
    const double ms = MeasureMs([&] {
      for (int i = 0; i < kHeartbeats; ++i) {
        wire::WorkerHeartbeat parsed;
        parsed.ParseFromString(envelope.body());
        scheduler.OnHeartbeat(populated.state, parsed, 1, kStartTime);
      }
    });
    std::cout << "  tasks " << std::setw(3) << tasks << "  bytes "
              << envelope.ByteSizeLong() << "  leader us "
              << ms * 1000 / kHeartbeats << '\n';
  }
}

void BenchRouter() {
  std::cout << "\nrouter: time of one request by endpoints known\n";
  for (const int endpoints : {11, 100, 1000, 2100}) {
    Router router({.entry = "e", .incarnation = 1, .use_hedges = false});
    Estate estate;
    estate.services.push_back({.name = "s"});
    router.OnEstate(estate);
    for (int i = 0; i < endpoints; ++i) {
      wire::EndpointAnnouncement announcement;
      announcement.set_link("127.0.0.1:1");
      announcement.set_sequence(1);
      announcement.set_valid_ms(1U << 30U);
      wire::ServiceAnnouncement* service = announcement.add_services();
      service->set_service("s");
      service->set_slots(8);
      service->set_serving(true);
      router.OnAnnouncement("vm-" + std::to_string(i), 1, announcement,
                            kStartTime);
    }
    constexpr std::uint64_t kRequests = 3000;
    const double ms = MeasureMs([&] {
      for (std::uint64_t i = 1; i <= kRequests; ++i) {
        router.OnRequest({.id = i,
                          .service = "s",
                          .deadline = kStartTime + Milliseconds(1000),
                          .repeatable = true},
                         kStartTime);
        router.OnAttemptStatus(
            {.key = {.entry = "e", .entry_incarnation = 1, .counter = i},
             .state = wire::ATTEMPT_ANSWERED},
            kStartTime);
        router.TakeEffects();
      }
    });
    std::cout << "  endpoints " << std::setw(5) << endpoints << "  us "
              << ms * 1000 / kRequests << '\n';
  }
}

std::string MakeTemporaryFolder() {
  char name[] = "/tmp/savoryring-bench.XXXXXX";
  return mkdtemp(name);
}

wire::LogEntry MakeLogEntry(std::uint64_t index, std::size_t bytes) {
  wire::LogEntry entry;
  entry.set_index(index);
  entry.set_term(1);
  entry.set_command(std::string(bytes, 'x'));
  return entry;
}

void PrintQuantiles(const std::string& name, std::vector<double> times) {
  std::ranges::sort(times);
  std::cout << "  " << std::left << std::setw(34) << name << std::right
            << "  p50 ms " << times[times.size() / 2] << "  p99 ms "
            << times[times.size() * 99 / 100] << '\n';
}

void BenchLog() {
  std::cout << "\nlog: one synced write against a bare fdatasync\n";
  const std::string folder = MakeTemporaryFolder();
  constexpr int kSyncedWrites = 500;
  {
    const int descriptor =
        open((folder + "/bare").c_str(),
             O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const std::string bytes(300, 'x');
    std::vector<double> times;
    for (int i = 0; i < kSyncedWrites; ++i) {
      times.push_back(MeasureMs([&] {
        [[maybe_unused]] const auto size =
            write(descriptor, bytes.data(), bytes.size());
        fdatasync(descriptor);
      }));
    }
    close(descriptor);
    PrintQuantiles("bare write and fdatasync", times);
  }
  {
    const int descriptor = open((folder + "/allocated").c_str(),
                                O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
    [[maybe_unused]] const int failed = posix_fallocate(descriptor, 0, 8 << 20);
    fsync(descriptor);
    const std::string page(4096, 'x');
    std::vector<double> times;
    for (int i = 0; i < kSyncedWrites; ++i) {
      times.push_back(MeasureMs([&] {
        [[maybe_unused]] const auto size = pwrite(
            descriptor, page.data(), page.size(), std::int64_t{i} * 4096);
        fdatasync(descriptor);
      }));
    }
    close(descriptor);
    PrintQuantiles("preallocated 4 KB pages", times);
  }
  for (const int batch : {1, 16, 256}) {
    ReplicaStore store(folder + "/store-" + std::to_string(batch), "a", 1);
    std::uint64_t index = 0;
    std::vector<double> times;
    for (int i = 0; i < kSyncedWrites; ++i) {
      ReplicaOutput output;
      for (int j = 0; j < batch; ++j)
        output.append.push_back(MakeLogEntry(++index, 150));
      times.push_back(MeasureMs([&] { store.Store(output, {}); }));
    }
    PrintQuantiles("log, entries a sync: " + std::to_string(batch), times);
  }
  fs::remove_all(folder);
}

void BenchRecovery() {
  std::cout << "\nrecovery: reading and applying a log of changes\n";
  for (const std::uint64_t entries : {1000U, 4000U, 20000U}) {
    const std::string folder = MakeTemporaryFolder();
    {
      ReplicaStore store(folder, "a", 1);
      ReplicaOutput output;
      for (std::uint64_t i = 1; i <= entries; ++i) {
        wire::Command command;
        command.mutable_submit_task()->set_key("k" + std::to_string(i));
        command.mutable_submit_task()->mutable_spec()->set_team("steel");
        wire::LogEntry entry = MakeLogEntry(i, 0);
        entry.set_command(command.SerializeAsString());
        output.append.push_back(std::move(entry));
      }
      store.Store(output, {});
    }
    const double ms = MeasureMs([&] {
      ReplicaStore store(folder, "a", 2);
      ControlState state;
      for (const wire::LogEntry& entry : store.TakeStored().entries) {
        wire::Command command;
        command.ParseFromString(entry.command());
        state.Apply(command, entry.index());
      }
    });
    std::cout << "  entries " << std::setw(6) << entries << "  ms " << ms
              << '\n';
    fs::remove_all(folder);
  }
}

}  // namespace
}  // namespace savoryring

int main() {
  std::cout << std::fixed << std::setprecision(3);
  savoryring::BenchSnapshot();
  savoryring::BenchPlacement();
  savoryring::BenchHeartbeats();
  savoryring::BenchRouter();
  savoryring::BenchLog();
  savoryring::BenchRecovery();
  return 0;
}
