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

/// Puts this host into the object. Returns false when it is there already and
/// nothing has to be written.
bool addOwnEntry(HostsObject &Object, const HostDescription &Self);

/// Takes the hosts of the object into the table, to be contacted.
void mergeHostsObject(MemberTable &Table, const HostsObject &Object,
                      TimePoint Now);

/// Removes hosts that are gone, in the view of the reporter: those that have
/// left, and those lost for long. Returns false when nothing changed. Called
/// after mergeHostsObject with the same value. A host that finds its own entry
/// missing writes it again.
bool removeDepartedHosts(HostsObject &Object, const MemberTable &Table,
                         TimePoint Now);

/// Removes the entry of this host when it exits. Returns false when the entry
/// is that of another process.
bool removeOwnEntry(HostsObject &Object, const HostDescription &Self);

/// Wait before the next try after Conflicts lost updates. Random, and longer
/// after each, so that hosts which start together write one after another.
Duration registrationBackoff(std::size_t Conflicts, Random &Generator);

} // namespace comfreyrill
