#pragma once

#include "FleetService.h"
#include "GatewaySettings.h"
#include "StoreWatcher.h"
#include "TargetProber.h"

#include <LibCore/ServiceRegistry.h>
#include <LibHttp/HttpServer.h>

#include <optional>

namespace comfreyrill {

/// The composition root of a gateway process, the program that runs on the
/// entry hosts. Builds the services, registers them by name, and starts and
/// stops them.
class Gateway {
public:
  Gateway(GatewaySettings Configured, asio::io_context &Loop,
          const Clock &TimeSource);

  /// Binds the listeners and starts all services. Fails with Unavailable when
  /// an address cannot be bound.
  Result<void> start();

  /// Starts a graceful shutdown; the event loop stops when it is complete.
  void drain();
  /// Stops at once.
  void stop();
  /// Applies the settings that may change while the process runs.
  void reload(const GatewaySettings &Changed);

private:
  Result<void> buildState();
  Result<void> buildServices();
  Result<void> listen();
  Awaitable<HttpResponse> handleRequest(HttpRequest Request,
                                        std::shared_ptr<Disconnect> CallerLeft);
  /// Returns true if the route of the request allows it to run more than once.
  bool isIdempotent(const HttpRequest &Request) const;
  HttpResponse handleReadiness(const HttpRequest &Request) const;
  HttpResponse handleDirectory(const HttpRequest &Request);
  HttpResponse handleMetrics();
  void onStateChange();
  void updateStoreRole();
  Awaitable<void> runMaintenance();
  Awaitable<void> runDrain();

  GatewaySettings Configured;
  asio::io_context &Loop;
  const Clock &TimeSource;
  ServiceRegistry Registry;
  std::optional<GatewayDependencies> Dependencies;
  ConfigurationVersion AppliedVersion;
  TimePoint Started;
  Timer MaintenanceTimer;
  bool IsDraining = false;
};

} // namespace comfreyrill
