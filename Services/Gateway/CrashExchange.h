#pragma once

#include "CrashQuarantine.h"

#include <LibMembership/DomainTable.h>
#include <LibMembership/MemberTable.h>
#include <LibPeer/PeerMesh.h>

#include <memory>

namespace comfreyrill {

/// Shares crash reports among all hosts. News goes to the hosts of the own
/// failure domain at once, and from its delegates to those of the other
/// domains, which pass it on. A summary to random hosts reaches those that have
/// just started, or were paused or cut off.
class CrashExchange : public std::enable_shared_from_this<CrashExchange> {
public:
  CrashExchange(const GatewayDependencies &Dependencies,
                CrashQuarantine &Quarantine, const MemberTable &Members,
                const DomainTable &Domains, PeerMesh &Mesh);

  void start();

  void onNotice(const wire::CrashNotice &Notice);

private:
  Awaitable<void> run();
  void onNews();
  void sendNews();
  void sendSummary();
  void send(const Endpoint &Remote, const CrashReports &Reports);

  const GatewayDependencies &Dependencies;
  CrashQuarantine &Quarantine;
  const MemberTable &Members;
  const DomainTable &Domains;
  PeerMesh &Mesh;
  /// Cancelled when there is news and no batch of it is being collected.
  Timer SendTimer;
  TimePoint NextSummary;
  bool HasNews = false;
  bool IsCollecting = false;
};

} // namespace comfreyrill
