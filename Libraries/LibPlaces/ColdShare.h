#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <vector>

namespace comfreyrill {

/// Another host of the own failure domain.
struct DomainHost {
  HostId Host;
  /// The host has been heard from lately.
  bool IsLive = false;

  bool operator==(const DomainHost &) const = default;
};

/// The hosts of a failure domain as one of them knows them.
struct DomainHosts {
  HostId Self;
  FailureDomain Domain;
  /// Hosts that are live or have been until recently.
  std::vector<DomainHost> Others;
  /// This host hears from no other host although there are some, so it does not
  /// know what they use.
  bool IsIsolated = false;

  bool operator==(const DomainHosts &) const = default;
};

/// Number of requests that one host may send to a cold target within any window
/// of that length; 0 requests when the target is not assigned to the host.
struct ColdShare {
  std::uint32_t Requests = 0;
  Duration Window = std::chrono::seconds(1);
};

/// Returns this host's share of what a cold target bears from all hosts
/// together, in requests per second. The target is assigned to few hosts, so
/// that the share of each is about two requests per second.
///
/// The sum of the shares of all hosts stays below 1.5 times the rate plus 8
/// also when each host has another view of which hosts are live: only the first
/// few of all known hosts, live or not, are assigned at all.
ColdShare coldShare(const DomainHosts &Hosts, const TargetId &Target,
                    double RatePerSecond);

} // namespace comfreyrill
