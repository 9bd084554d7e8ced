#include "FleetService.h"

#include "DomainHostsView.h"

#include <LibCore/Hash.h>
#include <LibMembership/Addresses.h>
#include <LibMembership/HeartbeatProcessing.h>
#include <LibPeer/HeartbeatConversion.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Well below the pause threshold of the membership, which treats a longer gap
// between ticks as a pause of this process.
constexpr Duration TickInterval = std::chrono::milliseconds(50);
// The shares of targets that are cold or limited expire if the hosts are not
// updated several times a second. Each update copies the members of the domain.
constexpr Duration HostsUpdateInterval = std::chrono::milliseconds(150);
constexpr Duration ShortestTick = std::chrono::milliseconds(5);
// Callers use at most this many addresses of one directory response.
constexpr std::size_t AddressesMaximum = 64;
// Enough that callers with cached addresses still reach a live host after half
// of the hosts have failed.
constexpr std::size_t AddressesWanted = 16;
// Fleet size that a new host assumes during DiscoveryTime, so that it does not
// use the whole retry and probe budget alone.
constexpr std::size_t AssumedHostCount = 20;
// Fleet size that a host assumes while it knows of no other host although it
// has seeds. Several such hosts must not exceed the budgets together.
constexpr std::size_t UnknownFleetHostCount = 1000;
constexpr Duration DiscoveryTime = std::chrono::seconds(3);
// Interval of join requests to the seeds while no other host has been heard
// from, or, on a delegate, while one of the other failure domains has not.
constexpr Duration SeedIntervalAlone = std::chrono::milliseconds(100);
// Otherwise the seeds are still contacted, to heal a membership that has split.
constexpr Duration SeedInterval = std::chrono::seconds(10);
constexpr Duration JoinTimeout = std::chrono::seconds(1);
constexpr std::size_t RecentJoinersMaximum = 256;
// Hosts listed in the introduction that answers a join request: a few of the
// joining host's domain, whose heartbeats name the rest, and the possible
// delegates of each other domain.
constexpr std::size_t IntroducedSameDomain = 4;
constexpr std::size_t IntroducedOtherDomain = 2;
constexpr Duration RelayInterval = std::chrono::seconds(1);

} // namespace

FleetService::FleetService(const GatewayDependencies &Dependencies,
                           MemberTable &Members, DomainTable &Domains,
                           StateReplicator &Replicator, LoadExchange &Loads,
                           CrashExchange &Crashes, AllotmentExchange &Quotas,
                           EvacuationExchange &Evacuations, PeerMesh &Mesh,
                           std::vector<Endpoint> Seeds)
    : Dependencies(Dependencies), Members(Members), Domains(Domains),
      Replicator(Replicator), Loads(Loads), Crashes(Crashes), Quotas(Quotas),
      Evacuations(Evacuations), Mesh(Mesh), Seeds(std::move(Seeds)),
      TickTimer(Dependencies.Context) {}

void FleetService::start() {
  asio::co_spawn(
      Dependencies.Context, [Self = shared_from_this()] { return Self->run(); },
      asio::detached);
}

void FleetService::stop() {
  IsStopped = true;
  TickTimer.cancel();
}

Awaitable<void> FleetService::run() {
  while (!IsStopped) {
    tick();
    const TimePoint Now = Dependencies.TimeSource.now();
    TickTimer.expires_at(
        std::min(Now + TickInterval,
                 std::max(nextHeartbeat(Members), Now + ShortestTick)));
    co_await TickTimer.async_wait(UseTuple);
  }
}

void FleetService::tick() {
  expirePeers(Members, Dependencies.TimeSource.now());
  Quotas.tick();
  contactSeeds();
  Replicator.tick();
  updateHosts();
  if (OnTick)
    OnTick();
  sendHeartbeats();
  sendReports();
}

void FleetService::updateHosts() {
  const TimePoint Now = Dependencies.TimeSource.now();
  if (Now < NextHostsUpdate)
    return;
  NextHostsUpdate = Now + HostsUpdateInterval;
  const bool HasOtherSeeds =
      std::any_of(Seeds.begin(), Seeds.end(), [&](const Endpoint &Seed) {
        return Seed != Members.Self.PeerAddress;
      });
  Dependencies.CurrentState.updateHosts(
      domainHosts(Members, Domains, HasOtherSeeds, Now), budgetHostCount());
}

void FleetService::sendHeartbeats() {
  const auto Due = dueHeartbeats(Members, Dependencies.TimeSource.now(),
                                 Dependencies.Generator);
  for (const OutgoingHeartbeat &Outgoing : Due) {
    wire::PeerBody Body;
    Body.__set_heartbeat(toWire(Outgoing.Content));
    // A heartbeat that cannot be sent is superseded by the next one.
    if (!Mesh.send(Outgoing.Remote, Body))
      ++Dependencies.ProcessMetrics.counter("heartbeats_dropped_total");
  }
}

void FleetService::sendReports() {
  for (const OutgoingReport &Outgoing :
       dueReports(Domains, Members, Dependencies.TimeSource.now())) {
    wire::PeerBody Body;
    Body.__set_domain_report(toWire(Outgoing.Content));
    if (!Mesh.send(Outgoing.Remote, Body))
      ++Dependencies.ProcessMetrics.counter("reports_dropped_total");
  }
}

void FleetService::handle(const wire::PeerBody &Body, const PeerReply &Reply) {
  if (Body.__isset.heartbeat)
    onHeartbeat(Body.heartbeat);
  else if (Body.__isset.domain_report)
    onReport(Body.domain_report);
  else if (Body.__isset.join_request)
    onJoin(Body.join_request, Reply);
  else if (Body.__isset.load_notice)
    onNotice(Body.load_notice);
  else if (Body.__isset.target_update)
    Replicator.onTargetUpdate(Body.target_update, UpdateSource::Push);
  else if (Body.__isset.document_request)
    Replicator.onDocumentRequest(Body.document_request, Reply);
  else if (Body.__isset.token_request)
    Quotas.onRequest(Body.token_request, Reply);
}

void FleetService::onNotice(const wire::LoadNotice &Notice) {
  Loads.onLoadNotice(Notice);
  if (Notice.__isset.crashes)
    Crashes.onNotice(Notice.crashes);
  if (Notice.__isset.domains && Summaries != nullptr)
    Summaries->onNotice(Notice.domains);
  if (Notice.__isset.evacuations)
    Evacuations.onNotice(Notice.evacuations);
}

void FleetService::onHeartbeat(const wire::Heartbeat &Message) {
  const auto Content = fromWire(Message);
  if (!Content) {
    ++Dependencies.ProcessMetrics.counter("peer_messages_invalid_total");
    return;
  }
  const HostDescription &Sender = Content.value().Sender;
  if (Sender.isComplete() && Sender.Domain != Members.Self.Domain)
    return;
  // Hosts also learn of one another from third ones, so a host that is known
  // may still have to be told.
  const Peer *Known = findPeer(Members, Sender.Host);
  const bool WasHeard =
      Known != nullptr &&
      liveness(Members, *Known, Dependencies.TimeSource.now()) ==
          Liveness::Alive &&
      Known->Description.Incarnation == Sender.Incarnation;
  const HeartbeatVerdict Verdict =
      processHeartbeat(Members, Content.value(), Dependencies.TimeSource.now());
  if (Verdict == HeartbeatVerdict::Joined) {
    LogLine Line("host_joined");
    Line.field("host", Sender.Host.Value)
        .field("incarnation", hexadecimal(Sender.Incarnation.Value));
    Dependencies.Events.write(LogLevel::Info, "host_joined", Line);
    announce();
  }
  if (!WasHeard && (Verdict == HeartbeatVerdict::Joined ||
                    Verdict == HeartbeatVerdict::Accepted))
    if (const Peer *Heard = findPeer(Members, Sender.Host))
      Evacuations.onJoin(Heard->Description.PeerAddress);
  Replicator.tick();
}

void FleetService::onReport(const wire::DomainReport &Message) {
  const auto Content = fromWire(Message);
  if (!Content) {
    ++Dependencies.ProcessMetrics.counter("peer_messages_invalid_total");
    return;
  }
  const DomainReport &Report = Content.value();
  const TimePoint Now = Dependencies.TimeSource.now();
  const ReportVerdict Verdict =
      processDomainReport(Domains, Members, Report, Now);
  if (Verdict == ReportVerdict::Ignored || Report.IsRelayed)
    return;
  TimePoint &Last = RelayedAt[Report.Domain];
  if (Verdict == ReportVerdict::Accepted && Now - Last < RelayInterval)
    return;
  Last = Now;
  relay(Report);
}

// Always includes the hosts of the reported domain: traffic within the failure
// domain is free of charge, and a host that has just joined knows none of them.
void FleetService::relay(const DomainReport &Report) {
  DomainReport Relayed = Report;
  Relayed.IsRelayed = true;
  Relayed.WantsHosts = false;
  const RemoteDomain &Known = Domains.Domains[Report.Domain];
  Relayed.Digest = Known.Digest;
  if (!Known.Hosts.empty())
    Relayed.Hosts = Known.Hosts;
  wire::PeerBody Body;
  Body.__set_domain_report(toWire(Relayed));
  for (const Peer *Other : alivePeers(Members, Dependencies.TimeSource.now()))
    if (!Mesh.send(Other->Description.PeerAddress, Body))
      ++Dependencies.ProcessMetrics.counter("reports_dropped_total");
}

void FleetService::contactSeeds() {
  const TimePoint Now = Dependencies.TimeSource.now();
  if (Now < NextSeedContact)
    return;
  const bool IsAlone = aliveCount(Members, Now) == 0;
  const bool HasUnheardDomain =
      isDelegate(Members, Now) &&
      std::any_of(Domains.Domains.begin(), Domains.Domains.end(),
                  [](const auto &Entry) { return !Entry.second.HeardAt; });
  NextSeedContact =
      Now + (IsAlone || HasUnheardDomain ? SeedIntervalAlone : SeedInterval);
  for (const Endpoint &Seed : Seeds)
    if (Seed != Members.Self.PeerAddress)
      asio::co_spawn(Dependencies.Context, join(Seed), asio::detached);
}

Awaitable<void> FleetService::join(Endpoint Seed) {
  const auto Self = shared_from_this();
  wire::JoinRequest Request;
  Request.__set_sender(toWire(Members.Self));
  wire::PeerBody Body;
  Body.__set_join_request(Request);
  const auto Reply = co_await Mesh.request(
      Seed, Body, Dependencies.TimeSource.now() + JoinTimeout);
  if (!Reply || !Reply.value().__isset.introduction)
    co_return;
  for (const wire::HostDescription &Introduced :
       Reply.value().introduction.hosts)
    if (const auto Read = fromWire(Introduced))
      addIntroducedHost(Read.value());
  // The seeds would otherwise hold a connection to each host of the fleet.
  if (!isKnownAddress(Members, Seed))
    Mesh.disconnect(Seed);
  announce();
}

void FleetService::addIntroducedHost(const HostDescription &Introduced) {
  if (!Introduced.isComplete())
    return;
  if (Introduced.Domain == Members.Self.Domain)
    mergeIndirectDescription(Members, Introduced,
                             Dependencies.TimeSource.now());
  else
    addSeedContact(Domains, Introduced);
}

void FleetService::onJoin(const wire::JoinRequest &Message,
                          const PeerReply &Reply) {
  const auto Read = fromWire(Message.sender);
  if (!Read || !Read.value().isComplete())
    return;
  const HostDescription &Joiner = Read.value();
  addIntroducedHost(Joiner);
  wire::Introduction Response;
  std::map<FailureDomain, std::size_t> Counts;
  const auto Introduce = [&](const HostDescription &Host) {
    const std::size_t Most = Host.Domain == Joiner.Domain
                                 ? IntroducedSameDomain
                                 : IntroducedOtherDomain;
    if (Host.Host != Joiner.Host && Counts[Host.Domain]++ < Most)
      Response.hosts.push_back(toWire(Host));
  };
  Introduce(Members.Self);
  const TimePoint Now = Dependencies.TimeSource.now();
  for (const Peer &Other : Members.Peers)
    if (Other.Description.isComplete() &&
        liveness(Members, Other, Now) == Liveness::Alive)
      Introduce(Other.Description);
  // Latest first, because hosts that joined earlier may be gone.
  for (auto Host = RecentJoiners.rbegin(); Host != RecentJoiners.rend(); ++Host)
    Introduce(*Host);
  std::erase_if(RecentJoiners, [&](const HostDescription &Known) {
    return Known.Host == Joiner.Host;
  });
  if (RecentJoiners.size() >= RecentJoinersMaximum)
    RecentJoiners.erase(RecentJoiners.begin());
  RecentJoiners.push_back(Joiner);
  wire::PeerBody Body;
  Body.__set_introduction(Response);
  Reply.send(Body);
}

std::vector<Endpoint> FleetService::callerAddresses() {
  const TimePoint Now = Dependencies.TimeSource.now();
  std::vector<Endpoint> Addresses;
  for (CallerAddress &Chosen :
       chooseAddresses(Members, AddressesMaximum, Now, Dependencies.Generator))
    Addresses.push_back(std::move(Chosen.Address));
  std::vector<RemoteHost> Others = remoteHosts(Domains, Now);
  std::shuffle(Others.begin(), Others.end(), Dependencies.Generator);
  for (RemoteHost &Other : Others)
    if (Addresses.size() < AddressesWanted)
      Addresses.push_back(std::move(Other.CallerAddress));
  return Addresses;
}

std::size_t FleetService::budgetHostCount() const {
  const std::size_t Others = Members.Peers.size() + remoteHostCount(Domains);
  const auto IsOtherHost = [&](const Endpoint &Seed) {
    return Seed != Members.Self.PeerAddress;
  };
  if (Others == 0 && std::any_of(Seeds.begin(), Seeds.end(), IsOtherHost))
    return UnknownFleetHostCount;
  const std::size_t Known = Others + 1;
  const bool IsNew =
      Dependencies.TimeSource.now() - Members.Started < DiscoveryTime;
  return IsNew ? std::max(Known, AssumedHostCount) : Known;
}

} // namespace comfreyrill
