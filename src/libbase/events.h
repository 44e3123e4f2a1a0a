/// Numbered log events, written through Boost.Log with one line per event.
#ifndef SAVORYRING_LIBBASE_EVENTS_H_
#define SAVORYRING_LIBBASE_EVENTS_H_

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

#include "savoryring/settings.h"

namespace savoryring {

enum class Severity { kDebug, kInfo, kWarning, kError };

enum class Event {
  kStarted = 1001,
  kStopped = 1002,
  kDraining = 1003,
  kStartFailed = 1004,
  kSettingsReloaded = 1005,
  kSettingsRefused = 1006,
  kLinesDropped = 1007,
  kSlowStep = 1008,
  kForeignMessage = 1101,
  kConnectionReplaced = 1102,
  kLeaderFound = 1103,
  kLeaderSilent = 1104,
  kMalformedInput = 1105,
  kWorkerAnnounced = 1106,
  kWorkerUnconfirmed = 1107,
  kLargeMessage = 1108,
  kRequestAnswered = 1201,
  kRequestRefused = 1202,
  kOutcomeUnknown = 1203,
  kAttemptRetried = 1204,
  kRequestCut = 1205,
  kBodyAborted = 1206,
  kConnectionEvicted = 1207,
  kHeadersLate = 1208,
  kBodyRefused = 1209,
  kRequestAborted = 1210,
  kThreadNotStarted = 1211,
  kEndpointAppeared = 1301,
  kEndpointLeft = 1302,
  kEndpointEjected = 1303,
  kEstateApplied = 1401,
  kEstateRejected = 1402,
  kZoneEvacuated = 1403,
  kZoneReturned = 1404,
  kBecameLeader = 1501,
  kLostLeadership = 1502,
  kGroupFormed = 1503,
  kReplicaReplaced = 1504,
  kSnapshotTaken = 1505,
  kLogDamaged = 1506,
  kTornTailCut = 1507,
  kDiskFailed = 1508,
  kWorkerRegistered = 1601,
  kWorkerLost = 1602,
  kWorkerQuarantined = 1603,
  kTaskStarted = 1701,
  kTaskEnded = 1702,
  kTaskParked = 1703,
  kTaskEvicted = 1704,
  kLeaseEnded = 1705,
  kWorkerUnreachable = 1706,
  kTaskLostRepeatedly = 1707,
  kJobAccepted = 1801,
  kJobEnded = 1802,
  kJobRunStarted = 1803,
  kJobRunEnded = 1804,
  kJobWorkerLost = 1805,
  kJobRunMoved = 1806,
  kJobWorkerSuspended = 1807,
  kJobRunPaced = 1808,
  kJobCallAnswered = 1809,
  kJobWorkerCrashed = 1810,
  kJobTaskSuspected = 1811,
  kJobTaskCleared = 1812,
  kJobStartInDoubt = 1813,
  kJobRefused = 1820,
  kJobRunPreempted = 1821,
  kServingOverTarget = 1830,
  kJobWorkerSlow = 1840,
  kJobWorkerRecovered = 1841,
};

struct EventInfo {
  Event event = Event::kStarted;
  std::string_view name;
  Severity severity = Severity::kInfo;
  std::string_view meaning;
};

/// All events in ascending order of their numbers.
std::span<const EventInfo> EventCatalogue();

/// A named value in a log line.
struct Field {
  std::string_view name;
  std::string value;
};

/// Configures the level, the output and the format. A background thread writes
/// the lines from a bounded queue, so that LogEvent() never blocks on output.
/// Throws Error (kUnreadableFile) where the log file can't be opened.
void StartLog(const LogSettings& settings, const std::string& process);
/// Flushes the queue and stops the background thread. Call it before the
/// process exits.
void StopLog();

/// Writes one line: time, level, process, number, name and the fields. The rate
/// is limited to a few hundred lines per event and second; a kLinesDropped line
/// reports how many were dropped. Thread safe.
void LogEvent(Event event, std::span<const Field> fields);
inline void LogEvent(Event event, std::initializer_list<Field> fields) {
  LogEvent(event, std::span<const Field>(fields.begin(), fields.size()));
}

}  // namespace savoryring

#endif  // SAVORYRING_LIBBASE_EVENTS_H_
