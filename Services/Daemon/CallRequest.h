#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Result.h>
#include <LibHttp/Http.h>
#include <LibManifest/Manifest.h>

#include <optional>
#include <string>

namespace comfreyrill {

/// Maximum accepted nesting depth of calls.
inline constexpr std::uint32_t MaximumCallDepth = 9;
/// Maximum length of an idempotency key, in bytes.
inline constexpr std::size_t MaximumKeyBytes = 512;

/// A caller's request to a service, parsed from its HTTP request.
struct CallRequest {
  ServiceName Service;
  /// Path and query that are sent to the target.
  std::string Path;
  std::optional<Duration> Timeout;
  std::optional<std::string> Key;
  /// Nesting depth; 1 for a call that was not made on behalf of another call.
  std::uint32_t Depth = 1;
  /// True when another host relayed the request to this one.
  bool IsRelayed = false;
};

/// Parses a request to /v1/call/SERVICE/PATH. Fails with InvalidInput.
Result<CallRequest> parseCallRequest(const HttpRequest &Request);

/// Returns true when the service's operations allow the request to run more
/// than once. Without a matching operation only GET and HEAD are idempotent.
bool isIdempotent(const ServiceConfig &Service, std::string_view Method,
                  std::string_view Path);

/// Returns the value of a query parameter of a request path, if present.
std::optional<std::string_view> queryParameter(std::string_view Path,
                                               std::string_view Name);

/// Parses a whole decimal number within inclusive bounds. Fails with
/// InvalidInput.
Result<std::uint64_t> parseNumber(std::string_view Name, std::string_view Text,
                                  std::uint64_t Minimum, std::uint64_t Maximum);

} // namespace comfreyrill
