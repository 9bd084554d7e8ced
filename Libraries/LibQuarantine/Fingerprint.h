#pragma once

#include <LibCore/Ids.h>

#include <cstdint>
#include <string_view>

namespace comfreyrill {

/// Returns a hash that identifies equal requests. Path is the path with its
/// query as sent to the target. The result is the same on all hosts and in all
/// versions.
std::uint64_t requestFingerprint(const ServiceName &Service,
                                 std::string_view Method, std::string_view Path,
                                 std::string_view Body);

/// Returns a hash that identifies the requests that one caller sends for the
/// same thing, also with another request id or at another host. CallerAddress
/// is the caller's IP address.
std::uint64_t callerRequestFingerprint(std::string_view CallerAddress,
                                       std::string_view Host,
                                       std::string_view Method,
                                       std::string_view Path,
                                       std::string_view Body);

} // namespace comfreyrill
