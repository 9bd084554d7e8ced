#include <GatewayState.h>
#include <TargetUpdateCodec.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

class GatewayStateTest : public testing::Test {
protected:
  static Configuration configuration(std::uint64_t Version) {
    Configuration Made;
    Made.Version = {Version};
    return Made;
  }

  static TargetRegistration target(std::string Id) {
    TargetRegistration Made;
    Made.Id = TargetId(std::move(Id));
    Made.Service = ServiceName("stock");
    Made.Address = {"10.0.0.1", 8080};
    Made.Domain = FailureDomain("west");
    Made.Slots = 6;
    return Made;
  }

  ManualClock TimeSource;
  Log Output{LogLevel::Error, ""};
  RateLimitedLog Events{Output, TimeSource};
  Random Generator{20261204};
  GatewayState CurrentState{TimeSource, Generator, Events};
};

// Guards against replacing the configuration with an older one, whatever the
// source.
TEST_F(GatewayStateTest, ConfigurationVersionNeverDecreases) {
  EXPECT_TRUE(
      CurrentState.applyConfiguration(configuration(6), "six", "store"));
  EXPECT_FALSE(
      CurrentState.applyConfiguration(configuration(4), "four", "host"));
  EXPECT_FALSE(
      CurrentState.applyConfiguration(configuration(6), "again", "host"));
  EXPECT_EQ(CurrentState.version().Value, 6U);
  EXPECT_EQ(CurrentState.compressedConfiguration(), "six");
}

// Guards against new requests to draining targets.
TEST_F(GatewayStateTest, DrainingTargetsAreNoCandidates) {
  TargetRegistration Leaving = target("b");
  Leaving.IsDraining = true;
  CurrentState.applyTargetList({target("a"), Leaving}, {1}, "store");
  const auto Found =
      CurrentState.candidates(ServiceName("stock"), FailureDomain("west"));
  ASSERT_EQ(Found.size(), 1U);
  EXPECT_EQ(Found.front().Id, TargetId("a"));
  EXPECT_TRUE(Found.front().IsInLocalDomain);
  EXPECT_TRUE(
      CurrentState.candidates(ServiceName("desk"), FailureDomain("west"))
          .empty());
}

// Guards against requests to a failing target while other targets are
// available.
TEST_F(GatewayStateTest, FailingTargetsAreSuspectForSomeTime) {
  CurrentState.applyTargetList({target("a")}, {1}, "store");
  CurrentState.recordFailure(TargetId("a"), TargetFailure::Connection);
  EXPECT_TRUE(
      CurrentState.candidates(ServiceName("stock"), FailureDomain("west"))
          .front()
          .IsSuspect);
  TimeSource.advance(10s);
  EXPECT_FALSE(
      CurrentState.candidates(ServiceName("stock"), FailureDomain("west"))
          .front()
          .IsSuspect);
}

// Guards against a target that answers probes but fails every request. In a
// large fleet each host sends too few requests to detect that alone.
TEST_F(GatewayStateTest, FailuresReportedByOtherHostsEjectATarget) {
  CurrentState.applyTargetList({target("a")}, {1}, "store");
  for (int Host = 0; Host < 5; ++Host) {
    GatewayState Other(TimeSource, Generator, Events);
    Other.applyTargetList({target("a")}, {1}, "store");
    Other.recordFailure(TargetId("a"), TargetFailure::Attempt);
    for (const auto &[Id, Counts] : Other.takeUnsharedOutcomes())
      CurrentState.recordSharedOutcomes(Id, Counts);
    EXPECT_TRUE(Other.takeUnsharedOutcomes().empty());
  }
  EXPECT_TRUE(
      CurrentState.candidates(ServiceName("stock"), FailureDomain("west"))
          .front()
          .IsSuspect);
}

// Guards against using requests that must not be retried to test a target after
// its ejection.
TEST_F(GatewayStateTest, TargetIsOnProbationAfterItsEjection) {
  CurrentState.applyTargetList({target("a"), target("b")}, {1}, "store");
  const auto First = [&] {
    return CurrentState.candidates(ServiceName("stock"), FailureDomain("west"))
        .front();
  };
  for (int Failure = 0; Failure < 5; ++Failure)
    CurrentState.recordFailure(TargetId("a"), TargetFailure::Attempt);
  EXPECT_TRUE(First().IsSuspect);
  // The ejection lasts one to two seconds.
  TimeSource.advance(2s);
  EXPECT_FALSE(First().IsSuspect);
  EXPECT_TRUE(First().IsOnProbation);
  CurrentState.recordSuccess(TargetId("a"));
  EXPECT_FALSE(First().IsOnProbation);
}

// Guards against ejecting nearly all targets of a service when requests fail
// for a reason outside the targets.
TEST_F(GatewayStateTest, HalfOfTheTargetsAreNeverEjected) {
  std::vector<TargetRegistration> All;
  for (const char *Id : {"a", "b", "c", "d"})
    All.push_back(target(Id));
  CurrentState.applyTargetList(All, {1}, "store");
  for (const TargetRegistration &Failing : All)
    for (int Failure = 0; Failure < 5; ++Failure)
      CurrentState.recordFailure(Failing.Id, TargetFailure::Attempt);
  std::size_t Used = 0;
  for (const TargetCandidate &Candidate :
       CurrentState.candidates(ServiceName("stock"), FailureDomain("west")))
    Used += Candidate.IsSuspect ? 0 : 1;
  EXPECT_EQ(Used, 2U);
}

// Guards against a host that connects to hundreds of remote targets in turn,
// and against hosts that all prefer the same ones.
TEST_F(GatewayStateTest, EachHostPrefersASubsetOfManyRemoteTargets) {
  GatewayState Other(TimeSource, Generator, Events);
  std::vector<TargetRegistration> All;
  for (int Index = 0; Index < 300; ++Index) {
    All.push_back(target("t" + std::to_string(Index)));
    All.back().Domain = FailureDomain("east");
  }
  CurrentState.applyTargetList(All, {1}, "store");
  Other.applyTargetList(All, {1}, "store");
  std::size_t Preferred = 0;
  std::size_t Shared = 0;
  const auto Own =
      CurrentState.candidates(ServiceName("stock"), FailureDomain("west"));
  const auto Others =
      Other.candidates(ServiceName("stock"), FailureDomain("west"));
  for (std::size_t Index = 0; Index < Own.size(); ++Index) {
    Preferred += Own[Index].IsInPreferredSubset ? 1 : 0;
    Shared +=
        Own[Index].IsInPreferredSubset && Others[Index].IsInPreferredSubset ? 1
                                                                            : 0;
  }
  EXPECT_GT(Preferred, 16U);
  EXPECT_LT(Preferred, 64U);
  EXPECT_LT(Shared, 16U);
}

// Guards against an isolated host that makes the others eject healthy targets,
// and against outcomes that circulate between hosts.
TEST_F(GatewayStateTest, OnlyOwnAttemptsAreSharedWithOtherHosts) {
  CurrentState.applyTargetList({target("a")}, {1}, "store");
  CurrentState.recordFailure(TargetId("a"), TargetFailure::Connection);
  CurrentState.recordFailure(TargetId("a"), TargetFailure::Probe);
  CurrentState.recordSharedOutcomes(TargetId("a"), {1, 1});
  EXPECT_TRUE(CurrentState.takeUnsharedOutcomes().empty());
}

// Guards against an older load report of another host replacing this host's
// own.
TEST_F(GatewayStateTest, LatestLoadIsKept) {
  CurrentState.applyTargetList({target("a")}, {1}, "store");
  LoadReport Own;
  Own.InFlight = 1;
  CurrentState.recordLoad(TargetId("a"), Own);
  LoadReport Other;
  Other.InFlight = 5;
  CurrentState.recordSharedLoad(TargetId("a"), Other, TimeSource.now() - 10ms);
  EXPECT_EQ(CurrentState.targetStats(TargetId("a")).Load->InFlight, 1U);
  CurrentState.recordSharedLoad(TargetId("a"), Other, TimeSource.now() + 10ms);
  EXPECT_EQ(CurrentState.targetStats(TargetId("a")).Load->InFlight, 5U);
  EXPECT_EQ(CurrentState.takeUnsharedLoads().size(), 1U);
  EXPECT_TRUE(CurrentState.takeUnsharedLoads().empty());
}

// Guards against hosts whose targets differ from those of the host that watches
// the store.
TEST_F(GatewayStateTest, DeltaBringsAReplicaUpToDate) {
  GatewayState Replica(TimeSource, Generator, Events);
  CurrentState.applyTargetList({target("a"), target("b")}, {3}, "store");
  const auto First = fromWire(toWire(CurrentState.takePendingDelta()));
  ASSERT_TRUE(First);
  EXPECT_TRUE(Replica.applyTargetDelta(First.value(), "host"));
  CurrentState.applyTargetChange({TargetId("a"), std::nullopt, {4}}, "store");
  const auto Second = fromWire(toWire(CurrentState.takePendingDelta()));
  ASSERT_TRUE(Second);
  EXPECT_EQ(Second.value().Base.Value, 3U);
  EXPECT_EQ(Second.value().Changes.size(), 1U);
  EXPECT_TRUE(Replica.applyTargetDelta(Second.value(), "host"));
  EXPECT_EQ(Replica.targets().Targets.size(), 1U);
  EXPECT_EQ(Replica.targets().Revision.Value, 4U);
}

} // namespace
} // namespace comfreyrill
