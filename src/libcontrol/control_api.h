/// Stateless handling of operators' and callers' requests to the control group:
/// parses requests into commands and formats the state as JSON.
#ifndef SAVORYRING_LIBCONTROL_CONTROL_API_H_
#define SAVORYRING_LIBCONTROL_CONTROL_API_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libjobs/job_scheduler.h"
#include "libplacement/control_state.h"
#include "libplacement/scheduler.h"
#include "libreplication/replica.h"
#include "libtransport/link.pb.h"
#include "savoryring/time.h"

namespace savoryring {

/// The estate revision that a process last reported, and until when the process
/// is considered live.
struct ProcessRevision {
  std::uint64_t revision = 0;
  TimePoint valid_until;
};

/// Read-only view of the control state for one call.
struct ControlView {
  const ControlState& state;
  const Scheduler& scheduler;
  const JobScheduler& job_scheduler;
  const Replica& replica;
  const std::map<std::string, ProcessRevision>& processes;
  /// Zones that may be evacuated; see ControlOptions.
  const std::vector<std::string>& availability_zones;
  TimePoint now;
};

/// Whether the call submits an estate.
bool SubmitsEstate(const wire::ControlCall& call);
/// Whether the call asks for the estate in force.
bool QueriesEstate(const wire::ControlCall& call);

/// Returns the command for a request that changes the state, or nothing for a
/// read-only request. Throws Error if the request is malformed. Requests that
/// submit an estate are for ParseEstateSubmission.
std::optional<wire::Command> ParseCommand(const wire::ControlCall& call,
                                          const ControlView& view);

/// Returns the command for a call that submits an estate, without validating
/// the estate's text. Throws Error if the call is malformed.
wire::Command ParseEstateSubmission(const wire::ControlCall& call);

/// The reply to a request for the estate in force.
wire::ControlReply FormatEstateReply(std::uint64_t revision,
                                     const PreparedEstate& estate);

/// Answers a read-only request, but not one for the estate in force. Throws
/// Error (kNotFound, kUnknownTask, kWrongMethod).
wire::ControlReply AnswerQuery(const wire::ControlCall& call,
                               const ControlView& view);

/// Returns the reply to a request whose command has been applied.
wire::ControlReply AnswerApplied(const wire::ControlCall& call,
                                 const ApplyResult& result);

wire::ControlReply MakeErrorReply(ResultCode code, const std::string& detail);

}  // namespace savoryring

#endif  // SAVORYRING_LIBCONTROL_CONTROL_API_H_
