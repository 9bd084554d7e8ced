#pragma once

#include "Metrics.h"

#include <LibMembership/MemberTable.h>
#include <LibPeer/PeerMesh.h>

namespace comfreyrill {

/// Sends messages without an answer to all hosts that are not lost.
class Broadcast {
public:
  Broadcast(const Clock &TimeSource, const MemberTable &Members, PeerMesh &Mesh,
            Metrics &ProcessMetrics);

  /// What cannot be queued for a host is dropped and counted.
  void send(const wire::PeerBody &Body);
  /// The same for one host.
  void sendTo(const Endpoint &Remote, const wire::PeerBody &Body);

private:
  const Clock &TimeSource;
  const MemberTable &Members;
  PeerMesh &Mesh;
  Metrics &ProcessMetrics;
};

} // namespace comfreyrill
