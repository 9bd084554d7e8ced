#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Result.h>
#include <LibHttp/Http.h>
#include <LibManifest/Manifest.h>

#include <optional>
#include <string>

namespace comfreyrill {

/// Deepest nesting of calls that is accepted.
inline constexpr std::uint32_t MaximumCallDepth = 9;
/// Longest idempotency key, in bytes.
inline constexpr std::size_t MaximumKeyBytes = 512;

/// What a caller asks of a service, read from its HTTP request.
struct CallRequest {
  ServiceName Service;
  /// Path and query as the target sees them.
  std::string Path;
  std::optional<Duration> Timeout;
  std::optional<std::string> Key;
  /// Nesting level; 1 for a call that no other call caused.
  std::uint32_t Depth = 1;
  /// True when another host relayed the request to this one.
  bool IsRelayed = false;
};

/// Reads a request to /v1/call/SERVICE/PATH. Fails with InvalidInput.
Result<CallRequest> parseCallRequest(const HttpRequest &Request);

/// True when the service's operations allow the request to run more than once.
bool isIdempotent(const ServiceConfig &Service, std::string_view Method,
                  std::string_view Path);

/// The value of one query parameter of a request path, if present.
std::optional<std::string_view> queryParameter(std::string_view Path,
                                               std::string_view Name);

/// Reads a whole decimal number within bounds. Fails with InvalidInput.
Result<std::uint64_t> parseNumber(std::string_view Name, std::string_view Text,
                                  std::uint64_t Minimum, std::uint64_t Maximum);

} // namespace comfreyrill
