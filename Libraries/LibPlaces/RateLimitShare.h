#pragma once

#include <LibPlaces/TargetShares.h>

namespace comfreyrill {

/// Returns this host's share of the requests per second that a target takes
/// from all hosts together.
///
/// The sum of the shares of all hosts stays below 1.5 times the limit, in any
/// four seconds and with five requests to spare, also when each host has
/// another view of which hosts are live.
HostShare rateLimitShare(const DomainHosts &Hosts, const TargetId &Target,
                         double RequestsPerSecond);

} // namespace comfreyrill
