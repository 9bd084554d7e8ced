#include "Broadcast.h"

namespace comfreyrill {

Broadcast::Broadcast(const Clock &TimeSource, const MemberTable &Members,
                     PeerMesh &Mesh, Metrics &Figures)
    : TimeSource(TimeSource), Members(Members), Mesh(Mesh), Figures(Figures) {}

void Broadcast::send(const wire::PeerBody &Body) {
  const TimePoint Now = TimeSource.now();
  for (const Peer &Other : Members.Peers)
    if (Other.Description.isComplete() &&
        liveness(Members, Other, Now) != Liveness::Lost &&
        !Mesh.send(Other.Description.PeerAddress, Body))
      ++Figures.counter("broadcasts_dropped_total");
}

} // namespace comfreyrill
