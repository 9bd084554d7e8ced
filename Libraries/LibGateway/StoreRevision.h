#pragma once

#include <LibCore/Ids.h>

#include <cstdint>
#include <string>

namespace comfreyrill {

/// Revision of the metadata store; a higher number is a later state. A store
/// that is restored from a copy assigns revisions again, so the number of
/// restores, the era, is the more significant part.
using StoreRevision = Number<struct StoreRevisionTag>;

StoreRevision makeRevision(std::uint64_t Era, std::uint64_t NumberInEra);
std::uint64_t eraOf(StoreRevision Revision);
/// The revision as the store itself counts it.
std::uint64_t numberInEra(StoreRevision Revision);

/// Formats a revision for logs as the era and the number in it, such as "2:41".
std::string formatRevision(StoreRevision Revision);

} // namespace comfreyrill
