/// Interface to forward HTTP requests to the leader of the control group.
#ifndef SAVORYRING_SAVORYRINGD_CONTROL_ACCESS_H_
#define SAVORYRING_SAVORYRINGD_CONTROL_ACCESS_H_

#include <string_view>

#include "libtransport/http.h"
#include "savoryring/time.h"

namespace savoryring {

class ControlAccess {
 public:
  virtual ~ControlAccess() = default;
  /// Forwards a request to the leader, and passes the response on by
  /// `deadline`, perhaps on another thread. Thread safe.
  virtual void Forward(const HttpRequest& request,
                       TimePoint deadline,
                       const HttpResponder& respond) = 0;
  /// Whether this is the operator's document of the estate in force, as far as
  /// this process knows. Thread safe.
  virtual bool IsEstateInForce(std::string_view source) = 0;
  /// See DutyLoop::AwaitIteration().
  virtual void AwaitIteration() = 0;
};

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_CONTROL_ACCESS_H_
