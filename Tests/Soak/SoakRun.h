#pragma once

#include "ObjectStoreStandIn.h"
#include "SoakFleet.h"
#include "SoakRecords.h"
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

/// State shared by the coroutines of one run.
struct SoakRun {
  explicit SoakRun(SoakSettings Configured);

  SoakSettings Settings;
  asio::io_context Loop{1};
  SystemClock TimeSource;
  Random Generator;
  SoakRecords Records;
  ObjectStoreStandIn Store;
  SoakFleet Fleet;
  /// Includes removed targets, because their coroutines may still be running.
  std::vector<std::unique_ptr<SoakTarget>> Targets;
  std::vector<SoakTarget *> LiveTargets;
  /// Configuration versions that added a route.
  std::vector<std::uint64_t> RouteVersions;
  std::uint64_t Version = 0;
  bool IsStoreRestoring = false;
  TimePoint FaultsUntil;
  bool IsOver = false;
  std::vector<std::string> Violations;
};

Awaitable<void> sleepFor(SoakRun &Current, Duration Length);

/// Prints a message with the time that remains for faults.
void logFault(SoakRun &Current, const std::string &Text);

/// Writes the next configuration, which keeps the existing routes and, except
/// for the first one, adds a route.
void writeNextConfiguration(SoakRun &Current);

/// Writes the newest configuration.
void writeConfiguration(SoakRun &Current);

/// Starts a target and registers it in the store.
Result<void> addTarget(SoakRun &Current);

/// Starts and registers the next process of a target that has ended.
Result<void> addNextProcess(SoakRun &Current, const SoakTarget &Ended,
                            bool KeepsAddress);

/// From now on, hosts of the target's failure domain must use it.
void beginReadiness(SoakRun &Current, const SoakTarget &Target);

/// From now on, hosts may leave the target out.
void endReadiness(SoakRun &Current, const SoakTarget &Target);

/// Sends requests until the run is over.
Awaitable<void> runCaller(SoakRun &Current, std::size_t Caller);

/// Injects random faults until the end of the fault phase.
Awaitable<void> injectFaults(SoakRun &Current);

/// Restarts hosts whose processes have ended, and records unexpected ends as
/// violations.
Awaitable<void> superviseHosts(SoakRun &Current);

} // namespace comfreyrill::soak
