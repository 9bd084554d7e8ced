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

} // namespace comfreyrill
