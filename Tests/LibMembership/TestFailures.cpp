#include "Fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;
using test::describe;
using test::Fleet;

// Guards against hosts that stay unknown to some others: all but two know only
// the seeds at first.
TEST(Failures, FleetAgreesAfterJoin) {
  for (const int Count : {3, 15, 40}) {
    Fleet Hosts(Count, 1);
    EXPECT_LE(Hosts.timeUntil([&] { return Hosts.agrees(); }, 20s), 2s)
        << Count;
    const auto Joined = Hosts.start(describe(Count, 7, 2000));
    EXPECT_LE(Hosts.timeUntil([&] { return Hosts.agrees(); }, 20s), 2s);
    EXPECT_EQ(Hosts.table(Joined).Peers.size(),
              static_cast<std::size_t>(Count));
  }
}

// Guards against callers that are sent to a host that has crashed, and against
// a fleet that drops a host only because messages are slow for a moment.
TEST(Failures, CrashedHostIsSuspectThenLostThenForgotten) {
  Fleet Hosts(15, 2);
  Hosts.run(5s);
  Hosts.Processes[3].Crashed = true;
  Hosts.run(500ms);
  EXPECT_EQ(Hosts.view(0, 3), Liveness::Alive);
  Hosts.run(1s);
  EXPECT_EQ(Hosts.view(0, 3), Liveness::Suspect);
  Hosts.run(2s);
  EXPECT_EQ(Hosts.view(0, 3), Liveness::Lost);
  Hosts.table(0).Settings.ForgetAfter = 5s;
  Hosts.run(3s);
  EXPECT_EQ(findPeer(Hosts.table(0), Hosts.table(3).Self.Host), nullptr);
}

// Guards against a resumed host that believes for a moment that all others are
// gone and takes over their roles.
TEST(Failures, ResumedHostDoesNotBelieveItIsAlone) {
  Fleet Hosts(15, 3);
  Hosts.run(5s);
  for (std::size_t Index = 0; Index < 15; ++Index) {
    Hosts.Processes[Index].Frozen = true;
    Hosts.run(20s);
    Hosts.Processes[Index].Waiting.clear();
    Hosts.resume(Index);
    EXPECT_EQ(aliveCount(Hosts.table(Index), Hosts.Now), 14U);
    EXPECT_LE(Hosts.timeUntil([&] { return Hosts.agrees(); }, 20s), 6s);
  }
}

// Guards against a restarted host being taken for its earlier process, whether
// its random incarnation is higher or lower.
TEST(Failures, RestartUnderTheSameIdIsTakenAtOnce) {
  for (const std::uint64_t Incarnation :
       {std::uint64_t{1}, ~std::uint64_t{0}}) {
    Fleet Hosts(15, 4);
    Hosts.run(5s);
    Hosts.Processes[3].Crashed = true;
    Hosts.start(describe(3, Incarnation, 2000));
    EXPECT_LE(Hosts.timeUntil([&] { return Hosts.agrees(); }, 20s), 2s);
  }
}

// Guards against a restarted host that is ignored for ever because the clock of
// its new machine is behind.
TEST(Failures, RestartWithAClockSetBackIsTakenOnceTheOldProcessIsLost) {
  Fleet Hosts(15, 5);
  Hosts.run(5s);
  Hosts.Processes[3].Crashed = true;
  Hosts.start(describe(3, 1, 10));
  EXPECT_LE(Hosts.timeUntil([&] { return Hosts.agrees(); }, 20s), 4s);
}

// Guards against a view that alternates between a resumed process and its
// successor on another machine, and against both serving for long.
TEST(Failures, ResumedPredecessorIsIgnoredAndToldToLeave) {
  Fleet Hosts(15, 6);
  Hosts.run(5s);
  Hosts.Processes[3].Frozen = true;
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

// Guards against a cut in one direction that hides a manifest, or that makes
// hosts which hear each other doubt each other.
TEST(Failures, OneWayCutHidesNoManifest) {
  Fleet Hosts(15, 7);
  Hosts.run(5s);
  const auto Watching = watchers(Hosts.table(0), Hosts.Now);
  const auto IsWatcher = [&](std::size_t Index) {
    return Hosts.table(Index).Self.Host == Watching[0] ||
           Hosts.table(Index).Self.Host == Watching[1];
  };
  // Nobody but one host hears the hosts that watch the platform.
  const std::size_t Relay = IsWatcher(4) ? (IsWatcher(5) ? 6 : 5) : 4;
  Hosts.IsCut = [&](std::size_t From, std::size_t To) {
    return IsWatcher(From) && To != Relay && !IsWatcher(To);
  };
  for (auto &Process : Hosts.Processes)
    Process.PlatformCut =
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

// Guards against callers that are sent to a leaving host by one that does not
// hear it.
TEST(Failures, LeavingIsLearnedOverOtherHosts) {
  Fleet Hosts(15, 9);
  Hosts.run(5s);
  Hosts.IsCut = [](std::size_t From, std::size_t To) {
    return From == 3 && To == 4;
  };
  announceState(Hosts.table(3), HostState::Leaving, Hosts.Now);
  Hosts.run(500ms);
  EXPECT_EQ(
      findPeer(Hosts.table(4), Hosts.table(3).Self.Host)->Description.State,
      HostState::Leaving);
}

// Guards against regions that stay apart after the network is whole again.
TEST(Failures, RegionsAgreeSoonAfterAnHourApart) {
  Fleet Hosts(14, 8);
  Hosts.run(5s);
  Hosts.IsCut = [](std::size_t From, std::size_t To) {
    return (From < 7) != (To < 7);
  };
  Hosts.StepTime = 250ms;
  Hosts.run(1h);
  Hosts.StepTime = test::Step;
  EXPECT_EQ(Hosts.view(0, 7), Liveness::Lost);
  EXPECT_EQ(Hosts.view(0, 1), Liveness::Alive);
  announceState(Hosts.table(9), HostState::Leaving, Hosts.Now);
  Hosts.run(1s);
  Hosts.IsCut = [](std::size_t, std::size_t) { return false; };
  EXPECT_LE(Hosts.timeUntil([&] { return Hosts.agrees(); }, 60s), 1s);
}

// Guards against views that do not come together after any mixture of crashes,
// pauses, cuts and restarts has ended.
RC_GTEST_PROP(Failures, EverybodyAgreesAfterAnyFailures, ()) {
  const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  Fleet Hosts(8, Seed);
  Random Choice(Seed);
  for (int Round = 0; Round < 12; ++Round) {
    const std::size_t One = randomIndex(Choice, Hosts.Processes.size());
    const std::size_t Two = randomIndex(Choice, Hosts.Processes.size());
    switch (randomIndex(Choice, 5)) {
    case 0:
      Hosts.Processes[One].Frozen = !Hosts.Processes[One].Crashed;
      break;
    case 1:
      if (Hosts.Processes[One].Frozen)
        Hosts.resume(One);
      break;
    case 2:
      if (!Hosts.Processes[One].Crashed) {
        Hosts.Processes[One].Crashed = true;
        auto Next = Hosts.table(One).Self;
        Next.Incarnation = {Choice()};
        Next.StartedAt += std::chrono::seconds(randomIndex(Choice, 10));
        Next.Sequence = 0;
        Hosts.start(Next);
      }
      break;
    case 3:
      Hosts.IsCut = [One, Two](std::size_t From, std::size_t To) {
        return From == One && To == Two;
      };
      break;
    default:
      announceManifestNumber(Hosts.table(One), {Choice() % 100}, Hosts.Now);
    }
    Hosts.run(std::chrono::milliseconds(randomIndex(Choice, 4000)));
  }
  Hosts.IsCut = [](std::size_t, std::size_t) { return false; };
  for (std::size_t Index = 0; Index < Hosts.Processes.size(); ++Index)
    if (Hosts.Processes[Index].Frozen)
      Hosts.resume(Index);
  RC_ASSERT(Hosts.timeUntil([&] { return Hosts.agrees(); }, 60s) <= 8s);
}

} // namespace
} // namespace comfreyrill
