#pragma once

#include "AllotmentExchange.h"
#include "CrashExchange.h"
#include "DomainExchange.h"
#include "EvacuationExchange.h"
#include "GatewayDependencies.h"
#include "LoadExchange.h"
#include "StateReplicator.h"

#include <LibMembership/DomainTable.h>
#include <LibMembership/Heartbeats.h>
#include <LibPeer/PeerMesh.h>
#include <LibPeer/PeerServer.h>

#include <functional>
#include <memory>

namespace comfreyrill {

/// Maintains the membership of the fleet: exchanges heartbeats with the hosts
/// of this failure domain and domain reports with the delegates of the others.
class FleetService : public std::enable_shared_from_this<FleetService> {
public:
  FleetService(const GatewayDependencies &Dependencies, MemberTable &Members,
               DomainTable &Domains, StateReplicator &Replicator,
               LoadExchange &Loads, CrashExchange &Crashes,
               AllotmentExchange &Quotas, EvacuationExchange &Evacuations,
               PeerMesh &Mesh, std::vector<Endpoint> Seeds);

  /// Called several times a second, after the membership has been updated.
  using TickHandler = std::function<void()>;
  void onTick(TickHandler Handler) { OnTick = std::move(Handler); }

  /// Sets the receiver of summaries of other failure domains. Without one, they
  /// are ignored.
  void setDomainExchange(DomainExchange *Exchange) { Summaries = Exchange; }

  void start();
  void stop();

  /// Handles one message from another host.
  void handle(const wire::PeerBody &Body, const PeerReply &Reply);

  /// Runs the next tick at once, so that the other hosts learn of a change of
  /// this host without waiting for the next interval.
  void announce() { TickTimer.cancel(); }

  /// Returns the addresses for the address directory: hosts of this failure
  /// domain, topped up with hosts of other domains when there are few.
  std::vector<Endpoint> callerAddresses();

  /// Returns the number of hosts that share the retry and probe budgets of the
  /// fleet. Counts all known hosts, not only live ones, because a host that is
  /// unreachable from here may still be serving.
  std::size_t budgetHostCount() const;

private:
  Awaitable<void> run();
  void tick();
  void updateHosts();
  void sendHeartbeats();
  void sendReports();
  void relay(const DomainReport &Report);
  void onNotice(const wire::LoadNotice &Notice);
  void onHeartbeat(const wire::Heartbeat &Message);
  void onReport(const wire::DomainReport &Message);
  void onJoin(const wire::JoinRequest &Message, const PeerReply &Reply);
  void contactSeeds();
  Awaitable<void> join(Endpoint Seed);
  void addIntroducedHost(const HostDescription &Introduced);

  const GatewayDependencies &Dependencies;
  MemberTable &Members;
  DomainTable &Domains;
  StateReplicator &Replicator;
  LoadExchange &Loads;
  CrashExchange &Crashes;
  AllotmentExchange &Quotas;
  DomainExchange *Summaries = nullptr;
  EvacuationExchange &Evacuations;
  PeerMesh &Mesh;
  std::vector<Endpoint> Seeds;
  TickHandler OnTick;
  Timer TickTimer;
  TimePoint NextSeedContact;
  TimePoint NextHostsUpdate;
  /// Hosts that recently sent a join request to this one, latest last.
  std::vector<HostDescription> RecentJoiners;
  std::map<FailureDomain, TimePoint> RelayedAt;
  bool IsStopped = false;
};

} // namespace comfreyrill
