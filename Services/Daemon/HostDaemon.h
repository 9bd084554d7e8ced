#pragma once

#include "AdminApi.h"
#include "HostApi.h"
#include "PeerService.h"
#include "PlatformService.h"
#include "Settings.h"

#include <LibCore/ServiceRegistry.h>
#include <LibMembership/Drain.h>

namespace comfreyrill {

/// The composition root: builds the services of one host process, registers
/// them by name, and starts and stops them.
class HostDaemon {
public:
  HostDaemon(Settings Configured, asio::io_context &Loop,
             const Clock &TimeSource);

  /// Binds the listeners and starts all services. Fails with Unavailable when
  /// an address cannot be bound.
  Result<void> start();

  /// Starts a graceful shutdown; the event loop stops when it is complete.
  void drain();
  /// Stops the event loop immediately, without draining.
  void stop();

private:
  Result<void> buildState();
  Result<void> buildCallPath();
  Result<void> buildPeers();
  Result<void> buildListeners();
  Result<void> listen();
  Awaitable<void> runMaintenance();
  Awaitable<void> runDrain();
  Awaitable<void> finishDrain();
  void updateReadiness();
  void updateMetrics(Metrics &ProcessMetrics) const;
  DaemonDependencies dependencies() const;

  Settings Configured;
  asio::io_context &Loop;
  const Clock &TimeSource;
  TimePoint Started;
  ServiceRegistry Registry;
  Timer MaintenanceTimer;
  bool IsDraining = false;
};

} // namespace comfreyrill
