#pragma once

#include "DomainRouting.h"

#include <LibPeer/PeerMesh.h>

#include <memory>
#include <optional>

namespace comfreyrill {

/// Exchanges summaries of the loads of services between failure domains. The
/// delegates of a domain send them to the delegates of those domains that have
/// asked for them, and one delegate relays what its own domain needs to the
/// hosts of this domain. Nothing is summed up for services that no domain needs
/// help with.
class DomainExchange : public std::enable_shared_from_this<DomainExchange> {
public:
  DomainExchange(const GatewayDependencies &Dependencies,
                 DomainRouting &Routing, const MemberTable &Members,
                 const DomainTable &Domains, PeerMesh &Mesh);

  void start();

  void onNotice(const wire::DomainNotice &Notice);

  /// Sends the notices that are due. Called at regular intervals.
  void sendNotices();

private:
  /// What this host knows of the delegates of another failure domain.
  struct RemoteDelegates {
    std::vector<ServiceName> Wanted;
    TimePoint WantedAt;
    /// Smoothed one-way delay.
    std::optional<Duration> Delay;
  };
  /// The last notice of one remote delegate, for the measurement of the delay.
  struct LastNotice {
    std::int64_t SentMicroseconds = 0;
    TimePoint ReceivedAt;
  };

  Awaitable<void> run();
  void updateWanted(const std::map<ServiceName, DomainLoad> &Own);
  void sendToDomain(const FailureDomain &Domain, const RemoteDomain &Remote,
                    const std::map<ServiceName, DomainLoad> &Own);
  void relay();
  void onRelayed(const wire::DomainNotice &Notice);
  void measureDelay(RemoteDelegates &Sender, const wire::DomainNotice &Notice);
  void send(const Endpoint &Remote, const wire::DomainNotice &Notice);

  const GatewayDependencies &Dependencies;
  DomainRouting &Routing;
  const MemberTable &Members;
  const DomainTable &Domains;
  PeerMesh &Mesh;
  Timer NoticeTimer;
  /// Services for which this failure domain needs summaries.
  std::vector<ServiceName> Wanted;
  std::map<FailureDomain, RemoteDelegates> Remotes;
  std::map<std::string, LastNotice> LastNotices;
  /// Time of the last notice that another delegate of this domain relayed.
  std::optional<TimePoint> RelayedAt;
};

} // namespace comfreyrill
