#pragma once

#include "GatewayDependencies.h"

#include <LibMembership/Documents.h>
#include <LibMembership/DomainTable.h>
#include <LibPeer/PeerMesh.h>
#include <LibPeer/PeerServer.h>

#include <memory>

namespace comfreyrill {

/// Passes the configuration and the targets on between hosts: the host that
/// follows the store pushes changes of the targets within its failure domain,
/// and whoever lags fetches what it lacks.
class KnowledgeExchange
    : public std::enable_shared_from_this<KnowledgeExchange> {
public:
  KnowledgeExchange(const GatewayDependencies &Dependencies,
                    MemberTable &Members, DomainTable &Domains, PeerMesh &Mesh);

  /// Called after this host has learned something, whatever the source.
  using ChangeHandler = std::function<void()>;
  void onChange(ChangeHandler Handler) { OnChange = std::move(Handler); }

  /// Announces the numbers in force, and pushes what the store has changed.
  void publish(bool IsFromStore);

  /// Fetches what another host has announced. Called several times a second.
  void tick();

  void onTargetUpdate(const wire::TargetUpdate &Update);
  void onDocumentRequest(const wire::DocumentRequest &Message,
                         const PeerReply &Reply) const;

private:
  void fetchFromDomain();
  void fetchFromOtherDomains();
  Awaitable<void> fetch(DocumentKind Kind, Endpoint Remote);
  void takeConfiguration(const std::string &Compressed);

  const GatewayDependencies &Dependencies;
  MemberTable &Members;
  DomainTable &Domains;
  PeerMesh &Mesh;
  ChangeHandler OnChange;
};

} // namespace comfreyrill
