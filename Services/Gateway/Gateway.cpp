#include "Gateway.h"

#include "ExplainEndpoint.h"
#include "MetricsListener.h"
#include "RequestExecution.h"
#include "RequestExplainer.h"
#include "RequestRelay.h"

#include <LibGateway/RouteTable.h>
#include <LibMembership/StoreRole.h>
#include <platform/HttpCodec.h>

namespace comfreyrill {

namespace {

constexpr Duration MaintenanceInterval = std::chrono::milliseconds(250);
// Time to discover other hosts before this host may watch the store itself. In
// the first start of a fleet the hosts start within 0.3 s of each other.
constexpr Duration FirstStartDiscoveryTime = std::chrono::milliseconds(400);
// In a later start callers are waiting, and the running hosts answer within
// milliseconds.
constexpr Duration DiscoveryTime = std::chrono::milliseconds(50);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(20);
// Targets close connections that are idle for ten seconds; the gateway closes
// them first.
constexpr Duration PoolIdleTime = std::chrono::seconds(8);
// Lifetime of a directory response, unless the platform allows less. A shorter
// one costs callers two more round trips on most requests. Callers avoid a dead
// host after their first failed connection anyway.
constexpr Duration AddressLifetime = std::chrono::seconds(5);
constexpr std::uint32_t SmallListenerConnections = 512;
constexpr std::uint64_t DefaultMemoryLimitBytes = 256'000'000;
// Memory is short until large messages have been sent or have failed.
constexpr Duration RetryWithoutMemory = std::chrono::seconds(1);
constexpr Duration MetricsRetryInterval = std::chrono::seconds(5);

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

HttpResponse replyToMalformedRequest(http::status Status, const Error &Cause) {
  // A draining host refuses a request that another host can take at once.
  const bool IsMemoryShort = Status == http::status::service_unavailable &&
                             Cause.Kind == ErrorKind::Unavailable;
  return platform::encodeLocalReply(
      Status, {}, Cause.Message,
      IsMemoryShort ? std::optional(RetryWithoutMemory) : std::nullopt);
}

HttpResponse notFound() {
  return platform::encodeLocalReply(http::status::not_found, {}, "no such path",
                                    std::nullopt);
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
  TRY(const auto Crashes, Registry.find<CrashExchange>("crash_exchange"));
  Crashes->start();
  if (Dependencies->Domains != nullptr) {
    Dependencies->Domains->start();
    TRY(const auto Summaries, Registry.find<DomainExchange>("domain_exchange"));
    Summaries->start();
  }
  TRY(const auto Evacuations,
      Registry.find<EvacuationExchange>("evacuation_exchange"));
  Evacuations->start();
  Dependencies->Relay->start();
  asio::co_spawn(Loop, runMaintenance(), asio::detached);
  return outcome::success();
}

Result<void> Gateway::buildState() {
  const auto Context = Loop.get_executor();
  const auto Output = std::make_shared<Log>(Configured.Level, "");
  const auto Events = std::make_shared<RateLimitedLog>(*Output, TimeSource);
  const auto Generator = std::make_shared<Random>(systemRandom());
  const auto CurrentState =
      std::make_shared<GatewayState>(TimeSource, *Generator, *Events);
  CurrentState->setPausePolicy(Configured.TargetPauses);
  const auto ProcessMetrics = std::make_shared<GatewayMetrics>();
  const auto ProbeTokens = std::make_shared<ProbeTokenBucket>();
  const auto Messages = std::make_shared<MessageMemory>(messageMemoryLimits(
      Configured.MemoryLimit.value_or(DefaultMemoryLimitBytes)));
  const auto TargetConnections = std::make_shared<ConnectionPool>(
      Context, TimeSource, PoolIdleTime, Messages.get());
  const auto Members = std::make_shared<MemberTable>(
      makeMemberTable(describeSelf(Configured, *Generator), {},
                      MembershipSettings{}, TimeSource.now()));
  TRY(Registry.add("log", Output));
  TRY(Registry.add("events", Events));
  TRY(Registry.add("random", Generator));
  TRY(Registry.add("knowledge", CurrentState));
  TRY(Registry.add("metrics", ProcessMetrics));
  TRY(Registry.add("probe_allowance", ProbeTokens));
  TRY(Registry.add("message_memory", Messages));
  TRY(Registry.add("target_connections", TargetConnections));
  TRY(Registry.add("members", Members));
  Dependencies.emplace(GatewayDependencies{
      Context, TimeSource, *Generator, *TargetConnections, *CurrentState,
      *Events, *ProcessMetrics, Configured.Domain, Configured.RetryPolicy,
      *ProbeTokens, Configured.ProbesPerTargetPerSecond, std::nullopt,
      *Messages, nullptr});
  return outcome::success();
}

Result<void> Gateway::buildServices() {
  const auto Context = Loop.get_executor();
  TRY(const auto Members, Registry.find<MemberTable>("members"));
  const auto Mesh = std::make_shared<PeerMesh>(
      Context, TimeSource, PeerMeshLimits{}, systemRandom());
  const auto Domains = std::make_shared<DomainTable>();
  const auto Replicator = std::make_shared<StateReplicator>(
      *Dependencies, *Members, *Domains, *Mesh);
  const auto Loads =
      std::make_shared<LoadExchange>(*Dependencies, *Members, *Mesh);
  const auto Quarantine = std::make_shared<CrashQuarantine>(*Dependencies);
  const auto Crashes = std::make_shared<CrashExchange>(
      *Dependencies, *Quarantine, *Members, *Domains, *Mesh);
  const auto Quotas = std::make_shared<AllotmentExchange>(
      *Dependencies, *Members, *Domains, *Mesh);
  const auto Evacuations = std::make_shared<EvacuationExchange>(
      *Dependencies, *Members, *Domains, *Mesh);
  Evacuations->setEnabled(Configured.HasEvacuations.value_or(false));
  const auto Fleet = std::make_shared<FleetService>(
      *Dependencies, *Members, *Domains, *Replicator, *Loads, *Crashes, *Quotas,
      *Evacuations, *Mesh, Configured.Seeds);
  Dependencies->BudgetHostCount = [Fleet = Fleet.get()] {
    return Fleet->budgetHostCount();
  };
  Dependencies->AcquireToken = [Quotas =
                                    Quotas.get()](const ClientAccount &Holder) {
    return Quotas->acquire(Holder);
  };
  Dependencies->ReturnToken = [Quotas =
                                   Quotas.get()](const AccountName &Account) {
    Quotas->giveBack(Account);
  };
  const auto StoreConnections =
      std::make_shared<ConnectionPool>(Context, TimeSource, PoolIdleTime);
  const auto Client = std::make_shared<platform::StoreClient>(
      Configured.Store, *StoreConnections, TimeSource);
  const auto Store = std::make_shared<StoreWatcher>(
      *Dependencies, *Client,
      [Replicator = Replicator.get(), Evacuations = Evacuations.get()] {
        Evacuations->publish();
        Replicator->publish(UpdateSource::Store);
      });
  if (Configured.DomainBytePrice) {
    const auto Routing = std::make_shared<DomainRouting>(
        *Dependencies, *Domains, *Configured.DomainBytePrice);
    const auto Summaries = std::make_shared<DomainExchange>(
        *Dependencies, *Routing, *Members, *Domains, *Mesh);
    Dependencies->Domains = Routing.get();
    Fleet->setDomainExchange(Summaries.get());
    TRY(Registry.add("domain_routing", Routing));
    TRY(Registry.add("domain_exchange", Summaries));
  }
  Store->setHasEvacuations(Configured.HasEvacuations.value_or(false));
  Replicator->onChange([this] { onStateChange(); });
  Fleet->onTick([this] { updateStoreRole(); });
  TRY(Registry.add("domains", Domains));
  TRY(Registry.add("exchange", Replicator));
  TRY(Registry.add("load_exchange", Loads));
  TRY(Registry.add("crash_quarantine", Quarantine));
  TRY(Registry.add("crash_exchange", Crashes));
  TRY(Registry.add("allotment_exchange", Quotas));
  TRY(Registry.add("evacuation_exchange", Evacuations));
  TRY(Registry.add("mesh", Mesh));
  TRY(Registry.add("fleet", Fleet));
  TRY(Registry.add("store_connections", StoreConnections));
  TRY(Registry.add("store_client", Client));
  TRY(Registry.add("store", Store));
  const auto Prober = std::make_shared<TargetProber>(*Dependencies);
  const auto Relay = std::make_shared<RequestRelay>(*Dependencies, *Members,
                                                    *Domains, *Prober);
  Dependencies->Relay = Relay.get();
  TRY(Registry.add("prober", Prober));
  TRY(Registry.add("relay", Relay));
  return outcome::success();
}

Result<void> Gateway::listen() {
  const auto Context = Loop.get_executor();
  TRY(const auto Fleet, Registry.find<FleetService>("fleet"));
  HttpLimits SmallListenerLimits;
  SmallListenerLimits.Connections = SmallListenerConnections;
  const auto Serve = [&](std::string_view Name, const Endpoint &Address,
                         HttpServer::Handler Handle, const HttpLimits &Limits,
                         HttpServer::ConcurrencyPredicate MayRunConcurrently =
                             nullptr) -> Result<void> {
    const auto Server = std::make_shared<HttpServer>(
        Context, TimeSource, Limits, std::move(Handle), replyToMalformedRequest,
        &Dependencies->Messages, std::move(MayRunConcurrently));
    TRY(Server->listen(Address));
    return Registry.add(std::string(Name), Server);
  };
  TRY(Serve(
      "callers", Configured.CallerAddress,
      [this](HttpRequest Request, std::shared_ptr<Disconnect> Left) {
        return handleRequest(std::move(Request), std::move(Left));
      },
      HttpLimits{},
      [this](const HttpRequest &Request) { return isIdempotent(Request); }));
  TRY(Serve(
      "readiness", Configured.ReadinessAddress,
      [this](HttpRequest Request, std::shared_ptr<Disconnect>)
          -> Awaitable<HttpResponse> { co_return handleReadiness(Request); },
      SmallListenerLimits));
  TRY(Serve(
      "directory", Configured.DirectoryAddress,
      [this](HttpRequest Request, std::shared_ptr<Disconnect>)
          -> Awaitable<HttpResponse> { co_return handleDirectory(Request); },
      SmallListenerLimits));
  const auto Peers = std::make_shared<PeerServer>(
      Context, TimeSource, PeerServerLimits{},
      [Fleet = Fleet.get()](const wire::PeerBody &Body,
                            const PeerReply &Reply) {
        Fleet->handle(Body, Reply);
      });
  TRY(Peers->listen(Configured.PeerAddress));
  TRY(Registry.add("peer_listener", Peers));
  TRY(const auto Callers, Registry.find<HttpServer>("callers"));
  LogLine Line("start");
  Line.field("host", Configured.Host.Value)
      .field("failure_domain", Configured.Domain.Value)
      .field("caller_address", formatEndpoint(Callers->localEndpoint()));
  Dependencies->Events.writeAlways(LogLevel::Info, Line);
  TRY(const auto Quotas,
      Registry.find<AllotmentExchange>("allotment_exchange"));
  const auto Explainer = std::make_shared<RequestExplainer>(
      *Dependencies, Quotas.get(), Configured.Host, systemRandom());
  const auto Explanations = std::make_shared<ExplainEndpoint>(
      [Explainer](const ExplainedRequest &Request) {
        return Explainer->explain(Request);
      });
  HttpLimits MetricsLimits = SmallListenerLimits;
  MetricsLimits.HeaderBytes = ExplainHeaderBytes;
  MetricsLimits.BodyBytes = ExplainBodyBytes;
  const auto MetricsServer = std::make_shared<MetricsListener>(
      Context, TimeSource, Dependencies->Events,
      [this, Explanations](HttpRequest Request, std::shared_ptr<Disconnect>)
          -> Awaitable<HttpResponse> {
        if (isExplainRequest(Request))
          co_return co_await Explanations->handle(std::move(Request));
        co_return handleMetrics();
      },
      replyToMalformedRequest, MetricsLimits, MetricsRetryInterval);
  MetricsServer->setAddress(Configured.MetricsAddress);
  return Registry.add("metrics_listener", MetricsServer);
}

Awaitable<HttpResponse>
Gateway::handleRequest(HttpRequest Request,
                       std::shared_ptr<Disconnect> CallerLeft) {
  const auto Execution = std::make_shared<RequestExecution>(
      *Dependencies, *Registry.find<TargetProber>("prober").value(),
      *Registry.find<CrashQuarantine>("crash_quarantine").value(),
      std::move(Request), CallerLeft->callerAddress());
  CallerLeft->onOccurrence([Execution] { Execution->cancel(); });
  HttpResponse Response = co_await Execution->run();
  CallerLeft->onOccurrence(nullptr);
  co_return Response;
}

bool Gateway::isIdempotent(const HttpRequest &Request) const {
  const auto Active = Dependencies->CurrentState.configuration();
  if (!Active)
    return false;
  const RequestMetadata Metadata = platform::decodeRequestMetadata(Request);
  const Route *Selected = findRoute(*Active, Metadata.Host, Metadata.Path);
  return Selected != nullptr &&
         Selected->Semantics == ExecutionSemantics::Idempotent;
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
  auto &CurrentState = Dependencies->CurrentState;
  ProcessMetrics.setGauge("configuration_version",
                          static_cast<double>(CurrentState.version().Value));
  ProcessMetrics.setGauge(
      "targets", static_cast<double>(CurrentState.targets().Targets.size()));
  ProcessMetrics.setGauge("peers_alive", static_cast<double>(aliveCount(
                                             Members, TimeSource.now())));
  ProcessMetrics.setGauge(
      "evacuated_domains",
      static_cast<double>(evacuatedDomains(CurrentState.evacuations()).size()));
  const SignalCounts &Signalled = CurrentState.signalCounts();
  ProcessMetrics.counter("targets_leaving_total") = Signalled.Leaving;
  ProcessMetrics.counter("targets_paused_total") = Signalled.Paused;
  ProcessMetrics.counter("targets_resumed_total") = Signalled.Resumed;
  ProcessMetrics.setGauge("targets_unreachable",
                          CurrentState.reachability().isCutOff() ? 1 : 0);
  ProcessMetrics.counter("targets_unreachable_total") =
      CurrentState.reachability().cutOffCount();
  const RateLimitCounts &Limited = CurrentState.rateLimits().counts();
  ProcessMetrics.setGauge(
      "rate_limited_targets",
      static_cast<double>(CurrentState.rateLimits().size()));
  ProcessMetrics.counter("target_rate_limits_begun_total") = Limited.Begun;
  ProcessMetrics.counter("target_rate_limits_changed_total") = Limited.Changed;
  ProcessMetrics.counter("target_rate_limits_ended_total") = Limited.Ended;
  const MessageMemory &Messages = Dependencies->Messages;
  ProcessMetrics.setGauge("message_bytes",
                          static_cast<double>(Messages.usedBytes()));
  ProcessMetrics.counter("answers_dropped_for_memory_total") =
      Messages.droppedResponses();
  ProcessMetrics.counter("messages_without_memory_total") =
      Messages.deniedMessages();
  ProcessMetrics.counter("store_calls_total") =
      Registry.find<platform::StoreClient>("store_client").value()->calls();
  HttpResponse Response(http::status::ok, 11);
  Response.set(http::field::content_type, "text/plain; version=0.0.4");
  Response.body() = ProcessMetrics.text();
  Response.prepare_payload();
  return Response;
}

void Gateway::onStateChange() {
  auto &Members = *Registry.find<MemberTable>("members").value();
  const auto CurrentConfiguration = Dependencies->CurrentState.configuration();
  if (!CurrentConfiguration)
    return;
  if (CurrentConfiguration->Version != AppliedVersion) {
    AppliedVersion = CurrentConfiguration->Version;
    HttpLimits Limits;
    Limits.HeaderBytes = CurrentConfiguration->Limits.HeaderBytes;
    Limits.BodyBytes = CurrentConfiguration->Limits.BodyBytes;
    Limits.MessageTime = CurrentConfiguration->Limits.HeaderTime;
    Limits.IdleTime = CurrentConfiguration->Limits.IdleTime;
    Registry.find<HttpServer>("callers").value()->setLimits(Limits);
  }
  if (Members.Self.State == HostState::Starting &&
      !Dependencies->CurrentState.targets().Targets.empty()) {
    announceState(Members, HostState::Ready, TimeSource.now());
    LogLine Line("ready");
    Line.field("configuration", AppliedVersion.Value);
    Dependencies->Events.writeAlways(LogLevel::Info, Line);
  }
  Registry.find<FleetService>("fleet").value()->announce();
}

// One host of each failure domain watches the store, because each response of a
// watch is a billed call. The other hosts replicate its state.
void Gateway::updateStoreRole() {
  const TimePoint Now = TimeSource.now();
  if (Now - Started <
      (Configured.IsFirstStart ? FirstStartDiscoveryTime : DiscoveryTime))
    return;
  auto &Members = *Registry.find<MemberTable>("members").value();
  auto &Store = *Registry.find<StoreWatcher>("store").value();
  announcePlatformReachability(Members, Store.isStoreReachable(), Now);
  announceStoreWatch(Members, Store.isSynchronized(), Now);
  Store.setRole(storeRole(Members, Store.contact(), Now));
}

Awaitable<void> Gateway::runMaintenance() {
  auto &Connections =
      *Registry.find<ConnectionPool>("target_connections").value();
  auto &Store = *Registry.find<StoreWatcher>("store").value();
  auto &Replicator = *Registry.find<StateReplicator>("exchange").value();
  auto &StoreConnections =
      *Registry.find<ConnectionPool>("store_connections").value();
  while (true) {
    MaintenanceTimer.expires_after(MaintenanceInterval);
    const auto [Code] = co_await MaintenanceTimer.async_wait(UseTuple);
    if (Code)
      co_return;
    Connections.closeExpired();
    StoreConnections.closeExpired();
    if (Dependencies->CurrentState.removeExpired() && Store.isSynchronized())
      Replicator.publish(UpdateSource::Store);
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
  Line.field("requests", std::uint64_t{Callers.unfinishedRequests()});
  Dependencies->Events.writeAlways(LogLevel::Info, Line);

  // The platform has begun to count the stop time, so a reload does not change
  // the schedule.
  const DrainSchedule Schedule = drainSchedule(Begin, Configured.StopTime);
  Dependencies->Drain = Schedule;
  Timer Poll(Loop.get_executor());
  while (TimeSource.now() < Schedule.End) {
    if (TimeSource.now() >= Schedule.ReadUntil)
      Callers.rejectUnreadRequests();
    if (TimeSource.now() >= Schedule.AcceptUntil) {
      Callers.stopAccepting();
      Callers.closeIdleSessions();
      if (Callers.unfinishedRequests() == 0)
        break;
    }
    Poll.expires_after(DrainPollInterval);
    co_await Poll.async_wait(UseTuple);
  }
  LogLine End("stop");
  End.field("requests", std::uint64_t{Callers.unfinishedRequests()});
  Dependencies->Events.writeAlways(LogLevel::Info, End);
  stop();
}

void Gateway::reload(const GatewaySettings &Changed) {
  Configured.StopTime = Changed.StopTime;
  Configured.AddressLifetimeMaximum = Changed.AddressLifetimeMaximum;
  Configured.RetryPolicy = Changed.RetryPolicy;
  Configured.ProbesPerTargetPerSecond = Changed.ProbesPerTargetPerSecond;
  Configured.TargetPauses = Changed.TargetPauses;
  Dependencies->RetryPolicy = Changed.RetryPolicy;
  Dependencies->ProbesPerTargetPerSecond = Changed.ProbesPerTargetPerSecond;
  Dependencies->CurrentState.setPausePolicy(Changed.TargetPauses);
  Configured.HasEvacuations = Changed.HasEvacuations;
  const bool HasEvacuations = Changed.HasEvacuations.value_or(false);
  Registry.find<EvacuationExchange>("evacuation_exchange")
      .value()
      ->setEnabled(HasEvacuations);
  Registry.find<StoreWatcher>("store").value()->setHasEvacuations(
      HasEvacuations);
  Registry.find<MetricsListener>("metrics_listener")
      .value()
      ->setAddress(Changed.MetricsAddress);
  LogLine Line("reload");
  Line.field("retry_slack_thousandths",
             static_cast<std::uint64_t>(Changed.RetryPolicy.Slack * 1000));
  Dependencies->Events.writeAlways(LogLevel::Info, Line);
}

void Gateway::stop() { Loop.stop(); }

} // namespace comfreyrill
