#pragma once

#include <LibMembership/MemberTable.h>

namespace comfreyrill {

enum class HeartbeatVerdict {
  /// Taken; the sender counts as heard.
  Accepted,
  /// Taken, and the sender is a host or a process that was not known.
  Joined,
  /// From the older of two processes under one id, while the newer one lives.
  FromPredecessor,
  /// Of a process that also runs under the id of this host.
  FromRival,
  /// Short, from a process whose addresses are not known yet.
  Incomplete,
  /// Older than one that has arrived already.
  OutOfOrder,
  /// No room for another host.
  TableFull,
};

/// Takes a heartbeat that came from its sender itself, and what it says about
/// other hosts.
HeartbeatVerdict processHeartbeat(MemberTable &Table, const Heartbeat &Received,
                                  TimePoint Now);

/// Takes what another host or the platform says about a host. It may add a host
/// or bring newer facts about a process that is known; it never makes a host
/// count as heard, and never replaces a process that is heard.
void mergeIndirectDescription(MemberTable &Table, const HostDescription &Said,
                              TimePoint Now);

/// One machine of the platform's fleet list.
struct FleetEntry {
  HostId Host;
  bool IsLeaving = false;
};

/// Marks peers whose machine is about to leave. The list lags, so the mark only
/// keeps their addresses from being preferred.
void applyFleetList(MemberTable &Table,
                    const std::vector<FleetEntry> &Machines);

} // namespace comfreyrill
