#pragma once

#include "GatewayDependencies.h"

#include <LibMembership/MemberTable.h>
#include <LibPeer/PeerMesh.h>

#include <memory>

namespace comfreyrill {

/// Shares the load reports and attempt outcomes of targets, and the targets
/// that leave or are cold, among the hosts of this failure domain, so that each
/// host selects targets with the observations of all.
class LoadExchange : public std::enable_shared_from_this<LoadExchange> {
public:
  LoadExchange(const GatewayDependencies &Dependencies,
               const MemberTable &Members, PeerMesh &Mesh);

  void start();

  void onLoadNotice(const wire::LoadNotice &Notice);

private:
  Awaitable<void> run();
  void sendNotice();
  void addColdTargets(wire::LoadNotice &Notice);

  const GatewayDependencies &Dependencies;
  const MemberTable &Members;
  PeerMesh &Mesh;
  Timer NoticeTimer;
};

} // namespace comfreyrill
