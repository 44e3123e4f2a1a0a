/// Spans of requests, one a hop, joined by the W3C traceparent header.
#ifndef SAVORYRING_LIBBASE_TRACE_H_
#define SAVORYRING_LIBBASE_TRACE_H_

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

#include "savoryring/time.h"

namespace savoryring {

/// Place of a span in its trace; ids are lower-case hexadecimal.
struct TraceContext {
  std::string trace_id;   ///< 32 digits
  std::string span_id;    ///< 16 digits
  std::string parent_id;  ///< 16 digits, or empty for the first span

  /// The header that hands this span on as the parent.
  std::string Traceparent() const;
};

/// Makes the context of a new span. `traceparent` is the caller's header; a
/// new trace begins where it is empty or malformed. `seed` and `seed2` must
/// be random numbers.
TraceContext StartSpan(const std::string& traceparent,
                       std::uint64_t seed,
                       std::uint64_t seed2);

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
  /// An empty path writes nothing.
  SpanWriter(const std::string& path, std::string process);
  void Write(const Span& span);

 private:
  std::mutex mutex;
  std::ofstream file;
  std::string process;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBBASE_TRACE_H_
