/// Work whose length grows with a document or with the state. ControlCore hands
/// it out as tasks, so that it runs on another thread than the one that keeps
/// the leader lease.
#ifndef SAVORYRING_LIBCONTROL_DOCUMENT_TASKS_H_
#define SAVORYRING_LIBCONTROL_DOCUMENT_TASKS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "libestate/estate_state.h"
#include "libplacement/control_state.h"
#include "libreplication/replication.pb.h"
#include "libtransport/link.pb.h"
#include "savoryring/result.h"

namespace savoryring {

/// Validates the estate in a call and makes the command to propose.
struct CheckEstateCall {
  wire::ControlCall call;
};
/// Reads the estate in a log entry.
struct ReadEstateEntry {
  std::string command;
};
/// Restores the state from a snapshot.
struct ReadSnapshot {
  std::string state;
  ControlMutations mutations;
};
/// Formats the estate in force for an operator.
struct FormatEstate {
  std::uint64_t revision = 0;
  std::shared_ptr<const PreparedEstate> estate;
};

using DocumentInput =
    std::variant<CheckEstateCall, ReadEstateEntry, ReadSnapshot, FormatEstate>;

struct DocumentTask {
  std::uint64_t id = 0;
  DocumentInput input;
};

/// Outcome of CheckEstateCall.
struct CheckedEstate {
  EstateSubmission submission;
  std::string command;  ///< A serialized wire::Command.
};

/// An Error, or what belongs to the input, in the same order.
using DocumentOutput = std::variant<Error,
                                    CheckedEstate,
                                    EstateSubmission,
                                    std::unique_ptr<ControlState>,
                                    wire::ControlReply>;

struct DocumentResult {
  std::uint64_t id = 0;  ///< Of the task.
  DocumentOutput output;
};

/// Runs the task on the calling thread. Counts parts (see paced_work.h). Throws
/// nothing.
DocumentResult RunDocumentTask(DocumentTask task);

/// Whether the command of the log entry submits an estate.
bool SubmitsEstate(const wire::LogEntry& entry);

}  // namespace savoryring

#endif  // SAVORYRING_LIBCONTROL_DOCUMENT_TASKS_H_
