#include "libplacement/task_rules.h"

namespace savoryring {

bool SameSpec(const wire::TaskSpec& a, const wire::TaskSpec& b) {
  return a.SerializeAsString() == b.SerializeAsString();
}

bool NeedsRestart(const wire::TaskSpec& a, const wire::TaskSpec& b) {
  return !(ResourcesOf(a) == ResourcesOf(b)) || a.command() != b.command() ||
         a.monitor() != b.monitor();
}

std::string NameOfStopCause(wire::StopCause cause) {
  switch (cause) {
    case wire::STOP_CAUSE_CANCELLED:
      return "cancelled";
    case wire::STOP_CAUSE_REMOVED:
      return "removed from the estate";
    case wire::STOP_CAUSE_CHANGED:
      return "changed in the estate";
    case wire::STOP_CAUSE_EVICTED:
      return "evicted";
    case wire::STOP_CAUSE_DRAINED:
      return "its worker is drained";
    default:
      return "unknown";
  }
}

bool IsRepeatable(const wire::TaskSpec& spec) {
  return spec.repeatable() || spec.monitor();
}

PendingKey PendingKeyOf(const wire::TaskRecord& task) {
  return {.not_urgent = !task.spec().urgent(),
          .sequence = task.sequence(),
          .task = task.id()};
}

bool IsSuspect(const wire::TaskRecord& task) {
  return task.lost_runs() >= kMinLossesOfSuspect;
}

bool IsFinalStop(wire::StopCause cause) {
  return cause == wire::STOP_CAUSE_CANCELLED ||
         cause == wire::STOP_CAUSE_REMOVED;
}

bool IsEnded(wire::TaskState state) {
  return state == wire::TASK_STATE_FINISHED ||
         state == wire::TASK_STATE_CANCELLED ||
         state == wire::TASK_STATE_OUTCOME_UNKNOWN;
}

bool HoldsWorker(wire::TaskState state) {
  return state == wire::TASK_STATE_ASSIGNED ||
         state == wire::TASK_STATE_STOPPING;
}

Resources ResourcesOf(const wire::TaskSpec& spec) {
  return {.processors = spec.processors(),
          .memory_mb = spec.memory_mb(),
          .accelerators = spec.accelerators()};
}

wire::TaskSpec ToTaskSpec(const WorkSpec& spec) {
  wire::TaskSpec task;
  task.set_name(spec.name);
  task.set_team(spec.team);
  task.set_processors(spec.resources.processors);
  task.set_memory_mb(spec.resources.memory_mb);
  task.set_accelerators(spec.resources.accelerators);
  task.set_expected_run_ms(
      static_cast<std::uint32_t>(spec.expected_run.count()));
  task.set_repeatable(spec.repeatable);
  task.set_urgent(spec.urgent);
  task.set_monitor(spec.monitor);
  task.set_command(spec.command);
  for (const std::string& dependency : spec.depends_on)
    task.add_depends_on(dependency);
  return task;
}

std::string NameOf(wire::TaskState state) {
  switch (state) {
    case wire::TASK_STATE_PENDING:
      return "pending";
    case wire::TASK_STATE_ASSIGNED:
      return "assigned";
    case wire::TASK_STATE_STOPPING:
      return "stopping";
    case wire::TASK_STATE_FINISHED:
      return "finished";
    case wire::TASK_STATE_CANCELLED:
      return "cancelled";
    case wire::TASK_STATE_PARKED:
      return "parked";
    case wire::TASK_STATE_OUTCOME_UNKNOWN:
      return "outcome-unknown";
    default:
      return "unknown";
  }
}

bool IsLateReport(const wire::TaskRecord& task,
                  const wire::TaskReport& report) {
  const bool ended = report.state() == wire::TASK_FINISHED ||
                     report.state() == wire::TASK_FAILED ||
                     report.state() == wire::TASK_STOPPED;
  return task.state() == wire::TASK_STATE_OUTCOME_UNKNOWN &&
         task.epoch() == report.epoch() && ended;
}

}  // namespace savoryring
