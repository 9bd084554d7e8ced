#pragma once

#include <LibCore/Random.h>
#include <LibMembership/MemberTable.h>

namespace comfreyrill {

/// A heartbeat to send now.
struct OutgoingHeartbeat {
  Endpoint Remote;
  Heartbeat Content;
};

/// Returns the heartbeats that are due. Must be called several times within the
/// shortest interval, and at once after a change of this host that its peers
/// should learn of.
std::vector<OutgoingHeartbeat> dueHeartbeats(MemberTable &Table, TimePoint Now,
                                             Random &Generator);

/// Earliest time at which dueHeartbeats has something to send.
TimePoint nextHeartbeat(const MemberTable &Table);

/// Bytes that the load reports in one heartbeat may take within the heartbeat
/// budget of the host. Falls with the number of peers.
std::size_t loadBytesAllowed(const MemberTable &Table);

} // namespace comfreyrill
