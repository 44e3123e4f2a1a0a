#include "libbase/trace.h"

#include <algorithm>
#include <filesystem>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace savoryring {
namespace {

constexpr std::size_t kTraceparentLength = 55;
constexpr std::size_t kTraceIdStart = 3;
constexpr std::size_t kTraceIdLength = 32;
constexpr std::size_t kSpanIdStart = 36;
constexpr std::size_t kSpanIdLength = 16;

std::string Hex(std::uint64_t number) {
  std::ostringstream text;
  text << std::hex << std::setw(kSpanIdLength) << std::setfill('0') << number;
  return text.str();
}

bool IsTraceparent(const std::string& text) {
  if (text.size() != kTraceparentLength)
    return false;
  return std::ranges::all_of(text, [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || c == '-';
  });
}

}  // namespace

std::string TraceContext::Traceparent() const {
  return "00-" + this->trace_id + "-" + this->span_id + "-01";
}

TraceContext StartSpan(const std::string& traceparent,
                       std::uint64_t span_random,
                       std::uint64_t trace_random) {
  TraceContext context;
  context.span_id = Hex(span_random);
  if (IsTraceparent(traceparent)) {
    context.trace_id = traceparent.substr(kTraceIdStart, kTraceIdLength);
    context.parent_id = traceparent.substr(kSpanIdStart, kSpanIdLength);
  } else {
    context.trace_id = Hex(trace_random) + Hex(span_random);
  }
  return context;
}

SpanWriter::SpanWriter(const std::string& path, std::string process)
    : process(std::move(process)) {
  if (path.empty())
    return;
  std::error_code ignored;
  std::filesystem::create_directories(std::filesystem::path(path).parent_path(),
                                      ignored);
  this->file.open(path, std::ios::app);
}

void SpanWriter::Write(const Span& span) {
  const std::lock_guard lock(this->mutex);
  if (!this->file.is_open())
    return;
  const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(
      span.end - span.start);
  const nlohmann::json line{{"trace", span.context.trace_id},
                            {"span", span.context.span_id},
                            {"parent", span.context.parent_id},
                            {"name", span.name},
                            {"process", this->process},
                            {"start_boottime_ns", ToNanoseconds(span.start)},
                            {"duration_us", duration.count()},
                            {"status", span.status}};
  this->file << line.dump(-1, ' ', true,
                          nlohmann::json::error_handler_t::replace)
             << std::endl;
}

}  // namespace savoryring
