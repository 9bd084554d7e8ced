#pragma once

#include <LibPlaces/TargetShares.h>

namespace comfreyrill {

/// Returns this host's share of what a cold target bears from all hosts
/// together, in requests per second. The target is assigned to few hosts, so
/// that the share of each is about two requests per second.
///
/// The sum of the shares of all hosts stays below 1.5 times the rate plus 8
/// also when each host has another view of which hosts are live: only the first
/// few of all known hosts, live or not, are assigned at all.
HostShare coldShare(const DomainHosts &Hosts, const TargetId &Target,
                    double RatePerSecond);

} // namespace comfreyrill
