#pragma once

#include "ActiveDocuments.h"
#include "KeyedCalls.h"
#include "Prober.h"
#include "QuarantineService.h"

#include <LibMembership/Documents.h>
#include <LibMembership/Heartbeats.h>
#include <LibMembership/MemberTable.h>
#include <LibPeer/PeerServer.h>

namespace comfreyrill {

/// Sends heartbeats to the other hosts, fetches newer documents from them, and
/// dispatches the messages that they send.
class PeerService : public std::enable_shared_from_this<PeerService> {
public:
  PeerService(const DaemonDependencies &Dependencies, MemberTable &Members,
              ActiveDocuments &Documents, KeyedCalls &Keys,
              QuarantineService &Quarantine, Prober &Probes, PeerMesh &Mesh);

  /// Starts sending heartbeats.
  void start();
  void stop();

  /// Handles one message from another host.
  void handle(const wire::PeerBody &Body, const PeerReply &Reply);

  /// Sends due heartbeats immediately, so that the other hosts learn of a
  /// change on this one.
  void announce();

private:
  Awaitable<void> run();
  void tick();
  void sendHeartbeats();
  void onHeartbeat(const wire::Heartbeat &Message);
  void onDocumentRequest(const wire::DocumentRequest &Message,
                         const PeerReply &Reply) const;
  void fetchDocuments();
  Awaitable<void> fetchDocument(DocumentKind Kind, DocumentSource Source);

  DaemonDependencies Dependencies;
  MemberTable &Members;
  ActiveDocuments &Documents;
  KeyedCalls &Keys;
  QuarantineService &Quarantine;
  Prober &Probes;
  PeerMesh &Mesh;
  Timer TickTimer;
  bool IsStopped = false;
};

/// Returns a directory that reads the member table.
PeerDirectory makePeerDirectory(const MemberTable &Members,
                                const PeerMesh &Mesh, const Clock &TimeSource);

} // namespace comfreyrill
