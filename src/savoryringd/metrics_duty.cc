#include "savoryringd/metrics_duty.h"

namespace savoryring {

void MetricsDuty::Start() {
  this->server = std::make_unique<HttpServer>(
      HttpServerOptions{.address = this->process->settings().metrics_http},
      [this](const HttpRequest& request) {
        const auto answer = AnswerCommonPath(request, *this->process, true);
        return answer ? *answer
                      : MakeResultResponse(ResultCode::kNotFound, request.path);
      });
}

}  // namespace savoryring
