#pragma once

#include "Metrics.h"

#include <LibMembership/MemberTable.h>
#include <LibPeer/PeerMesh.h>

namespace comfreyrill {

/// Sends one-way messages to all peers that are not lost.
class Broadcast {
public:
  Broadcast(const Clock &TimeSource, const MemberTable &Members, PeerMesh &Mesh,
            Metrics &ProcessMetrics);

  /// Drops and counts a message that cannot be queued for a peer.
  void send(const wire::PeerBody &Body);
  /// Sends to one peer, with the same handling of messages that cannot be
  /// queued.
  void sendTo(const Endpoint &Remote, const wire::PeerBody &Body);

private:
  const Clock &TimeSource;
  const MemberTable &Members;
  PeerMesh &Mesh;
  Metrics &ProcessMetrics;
};

} // namespace comfreyrill
