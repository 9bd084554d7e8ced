#pragma once

#include "GatewayContext.h"

#include <LibMembership/Heartbeats.h>
#include <LibMembership/MemberTable.h>
#include <LibPeer/PeerMesh.h>
#include <LibPeer/PeerServer.h>

#include <memory>

namespace comfreyrill {

/// Tells the other hosts that this one lives, and learns the same of them.
class FleetService : public std::enable_shared_from_this<FleetService> {
public:
  FleetService(const GatewayContext &Environment, MemberTable &Members,
               PeerMesh &Mesh);

  void start();
  void stop();

  /// Handles one message of another host.
  void handle(const wire::PeerBody &Body, const PeerReply &Reply);

  /// Tells the other hosts at once what changed on this one.
  void announce() { TickTimer.cancel(); }

  /// Addresses to hand out to callers; this host's own is among them unless it
  /// is leaving.
  std::vector<Endpoint> callerAddresses();

  /// Hosts among which the budgets of the fleet are divided: all that are
  /// known, so that a host that others hear but this one does not is counted.
  std::size_t budgetHosts() const;

private:
  Awaitable<void> run();
  void sendHeartbeats();
  void onHeartbeat(const wire::Heartbeat &Message);

  const GatewayContext &Environment;
  MemberTable &Members;
  PeerMesh &Mesh;
  Timer TickTimer;
  bool IsStopped = false;
};

} // namespace comfreyrill
