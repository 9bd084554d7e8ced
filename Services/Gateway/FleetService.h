#pragma once

#include "GatewayDependencies.h"
#include "KnowledgeExchange.h"
#include "LoadExchange.h"

#include <LibMembership/DomainTable.h>
#include <LibMembership/Heartbeats.h>
#include <LibPeer/PeerMesh.h>
#include <LibPeer/PeerServer.h>

#include <functional>
#include <memory>

namespace comfreyrill {

/// Knows the other hosts: those of the own failure domain by their heartbeats,
/// the others by the reports of their delegates.
class FleetService : public std::enable_shared_from_this<FleetService> {
public:
  FleetService(const GatewayDependencies &Dependencies, MemberTable &Members,
               DomainTable &Domains, KnowledgeExchange &Exchange,
               LoadExchange &Loads, PeerMesh &Mesh,
               std::vector<Endpoint> Seeds);

  /// Called several times a second with the latest view of the hosts.
  using TickHandler = std::function<void()>;
  void onTick(TickHandler Handler) { OnTick = std::move(Handler); }

  void start();
  void stop();

  /// Handles one message of another host.
  void handle(const wire::PeerBody &Body, const PeerReply &Reply);

  /// Tells the other hosts at once what changed on this one.
  void announce() { TickTimer.cancel(); }

  /// Addresses to hand out to callers: hosts of this failure domain, filled up
  /// with others when there are few.
  std::vector<Endpoint> callerAddresses();

  /// Hosts among which the budgets of the fleet are divided: all that are
  /// known, so that a host that others hear but this one does not is counted.
  std::size_t budgetHosts() const;

private:
  Awaitable<void> run();
  void tick();
  void sendHeartbeats();
  void sendReports();
  void relay(const DomainReport &Report);
  void onHeartbeat(const wire::Heartbeat &Message);
  void onReport(const wire::DomainReport &Message);
  void onJoin(const wire::JoinRequest &Message, const PeerReply &Reply);
  void contactSeeds();
  Awaitable<void> join(Endpoint Seed);
  void takeIntroduction(const HostDescription &Named);

  const GatewayDependencies &Dependencies;
  MemberTable &Members;
  DomainTable &Domains;
  KnowledgeExchange &Exchange;
  LoadExchange &Loads;
  PeerMesh &Mesh;
  std::vector<Endpoint> Seeds;
  TickHandler OnTick;
  Timer TickTimer;
  TimePoint NextSeedContact;
  /// Hosts that have asked this one for others lately.
  std::vector<HostDescription> Askers;
  std::map<FailureDomain, TimePoint> RelayedAt;
  bool IsStopped = false;
};

} // namespace comfreyrill
