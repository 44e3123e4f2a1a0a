/// Numbered result codes and the exception that carries them.
#ifndef SAVORYRING_RESULT_H_
#define SAVORYRING_RESULT_H_

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace savoryring {

/// Every outcome that is reported to users and programs. The numbers are
/// stable: a number is never reused with another meaning.
enum class ResultCode {
  kOk = 0,
  // 1xx: the command line, the settings and the estate file.
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
  // 2xx: requests from callers.
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
  // 3xx: the control group and revisions of the estate.
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
  kUnknownZone = 313,
  kLastZone = 314,
  kEvacuationOff = 315,
  // 4xx: persistent state.
  kDamagedLog = 400,
  kDiskFailed = 401,
  kForeignDisk = 402,
  // 5xx: this process and its network.
  kAddressInUse = 500,
  kUnreachable = 501,
  kInternal = 599,
};

/// Entry of the result code table.
struct ResultInfo {
  ResultCode code = ResultCode::kOk;
  std::string_view name;
  int http_status = 200;
  bool not_run = true;  ///< Whether the request is guaranteed not to have run.
  std::string_view message;
};

/// All result codes in ascending order of their numbers.
std::span<const ResultInfo> ResultTable();

/// The table entry of `code`, or that of kInternal for an unknown code.
const ResultInfo& InfoOf(ResultCode code);

inline int NumberOf(ResultCode code) {
  return static_cast<int>(code);
}

/// A validation error in a document, located by a JSON pointer.
struct Problem {
  ResultCode code = ResultCode::kInternal;
  std::string pointer;
  std::string detail;
};

/// The exception type of all savoryring code: a result code with a detail text,
/// or a list of validation problems.
class Error : public std::runtime_error {
 public:
  Error(ResultCode code, const std::string& detail);
  /// `problems` must not be empty; code() is that of the first one.
  explicit Error(std::vector<Problem> problems);

  ResultCode code() const { return this->result_code; }
  const std::vector<Problem>& problems() const { return this->problem_list; }

 private:
  ResultCode result_code;
  std::vector<Problem> problem_list;
};

/// The JSON body of a response that savoryring itself generates, as opposed to
/// one that it forwards from an endpoint.
std::string ResultBody(ResultCode code, std::string_view detail);

}  // namespace savoryring

#endif  // SAVORYRING_RESULT_H_
