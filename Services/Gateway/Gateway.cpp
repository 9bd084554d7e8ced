
#include "Gateway.h"

#include "RequestExecution.h"

#include <LibMembership/Roles.h>
#include <platform/HttpCodec.h>

namespace comfreyrill {

namespace {

constexpr Duration MaintenanceInterval = std::chrono::milliseconds(250);
// Time to find other hosts before this one asks the store itself. When the
// fleet starts for the first time, its hosts do so within 0.3 s of each other.
// Later there are callers who wait, and the other hosts answer in milliseconds.
constexpr Duration FirstHearingTime = std::chrono::milliseconds(400);
constexpr Duration HearingTime = std::chrono::milliseconds(50);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(20);
// Targets close connections that are idle for ten seconds (site files:
// idle_close_ms); this side closes first.
constexpr Duration PoolIdleTime = std::chrono::seconds(8);
// Lets callers leave a dead host soon; the shortest time that callers keep.
constexpr Duration AddressLifetime = std::chrono::seconds(1);
// Part of the stop time during which a stopping host still takes requests from
// callers that know its address.
constexpr double ServingShare = 0.5;
// The rest is kept for the exit itself.
constexpr double FinishingShare = 0.95;
constexpr std::uint32_t SmallListenerConnections = 512;
constexpr std::uint16_t MetricsPort = 9464;

HostDescription describeSelf(const GatewaySettings &Configured,
                             Random &Generator) {
  HostDescription Self;
  Self.Host = Configured.Host;
  Self.Incarnation.Value = Generator();
  Self.StartedAt = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  Self.Domain = Configured.Domain;
  Self.CallerAddress = Configured.CallerAddress;
  Self.PeerAddress = Configured.PeerAddress;
  Self.AdminAddress = Configured.ReadinessAddress;
  return Self;
}

HttpResponse refuseUnreadable(http::status Status, const Error &Cause) {
  return platform::encodeLocalReply(Status, {}, Cause.Message, std::nullopt);
}

HttpResponse notFound() {
  return platform::encodeLocalReply(http::status::not_found, {}, "no such path",
                                    std::nullopt);
}

Duration part(Duration Whole, double Share) {
  return std::chrono::duration_cast<Duration>(Whole * Share);
}

} // namespace

Gateway::Gateway(GatewaySettings Configured, asio::io_context &Loop,
                 const Clock &TimeSource)
    : Configured(std::move(Configured)), Loop(Loop), TimeSource(TimeSource),
      Started(TimeSource.now()), MaintenanceTimer(Loop.get_executor()) {}

Result<void> Gateway::start() {
  TRY(buildState());
  TRY(buildServices());
  TRY(listen());
  TRY(const auto Fleet, Registry.find<FleetService>("fleet"));
  Fleet->start();
  TRY(const auto Loads, Registry.find<LoadExchange>("load_exchange"));
  Loads->start();
  asio::co_spawn(Loop, runMaintenance(), asio::detached);
  return outcome::success();
}

Result<void> Gateway::buildState() {
  const auto Context = Loop.get_executor();
  const auto Output = std::make_shared<Log>(Configured.Level, "");
  const auto Events = std::make_shared<BoundedLog>(*Output, TimeSource);
  const auto Generator = std::make_shared<Random>(systemRandom());
  const auto Known =
      std::make_shared<Knowledge>(TimeSource, *Generator, *Events);
  const auto ProcessMetrics = std::make_shared<GatewayMetrics>();
  const auto Probes = std::make_shared<ProbeTokenBucket>();
  const auto Targets =
      std::make_shared<ConnectionPool>(Context, TimeSource, PoolIdleTime);
  const auto Members = std::make_shared<MemberTable>(
      makeMemberTable(describeSelf(Configured, *Generator), {},
                      MembershipSettings{}, TimeSource.now()));
  TRY(Registry.add("log", Output));
  TRY(Registry.add("events", Events));
  TRY(Registry.add("random", Generator));
  TRY(Registry.add("knowledge", Known));
  TRY(Registry.add("metrics", ProcessMetrics));
  TRY(Registry.add("probe_allowance", Probes));
  TRY(Registry.add("target_connections", Targets));
  TRY(Registry.add("members", Members));
  Dependencies.emplace(GatewayDependencies{
      Context, TimeSource, *Generator, *Targets, *Known, *Events,
      *ProcessMetrics, Configured.Domain, Configured.Retries, *Probes,
      Configured.ProbesPerTarget, nullptr});
  return outcome::success();
}

Result<void> Gateway::buildServices() {
  const auto Context = Loop.get_executor();
  TRY(const auto Members, Registry.find<MemberTable>("members"));
  const auto Mesh = std::make_shared<PeerMesh>(
      Context, TimeSource, PeerMeshLimits{}, systemRandom());
  const auto Domains = std::make_shared<DomainTable>();
  const auto Exchange = std::make_shared<KnowledgeExchange>(
      *Dependencies, *Members, *Domains, *Mesh);
  const auto Loads =
      std::make_shared<LoadExchange>(*Dependencies, *Members, *Mesh);
  const auto Fleet = std::make_shared<FleetService>(*Dependencies, *Members,
                                                    *Domains, *Exchange, *Loads,
                                                    *Mesh, Configured.Seeds);
  Dependencies->Hosts = [Fleet = Fleet.get()] { return Fleet->budgetHosts(); };
  const auto StoreConnections =
      std::make_shared<ConnectionPool>(Context, TimeSource, PoolIdleTime);
  const auto Client = std::make_shared<platform::StoreClient>(
      Configured.Store, *StoreConnections, TimeSource);
  const auto Store = std::make_shared<StoreService>(
      *Dependencies, *Client,
      [Exchange = Exchange.get()] { Exchange->publish(true); });
  Exchange->onChange([this] { onKnowledgeChange(); });
  Fleet->onTick([this] { assignStoreRole(); });
  TRY(Registry.add("domains", Domains));
  TRY(Registry.add("exchange", Exchange));
  TRY(Registry.add("load_exchange", Loads));
  TRY(Registry.add("mesh", Mesh));
  TRY(Registry.add("fleet", Fleet));
  TRY(Registry.add("store_connections", StoreConnections));
  TRY(Registry.add("store_client", Client));
  TRY(Registry.add("store", Store));
  TRY(Registry.add("prober", std::make_shared<TargetProbe>(*Dependencies)));
  return outcome::success();
}

Result<void> Gateway::listen() {
  const auto Context = Loop.get_executor();
  TRY(const auto Fleet, Registry.find<FleetService>("fleet"));
  HttpLimits Small;
  Small.Connections = SmallListenerConnections;
  const auto Serve = [&](std::string_view Name, const Endpoint &Address,
                         HttpServer::Handler Handle,
                         const HttpLimits &Limits) -> Result<void> {
    const auto Server = std::make_shared<HttpServer>(
        Context, TimeSource, Limits, std::move(Handle), refuseUnreadable);
    TRY(Server->listen(Address));
    return Registry.add(std::string(Name), Server);
  };
  TRY(Serve(
      "callers", Configured.CallerAddress,
      [this](HttpRequest Request, std::shared_ptr<Disconnect> Left) {
        return handleRequest(std::move(Request), std::move(Left));
      },
      HttpLimits{}));
  TRY(Serve(
      "readiness", Configured.ReadinessAddress,
      [this](HttpRequest Request, std::shared_ptr<Disconnect>)
          -> Awaitable<HttpResponse> { co_return handleReadiness(Request); },
      Small));
  TRY(Serve(
      "directory", Configured.DirectoryAddress,
      [this](HttpRequest Request, std::shared_ptr<Disconnect>)
          -> Awaitable<HttpResponse> { co_return handleDirectory(Request); },
      Small));
  TRY(Serve(
      "metrics_listener",
      Endpoint{Configured.CallerAddress.Address, MetricsPort},
      [this](HttpRequest, std::shared_ptr<Disconnect>)
          -> Awaitable<HttpResponse> { co_return handleMetrics(); },
      Small));
  const auto Peers = std::make_shared<PeerServer>(
      Context, TimeSource, PeerServerLimits{},
      [Fleet = Fleet.get()](const wire::PeerBody &Body,
                            const PeerReply &Reply) {
        Fleet->handle(Body, Reply);
      });
  TRY(Peers->listen(Configured.PeerAddress));
  TRY(Registry.add("peer_listener", Peers));
  LogLine Line("start");
  Line.field("host", Configured.Host.Value)
      .field("failure_domain", Configured.Domain.Value)
      .field("caller_address", formatEndpoint(Configured.CallerAddress));
  Dependencies->Events.writeAlways(LogLevel::Info, Line);
  return outcome::success();
}

Awaitable<HttpResponse>
Gateway::handleRequest(HttpRequest Request,
                       std::shared_ptr<Disconnect> CallerLeft) {
  const auto Execution = std::make_shared<RequestExecution>(
      *Dependencies, *Registry.find<TargetProbe>("prober").value(),
      std::move(Request));
  CallerLeft->onOccurrence([Execution] { Execution->cancel(); });
  HttpResponse Response = co_await Execution->run();
  CallerLeft->onOccurrence(nullptr);
  co_return Response;
}

HttpResponse Gateway::handleReadiness(const HttpRequest &Request) const {
  if (!platform::isReadinessRequest(Request))
    return notFound();
  const auto &Members = *Registry.find<MemberTable>("members").value();
  const bool IsReady = Members.Self.State == HostState::Ready;
  return platform::encodeLocalReply(
      IsReady ? http::status::ok : http::status::service_unavailable, {},
      IsReady ? "ready" : "not ready", std::nullopt);
}

HttpResponse Gateway::handleDirectory(const HttpRequest &Request) {
  if (!platform::isAddressRequest(Request))
    return notFound();
  const auto Addresses =
      Registry.find<FleetService>("fleet").value()->callerAddresses();
  if (Addresses.empty())
    return platform::encodeLocalReply(http::status::service_unavailable, {},
                                      "no host is ready", AddressLifetime);
  return platform::encodeAddresses(
      Addresses, std::min(AddressLifetime, Configured.AddressLifetimeMaximum));
}

HttpResponse Gateway::handleMetrics() {
  GatewayMetrics &ProcessMetrics = Dependencies->ProcessMetrics;
  const auto &Members = *Registry.find<MemberTable>("members").value();
  const auto &Known = Dependencies->Known;
  ProcessMetrics.setGauge("configuration_version",
                          static_cast<double>(Known.version().Value));
  ProcessMetrics.setGauge("targets",
                          static_cast<double>(Known.targets().Targets.size()));
  ProcessMetrics.setGauge("peers_alive", static_cast<double>(aliveCount(
                                             Members, TimeSource.now())));
  ProcessMetrics.counter("store_calls_total") =
      Registry.find<platform::StoreClient>("store_client").value()->calls();
  HttpResponse Response(http::status::ok, 11);
  Response.set(http::field::content_type, "text/plain; version=0.0.4");
  Response.body() = ProcessMetrics.text();
  Response.prepare_payload();
  return Response;
}

void Gateway::onKnowledgeChange() {
  auto &Members = *Registry.find<MemberTable>("members").value();
  const auto InForce = Dependencies->Known.configuration();
  if (!InForce)
    return;
  if (InForce->Version != Applied) {
    Applied = InForce->Version;
    HttpLimits Limits;
    Limits.HeaderBytes = InForce->Limits.HeaderBytes;
    Limits.BodyBytes = InForce->Limits.BodyBytes;
    Limits.MessageTime = InForce->Limits.HeaderTime;
    Limits.IdleTime = InForce->Limits.IdleTime;
    Registry.find<HttpServer>("callers").value()->setLimits(Limits);
  }
  if (Members.Self.State == HostState::Starting &&
      !Dependencies->Known.targets().Targets.empty()) {
    announceState(Members, HostState::Ready, TimeSource.now());
    LogLine Line("ready");
    Line.field("configuration", Applied.Value);
    Dependencies->Events.writeAlways(LogLevel::Info, Line);
  }
  Registry.find<FleetService>("fleet").value()->announce();
}

// One host of each failure domain follows the store, because each return of a
// watch is a priced call; the others learn from it.
void Gateway::assignStoreRole() {
  const TimePoint Now = TimeSource.now();
  if (Now - Started <
      (Configured.IsFirstStart ? FirstHearingTime : HearingTime))
    return;
  auto &Members = *Registry.find<MemberTable>("members").value();
  auto &Store = *Registry.find<StoreService>("store").value();
  announcePlatformReachability(Members, Store.isReached(), Now);
  announceStoreWatch(Members, Store.isFollowing(), Now);
  Store.setWatching(isStoreWatcher(Members, Now));
}

Awaitable<void> Gateway::runMaintenance() {
  auto &Connections =
      *Registry.find<ConnectionPool>("target_connections").value();
  auto &Store = *Registry.find<StoreService>("store").value();
  auto &Exchange = *Registry.find<KnowledgeExchange>("exchange").value();
  auto &StoreConnections =
      *Registry.find<ConnectionPool>("store_connections").value();
  while (true) {
    MaintenanceTimer.expires_after(MaintenanceInterval);
    const auto [Code] = co_await MaintenanceTimer.async_wait(UseTuple);
    if (Code)
      co_return;
    Connections.closeExpired();
    StoreConnections.closeExpired();
    if (Dependencies->Known.expire() && Store.isFollowing())
      Exchange.publish(true);
  }
}

void Gateway::drain() {
  if (IsDraining)
    return;
  IsDraining = true;
  asio::co_spawn(Loop, runDrain(), asio::detached);
}

Awaitable<void> Gateway::runDrain() {
  auto &Members = *Registry.find<MemberTable>("members").value();
  auto &Callers = *Registry.find<HttpServer>("callers").value();
  const TimePoint Begin = TimeSource.now();
  announceState(Members, HostState::Leaving, Begin);
  Callers.endKeepAlive();
  Registry.find<FleetService>("fleet").value()->announce();
  LogLine Line("drain");
  Line.field("requests", std::uint64_t{Callers.activeRequests()});
  Dependencies->Events.writeAlways(LogLevel::Info, Line);

  const TimePoint LastAccept = Begin + part(Configured.StopTime, ServingShare);
  const TimePoint Last = Begin + part(Configured.StopTime, FinishingShare);
  Timer Poll(Loop.get_executor());
  while (TimeSource.now() < Last) {
    if (TimeSource.now() >= LastAccept) {
      Callers.stopAccepting();
      Callers.closeIdleSessions();
      if (Callers.activeRequests() == 0)
        break;
    }
    Poll.expires_after(DrainPollInterval);
    co_await Poll.async_wait(UseTuple);
  }
  LogLine End("stop");
  End.field("requests", std::uint64_t{Callers.activeRequests()});
  Dependencies->Events.writeAlways(LogLevel::Info, End);
  stop();
}

void Gateway::reload(const GatewaySettings &Changed) {
  Configured.StopTime = Changed.StopTime;
  Configured.AddressLifetimeMaximum = Changed.AddressLifetimeMaximum;
  Configured.Retries = Changed.Retries;
  Configured.ProbesPerTarget = Changed.ProbesPerTarget;
  Dependencies->Retries = Changed.Retries;
  Dependencies->ProbesPerTarget = Changed.ProbesPerTarget;
  LogLine Line("reload");
  Line.field("retry_slack_thousandths",
             static_cast<std::uint64_t>(Changed.Retries.Slack * 1000));
  Dependencies->Events.writeAlways(LogLevel::Info, Line);
}

void Gateway::stop() { Loop.stop(); }

} // namespace comfreyrill
