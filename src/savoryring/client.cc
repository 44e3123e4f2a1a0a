#include "savoryring/client.h"

#include "libtransport/http.h"

namespace savoryring {
namespace {

constexpr Milliseconds kTimeout{10'000};
constexpr int kFirstErrorStatus = 400;

}  // namespace

nlohmann::json CallSystem(const std::string& server,
                          const std::string& method,
                          const std::string& path,
                          const nlohmann::json& body) {
  HttpRequest request;
  request.method = method;
  request.path = path;
  if (!body.is_null()) {
    request.headers.push_back(
        {.name = "Content-Type", .value = "application/json"});
    request.body = body.dump();
  }
  const HttpResponse response = SendHttp(server, request, kTimeout);
  nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status < kFirstErrorStatus && !answer.is_discarded())
    return answer;
  if (answer.is_object() && answer.contains("code")) {
    throw Error(static_cast<ResultCode>(answer.value("code", 0)),
                answer.value("message", ""));
  }
  throw Error(ResultCode::kUnreachable,
              server + path + " answered " + std::to_string(response.status));
}

}  // namespace savoryring
