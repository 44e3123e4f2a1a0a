/// Distributed tracing: one span per hop of a request, propagated with the W3C
/// traceparent header.
#ifndef SAVORYRING_LIBBASE_TRACE_H_
#define SAVORYRING_LIBBASE_TRACE_H_

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

#include "savoryring/time.h"

namespace savoryring {

/// Identifies a span and its trace; ids are lower-case hexadecimal.
struct TraceContext {
  std::string trace_id;   ///< 32 digits
  std::string span_id;    ///< 16 digits
  std::string parent_id;  ///< 16 digits, or empty for the root span

  /// The traceparent header that makes this span the parent of the next hop.
  std::string Traceparent() const;
};

/// Makes the context of a new span. `traceparent` is the caller's header; where
/// it is empty or malformed, the span is the root of a new trace. The span id
/// is made from `span_random`, the id of a new trace from both numbers, which
/// must be random.
TraceContext StartSpan(const std::string& traceparent,
                       std::uint64_t span_random,
                       std::uint64_t trace_random);

struct Span {
  TraceContext context;
  std::string name;
  TimePoint start;
  TimePoint end;
  int status = 0;
};

/// Appends spans to a file as JSON lines. Thread safe.
class SpanWriter {
 public:
  /// With an empty `path` all spans are discarded.
  SpanWriter(const std::string& path, std::string process);
  void Write(const Span& span);

 private:
  std::mutex mutex;
  std::ofstream file;
  std::string process;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBBASE_TRACE_H_
