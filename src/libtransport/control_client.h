/// Client of the control group: finds the leader, resends calls that are not
/// answered, and replaces unresponsive connections. Calls may be sent more than
/// once, so they must be idempotent. A leader gets the calls in the order in
/// which they came, so that a later call is not decided by an older estate.
/// Deterministic: does no I/O and reads no clock.
#ifndef SAVORYRING_LIBTRANSPORT_CONTROL_CLIENT_H_
#define SAVORYRING_LIBTRANSPORT_CONTROL_CLIENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "libtransport/leader_finder.h"
#include "libtransport/link.pb.h"
#include "savoryring/time.h"

namespace savoryring {

/// Safety mechanisms that tests disable to show that their checks detect it.
struct ControlClientMutations {
  /// Reports calls with an unknown outcome as refused.
  bool report_unknown_as_refused = false;
};

struct ControlClientOptions {
  std::vector<std::string> links;  ///< Links of all replicas.
  /// Wait for a replica's answer, or its word that it works on the call,
  /// before another one is asked. Starts when the call has been transferred.
  Milliseconds answer_timeout{400};
  /// After this time, a call that certainly no leader has accepted fails with
  /// kNoLeader, also before its deadline.
  Milliseconds no_leader_timeout{3'600'000};
  ControlClientMutations mutations;
};

struct SendCall {
  std::string link;
  wire::ControlCall call;
};
struct ReplaceControlConnection {
  std::string link;
};
/// `reply.history` says why the call waited.
struct DeliverReply {
  wire::ControlReply reply;
};
/// An action that the owner of the client must carry out.
using ControlClientEffect =
    std::variant<SendCall, ReplaceControlConnection, DeliverReply>;

class ControlClient {
 public:
  explicit ControlClient(ControlClientOptions options);

  /// Starts a call. `call.call_id` must be above those of earlier calls.
  void OnCall(wire::ControlCall call, TimePoint deadline, TimePoint now);
  /// `link` is the address of the replica that replied.
  void OnReply(const std::string& link,
               const wire::ControlReply& reply,
               TimePoint now);
  /// Resends calls whose answer timed out and fails those past their deadline.
  void OnTick(TimePoint now);

  std::vector<ControlClientEffect> TakeEffects();
  /// Link of the presumed leader.
  const std::string& leader_link() const { return this->finder.current(); }
  /// The replica at `link` says that it leads.
  void OnLeaderAnnounced(const std::string& link, TimePoint now);
  /// Adds the replicas of changed settings.
  void AddLinks(const std::vector<std::string>& links);

 private:
  struct OpenCall {
    wire::ControlCall call;
    TimePoint deadline;
    TimePoint answer_deadline;
    std::string asked_link;  // empty while held
    TimePoint held_since = kNever;
    TimePoint no_leader_deadline;
    bool may_be_committed = false;  // a leader may have accepted it
    wire::CallHistory history;
  };
  void OnNotLeader(OpenCall& open,
                   const std::string& link,
                   const wire::ControlReply& reply,
                   TimePoint now);
  void OnLeaderFound(const std::string& link, TimePoint now);
  void OnRedirect(const std::string& link, TimePoint now);
  void OnLeaderLost(TimePoint retry_time);
  void LeaveSilentReplicas(TimePoint now);
  void LeaveSilentReplica(const std::string& link, TimePoint now);
  void FailExpiredCalls(TimePoint now);
  void ProbeReplica(TimePoint now);
  /// Returns whether the oldest call was sent to the finder's replica.
  bool AskOldest(TimePoint now);
  void Send(OpenCall& open, TimePoint now);
  TimePoint AnswerDeadline(const OpenCall& open, TimePoint now);
  void OnProgress(OpenCall& open, const std::string& link, TimePoint now);
  void Hold(OpenCall& open, TimePoint now);
  static void EndHold(OpenCall& open, TimePoint now);
  void Deliver(OpenCall& open, wire::ControlReply reply, TimePoint now);

  ControlClientOptions options;
  LeaderFinder finder;
  // If true, every open call has been sent to the finder's replica. Otherwise
  // only the oldest one is sent, to one replica after the other.
  bool leader_known = false;
  TimePoint probe_time;                      // no replica is asked before this
  TimePoint probe_answer_deadline = kNever;  // of the replica being asked
  int redirects = 0;                         // since the last answer or probe
  std::map<std::uint64_t, OpenCall> calls;   // oldest first
  // When the large calls sent to a link will have arrived there.
  std::map<std::string, TimePoint> transfer_ends;
  std::vector<ControlClientEffect> effects;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_CONTROL_CLIENT_H_
