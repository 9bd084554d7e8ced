#pragma once

#include <LibMembership/DomainTable.h>
#include <LibMembership/MemberTable.h>
#include <LibPlaces/DomainHosts.h>

namespace comfreyrill {

/// Returns the hosts of this failure domain, among which targets that are cold
/// or limit their requests are assigned. HasSeeds says that there are other
/// hosts whether or not this one knows any.
DomainHosts domainHosts(const MemberTable &Members, const DomainTable &Domains,
                        bool HasSeeds, TimePoint Now);

} // namespace comfreyrill
