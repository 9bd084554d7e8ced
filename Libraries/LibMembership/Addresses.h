#pragma once

#include <LibCore/Random.h>
#include <LibMembership/MemberTable.h>

namespace comfreyrill {

/// The address of a host that a caller may connect to.
struct CallerAddress {
  HostId Host;
  FailureDomain Domain;
  Endpoint Address;
};

/// Chooses up to Count addresses for one caller, in order of preference, from
/// the hosts that this host considers ready and alive, itself included. The
/// first address is uniformly random; further addresses come from other failure
/// domains as long as any are left. Empty when no host is ready.
std::vector<CallerAddress> chooseAddresses(const MemberTable &Table,
                                           std::size_t Count, TimePoint Now,
                                           Random &Generator);

} // namespace comfreyrill
