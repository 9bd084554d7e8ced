#pragma once

#include <LibCore/Result.h>
#include <LibMembership/HostsObject.h>

#include <string>
#include <string_view>

namespace comfreyrill {

/// Parses the platform's object `hosts`. Fails with InvalidInput or TooLarge.
/// Ignores unknown fields, because the writer may run another version.
Result<HostsObject> parseHosts(std::string_view Text);

/// Formats the object for parseHosts.
std::string formatHosts(const HostsObject &Object);

} // namespace comfreyrill
