#include "savoryringd/process.h"

#include <chrono>
#include <random>
#include <utility>

#include "libtransport/request_guard.h"

namespace savoryring {
namespace {

std::uint64_t WallClockNanoseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

}  // namespace

Process::Process(Settings settings)
    : process_settings(std::move(settings)),
      process_incarnation(WallClockNanoseconds()),
      current_control_links(ControlLinksOf(this->process_settings)),
      span_writer(this->process_settings.trace_file, this->process_settings.id),
      random(RandomSeed()) {
  RequestGuard::Configure(this->process_settings.limits,
                          &this->process_metrics);
}

void Process::Reload(const Settings& new_settings) {
  {
    const std::lock_guard lock(this->mutex);
    this->current_control_links = ControlLinksOf(new_settings);
  }
  this->reload_count += 1;
}

std::vector<std::string> Process::control_links() {
  const std::lock_guard lock(this->mutex);
  return this->current_control_links;
}

std::uint64_t Process::Random() {
  const std::lock_guard lock(this->mutex);
  return this->random();
}

TraceContext Process::NewSpan(const std::string& traceparent) {
  return StartSpan(traceparent, this->Random(), this->Random());
}

std::optional<HttpResponse> AnswerCommonPath(const HttpRequest& request,
                                             Process& process,
                                             bool ready) {
  if (request.path == "/healthz")
    return MakeJsonResponse(200, "{\"healthy\":true}\n");
  if (request.path == "/readyz") {
    if (!ready)
      return MakeResultResponse(ResultCode::kNotReady, "");
    return MakeJsonResponse(200, "{\"ready\":true}\n");
  }
  if (request.path == "/metrics") {
    HttpResponse response;
    response.headers.push_back(
        {.name = "Content-Type", .value = "text/plain; version=0.0.4"});
    response.body = process.metrics().Render();
    return response;
  }
  return std::nullopt;
}

void PublishLinkCounters(const std::string& prefix,
                         const Link::Counters& counters,
                         Metrics& metrics) {
  const auto set = [&](const std::string& name, std::uint64_t value) {
    metrics.SetGauge(prefix + name, static_cast<double>(value));
  };
  set("_messages_sent", counters.messages_sent);
  set("_bytes_sent", counters.bytes_sent);
  set("_messages_received", counters.messages_received);
  set("_bytes_received", counters.bytes_received);
  set("_messages_dropped", counters.dropped);
}

}  // namespace savoryring
