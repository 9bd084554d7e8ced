#pragma once

#include <LibCore/Random.h>
#include <LibMembership/MemberTable.h>

namespace comfreyrill {

/// A host in the platform's `hosts` object.
struct HostsEntry {
  HostId Host;
  HostIncarnation Incarnation;
  std::chrono::milliseconds StartedAt{0};
  FailureDomain Domain;
  Endpoint PeerAddress;

  bool operator==(const HostsEntry &) const = default;
};

/// The value of the platform's `hosts` object, sorted by host id.
struct HostsObject {
  std::vector<HostsEntry> Hosts;

  bool operator==(const HostsObject &) const = default;
};

/// Adds or updates the entry of this host. Returns false when the entry is
/// already up to date and nothing has to be written.
bool addOwnEntry(HostsObject &Object, const HostDescription &Self);

/// Adds the hosts of the object to the table, so that they are contacted.
void mergeHostsObject(MemberTable &Table, const HostsObject &Object,
                      TimePoint Now);

/// Removes hosts that the reporter considers gone: hosts that have left, and
/// hosts that have been lost for a long time. Returns false when nothing
/// changed. Must be called after mergeHostsObject with the same object. A host
/// that finds its own entry missing writes it again.
bool removeDepartedHosts(HostsObject &Object, const MemberTable &Table,
                         TimePoint Now);

/// Removes the entry of this host when it exits. Returns false when there is no
/// entry, or the entry belongs to another process of the same host id.
bool removeOwnEntry(HostsObject &Object, const HostDescription &Self);

/// Backoff after the given number of conflicting updates. Random, with a bound
/// that grows with each conflict up to a maximum, so that hosts which start
/// together write one after another.
Duration registrationBackoff(std::size_t Conflicts, Random &Generator);

} // namespace comfreyrill
