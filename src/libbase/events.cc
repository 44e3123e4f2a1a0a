#include "libbase/events.h"

#include <algorithm>
#include <array>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/formatter_parser.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

#include "savoryring/result.h"
#include "savoryring/time.h"

namespace savoryring {
namespace {

namespace trivial = boost::log::trivial;

using enum Event;
using enum Severity;

constexpr std::array kCatalogue{
    EventInfo{kStarted, "started", kInfo,
              "a process started and serves its duties"},
    EventInfo{kStopped, "stopped", kInfo, "a process shut down cleanly"},
    EventInfo{kDraining, "draining", kInfo,
              "a process takes no new work and finishes what it has"},
    EventInfo{kStartFailed, "start-failed", kError,
              "a process could not start; the fields say why"},
    EventInfo{kSettingsReloaded, "settings-reloaded", kInfo,
              "the settings file changed and was read again"},
    EventInfo{
        kSettingsRefused, "settings-refused", kWarning,
        "the changed settings can't be used; the previous ones stay in force"},
    EventInfo{
        kLinesDropped, "lines-dropped", kWarning,
        "an event exceeded its rate limit; some of its lines were not written"},
    EventInfo{kSlowStep, "slow-step", kWarning,
              "a step of a duty's loop took long; messages waited meanwhile"},
    EventInfo{
        kForeignMessage, "foreign-message", kWarning,
        "a link port received bytes that are not a valid message; dropped"},
    EventInfo{kConnectionReplaced, "connection-replaced", kWarning,
              "a peer did not respond in time; its connection is replaced"},
    EventInfo{kLeaderFound, "leader-found", kInfo,
              "a leader answers this process"},
    EventInfo{kLeaderSilent, "leader-silent", kWarning,
              "the leader does not respond; another control replica is asked"},
    EventInfo{kMalformedInput, "malformed-input", kWarning,
              "input from outside can't be parsed; it is rejected or dropped"},
    EventInfo{kWorkerAnnounced, "worker-announced", kInfo,
              "a worker announced a new incarnation or a change of its state"},
    EventInfo{kWorkerUnconfirmed, "worker-unconfirmed", kWarning,
              "an announced worker is not the one on this VM; it is not used"},
    EventInfo{kLargeMessage, "large-message", kInfo,
              "a message of 256 KiB or more was sent or received"},
    EventInfo{kRequestAnswered, "request-answered", kDebug,
              "a caller got the endpoint's answer"},
    EventInfo{kRequestRefused, "request-refused", kInfo,
              "a caller's request was refused and did not run"},
    EventInfo{kOutcomeUnknown, "outcome-unknown", kWarning,
              "a caller was told that its request may have run"},
    EventInfo{kAttemptRetried, "attempt-retried", kDebug,
              "another attempt at a request is sent to an endpoint"},
    EventInfo{kRequestCut, "request-cut", kWarning,
              "the process stopped before it answered an open request"},
    EventInfo{kBodyAborted, "body-aborted", kWarning,
              "incomplete requests were aborted to free memory for others"},
    EventInfo{kConnectionEvicted, "connection-evicted", kWarning,
              "waiting connections were closed to admit others, or new ones "
              "were rejected"},
    EventInfo{kHeadersLate, "headers-late", kInfo,
              "connections were closed that did not send headers in time"},
    EventInfo{kBodyRefused, "body-refused", kWarning,
              "requests were refused, or responses dropped, for the size of "
              "their bodies"},
    EventInfo{kRequestAborted, "request-aborted", kWarning,
              "a connection was closed as there was no memory for its request"},
    EventInfo{kThreadNotStarted, "thread-not-started", kWarning,
              "the system starts no more threads for this process; the request "
              "is refused, or the call waits for one of the others"},
    EventInfo{kEndpointAppeared, "endpoint-appeared", kInfo,
              "an endpoint announced itself"},
    EventInfo{kEndpointLeft, "endpoint-left", kInfo,
              "an endpoint announced that it is leaving"},
    EventInfo{kEndpointEjected, "endpoint-ejected", kWarning,
              "an endpoint failed repeatedly and is avoided for a while"},
    EventInfo{kEstateApplied, "estate-applied", kInfo,
              "a revision of the estate is in force in this process"},
    EventInfo{kEstateRejected, "estate-rejected", kWarning,
              "a submitted estate was refused"},
    EventInfo{kZoneEvacuated, "zone-evacuated", kWarning,
              "nothing more is placed on the workers of a zone"},
    EventInfo{kZoneReturned, "zone-returned", kInfo,
              "the workers of an evacuated zone are used again"},
    EventInfo{kBecameLeader, "became-leader", kInfo,
              "this replica leads the control group"},
    EventInfo{kLostLeadership, "lost-leadership", kWarning,
              "this replica no longer leads the control group"},
    EventInfo{kGroupFormed, "group-formed", kInfo,
              "the control group of this replica was formed"},
    EventInfo{kReplicaReplaced, "replica-replaced", kWarning,
              "a replica with a new disk joins the control group"},
    EventInfo{kSnapshotTaken, "snapshot-taken", kInfo,
              "the log was compacted into a snapshot"},
    EventInfo{kLogDamaged, "log-damaged", kError,
              "a stored record is damaged; the replica does not start"},
    EventInfo{kTornTailCut, "torn-tail-cut", kWarning,
              "an incomplete last record was removed from the log"},
    EventInfo{kDiskFailed, "disk-failed", kError,
              "the data folder can't be written; the process ends"},
    EventInfo{kWorkerRegistered, "worker-registered", kInfo,
              "a worker joined or came back"},
    EventInfo{kWorkerLost, "worker-lost", kWarning,
              "a worker's lease ended; its tasks are placed elsewhere"},
    EventInfo{
        kWorkerQuarantined, "worker-quarantined", kWarning,
        "several tasks failed on a worker; it gets only one task at a time"},
    EventInfo{kTaskStarted, "task-started", kInfo, "a worker runs a task"},
    EventInfo{kTaskEnded, "task-ended", kInfo, "a task ended on a worker"},
    EventInfo{kTaskParked, "task-parked", kWarning,
              "a task can't run; the explain command gives the reason"},
    EventInfo{
        kTaskEvicted, "task-evicted", kInfo,
        "a task is stopped after a checkpoint to free resources on its worker"},
    EventInfo{
        kLeaseEnded, "lease-ended", kWarning,
        "the worker's lease was not renewed in time; its tasks are stopped"},
    EventInfo{kWorkerUnreachable, "worker-unreachable", kWarning,
              "the worker on this VM does not answer"},
    EventInfo{kTaskLostRepeatedly, "task-lost-repeatedly", kWarning,
              "workers that ran a task were lost in a row; it is placed again "
              "after a delay"},
    EventInfo{kJobAccepted, "job-accepted", kInfo,
              "a job is stored and will run"},
    EventInfo{kJobEnded, "job-ended", kInfo,
              "a job completed, failed or was cancelled"},
    EventInfo{kJobRunStarted, "job-run-started", kInfo,
              "a task of a job was assigned to a worker"},
    EventInfo{kJobRunEnded, "job-run-ended", kInfo,
              "a run of a task ended on its worker"},
    EventInfo{kJobWorkerLost, "job-worker-lost", kWarning,
              "the runs of a worker were released; the fields say why"},
    EventInfo{kJobRunMoved, "job-run-moved", kInfo,
              "a run is stopped so that its task continues on another worker"},
    EventInfo{kJobWorkerSuspended, "job-worker-suspended", kWarning,
              "a worker gets no new tasks for a while"},
    EventInfo{kJobRunPaced, "job-run-paced", kInfo,
              "the speed limit of a best-effort run changes"},
    EventInfo{kJobCallAnswered, "job-call-answered", kInfo,
              "a caller's submission or cancellation was answered, or a query "
              "that took long or is the first of an estate revision"},
    EventInfo{kJobWorkerCrashed, "job-worker-crashed", kWarning,
              "a worker ended without notice; the fields count the runs that "
              "may have caused it"},
    EventInfo{kJobTaskSuspected, "job-task-suspected", kInfo,
              "a worker crashed just after it began a run of this task"},
    EventInfo{kJobTaskCleared, "job-task-cleared", kInfo,
              "a worker survived a run of a suspected task"},
    EventInfo{kJobStartInDoubt, "job-start-in-doubt", kInfo,
              "a worker rejected a start that an earlier call may have carried "
              "out; the run is stopped before it is reported as rejected"},
    EventInfo{kJobRefused, "job-refused", kInfo,
              "a job would end too late by the work ahead of it, or finds no "
              "memory; it is refused and does not run"},
    EventInfo{
        kJobRunPreempted, "job-run-preempted", kInfo,
        "a run is stopped with its work saved, as a task of a more urgent "
        "queue needs its room"},
    EventInfo{kServingOverTarget, "serving-over-target", kInfo,
              "a serving task was over its latency target; the fields say for "
              "how long and why"},
    EventInfo{kJobWorkerSlow, "job-worker-slow", kInfo,
              "a worker is found slow; it gets work only where no other has "
              "room"},
    EventInfo{kJobWorkerRecovered, "job-worker-recovered", kInfo,
              "a worker that was slow is used again"},
};

trivial::severity_level LevelOf(Severity severity) {
  switch (severity) {
    case kDebug:
      return trivial::debug;
    case kInfo:
      return trivial::info;
    case kWarning:
      return trivial::warning;
    case kError:
      return trivial::error;
  }
  return trivial::error;
}

trivial::severity_level ParseLevel(const std::string& name) {
  if (name == "debug")
    return trivial::debug;
  if (name == "info")
    return trivial::info;
  if (name == "warning")
    return trivial::warning;
  return trivial::error;
}

std::string& ProcessName() {
  static std::string name = "-";
  return name;
}

const EventInfo& InfoOfEvent(Event event) {
  return *std::ranges::find(kCatalogue, event, &EventInfo::event);
}

}  // namespace

std::span<const EventInfo> EventCatalogue() {
  return kCatalogue;
}

namespace {

// Capacity of the queue to the writer thread; lines are dropped when it is
// full.
constexpr std::size_t kMaxQueuedLines = 4096;
// Rate limit of each event.
constexpr std::uint32_t kMaxLinesPerSecond = 250;

using Queue =
    boost::log::sinks::bounded_fifo_queue<kMaxQueuedLines,
                                          boost::log::sinks::drop_on_overflow>;
using StreamSink = boost::log::sinks::
    asynchronous_sink<boost::log::sinks::text_ostream_backend, Queue>;

struct LogState {
  std::mutex mutex;
  boost::shared_ptr<StreamSink> sink;
  bool json = false;
  std::int64_t current_second = 0;
  std::map<Event, std::uint32_t> line_counts;  // in current_second
};

LogState& State() {
  static LogState state;
  return state;
}

std::string FormatText(const EventInfo& info, std::span<const Field> fields) {
  std::string text = ProcessName() + " " +
                     std::to_string(static_cast<int>(info.event)) + " " +
                     std::string(info.name);
  for (const Field& field : fields) {
    const nlohmann::json quoted(field.value);
    text +=
        " " + std::string(field.name) + "=" +
        quoted.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  }
  return text;
}

std::string FormatJson(const EventInfo& info, std::span<const Field> fields) {
  using Clock = std::chrono::system_clock;
  const auto unix_ms =
      std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch());
  nlohmann::ordered_json line{
      {"unix_ms", unix_ms.count()},
      {"level", boost::log::trivial::to_string(LevelOf(info.severity))},
      {"process", ProcessName()},
      {"event", static_cast<int>(info.event)},
      {"name", info.name}};
  for (const Field& field : fields)
    line[std::string(field.name)] = field.value;
  return line.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

void Write(const EventInfo& info, const std::string& line) {
  thread_local boost::log::sources::severity_logger<trivial::severity_level>
      logger;
  BOOST_LOG_SEV(logger, LevelOf(info.severity)) << line;
}

std::string Format(const EventInfo& info, std::span<const Field> fields) {
  return State().json ? FormatJson(info, fields) : FormatText(info, fields);
}

// Counts a line against the rate limit and returns whether it may be written.
// At the start of a new second, sets in `dropped` the number of lines of each
// event that exceeded the limit in the last counted second.
bool AdmitLine(Event event, std::map<Event, std::uint32_t>& dropped) {
  LogState& state = State();
  const std::lock_guard lock(state.mutex);
  const std::int64_t second = ToMilliseconds(BootClock::now()) / 1000;
  if (second != state.current_second) {
    for (const auto& [which, count] : state.line_counts) {
      if (count > kMaxLinesPerSecond)
        dropped[which] = count - kMaxLinesPerSecond;
    }
    state.line_counts.clear();
    state.current_second = second;
  }
  return ++state.line_counts[event] <= kMaxLinesPerSecond;
}

}  // namespace

void StartLog(const LogSettings& settings, const std::string& process) {
  namespace keywords = boost::log::keywords;
  namespace sinks = boost::log::sinks;
  ProcessName() = process;
  LogState& state = State();
  state.json = settings.format == "json";
  boost::log::add_common_attributes();
  boost::log::register_simple_formatter_factory<trivial::severity_level, char>(
      "Severity");
  auto backend = boost::make_shared<sinks::text_ostream_backend>();
  if (settings.file.empty() || settings.file == "-") {
    std::ostream& stream = settings.file.empty() ? std::clog : std::cout;
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&stream, boost::null_deleter()));
  } else {
    std::error_code ignored;
    std::filesystem::create_directories(
        std::filesystem::path(settings.file).parent_path(), ignored);
    auto file = boost::make_shared<std::ofstream>(settings.file, std::ios::app);
    if (!file->is_open())
      throw Error(ResultCode::kUnreadableFile, settings.file);
    backend->add_stream(file);
  }
  backend->auto_flush(true);
  state.sink = boost::make_shared<StreamSink>(backend);
  state.sink->set_formatter(boost::log::parse_formatter(
      state.json ? "%Message%" : "%TimeStamp% %Severity% %Message%"));
  boost::log::core::get()->add_sink(state.sink);
  boost::log::core::get()->set_filter(trivial::severity >=
                                      ParseLevel(settings.level));
}

void StopLog() {
  LogState& state = State();
  if (!state.sink)
    return;
  boost::log::core::get()->remove_sink(state.sink);
  state.sink->stop();
  state.sink->flush();
  state.sink.reset();
}

void LogEvent(Event event, std::span<const Field> fields) {
  std::map<Event, std::uint32_t> dropped;
  const bool admitted = AdmitLine(event, dropped);
  for (const auto& [which, count] : dropped) {
    const EventInfo& info = InfoOfEvent(Event::kLinesDropped);
    const std::array<Field, 2> dropped_fields{
        Field{.name = "of", .value = std::string(InfoOfEvent(which).name)},
        Field{.name = "count", .value = std::to_string(count)}};
    Write(info, Format(info, dropped_fields));
  }
  if (!admitted)
    return;
  const EventInfo& info = InfoOfEvent(event);
  Write(info, Format(info, fields));
}

}  // namespace savoryring
