#pragma once

#include <LibCore/Random.h>
#include <LibMembership/MemberTable.h>

namespace comfreyrill {

/// A host that a caller may use.
struct CallerAddress {
  HostId Host;
  FailureDomain Domain;
  Endpoint Address;
};

/// Up to Count addresses for one caller, the first preferred: hosts that are
/// ready and alive in the view of this one, this one included. The first is
/// uniformly random; the next ones are of other failure domains as long as
/// there are any. Empty when no host is ready.
std::vector<CallerAddress> chooseAddresses(const MemberTable &Table,
                                           std::size_t Count, TimePoint Now,
                                           Random &Generator);

} // namespace comfreyrill
