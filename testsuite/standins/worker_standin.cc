// Stand-in for the platform's worker: keeps a table of tasks under leases and
// records each start and end of a task as a line of a file. A task's command is
// "WORD MILLISECONDS" and takes that time; with the word "watch" the task runs
// until it is stopped or its lease ends, with "fail" it ends as failed.

#include <gflags/gflags.h>
#include <signal.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "libbase/command_line.h"
#include "libtransport/http.h"

DEFINE_string(listen, "127.0.0.1:9000", "address to serve on");
DEFINE_uint32(processors, 16, "number of processors of this VM");
DEFINE_uint32(memory_mb, 61440, "memory of this VM in MB");
DEFINE_uint32(accelerators, 0, "number of accelerators of this VM");
DEFINE_string(record, "", "file to record task starts and ends in");
DEFINE_string(name, "worker", "worker name in the record file");

namespace savoryring {
namespace {

using nlohmann::json;

struct TaskTableKey {
  std::string id;
  std::uint64_t epoch = 0;
  auto operator<=>(const TaskTableKey& other) const = default;
};

struct RunningTask {
  std::string state = "running";
  std::string command;
  std::uint32_t processors = 0;
  std::uint64_t memory_mb = 0;
  Milliseconds resumed_progress{0};  // progress in the resumed checkpoint
  TimePoint start_time;
  TimePoint finish_time = kNever;
  TimePoint lease_end;
  std::string checkpoint;
};

class TaskTable {
 public:
  HttpResponse Serve(const HttpRequest& request) {
    const std::lock_guard lock(this->mutex);
    this->EndDueTasks(BootClock::now());
    std::vector<std::string> path;
    std::istringstream stream(request.path);
    for (std::string segment; std::getline(stream, segment, '/');) {
      if (!segment.empty())
        path.push_back(segment);
    }
    if (path.size() == 1 && path[0] == "worker")
      return MakeOkResponse({{"processors", FLAGS_processors},
                             {"memory_mb", FLAGS_memory_mb},
                             {"accelerators", FLAGS_accelerators}});
    if (path.size() == 1 && path[0] == "usage")
      return this->ReportUsage();
    if (path.size() == 1)
      return this->ListTasks();
    const TaskTableKey key{.id = path[1], .epoch = std::stoull(path[2])};
    const json body = json::parse(request.body, nullptr, false);
    if (path.size() == 3)
      return this->StartTask(key, body);
    const auto found = this->tasks.find(key);
    if (found == this->tasks.end())
      return MakeJsonResponse(404, "{}");
    return this->HandleAction(key, found->second, path[3], body);
  }

  void Tick() {
    const std::lock_guard lock(this->mutex);
    this->EndDueTasks(BootClock::now());
  }

 private:
  static HttpResponse MakeOkResponse(const json& value) {
    return MakeJsonResponse(200, value.dump());
  }

  HttpResponse StartTask(const TaskTableKey& key, const json& body) {
    const TimePoint now = BootClock::now();
    if (this->tasks.contains(key))
      return MakeJsonResponse(200, "{}");
    RunningTask task;
    task.lease_end =
        TimePoint(Milliseconds(body.value("lease_end_boottime_ms", 0LL)));
    if (task.lease_end <= now)
      return MakeJsonResponse(409, "{}");
    task.command = body.value("command", "");
    task.processors = body.value("processors", 0U);
    task.memory_mb = body.value("memory_mb", 0ULL);
    task.checkpoint = body.value("checkpoint", "");
    if (!task.checkpoint.empty())
      task.resumed_progress = Milliseconds(std::stoll(task.checkpoint));
    task.start_time = now;
    std::istringstream words(task.command);
    std::string word;
    std::int64_t milliseconds = 0;
    words >> word >> milliseconds;
    if (word != "watch")
      task.finish_time =
          now + Milliseconds(milliseconds) - task.resumed_progress;
    this->tasks[key] = task;
    this->Record("start", key, task);
    return MakeJsonResponse(201, "{}");
  }

  HttpResponse HandleAction(const TaskTableKey& key,
                            RunningTask& task,
                            const std::string& action,
                            const json& body) {
    const TimePoint now = BootClock::now();
    if (action == "lease") {
      if (task.state != "running")
        return MakeJsonResponse(409, "{}");
      task.lease_end =
          TimePoint(Milliseconds(body.value("lease_end_boottime_ms", 0LL)));
    } else if (action == "checkpoint") {
      task.checkpoint = std::to_string(
          (task.resumed_progress + RemainingTime(task.start_time, now))
              .count());
      return MakeOkResponse({{"checkpoint", task.checkpoint}});
    } else if (action == "stop" && task.state == "running") {
      task.state = "stopped";
      this->Record("stop", key, task);
    }
    return MakeOkResponse(json::object());
  }

  HttpResponse ListTasks() {
    json list = json::array();
    for (const auto& [key, task] : this->tasks) {
      list.push_back({{"id", key.id},
                      {"epoch", key.epoch},
                      {"state", task.state},
                      {"checkpoint", task.checkpoint}});
    }
    return MakeOkResponse(list);
  }

  HttpResponse ReportUsage() {
    json list = json::array();
    for (const auto& [key, task] : this->tasks) {
      if (task.state == "running") {
        list.push_back({{"id", key.id},
                        {"epoch", key.epoch},
                        {"processors", task.processors * 0.5},
                        {"memory_mb", task.memory_mb * 0.5}});
      }
    }
    return MakeOkResponse(
        {{"measured_boottime_ms", ToMilliseconds(BootClock::now())},
         {"tasks", list}});
  }

  void EndDueTasks(TimePoint now) {
    for (auto& [key, task] : this->tasks) {
      if (task.state != "running")
        continue;
      if (now >= task.finish_time) {
        task.state = task.command.starts_with("fail") ? "failed" : "finished";
        this->Record(task.state, key, task);
      } else if (now >= task.lease_end) {
        task.state = "stopped";
        this->Record("lease-end", key, task);
      }
    }
  }

  void Record(const std::string& event,
              const TaskTableKey& key,
              const RunningTask& task) {
    if (FLAGS_record.empty())
      return;
    std::ofstream(FLAGS_record, std::ios::app)
        << ToNanoseconds(BootClock::now()) << ' ' << FLAGS_name << ' ' << event
        << ' ' << key.id << ' ' << key.epoch << ' ' << task.processors
        << std::endl;
  }

  std::mutex mutex;
  std::map<TaskTableKey, RunningTask> tasks;
};

void Run() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  TaskTable table;
  HttpServer server({.address = FLAGS_listen}, [&](const HttpRequest& request) {
    return table.Serve(request);
  });
  std::jthread ticker([&table](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      table.Tick();
      std::this_thread::sleep_for(Milliseconds(20));
    }
  });
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace
}  // namespace savoryring

int main(int argc, char** argv) {
  try {
    savoryring::ReadFlags({argv + 1, argv + argc});
    savoryring::Run();
    return 0;
  } catch (const savoryring::Error& failure) {
    std::cerr << failure.what() << '\n';
    return 2;
  }
}
