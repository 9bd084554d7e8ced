#pragma once

#include <LibCore/Async.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>

namespace comfreyrill {

namespace beast = boost::beast;
namespace http = boost::beast::http;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Bounds on what one connection may hold or keep waiting.
struct HttpLimits {
  std::uint32_t HeaderBytes = 16 * 1024;
  std::uint64_t BodyBytes = std::uint64_t{1024} * 1024;
  /// Longest time between the first byte of a message and its last.
  Duration MessageTime = std::chrono::seconds(10);
  /// Longest time a connection stays open without a message.
  Duration IdleTime = std::chrono::seconds(60);
  std::uint32_t Connections = 4096;
};

} // namespace comfreyrill
