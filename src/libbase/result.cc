#include "savoryring/result.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace savoryring {
namespace {

using enum ResultCode;

constexpr std::array kTable{
    ResultInfo{kOk, "ok", 200, false, "done"},
    ResultInfo{kUnknownFlag, "unknown-flag", 400, true,
               "the command line holds an unknown flag or value"},
    ResultInfo{kUnreadableFile, "unreadable-file", 400, true,
               "the file can't be read"},
    ResultInfo{kMalformedJson, "malformed-json", 400, true,
               "the text is not valid JSON"},
    ResultInfo{kUnknownKey, "unknown-key", 400, true,
               "the text holds a key that is not known"},
    ResultInfo{kWrongType, "wrong-type", 400, true,
               "a value has the wrong type"},
    ResultInfo{kMissingKey, "missing-key", 400, true,
               "a required key is missing"},
    ResultInfo{kOutOfRange, "out-of-range", 400, true,
               "a value is out of its range"},
    ResultInfo{kDuplicateName, "duplicate-name", 400, true,
               "a name is used twice"},
    ResultInfo{kDanglingDependency, "dangling-dependency", 400, true,
               "a name refers to nothing in the text"},
    ResultInfo{kDependencyCycle, "dependency-cycle", 400, true,
               "dependencies form a cycle"},
    ResultInfo{kImpossibleSize, "impossible-size", 400, true,
               "a declared size can never be met"},
    ResultInfo{kUnknownCommand, "unknown-command", 400, true,
               "the command is not known"},
    ResultInfo{kUnknownService, "unknown-service", 404, true,
               "the estate has no such service"},
    ResultInfo{kBodyTooLarge, "body-too-large", 413, true,
               "the body is larger than the limit"},
    ResultInfo{kWrongMethod, "wrong-method", 405, true,
               "the method is not allowed here"},
    ResultInfo{kBadHeader, "bad-header", 400, true,
               "a request header has a bad value"},
    ResultInfo{kNotFound, "not-found", 404, true, "there is no such path"},
    ResultInfo{kNoEndpoint, "no-endpoint", 503, true,
               "no endpoint serves this now"},
    ResultInfo{kOverloaded, "overloaded", 503, true,
               "all slots are taken and the queue is full, or a job would end "
               "too late"},
    ResultInfo{kDeadlineTooShort, "deadline-too-short", 503, true,
               "the request can't be answered before its deadline"},
    ResultInfo{kLeaving, "leaving", 503, true,
               "the endpoint is leaving and takes no new work"},
    ResultInfo{kNotStartedInTime, "not-started-in-time", 503, true,
               "the deadline passed before the request was started"},
    ResultInfo{kNotReady, "not-ready", 503, true,
               "this process does not serve yet or any more"},
    ResultInfo{kOutcomeUnknown, "outcome-unknown", 504, false,
               "the request may have run; its answer did not come in time"},
    ResultInfo{kEndpointFailed, "endpoint-failed", 502, false,
               "the endpoint failed while it ran the request"},
    ResultInfo{kDamagedMessage, "damaged-message", 502, false,
               "an answer was damaged on its way"},
    ResultInfo{kClaimHeld, "claim-held", 504, false,
               "another request with this key is still in progress"},
    ResultInfo{kClaimMismatch, "claim-mismatch", 409, true,
               "the key was used for another request"},
    ResultInfo{kClaimUnavailable, "claim-unavailable", 503, true,
               "the key could not be claimed in time"},
    ResultInfo{kNoLeader, "no-leader", 503, true,
               "the control group has no reachable leader"},
    ResultInfo{kVersionConflict, "version-conflict", 409, true,
               "this version was accepted with other content"},
    ResultInfo{kVersionNotNext, "version-not-next", 409, true,
               "the version is not the current one plus one"},
    ResultInfo{kNotCommittedInTime, "not-committed-in-time", 504, false,
               "the change may still be committed; send it again"},
    ResultInfo{kUnknownTask, "unknown-task", 404, true,
               "there is no such task"},
    ResultInfo{kUnknownTaskClass, "unknown-task-class", 400, true,
               "the estate has no such task class"},
    ResultInfo{kUnknownTeam, "unknown-team", 400, true,
               "the estate has no such team"},
    ResultInfo{kUnknownWorker, "unknown-worker", 404, true,
               "there is no such worker"},
    ResultInfo{kNothingToDecide, "nothing-to-decide", 409, true,
               "the task is not one that waits for an operator"},
    ResultInfo{kUnknownJob, "unknown-job", 410, true,
               "there is no job of this id"},
    ResultInfo{kUnknownQueue, "unknown-queue", 404, true,
               "no queue of the estate takes this host and path"},
    ResultInfo{kNoEstate, "no-estate", 503, true,
               "no estate has been accepted yet"},
    ResultInfo{kMalformedJob, "malformed-job", 400, true,
               "the job can't be read or contradicts itself"},
    ResultInfo{kUnknownZone, "unknown-zone", 422, true,
               "no setting and no known worker names this zone"},
    ResultInfo{kLastZone, "last-zone", 409, true,
               "every other zone with workers is evacuated"},
    ResultInfo{kEvacuationOff, "evacuation-off", 404, true,
               "the settings name no zones that may be evacuated"},
    ResultInfo{kDamagedLog, "damaged-log", 500, true,
               "a stored record is damaged"},
    ResultInfo{kDiskFailed, "disk-failed", 500, true,
               "the data folder can't be written"},
    ResultInfo{kForeignDisk, "foreign-disk", 500, true,
               "the data folder belongs to another replica"},
    ResultInfo{kAddressInUse, "address-in-use", 500, true,
               "the address can't be listened on"},
    ResultInfo{kUnreachable, "unreachable", 502, false,
               "the peer can't be reached"},
    ResultInfo{kInternal, "internal", 500, false, "an internal fault"},
};

std::string FormatProblems(const std::vector<Problem>& problems) {
  std::string text;
  for (const Problem& problem : problems) {
    if (!text.empty())
      text += "\n";
    const ResultInfo& info = InfoOf(problem.code);
    text += "error " + std::to_string(NumberOf(problem.code)) + " " +
            std::string(info.name);
    if (!problem.pointer.empty())
      text += " at " + problem.pointer;
    text += ": " + problem.detail;
  }
  return text;
}

}  // namespace

std::span<const ResultInfo> ResultTable() {
  return kTable;
}

const ResultInfo& InfoOf(ResultCode code) {
  const auto* found = std::ranges::find(kTable, code, &ResultInfo::code);
  return found == kTable.end() ? kTable.back() : *found;
}

Error::Error(ResultCode code, const std::string& detail)
    : Error(std::vector<Problem>{
          {.code = code, .pointer = "", .detail = detail}}) {}

Error::Error(std::vector<Problem> problems)
    : std::runtime_error(FormatProblems(problems)),
      result_code(problems.front().code),
      problem_list(std::move(problems)) {}

std::string ResultBody(ResultCode code, std::string_view detail) {
  const ResultInfo& info = InfoOf(code);
  std::string message(info.message);
  if (!detail.empty())
    message += ": " + std::string(detail);
  const nlohmann::json body{{"code", NumberOf(code)},
                            {"name", info.name},
                            {"message", message},
                            {"not_run", info.not_run}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

}  // namespace savoryring
