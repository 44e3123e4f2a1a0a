/// Numbered result codes and the exception that carries them.
#ifndef SAVORYRING_RESULT_H_
#define SAVORYRING_RESULT_H_

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace savoryring {

/// Every outcome that savoryring reports to a person or a program. Numbers
/// are stable: a number is never given to another meaning.
enum class ResultCode {
  kOk = 0,
  // 1xx: the command line, settings and the estate text.
  kUnknownFlag = 100,
  kUnreadableFile = 101,
  kMalformedJson = 102,
  kUnknownKey = 103,
  kWrongType = 104,
  kMissingKey = 105,
  kOutOfRange = 106,
  kDuplicateName = 107,
  kDanglingDependency = 108,
  kDependencyCycle = 109,
  kImpossibleSize = 110,
  kUnknownCommand = 111,
  // 2xx: requests of callers.
  kUnknownService = 200,
  kBodyTooLarge = 201,
  kWrongMethod = 202,
  kBadHeader = 203,
  kNotFound = 204,
  kNoEndpoint = 210,
  kOverloaded = 211,
  kDeadlineTooShort = 212,
  kLeaving = 213,
  kNotStartedInTime = 214,
  kNotReady = 215,
  kOutcomeUnknown = 220,
  kEndpointFailed = 221,
  kDamagedMessage = 222,
  kClaimHeld = 230,
  kClaimMismatch = 231,
  kClaimUnavailable = 232,
  // 3xx: the control group and the estate's revisions.
  kNoLeader = 300,
  kVersionConflict = 301,
  kVersionNotNext = 302,
  kNotCommittedInTime = 303,
  kUnknownTask = 304,
  kUnknownTaskClass = 305,
  kUnknownTeam = 306,
  kUnknownWorker = 307,
  kNothingToDecide = 308,
  kUnknownJob = 309,
  kUnknownQueue = 310,
  kNoEstate = 311,
  kMalformedJob = 312,
  // 4xx: stored state.
  kDamagedLog = 400,
  kDiskFailed = 401,
  kForeignDisk = 402,
  // 5xx: this process and its surroundings.
  kAddressInUse = 500,
  kUnreachable = 501,
  kInternal = 599,
};

/// One row of the table of result codes.
struct ResultInfo {
  ResultCode code = ResultCode::kOk;
  std::string_view name;
  int http_status = 200;
  bool not_run = true;  ///< Whether a request so answered truly did not run.
  std::string_view message;
};

/// The whole table, by ascending number.
std::span<const ResultInfo> ResultTable();

/// The row of `code`; of kInternal where the code is not in the table.
const ResultInfo& InfoOf(ResultCode code);

inline int NumberOf(ResultCode code) {
  return static_cast<int>(code);
}

/// One fault found in a text, with the JSON pointer of its place.
struct Problem {
  ResultCode code = ResultCode::kInternal;
  std::string pointer;
  std::string detail;
};

/// Exception of the whole project: a result code and what it is about.
class Error : public std::runtime_error {
 public:
  Error(ResultCode code, const std::string& detail);
  /// `problems` must not be empty; the first one gives the code.
  explicit Error(std::vector<Problem> problems);

  ResultCode code() const { return this->result_code; }
  const std::vector<Problem>& problems() const { return this->problem_list; }

 private:
  ResultCode result_code;
  std::vector<Problem> problem_list;
};

/// The JSON body of an answer that savoryring itself makes.
std::string ResultBody(ResultCode code, std::string_view detail);

}  // namespace savoryring

#endif  // SAVORYRING_RESULT_H_
