#pragma once

#include "BookComparison.h"
#include "Child.h"

#include <LibCore/Clock.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Result.h>

#include <functional>
#include <memory>

namespace comfreyrill::chaos {

struct FleetSettings {
  /// Directory of the built tree.
  std::string Build;
  /// Directory for settings, outputs and books.
  std::string Work;
  std::uint32_t Hosts = 4;
  std::uint32_t Targets = 12;
  std::uint32_t Slots = 4;
  double Seconds = 60;
  double Rate = 400;
  std::uint64_t Seed = 1;
};

/// One entry host: the same name and addresses for all its processes.
struct Host {
  std::string Name;
  std::string SettingsFile;
  Endpoint Caller;
  Endpoint Peer;
  Endpoint Admin;
  std::unique_ptr<Child> Process;
  HostLife Life;
  bool IsFrozen = false;
  std::uint32_t Starts = 0;
};

/// The processes of one run.
class Fleet {
public:
  explicit Fleet(FleetSettings Settings);

  /// Starts platform and targets, writes the settings of the hosts and starts
  /// them.
  Result<void> start();
  void startHost(Host &Started);
  void startCallers();
  bool callersRunning();

  /// Sends SIGTERM: a planned stop.
  void stopHost(Host &Stopped);
  void killHost(Host &Killed);
  void freezeHost(Host &Frozen);
  void resumeHost(Host &Resumed);
  /// Notes the end of processes that have ended.
  void reap();
  /// Hosts that ended without being told to, or with an error.
  const std::vector<std::string> &unexpectedEnds() const {
    return UnexpectedEnds;
  }
  /// Ends everything that still runs.
  void end();

  std::vector<Host> &hosts() { return Hosts; }
  const Endpoint &platform() const { return PlatformAddress; }
  const Endpoint &platformControl() const { return PlatformControl; }
  const Endpoint &targetControl() const { return TargetControl; }
  const boost::json::array &targets() const { return Targets; }
  /// The manifest with one target left out, or all with an empty id.
  boost::json::object manifest(const std::string &LeftOut,
                               std::uint32_t QueueLength) const;
  /// Lives of all processes of all hosts, ended or not.
  std::vector<HostLife> lives() const;
  std::vector<std::string> callerBooks() const { return CallerBooks; }

private:
  Result<boost::json::object> waitForLine(const Child &Process,
                                          const std::string &Name) const;
  Result<void> writeHostSettings();
  std::string file(const std::string &Name) const;
  std::string standIn(const std::string &Name) const;
  void endLife(Host &Ended);

  FleetSettings Settings;
  std::unique_ptr<Child> PlatformProcess;
  std::unique_ptr<Child> TargetProcess;
  std::vector<std::unique_ptr<Child>> CallerProcesses;
  std::vector<Host> Hosts;
  std::vector<HostLife> EndedLives;
  std::vector<std::string> UnexpectedEnds;
  Endpoint PlatformAddress;
  Endpoint PlatformControl;
  Endpoint TargetControl;
  boost::json::array Targets;
  std::vector<std::string> CallerBooks;
};

/// Milliseconds of the clock that callers and targets write in their books.
double nowMilliseconds();

} // namespace comfreyrill::chaos
