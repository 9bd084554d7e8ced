#include "HostDaemon.h"

#include <LibCore/Hash.h>

namespace comfreyrill {

namespace {

constexpr Duration MaintenanceInterval = std::chrono::milliseconds(250);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(50);
// Time for which a new host listens for its peers before it becomes ready. The
// manifest that it has read from the platform may be stale, and a peer may have
// a newer one.
constexpr Duration PeerDiscoveryTime = std::chrono::seconds(1);
// Shorter than the usual idle timeout of servers, so that this side closes idle
// connections first and no request is sent on a connection that the target is
// closing.
constexpr Duration PoolIdleTimeout = std::chrono::seconds(10);
constexpr std::uint32_t AdminConnections = 64;

HostDescription describeSelf(const Settings &Configured, Random &Generator) {
  HostDescription Self;
  Self.Host = Configured.Host;
  Self.Incarnation.Value = Generator();
  Self.StartedAt = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  Self.Domain = Configured.Domain;
  return Self;
}

} // namespace

HostDaemon::HostDaemon(Settings Configured, asio::io_context &Loop,
                       const Clock &TimeSource)
    : Configured(std::move(Configured)), Loop(Loop), TimeSource(TimeSource),
      Started(TimeSource.now()), MaintenanceTimer(Loop.get_executor()) {}

Result<void> HostDaemon::start() {
  TRY(buildState());
  TRY(buildCallPath());
  TRY(buildPeers());
  TRY(buildListeners());
  TRY(listen());
  TRY(const auto Peers, Registry.find<PeerService>("peers"));
  TRY(const auto Platform, Registry.find<PlatformService>("platform"));
  Peers->start();
  Platform->start();
  asio::co_spawn(Loop, runMaintenance(), asio::detached);
  return outcome::success();
}

Result<void> HostDaemon::buildState() {
  const auto Context = Loop.get_executor();
  const auto Output =
      std::make_shared<Log>(Configured.Level, Configured.LogPath);
  const auto Services = std::make_shared<ServiceTable>(
      TimeSource, PausePolicy{Configured.TargetPauseTime});
  Services->usage().CallsMaximum = Configured.CallsMaximum;
  const auto Decisions = std::make_shared<DecisionLog>(Context, *Output);
  const auto Generator = std::make_shared<Random>(systemRandom());
  const auto Members = std::make_shared<MemberTable>(
      makeMemberTable(describeSelf(Configured, *Generator), Configured.Seeds,
                      MembershipSettings{}, Started));
  TRY(Registry.add("log", Output));
  TRY(Registry.add("random", Generator));
  TRY(Registry.add("services", Services));
  TRY(Registry.add("decisions", Decisions));
  TRY(Registry.add("metrics", std::make_shared<Metrics>()));
  TRY(Registry.add("members", Members));
  TRY(Registry.add("documents",
                   std::make_shared<ActiveDocuments>(*Services, *Decisions)));
  TRY(Registry.add("pool", std::make_shared<ConnectionPool>(Context, TimeSource,
                                                            PoolIdleTimeout)));
  TRY(Registry.add("mesh", std::make_shared<PeerMesh>(Context, TimeSource,
                                                      PeerMeshLimits{},
                                                      systemRandom())));
  return outcome::success();
}

// Must be called after buildState, which registers every service used here.
DaemonDependencies HostDaemon::dependencies() const {
  return {Loop.get_executor(),
          TimeSource,
          *Registry.find<Random>("random").value(),
          *Registry.find<ConnectionPool>("pool").value(),
          *Registry.find<DecisionLog>("decisions").value(),
          *Registry.find<Metrics>("metrics").value(),
          *Registry.find<ServiceTable>("services").value(),
          Configured.Domain,
          Configured.Limits};
}

Result<void> HostDaemon::buildCallPath() {
  TRY(const auto Members, Registry.find<MemberTable>("members"));
  TRY(const auto Mesh, Registry.find<PeerMesh>("mesh"));
  const HostDescription &Self = Members->Self;
  const auto Keys = std::make_shared<KeyedCalls>(
      dependencies(), HostProcess{Self.Host, Self.Incarnation}, *Mesh,
      makePeerDirectory(*Members, *Mesh, TimeSource));
  // The incarnation in the prefix keeps request ids unique across restarts of
  // the host.
  const std::string Prefix = Self.Host.Value + "-" +
                             hexadecimal(Self.Incarnation.Value).substr(0, 8) +
                             "-";
  TRY(const auto ProcessMetrics, Registry.find<Metrics>("metrics"));
  const auto PeerBroadcast =
      std::make_shared<Broadcast>(TimeSource, *Members, *Mesh, *ProcessMetrics);
  const auto Quarantine =
      std::make_shared<QuarantineService>(dependencies(), *PeerBroadcast);
  const auto Probes = std::make_shared<Prober>(dependencies(), *PeerBroadcast);
  TRY(Registry.add("broadcast", PeerBroadcast));
  TRY(Registry.add("prober", Probes));
  const auto Calls = std::make_shared<CallService>(
      dependencies(), *Keys, *Quarantine, *Probes, Prefix);
  TRY(Registry.add("quarantine", Quarantine));
  TRY(Registry.add("keys", Keys));
  TRY(Registry.add("calls", Calls));
  TRY(Registry.add("host_api", std::make_shared<HostApi>(dependencies(), *Calls,
                                                         *Keys, *Members)));
  return outcome::success();
}

Result<void> HostDaemon::buildPeers() {
  TRY(const auto Members, Registry.find<MemberTable>("members"));
  TRY(const auto Documents, Registry.find<ActiveDocuments>("documents"));
  TRY(const auto Keys, Registry.find<KeyedCalls>("keys"));
  TRY(const auto Mesh, Registry.find<PeerMesh>("mesh"));
  TRY(const auto Quarantine, Registry.find<QuarantineService>("quarantine"));
  TRY(const auto Probes, Registry.find<Prober>("prober"));
  const auto Peers = std::make_shared<PeerService>(
      dependencies(), *Members, *Documents, *Keys, *Quarantine, *Probes, *Mesh);
  const auto Platform = std::make_shared<PlatformService>(
      dependencies(), Configured.Platform, *Members, *Documents,
      [Peers] { Peers->announce(); });
  Documents->onChange([this, Members = Members.get(),
                       Documents = Documents.get(), Peers = Peers.get()] {
    const TimePoint Now = TimeSource.now();
    announceManifestNumber(*Members, Documents->number(), Now);
    announceFleetVersion(*Members, Documents->fleetVersion(), Now);
    updateReadiness();
    Peers->announce();
  });
  TRY(Registry.add("peers", Peers));
  TRY(Registry.add("platform", Platform));
  return outcome::success();
}

Result<void> HostDaemon::buildListeners() {
  TRY(const auto Members, Registry.find<MemberTable>("members"));
  TRY(const auto Documents, Registry.find<ActiveDocuments>("documents"));
  TRY(const auto Api, Registry.find<HostApi>("host_api"));
  TRY(const auto Peers, Registry.find<PeerService>("peers"));
  const auto Context = Loop.get_executor();
  const auto Callers = std::make_shared<HttpServer>(
      Context, TimeSource, Configured.Limits,
      [Api](HttpRequest Request, std::shared_ptr<Disconnect> Left) {
        return Api->handle(std::move(Request), std::move(Left));
      },
      invalidRequestResponse);
  const auto Admin = std::make_shared<AdminApi>(
      dependencies(), *Members, *Documents,
      [this](Metrics &ProcessMetrics) { updateMetrics(ProcessMetrics); },
      [this] { drain(); });
  HttpLimits AdminLimits = Configured.Limits;
  AdminLimits.Connections = AdminConnections;
  const auto AdminServer = std::make_shared<HttpServer>(
      Context, TimeSource, AdminLimits,
      [Admin](HttpRequest Request, std::shared_ptr<Disconnect> Left) {
        return Admin->handle(std::move(Request), std::move(Left));
      },
      invalidRequestResponse);
  const auto PeerListener = std::make_shared<PeerServer>(
      Context, TimeSource, PeerServerLimits{},
      [Peers = Peers.get()](const wire::PeerBody &Body,
                            const PeerReply &Reply) {
        Peers->handle(Body, Reply);
      });
  TRY(Registry.add("caller_listener", Callers));
  TRY(Registry.add("admin_listener", AdminServer));
  TRY(Registry.add("peer_listener", PeerListener));
  return outcome::success();
}

Result<void> HostDaemon::listen() {
  TRY(const auto Members, Registry.find<MemberTable>("members"));
  TRY(const auto Decisions, Registry.find<DecisionLog>("decisions"));
  TRY(const auto Callers, Registry.find<HttpServer>("caller_listener"));
  TRY(const auto Admin, Registry.find<HttpServer>("admin_listener"));
  TRY(const auto Peers, Registry.find<PeerServer>("peer_listener"));
  TRY(Callers->listen(Configured.CallerAddress));
  TRY(Admin->listen(Configured.AdminAddress));
  TRY(Peers->listen(Configured.PeerAddress));
  HostDescription &Self = Members->Self;
  Self.CallerAddress = Callers->localEndpoint();
  Self.AdminAddress = Admin->localEndpoint();
  Self.PeerAddress = Peers->localEndpoint();
  LogLine Line("listening");
  Line.field("host", Self.Host.Value)
      .field("incarnation", hexadecimal(Self.Incarnation.Value))
      .field("caller_address", formatEndpoint(Self.CallerAddress))
      .field("peer_address", formatEndpoint(Self.PeerAddress))
      .field("admin_address", formatEndpoint(Self.AdminAddress));
  Decisions->write(Line);
  return outcome::success();
}

// A host becomes ready, so that its address is given to callers, once it has a
// manifest and its peers had time to announce a newer one.
void HostDaemon::updateReadiness() {
  auto &Members = *Registry.find<MemberTable>("members").value();
  if (Members.Self.State != HostState::Starting ||
      Members.Self.Manifest.Value == 0 ||
      TimeSource.now() - Started < PeerDiscoveryTime)
    return;
  announceState(Members, HostState::Ready, TimeSource.now());
  LogLine Line("ready");
  Line.field("manifest_number", Members.Self.Manifest.Value);
  Registry.find<DecisionLog>("decisions").value()->write(Line);
  Registry.find<PeerService>("peers").value()->announce();
}

Awaitable<void> HostDaemon::runMaintenance() {
  auto &Pool = *Registry.find<ConnectionPool>("pool").value();
  auto &Members = *Registry.find<MemberTable>("members").value();
  while (true) {
    MaintenanceTimer.expires_after(MaintenanceInterval);
    const auto [Code] = co_await MaintenanceTimer.async_wait(UseTuple);
    if (Code)
      co_return;
    Pool.closeExpired();
    updateReadiness();
    if (!IsDraining && isSuperseded(Members, TimeSource.now())) {
      LogLine Line("superseded");
      Line.field("reason", "a newer process runs with the id of this host");
      Registry.find<DecisionLog>("decisions").value()->warn(Line);
      drain();
    }
  }
}

void HostDaemon::drain() {
  if (IsDraining)
    return;
  IsDraining = true;
  asio::co_spawn(Loop, runDrain(), asio::detached);
}

Awaitable<void> HostDaemon::runDrain() {
  auto &Members = *Registry.find<MemberTable>("members").value();
  auto &Calls = *Registry.find<CallService>("calls").value();
  auto &Callers = *Registry.find<HttpServer>("caller_listener").value();
  const auto &Services = *Registry.find<ServiceTable>("services").value();
  const TimePoint Now = TimeSource.now();
  announceState(Members, HostState::Leaving, Now);
  Callers.endKeepAlive();
  Registry.find<PeerService>("peers").value()->announce();
  LogLine Line("drain");
  Line.field("calls", std::uint64_t{Calls.activeCalls()});
  Registry.find<DecisionLog>("decisions").value()->write(Line);

  const Drain Current{Now, Services.manifest().AddressLifetime,
                      Configured.DrainTime};
  Timer Poll(Loop.get_executor());
  while (true) {
    const DrainPhase Phase =
        drainPhase(Current, Callers.unfinishedRequests(), TimeSource.now());
    if (Phase == DrainPhase::Exit)
      break;
    if (Phase == DrainPhase::Finish) {
      Callers.stopAccepting();
      Callers.closeIdleSessions();
    }
    Poll.expires_after(DrainPollInterval);
    co_await Poll.async_wait(UseTuple);
  }
  co_await finishDrain();
}

Awaitable<void> HostDaemon::finishDrain() {
  auto &Platform = *Registry.find<PlatformService>("platform").value();
  co_await Platform.unregister();
  LogLine Line("exit");
  Line.field("reason", "drained");
  Registry.find<DecisionLog>("decisions").value()->write(Line);
  stop();
}

void HostDaemon::stop() { Loop.stop(); }

void HostDaemon::updateMetrics(Metrics &ProcessMetrics) const {
  const auto &Members = *Registry.find<MemberTable>("members").value();
  const auto &Keys = *Registry.find<KeyedCalls>("keys").value();
  const auto &Mesh = Registry.find<PeerMesh>("mesh").value()->traffic();
  const auto &Peers =
      Registry.find<PeerServer>("peer_listener").value()->traffic();
  const auto &Callers = *Registry.find<HttpServer>("caller_listener").value();
  const auto &Calls =
      Registry.find<PlatformService>("platform").value()->counts();
  ProcessMetrics.counter("platform_reads_total") = Calls.Reads;
  ProcessMetrics.counter("platform_updates_total") = Calls.Updates;
  ProcessMetrics.counter("platform_watches_total") = Calls.Watches;
  ProcessMetrics.counter("platform_failures_total") = Calls.Failures;
  ProcessMetrics.counter("manifest_number") = Members.Self.Manifest.Value;
  ProcessMetrics.counter("peers") = Members.Peers.size();
  ProcessMetrics.counter("peer_bytes_sent_total") =
      Mesh.BytesSent + Peers.BytesSent;
  ProcessMetrics.counter("peer_bytes_received_total") =
      Mesh.BytesReceived + Peers.BytesReceived;
  ProcessMetrics.counter("peer_frames_dropped_total") = Mesh.FramesDropped;
  ProcessMetrics.counter("caller_connections") = Callers.sessions();
  ProcessMetrics.counter("calls_in_progress") = Callers.activeRequests();
  ProcessMetrics.counter("issuer_records") = Keys.issuerRecords();
  ProcessMetrics.counter("witness_records") = Keys.witnessRecords();
}

} // namespace comfreyrill
