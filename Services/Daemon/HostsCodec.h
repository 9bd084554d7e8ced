#pragma once

#include <LibCore/Result.h>
#include <LibMembership/HostsObject.h>

#include <string>
#include <string_view>

namespace comfreyrill {

/// Reads the platform's object `hosts`. Fails with InvalidInput or TooLarge.
/// Unknown fields are ignored, because the writer may run another version.
Result<HostsObject> parseHosts(std::string_view Text);

/// Writes what parseHosts reads.
std::string formatHosts(const HostsObject &Object);

} // namespace comfreyrill
