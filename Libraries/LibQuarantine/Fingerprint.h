#pragma once

#include <LibCore/Ids.h>

#include <cstdint>
#include <string_view>

namespace comfreyrill {

/// Digest of a request. Path is the request target with its query, as it is
/// sent to the target. Equal on all hosts and in all versions.
std::uint64_t requestFingerprint(const ServiceName &Service,
                                 std::string_view Method, std::string_view Path,
                                 std::string_view Body);

} // namespace comfreyrill
