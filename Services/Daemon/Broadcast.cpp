#include "Broadcast.h"

namespace comfreyrill {

Broadcast::Broadcast(const Clock &TimeSource, const MemberTable &Members,
                     PeerMesh &Mesh, Metrics &ProcessMetrics)
    : TimeSource(TimeSource), Members(Members), Mesh(Mesh),
      ProcessMetrics(ProcessMetrics) {}

void Broadcast::send(const wire::PeerBody &Body) {
  const TimePoint Now = TimeSource.now();
  for (const Peer &Other : Members.Peers)
    if (Other.Description.isComplete() &&
        liveness(Members, Other, Now) != Liveness::Lost)
      sendTo(Other.Description.PeerAddress, Body);
}

void Broadcast::sendTo(const Endpoint &Remote, const wire::PeerBody &Body) {
  if (!Mesh.send(Remote, Body))
    ++ProcessMetrics.counter("broadcasts_dropped_total");
}

} // namespace comfreyrill
