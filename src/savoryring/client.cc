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
  nlohmann::json body_json =
      nlohmann::json::parse(response.body, nullptr, false);
  if (response.status < kFirstErrorStatus && !body_json.is_discarded())
    return body_json;
  if (body_json.is_object() && body_json.contains("code")) {
    throw Error(static_cast<ResultCode>(body_json.value("code", 0)),
                body_json.value("message", ""));
  }
  throw Error(ResultCode::kUnreachable, server + path +
                                            " returned HTTP status " +
                                            std::to_string(response.status));
}

}  // namespace savoryring
