#pragma once

#include "GatewayDependencies.h"

#include <LibMembership/Documents.h>
#include <LibMembership/DomainTable.h>
#include <LibPeer/PeerMesh.h>
#include <LibPeer/PeerServer.h>

#include <memory>

namespace comfreyrill {

/// How a change of the state has reached this host.
enum class UpdateSource {
  /// From the store, which this host watches.
  Store,
  /// From the host that watches the store, which sends it to all hosts of the
  /// failure domain.
  Push,
  /// From a host that this one has asked.
  Fetch,
};

/// Replicates the configuration and the targets between hosts. The host that
/// watches the store pushes target changes to the hosts of its failure domain;
/// a host whose version or revision is out of date fetches the current one.
class StateReplicator : public std::enable_shared_from_this<StateReplicator> {
public:
  StateReplicator(const GatewayDependencies &Dependencies, MemberTable &Members,
                  DomainTable &Domains, PeerMesh &Mesh);

  /// Called after the state has changed, from the store or from another host.
  using ChangeHandler = std::function<void()>;
  void onChange(ChangeHandler Handler) { OnChange = std::move(Handler); }

  /// Announces the current configuration version and target revision, and
  /// pushes target changes when they come from the store.
  void publish(UpdateSource Source);

  /// Fetches newer versions that other hosts have announced. Called several
  /// times a second.
  void tick();

  void onTargetUpdate(const wire::TargetUpdate &Update, UpdateSource Source);
  void onDocumentRequest(const wire::DocumentRequest &Message,
                         const PeerReply &Reply) const;

private:
  void fetchFromDomain();
  void fetchFromOtherDomains();
  Awaitable<void> fetch(DocumentKind Kind, Endpoint Remote);
  void handleConfiguration(const std::string &Compressed);

  const GatewayDependencies &Dependencies;
  MemberTable &Members;
  DomainTable &Domains;
  PeerMesh &Mesh;
  ChangeHandler OnChange;
};

} // namespace comfreyrill
