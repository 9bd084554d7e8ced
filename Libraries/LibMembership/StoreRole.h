#pragma once

#include <LibMembership/MemberTable.h>

#include <cstdint>
#include <optional>

namespace comfreyrill {

/// What this host knows of its own path to the platform's store.
struct StoreContact {
  std::optional<TimePoint> LastAnswer;
  std::optional<TimePoint> LastFailure;
  /// Failures since the last answer.
  std::uint32_t Failures = 0;
  /// First answer after the last outage in which registrations may have lapsed.
  std::optional<TimePoint> OutageEndedAt;
  /// This host watches the store, successfully or not.
  bool IsWatching = false;
};

/// What a host does towards the platform's store.
enum class StoreRole {
  /// Another host of the failure domain watches the store.
  None,
  /// No host watches successfully: find out whether this host reaches the
  /// store, with calls that cost little.
  Check,
  Watch,
};

void recordAnswer(StoreContact &Contact, TimePoint Now);
void recordFailure(StoreContact &Contact, TimePoint Now);

/// False for some time after a failed call, unless a later one was answered.
/// The time grows with the number of failures, so that the hosts of a large
/// domain do not all try again and again while the store answers none.
bool reachesStore(const StoreContact &Contact, TimePoint Now);

/// Role of this host among the hosts in the table. A host that watches
/// successfully keeps the role. Otherwise it goes to the host of the highest
/// rank that reaches the store. Once a host has failed, its successor must
/// have had a recent answer of the store, and a few hosts check at the same
/// time which of them has.
StoreRole storeRole(const MemberTable &Table, const StoreContact &Contact,
                    TimePoint Now);

} // namespace comfreyrill
