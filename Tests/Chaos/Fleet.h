#pragma once

#include "ChildProcess.h"
#include "LogComparison.h"

#include <LibCore/Clock.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Result.h>

#include <functional>
#include <memory>

namespace comfreyrill::chaos {

struct FleetSettings {
  /// Build directory.
  std::string Build;
  /// Directory for settings, process outputs and call logs.
  std::string Work;
  std::uint32_t Hosts = 4;
  std::uint32_t Targets = 12;
  std::uint32_t Slots = 4;
  double Seconds = 60;
  double Rate = 400;
  std::uint64_t Seed = 1;
};

/// One entry host. All its processes use the same name and addresses.
struct Host {
  std::string Name;
  std::string SettingsFile;
  Endpoint Caller;
  Endpoint Peer;
  Endpoint Admin;
  std::unique_ptr<ChildProcess> Process;
  HostLifetime Lifetime;
  bool IsFrozen = false;
  std::uint32_t Starts = 0;
};

/// Starts, signals and reaps the processes of one run.
class Fleet {
public:
  explicit Fleet(FleetSettings Settings);

  /// Starts the platform and the targets, writes the settings of the hosts and
  /// starts the hosts.
  Result<void> start();
  void startHost(Host &Started);
  void startCallers();
  bool callersRunning();

  /// Starts a planned stop by sending SIGTERM.
  void stopHost(Host &Stopped);
  void killHost(Host &Killed);
  void freezeHost(Host &Frozen);
  void resumeHost(Host &Resumed);
  /// Reaps host processes that have ended and records their lifetimes.
  void reap();
  /// Host processes that ended without a signal, or failed in a planned stop.
  const std::vector<std::string> &unexpectedEnds() const {
    return UnexpectedEnds;
  }
  /// Kills all processes that are still running.
  void end();

  std::vector<Host> &hosts() { return Hosts; }
  const Endpoint &platform() const { return PlatformAddress; }
  const Endpoint &platformControl() const { return PlatformControl; }
  const Endpoint &targetControl() const { return TargetControl; }
  const boost::json::array &targets() const { return Targets; }
  /// Returns a manifest without the given target; an empty id omits none.
  boost::json::object manifest(const std::string &OmittedTarget,
                               std::uint32_t QueueLength) const;
  /// Lifetimes of all processes of all hosts, including running ones.
  std::vector<HostLifetime> lifetimes() const;
  std::vector<std::string> callerLogs() const { return CallerLogs; }

private:
  Result<boost::json::object> waitForStartLine(const ChildProcess &Process,
                                               const std::string &Name) const;
  Result<void> writeHostSettings();
  std::string filePath(const std::string &Name) const;
  std::string standInPath(const std::string &Name) const;
  void recordHostEnd(Host &Ended);

  FleetSettings Settings;
  std::unique_ptr<ChildProcess> PlatformProcess;
  std::unique_ptr<ChildProcess> TargetProcess;
  std::vector<std::unique_ptr<ChildProcess>> CallerProcesses;
  std::vector<Host> Hosts;
  std::vector<HostLifetime> EndedLifetimes;
  std::vector<std::string> UnexpectedEnds;
  Endpoint PlatformAddress;
  Endpoint PlatformControl;
  Endpoint TargetControl;
  boost::json::array Targets;
  std::vector<std::string> CallerLogs;
};

/// Current time in milliseconds of the clock that call logs and run logs use.
double nowMilliseconds();

} // namespace comfreyrill::chaos
