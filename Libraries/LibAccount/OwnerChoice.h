#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Ids.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace comfreyrill {

/// A live host that may own the allotments of accounts.
struct OwnerCandidate {
  HostId Host;
  Endpoint PeerAddress;
  /// Result of ownerHash, which is computed once for each host.
  std::uint64_t Hash = 0;
};

/// The fleet as one host sees it.
struct FleetView {
  HostId Self;
  /// Live hosts that are ready, in any order; with this host if it is ready.
  std::vector<OwnerCandidate> Candidates;
  /// Hosts that this host hears from, itself included.
  std::size_t LiveHosts = 1;
  /// Live hosts and those that may be serving on the other side of a partition.
  std::size_t KnownHosts = 1;
};

/// Owners that have not responded, and the time until which they are not asked.
using SkippedOwners = std::map<HostId, TimePoint>;

std::uint64_t ownerHash(const HostId &Host);

/// Returns the first host in the rendezvous order of the account that is not
/// skipped, or nullptr.
const OwnerCandidate *chooseOwner(const FleetView &View,
                                  const AccountName &Account,
                                  const SkippedOwners &Skipped, TimePoint Now);

/// True if the host with this hash precedes the other one in the rendezvous
/// order of the account.
bool precedes(std::uint64_t Hash, std::uint64_t OtherHash,
              const AccountName &Account);

/// Number of live hosts that precede this one in the rendezvous order of the
/// account; 0 for the owner.
std::size_t ownerPosition(const FleetView &View, const AccountName &Account);

/// Part of the fleet that this host hears from, above 0 and at most 1.
double liveShare(const FleetView &View);

} // namespace comfreyrill
