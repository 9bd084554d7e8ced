#pragma once

#include "GatewayDependencies.h"

#include <LibMembership/DomainTable.h>
#include <LibMembership/MemberTable.h>
#include <LibPeer/PeerMesh.h>

#include <memory>
#include <set>

namespace comfreyrill {

/// Shares the evacuated failure domains among all hosts. A change goes from the
/// host that watches the store to the hosts of its failure domain and to the
/// delegates of the other domains, which pass it on. Repeats reach the hosts
/// that have just started, or were paused or cut off.
class EvacuationExchange
    : public std::enable_shared_from_this<EvacuationExchange> {
public:
  EvacuationExchange(const GatewayDependencies &Dependencies,
                     const MemberTable &Members, const DomainTable &Domains,
                     PeerMesh &Mesh);

  void start();

  /// Says whether the deployment has evacuations. Without them, nothing is
  /// sent, notices are ignored and no domain is evacuated.
  void setEnabled(bool Enabled);

  /// Sends the evacuated domains if they have changed since the last call.
  /// Called when the state has been updated from the store.
  void publish();

  /// Tells a host of the failure domain that is heard for the first time, or
  /// again after a silence.
  void onJoin(const Endpoint &Joined);

  void onNotice(const wire::EvacuationList &Notice);

private:
  Awaitable<void> run();
  /// One host of each domain repeats: the one that watches the store, or else
  /// the delegates.
  bool isRepeater(TimePoint Now) const;
  void sendToOwnDomain();
  void sendToOtherDomains();
  void send(const Endpoint &Remote);

  const GatewayDependencies &Dependencies;
  const MemberTable &Members;
  const DomainTable &Domains;
  PeerMesh &Mesh;
  Timer RepeatTimer;
  bool IsEnabled = false;
  /// Unset until the evacuated domains are known.
  std::optional<std::set<FailureDomain>> Published;
};

} // namespace comfreyrill
