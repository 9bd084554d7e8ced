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

/// Size of the read buffer of a connection. Parsers keep unfinished headers,
/// chunk extensions and trailers in it, which a peer may send without end.
inline constexpr std::size_t ReadBufferBytes = std::size_t{128} * 1024;
/// Capacity that the read buffer of an idle connection may keep.
inline constexpr std::size_t IdleBufferBytes = std::size_t{8} * 1024;

/// Relation of a response to the request that was sent last.
enum class ResponseMatch {
  Own,
  /// A late response to an earlier request.
  OtherRequest,
  /// The response does not say to which request it belongs.
  Unidentified,
};

/// Limits on message sizes, times and the number of connections.
struct HttpLimits {
  std::uint32_t HeaderBytes = 16 * 1024;
  std::uint64_t BodyBytes = std::uint64_t{1024} * 1024;
  /// Maximum time between the first and the last byte of a message.
  Duration MessageTime = std::chrono::seconds(10);
  /// Maximum time for which a connection stays open without a message.
  Duration IdleTime = std::chrono::seconds(60);
  std::uint32_t Connections = 4096;
};

} // namespace comfreyrill
