#pragma once

#include "ObjectStoreStandIn.h"
#include "SoakBook.h"
#include "SoakFleet.h"
#include "SoakTarget.h"

#include <map>

namespace comfreyrill::soak {

struct SoakSettings {
  SoakFleetSettings Fleet;
  std::uint64_t Seed = 1;
  Duration FaultTime = std::chrono::seconds(20);
  std::size_t Callers = 24;
  std::size_t Targets = 10;
};

/// What the coroutines of one run share.
struct SoakRun {
  explicit SoakRun(SoakSettings Configured);

  SoakSettings Settings;
  asio::io_context Loop{1};
  SystemClock TimeSource;
  Random Generator;
  SoakBook Book;
  ObjectStoreStandIn Store;
  SoakFleet Fleet;
  /// Gone targets are kept, because their coroutines may still run.
  std::vector<std::unique_ptr<SoakTarget>> Targets;
  std::vector<SoakTarget *> Live;
  /// Versions of the configuration that have added a route.
  std::vector<std::uint64_t> RouteVersions;
  std::uint64_t Version = 0;
  TimePoint FaultsUntil;
  bool IsOver = false;
  std::vector<std::string> Violations;
};

Awaitable<void> sleepFor(SoakRun &Current, Duration Length);

/// Prints what happens, with the time since the start.
void report(SoakRun &Current, const std::string &Text);

/// Writes a configuration with one route more; the routes from before stay.
void writeNextConfiguration(SoakRun &Current);

/// Starts a target and registers it.
Result<void> addTarget(SoakRun &Current);

/// Sends requests until the run is over.
Awaitable<void> callUntilOver(SoakRun &Current, std::size_t Caller);

/// Draws faults until their time is up.
Awaitable<void> injectFaults(SoakRun &Current);

/// Restarts hosts whose processes have ended, and notes ends that nobody asked
/// for.
Awaitable<void> superviseHosts(SoakRun &Current);

} // namespace comfreyrill::soak
