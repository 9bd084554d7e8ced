#pragma once

#include "GatewayDependencies.h"

#include <LibMembership/MemberTable.h>
#include <LibPeer/PeerMesh.h>

#include <memory>

namespace comfreyrill {

/// Tells the hosts of the own failure domain what this one has seen of the load
/// of targets, so that each decides on what all of them have seen.
class LoadExchange : public std::enable_shared_from_this<LoadExchange> {
public:
  LoadExchange(const GatewayDependencies &Dependencies,
               const MemberTable &Members, PeerMesh &Mesh);

  void start();

  void onLoadNotice(const wire::LoadNotice &Notice);

private:
  Awaitable<void> run();
  void sendNotice();

  const GatewayDependencies &Dependencies;
  const MemberTable &Members;
  PeerMesh &Mesh;
  Timer NoticeTimer;
};

} // namespace comfreyrill
