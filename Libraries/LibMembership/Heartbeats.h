#pragma once

#include <LibCore/Random.h>
#include <LibMembership/MemberTable.h>

namespace comfreyrill {

/// A heartbeat to send now.
struct OutgoingHeartbeat {
  Endpoint Remote;
  Heartbeat Content;
};

/// The heartbeats that are due. Called several times within the shortest
/// interval, and at once after a change of this host that the peers should
/// learn.
std::vector<OutgoingHeartbeat> dueHeartbeats(MemberTable &Table, TimePoint Now,
                                             Random &Generator);

/// Earliest time at which dueHeartbeats has something to send.
TimePoint nextHeartbeat(const MemberTable &Table);

/// Bytes that the loads in one heartbeat may take within the budget of the
/// host; falls with the number of peers.
std::size_t loadBytesAllowed(const MemberTable &Table);

} // namespace comfreyrill
