/// Forwards HTTP headers in messages, without hop-by-hop headers.
#ifndef SAVORYRING_SAVORYRINGD_HTTP_FORWARD_H_
#define SAVORYRING_SAVORYRINGD_HTTP_FORWARD_H_

#include <string>
#include <vector>

#include "librouting/routing.pb.h"
#include "libtransport/http.h"

namespace savoryring {

/// Whether the header applies to a single connection and must not be forwarded.
bool IsHopByHopHeader(const std::string& name);

/// Copies the headers into a message, except hop-by-hop headers.
template <typename Message>
void PackHeaders(const std::vector<HttpHeader>& headers, Message* message) {
  for (const HttpHeader& header : headers) {
    if (IsHopByHopHeader(header.name))
      continue;
    wire::Header* packed = message->add_headers();
    packed->set_name(header.name);
    packed->set_value(header.value);
  }
}

/// Returns the headers of a message.
template <typename Message>
std::vector<HttpHeader> UnpackHeaders(const Message& message) {
  std::vector<HttpHeader> headers;
  for (const wire::Header& header : message.headers())
    headers.push_back({.name = header.name(), .value = header.value()});
  return headers;
}

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_HTTP_FORWARD_H_
