#include "libcontrol/document_tasks.h"

#include <google/protobuf/io/coded_stream.h>

#include <utility>

#include "libcontrol/control_api.h"

namespace savoryring {
namespace {

class TaskRunner {
 public:
  DocumentOutput operator()(CheckEstateCall& input) const {
    wire::Command command = ParseEstateSubmission(input.call);
    input.call.clear_body();
    CheckedEstate checked{.submission = ToEstateSubmission(
                              std::move(*command.mutable_submit_estate()))};
    const EstateSubmission& submission = checked.submission;
    wire::SubmitEstate& submit = *command.mutable_submit_estate();
    submit.set_version(submission.version);
    submit.set_request_id(submission.request_id);
    submit.set_highest_wins(submission.highest_wins);
    submit.set_text(submission.prepared->text);
    submit.set_source(submission.prepared->source);
    submit.set_parsed(submission.prepared->parsed);
    checked.command = command.SerializeAsString();
    return checked;
  }

  DocumentOutput operator()(ReadEstateEntry& input) const {
    wire::Command command;
    if (!command.ParseFromString(input.command))
      throw Error(ResultCode::kDamagedLog, "a submitted estate");
    std::string().swap(input.command);
    return ToEstateSubmission(std::move(*command.mutable_submit_estate()));
  }

  DocumentOutput operator()(ReadSnapshot& input) const {
    wire::ControlSnapshot saved;
    if (!saved.ParseFromString(input.state))
      throw Error(ResultCode::kDamagedLog, "a received snapshot");
    std::string().swap(input.state);
    auto state = std::make_unique<ControlState>(input.mutations);
    state->Restore(saved);
    return state;
  }

  DocumentOutput operator()(const FormatEstate& input) const {
    return FormatEstateReply(input.revision, *input.estate);
  }
};

}  // namespace

DocumentResult RunDocumentTask(DocumentTask task) {
  try {
    return {.id = task.id, .output = std::visit(TaskRunner(), task.input)};
  } catch (const Error& failure) {
    return {.id = task.id, .output = failure};
  } catch (const std::exception& failure) {
    return {.id = task.id,
            .output = Error(ResultCode::kInternal, failure.what())};
  }
}

// A command has one field, which comes first.
bool SubmitsEstate(const wire::LogEntry& entry) {
  constexpr int kWireTypeBits = 3;
  const std::string& command = entry.command();
  google::protobuf::io::CodedInputStream stream(
      reinterpret_cast<const std::uint8_t*>(command.data()),
      static_cast<int>(command.size()));
  return stream.ReadTag() >> kWireTypeBits ==
         wire::Command::kSubmitEstateFieldNumber;
}

}  // namespace savoryring
