/// Calls from a duty to the control group: its own, and those forwarded from
/// its HTTP server.
#ifndef SAVORYRING_SAVORYRINGD_CONTROL_CALLER_H_
#define SAVORYRING_SAVORYRINGD_CONTROL_CALLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libtransport/control_client.h"
#include "libtransport/duty_loop.h"
#include "libtransport/http.h"
#include "libtransport/link.h"
#include "savoryring/settings.h"

namespace savoryring {

/// Used on the duty's loop thread only, except for CallFromThread and Forward,
/// which other threads call.
class ControlCaller {
 public:
  using ReplyCallback = std::function<void(const wire::ControlReply&)>;

  /// `link` must outlive this object.
  ControlCaller(Link& link, ControlClientOptions options);

  /// Calls the leader. `callback` is called with the reply, or with an error
  /// reply at `deadline`.
  void Call(wire::ControlCall call,
            TimePoint deadline,
            TimePoint now,
            ReplyCallback callback);
  void OnReply(const Received& message, TimePoint now);
  void OnLeaderAnnounced(const std::string& link, TimePoint now) {
    this->client.OnLeaderAnnounced(link, now);
  }
  void AddLinks(const std::vector<std::string>& links) {
    this->client.AddLinks(links);
  }
  /// Answers all calls by `latest`, also those that are already open: their
  /// outcome is then unknown.
  void LimitDeadlines(TimePoint latest) { this->latest_deadline = latest; }
  void OnTick(TimePoint now);
  /// Link of the replica that is believed to be the leader.
  const std::string& leader_link() const { return this->client.leader_link(); }
  /// Sends the messages and delivers the replies that the calls above
  /// produced.
  void RunEffects();

  /// As Call, from another thread. `callback` is called on the loop's thread,
  /// or destroyed uncalled if that has ended. `loop` is the duty's.
  void CallFromThread(wire::ControlCall call,
                      TimePoint deadline,
                      DutyLoop& loop,
                      ReplyCallback callback);

  /// Forwards an HTTP request to the leader and answers it with the reply.
  /// Called on a thread of the HTTP server; `loop` is the duty's.
  void Forward(const HttpRequest& request,
               TimePoint deadline,
               DutyLoop& loop,
               const HttpResponder& respond);

 private:
  struct OpenCall {
    ReplyCallback callback;
    TimePoint deadline;  // that the client knows
  };
  void Deliver(const wire::ControlReply& reply);
  void EndCallsAfterLimit();

  Link* link;
  ControlClient client;
  std::uint64_t last_call_id = 0;
  std::map<std::uint64_t, OpenCall> calls;
  TimePoint latest_deadline = kNever;
};

/// The deadline of a request: `now` plus its Savoryring-Timeout-Ms header, or
/// plus `default_timeout` if the header is absent. Throws Error (kBadHeader).
TimePoint RequestDeadline(const HttpRequest& request,
                          Milliseconds default_timeout,
                          TimePoint now);

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_CONTROL_CALLER_H_
