/// Headers as they travel from hop to hop.
#ifndef SAVORYRING_SAVORYRINGD_HTTP_FORWARD_H_
#define SAVORYRING_SAVORYRINGD_HTTP_FORWARD_H_

#include <string>
#include <vector>

#include "librouting/routing.pb.h"
#include "libtransport/http.h"

namespace savoryring {

/// Whether the header belongs to one connection and is not passed on.
bool IsHopHeader(const std::string& name);

/// Copies the headers that are passed on into a message.
template <typename Message>
void PackHeaders(const std::vector<HttpHeader>& headers, Message* message) {
  for (const HttpHeader& header : headers) {
    if (IsHopHeader(header.name))
      continue;
    wire::Header* packed = message->add_headers();
    packed->set_name(header.name);
    packed->set_value(header.value);
  }
}

/// Copies the headers of a message.
template <typename Message>
std::vector<HttpHeader> UnpackHeaders(const Message& message) {
  std::vector<HttpHeader> headers;
  for (const wire::Header& header : message.headers())
    headers.push_back({.name = header.name(), .value = header.value()});
  return headers;
}

}  // namespace savoryring

#endif  // SAVORYRING_SAVORYRINGD_HTTP_FORWARD_H_
