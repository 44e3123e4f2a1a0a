#include "savoryringd/call_waiter.h"

#include <charconv>

namespace savoryring {
namespace {

constexpr std::int64_t kLongestTimeoutMs = 3'600'000;

}  // namespace

HttpResponse ToHttpResponse(const wire::ControlReply& reply) {
  HttpResponse response =
      MakeJsonResponse(static_cast<int>(reply.status()), reply.body());
  if (reply.result_code() == 0)
    return response;
  const auto code = static_cast<ResultCode>(reply.result_code());
  const HttpResponse own = MakeResultResponse(code, "");
  response.headers = own.headers;
  return response;
}

TimePoint RequestDeadline(const HttpRequest& request,
                          Milliseconds fallback,
                          TimePoint now) {
  const std::string text = request.Header("Savoryring-Timeout-Ms");
  if (text.empty())
    return now + fallback;
  std::int64_t count = 0;
  const char* end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, count);
  if (failure != std::errc() || rest != end || count < 1 ||
      count > kLongestTimeoutMs) {
    throw Error(ResultCode::kBadHeader,
                "Savoryring-Timeout-Ms must be from 1 to " +
                    std::to_string(kLongestTimeoutMs));
  }
  return now + Milliseconds(count);
}

}  // namespace savoryring
