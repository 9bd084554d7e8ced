#pragma once

#include <LibMembership/Documents.h>
#include <LibMembership/HeartbeatProcessing.h>
#include <LibMembership/Heartbeats.h>
#include <LibMembership/Roles.h>

#include <functional>
#include <map>
#include <string>

namespace comfreyrill::test {

constexpr Duration Step = std::chrono::milliseconds(25);

inline HostDescription describe(int Index, std::uint64_t Incarnation,
                                int StartedAtSeconds) {
  HostDescription Host;
  Host.Host = HostId("h" + std::to_string(100 + Index));
  Host.Incarnation = {Incarnation};
  Host.StartedAt = std::chrono::seconds(StartedAtSeconds);
  Host.Domain =
      FailureDomain(std::string(1, static_cast<char>('a' + Index % 3)));
  Host.PeerAddress = {"10.0.0." + std::to_string(Index), 7101};
  Host.CallerAddress = {"10.0.0." + std::to_string(Index), 7001};
  Host.AdminAddress = {"10.0.0." + std::to_string(Index), 7201};
  Host.State = HostState::Ready;
  return Host;
}

/// Several member tables that exchange heartbeats under a manual clock.
class Fleet {
public:
  struct Process {
    MemberTable Table;
    bool IsFrozen = false;
    bool HasCrashed = false;
    bool IsCutOffFromPlatform = false;
    TimePoint NextPlatformCall;
    int PlatformCalls = 0;
    int DocumentsServed = 0;
    /// Heartbeats that arrived while the process was frozen.
    std::vector<Heartbeat> BufferedHeartbeats;
  };

  Fleet(int Count, std::uint64_t Seed) : Generator(Seed) {
    for (int Index = 0; Index < Count; ++Index)
      start(describe(Index, Generator(), 1000));
  }

  std::size_t start(const HostDescription &Self) {
    Process Started;
    Started.Table = makeMemberTable(
        Self, {{"10.0.0.0", 7101}, {"10.0.0.1", 7101}}, {}, Now);
    Started.NextPlatformCall = Now;
    Processes.push_back(std::move(Started));
    return Processes.size() - 1;
  }

  MemberTable &table(std::size_t Index) { return Processes[Index].Table; }

  void run(Duration Time, const std::function<void()> &Check = {}) {
    for (const TimePoint End = Now + Time; Now < End; Now += StepTime) {
      for (std::size_t Index = 0; Index < Processes.size(); ++Index)
        if (isRunning(Processes[Index]))
          tick(Index);
      if (Check)
        Check();
    }
  }

  static bool isRunning(const Process &One) {
    return !One.IsFrozen && !One.HasCrashed;
  }

  Liveness livenessInViewOf(std::size_t From, std::size_t Of) {
    const Peer *Known = findPeer(table(From), table(Of).Self.Host);
    if (!Known || Known->Description.Incarnation != table(Of).Self.Incarnation)
      return Liveness::Unconfirmed;
    return liveness(table(From), *Known, Now);
  }

  /// True when all running processes consider each other alive and have the
  /// current state and manifest number of each other.
  bool hasConverged() {
    for (std::size_t From = 0; From < Processes.size(); ++From)
      for (std::size_t Of = 0; Of < Processes.size(); ++Of) {
        if (From == Of || !isRunning(Processes[From]) ||
            !isRunning(Processes[Of]))
          continue;
        if (livenessInViewOf(From, Of) != Liveness::Alive)
          return false;
        const Peer *Known = findPeer(table(From), table(Of).Self.Host);
        if (Known->Description.State != table(Of).Self.State ||
            Known->Description.Manifest != table(Of).Self.Manifest)
          return false;
      }
    return true;
  }

  Duration timeUntil(const std::function<bool()> &Condition, Duration Limit) {
    const TimePoint Begin = Now;
    while (!Condition() && Now - Begin < Limit)
      run(StepTime);
    return Now - Begin;
  }

  void resume(std::size_t Index) {
    Processes[Index].IsFrozen = false;
    auto BufferedHeartbeats = std::move(Processes[Index].BufferedHeartbeats);
    Processes[Index].BufferedHeartbeats.clear();
    expirePeers(table(Index), Now);
    for (const auto &Late : BufferedHeartbeats)
      processHeartbeat(table(Index), Late, Now);
  }

  TimePoint Now{std::chrono::hours(1)};
  /// Longer steps make the simulation of long times cheaper.
  Duration StepTime = Step;
  Random Generator;
  std::vector<Process> Processes;
  std::uint64_t PlatformManifest = 0;
  bool IsPlatformDown = false;
  /// Returns true when messages from one process to another are lost.
  std::function<bool(std::size_t From, std::size_t To)> IsLinkCut =
      [](std::size_t, std::size_t) { return false; };

private:
  void tick(std::size_t Index) {
    expirePeers(table(Index), Now);
    callPlatform(Processes[Index]);
    for (const auto &Sent : dueHeartbeats(table(Index), Now, Generator))
      deliver(Index, Sent);
    const auto Source = chooseDocumentSource(
        table(Index), DocumentKind::Manifest, Now, Generator);
    if (!Source)
      return;
    for (std::size_t Holder = 0; Holder < Processes.size(); ++Holder)
      if (Processes[Holder].Table.Self.PeerAddress == Source->Remote &&
          isRunning(Processes[Holder]) && !IsLinkCut(Index, Holder) &&
          !IsLinkCut(Holder, Index)) {
        ++Processes[Holder].DocumentsServed;
        announceManifestNumber(table(Index), table(Holder).Self.Manifest, Now);
      }
  }

  void deliver(std::size_t From, const OutgoingHeartbeat &Sent) {
    for (std::size_t To = 0; To < Processes.size(); ++To) {
      auto &Receiver = Processes[To];
      if (Receiver.Table.Self.PeerAddress != Sent.Remote ||
          Receiver.HasCrashed || From == To || IsLinkCut(From, To))
        continue;
      if (Receiver.IsFrozen)
        Receiver.BufferedHeartbeats.push_back(Sent.Content);
      else
        processHeartbeat(Receiver.Table, Sent.Content, Now);
    }
  }

  void callPlatform(Process &One) {
    const auto Plan = platformPollingPlan(One.Table, Now);
    const bool Reaches = !IsPlatformDown && !One.IsCutOffFromPlatform;
    const bool IsWatching = Plan.IsWatcher && One.Table.Self.ReachesPlatform;
    // A watcher notices a broken watch within one step.
    if (!IsWatching && Now < One.NextPlatformCall)
      return;
    if (!IsWatching) {
      ++One.PlatformCalls;
      One.NextPlatformCall =
          Now + (Plan.IsWatcher ? Plan.RetryInterval : Plan.PollInterval);
    }
    announcePlatformReachability(One.Table, Reaches, Now);
    if (Reaches)
      announceManifestNumber(One.Table, {PlatformManifest}, Now);
  }
};

} // namespace comfreyrill::test
