#include "Fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;
using test::describe;
using test::Fleet;

// Guards against hosts that stay unknown to some others. Initially, each host
// knows only the seeds.
TEST(Failures, FleetConvergesAfterJoin) {
  for (const int Count : {3, 15, 40}) {
    Fleet Hosts(Count, 1);
    EXPECT_LE(Hosts.timeUntil([&] { return Hosts.hasConverged(); }, 20s), 2s)
        << Count;
    const auto Joined = Hosts.start(describe(Count, 7, 2000));
    EXPECT_LE(Hosts.timeUntil([&] { return Hosts.hasConverged(); }, 20s), 2s);
    EXPECT_EQ(Hosts.table(Joined).Peers.size(),
              static_cast<std::size_t>(Count));
  }
}

// Guards against callers that are sent to a crashed host, and against a fleet
// that removes a host because of a short delay of messages.
TEST(Failures, CrashedHostIsSuspectThenLostThenRemoved) {
  Fleet Hosts(15, 2);
  Hosts.run(5s);
  Hosts.Processes[3].HasCrashed = true;
  Hosts.run(500ms);
  EXPECT_EQ(Hosts.livenessInViewOf(0, 3), Liveness::Alive);
  Hosts.run(1s);
  EXPECT_EQ(Hosts.livenessInViewOf(0, 3), Liveness::Suspect);
  Hosts.run(2s);
  EXPECT_EQ(Hosts.livenessInViewOf(0, 3), Liveness::Lost);
  Hosts.table(0).Settings.ForgetAfter = 5s;
  Hosts.run(3s);
  EXPECT_EQ(findPeer(Hosts.table(0), Hosts.table(3).Self.Host), nullptr);
}

// Guards against a resumed host that considers all others lost for a moment and
// takes over their roles.
TEST(Failures, ResumedHostKeepsItsPeersAlive) {
  Fleet Hosts(15, 3);
  Hosts.run(5s);
  for (std::size_t Index = 0; Index < 15; ++Index) {
    Hosts.Processes[Index].IsFrozen = true;
    Hosts.run(20s);
    Hosts.Processes[Index].BufferedHeartbeats.clear();
    Hosts.resume(Index);
    EXPECT_EQ(aliveCount(Hosts.table(Index), Hosts.Now), 14U);
    EXPECT_LE(Hosts.timeUntil([&] { return Hosts.hasConverged(); }, 20s), 6s);
  }
}

// Guards against a restarted host that is mistaken for its earlier process. The
// random incarnation of the new process may be higher or lower.
TEST(Failures, RestartWithTheSameIdIsAcceptedAtOnce) {
  for (const std::uint64_t Incarnation :
       {std::uint64_t{1}, ~std::uint64_t{0}}) {
    Fleet Hosts(15, 4);
    Hosts.run(5s);
    Hosts.Processes[3].HasCrashed = true;
    Hosts.start(describe(3, Incarnation, 2000));
    EXPECT_LE(Hosts.timeUntil([&] { return Hosts.hasConverged(); }, 20s), 2s);
  }
}

// Guards against a restarted host that is ignored for ever because the clock of
// its new machine is behind.
TEST(Failures, RestartWithAClockSetBackIsAcceptedOnceTheOldProcessIsLost) {
  Fleet Hosts(15, 5);
  Hosts.run(5s);
  Hosts.Processes[3].HasCrashed = true;
  Hosts.start(describe(3, 1, 10));
  EXPECT_LE(Hosts.timeUntil([&] { return Hosts.hasConverged(); }, 20s), 4s);
}

// Guards against a view that alternates between a resumed process and its
// successor on another machine, and against both processes serving for long.
TEST(Failures, ResumedPredecessorIsIgnoredAndNotified) {
  Fleet Hosts(15, 6);
  Hosts.run(5s);
  Hosts.Processes[3].IsFrozen = true;
  Hosts.run(10s);
  auto Successor = describe(3, 1, 2000);
  Successor.PeerAddress = {"10.0.0.99", 7101};
  const auto New = Hosts.start(Successor);
  Hosts.run(5s);
  Hosts.resume(3);
  Hosts.run(10s, [&] {
    for (std::size_t Index = 0; Index < 15; ++Index) {
      const Peer *Known = findPeer(Hosts.table(Index), Successor.Host);
      ASSERT_TRUE(Index == 3 || Known->Description.Incarnation.Value == 1U);
    }
  });
  EXPECT_TRUE(isSuperseded(Hosts.table(3), Hosts.Now));
  EXPECT_FALSE(isSuperseded(Hosts.table(New), Hosts.Now));
}

// Guards against a one-way network partition that hides a manifest from some
// hosts, or makes hosts with a working link between them suspect each other.
TEST(Failures, ManifestSpreadsDespiteAOneWayPartition) {
  Fleet Hosts(15, 7);
  Hosts.run(5s);
  const auto Watching = platformWatchers(Hosts.table(0), Hosts.Now);
  const auto IsWatcher = [&](std::size_t Index) {
    return Hosts.table(Index).Self.Host == Watching[0] ||
           Hosts.table(Index).Self.Host == Watching[1];
  };
  // Only one other host receives messages from the hosts that watch the
  // platform.
  const std::size_t Relay = IsWatcher(4) ? (IsWatcher(5) ? 6 : 5) : 4;
  Hosts.IsLinkCut = [&](std::size_t From, std::size_t To) {
    return IsWatcher(From) && To != Relay && !IsWatcher(To);
  };
  for (auto &Process : Hosts.Processes)
    Process.IsCutOffFromPlatform =
        !IsWatcher(static_cast<std::size_t>(&Process - Hosts.Processes.data()));
  Hosts.run(10s);
  Hosts.PlatformManifest = 1;
  const auto HasAll = [&] {
    for (auto &Process : Hosts.Processes)
      if (Process.Table.Self.Manifest.Value != 1)
        return false;
    return true;
  };
  EXPECT_LE(Hosts.timeUntil(HasAll, 20s), 1s);
}

// Guards against a host that sends callers to a leaving host because it gets no
// heartbeats from the leaving host.
TEST(Failures, LeavingStateIsRelayedByOtherHosts) {
  Fleet Hosts(15, 9);
  Hosts.run(5s);
  Hosts.IsLinkCut = [](std::size_t From, std::size_t To) {
    return From == 3 && To == 4;
  };
  announceState(Hosts.table(3), HostState::Leaving, Hosts.Now);
  Hosts.run(500ms);
  EXPECT_EQ(
      findPeer(Hosts.table(4), Hosts.table(3).Self.Host)->Description.State,
      HostState::Leaving);
}

// Guards against regions that stay separate after a partition has healed.
TEST(Failures, RegionsConvergeAfterAnHourOfPartition) {
  Fleet Hosts(14, 8);
  Hosts.run(5s);
  Hosts.IsLinkCut = [](std::size_t From, std::size_t To) {
    return (From < 7) != (To < 7);
  };
  Hosts.StepTime = 250ms;
  Hosts.run(1h);
  Hosts.StepTime = test::Step;
  EXPECT_EQ(Hosts.livenessInViewOf(0, 7), Liveness::Lost);
  EXPECT_EQ(Hosts.livenessInViewOf(0, 1), Liveness::Alive);
  announceState(Hosts.table(9), HostState::Leaving, Hosts.Now);
  Hosts.run(1s);
  Hosts.IsLinkCut = [](std::size_t, std::size_t) { return false; };
  EXPECT_LE(Hosts.timeUntil([&] { return Hosts.hasConverged(); }, 60s), 1s);
}

// Guards against views that do not converge after crashes, pauses, one-way link
// failures and restarts in any combination.
RC_GTEST_PROP(Failures, FleetConvergesAfterAnyFailures, ()) {
  const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  Fleet Hosts(8, Seed);
  Random Choice(Seed);
  for (int Round = 0; Round < 12; ++Round) {
    const std::size_t One = randomIndex(Choice, Hosts.Processes.size());
    const std::size_t Two = randomIndex(Choice, Hosts.Processes.size());
    switch (randomIndex(Choice, 5)) {
    case 0:
      Hosts.Processes[One].IsFrozen = !Hosts.Processes[One].HasCrashed;
      break;
    case 1:
      if (Hosts.Processes[One].IsFrozen)
        Hosts.resume(One);
      break;
    case 2:
      if (!Hosts.Processes[One].HasCrashed) {
        Hosts.Processes[One].HasCrashed = true;
        auto Next = Hosts.table(One).Self;
        Next.Incarnation = {Choice()};
        Next.StartedAt += std::chrono::seconds(randomIndex(Choice, 10));
        Next.Sequence = 0;
        Hosts.start(Next);
      }
      break;
    case 3:
      Hosts.IsLinkCut = [One, Two](std::size_t From, std::size_t To) {
        return From == One && To == Two;
      };
      break;
    default:
      announceManifestNumber(Hosts.table(One), {Choice() % 100}, Hosts.Now);
    }
    Hosts.run(std::chrono::milliseconds(randomIndex(Choice, 4000)));
  }
  Hosts.IsLinkCut = [](std::size_t, std::size_t) { return false; };
  for (std::size_t Index = 0; Index < Hosts.Processes.size(); ++Index)
    if (Hosts.Processes[Index].IsFrozen)
      Hosts.resume(Index);
  RC_ASSERT(Hosts.timeUntil([&] { return Hosts.hasConverged(); }, 60s) <= 8s);
}

} // namespace
} // namespace comfreyrill
