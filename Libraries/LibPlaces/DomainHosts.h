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

/// Position of this host among the hosts of its domain, which all hosts order
/// in the same way for one target.
struct HostRank {
  std::uint32_t LiveBefore = 0;
  /// Counts hosts that are not live, too.
  std::uint32_t KnownBefore = 0;
};

/// Ranks by rendezvous hashing, so that the loss of a host changes only the
/// ranks of those after it.
HostRank rankHost(const DomainHosts &Hosts, const TargetId &Target);

} // namespace comfreyrill
