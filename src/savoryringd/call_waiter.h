/// Lets HTTP threads wait for replies of the control group that the duty's
/// loop receives.
#ifndef SAVORYRING_SAVORYRINGD_CALL_WAITER_H_
#define SAVORYRING_SAVORYRINGD_CALL_WAITER_H_

#include <cstdint>
#include <functional>
#include <map>

#include "libtransport/http.h"
#include "libtransport/link.pb.h"

namespace savoryring {

/// Functions to call when a reply comes. Used by the loop's thread only.
class CallWaiter {
 public:
  using Function = std::function<void(const wire::ControlReply&)>;

  std::uint64_t Add(Function function) {
    this->functions[++this->last_id] = std::move(function);
    return this->last_id;
  }
  void Deliver(const wire::ControlReply& reply) {
    const auto found = this->functions.find(reply.call_id());
    if (found == this->functions.end())
      return;
    const Function function = std::move(found->second);
    this->functions.erase(found);
    function(reply);
  }

 private:
  std::uint64_t last_id = 0;
  std::map<std::uint64_t, Function> functions;
};

/// The control group's reply as an HTTP answer.
HttpResponse ToHttpResponse(const wire::ControlReply& reply);

/// When a request must be answered: from Savoryring-Timeout-Ms, or `fallback`
/// from `now`. Throws Error (kBadHeader).
TimePoint RequestDeadline(const HttpRequest& request,
                          Milliseconds fallback,
                          TimePoint now);

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_CALL_WAITER_H_
