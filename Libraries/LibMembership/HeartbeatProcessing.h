#pragma once

#include <LibMembership/MemberTable.h>

namespace comfreyrill {

enum class HeartbeatVerdict {
  /// Merged; the sender counts as alive.
  Accepted,
  /// Merged, and the sender is a new host, or a new process of a known host.
  Joined,
  /// From the older of two processes with the same host id, while the newer one
  /// is active.
  FromPredecessor,
  /// From another process with the id of this host.
  FromDuplicateProcess,
  /// A short heartbeat from a process whose addresses are not known yet.
  Incomplete,
  /// Older than a heartbeat or relayed description that has arrived before.
  OutOfOrder,
  /// The table has no room for another host.
  TableFull,
};

/// Merges a heartbeat received from its sender, including the descriptions of
/// other hosts in it.
HeartbeatVerdict processHeartbeat(MemberTable &Table, const Heartbeat &Received,
                                  TimePoint Now);

/// Merges the description of a host that another host or the platform has
/// passed on. The description may add a host or update a known process, but it
/// never makes a host count as alive and never replaces an active process.
void mergeIndirectDescription(MemberTable &Table,
                              const HostDescription &Reported, TimePoint Now);

/// A machine in the platform's fleet list.
struct FleetEntry {
  HostId Host;
  bool IsLeaving = false;
};

/// Marks peers whose machine is listed as leaving. The list may be out of date,
/// so the mark only lowers the preference of their addresses.
void applyFleetList(MemberTable &Table,
                    const std::vector<FleetEntry> &Machines);

} // namespace comfreyrill
