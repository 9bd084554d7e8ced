#include <Knowledge.h>
#include <TargetUpdateCodec.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

class KnowledgeTest : public testing::Test {
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
  BoundedLog Events{Output, TimeSource};
  Random Generator{20261204};
  Knowledge Known{TimeSource, Generator, Events};
};

// Guards against a configuration that goes back, whatever the source.
TEST_F(KnowledgeTest, ConfigurationNeverGoesBack) {
  EXPECT_TRUE(Known.offerConfiguration(configuration(6), "six", "store"));
  EXPECT_FALSE(Known.offerConfiguration(configuration(4), "four", "host"));
  EXPECT_FALSE(Known.offerConfiguration(configuration(6), "again", "host"));
  EXPECT_EQ(Known.version().Value, 6U);
  EXPECT_EQ(Known.compressedConfiguration(), "six");
}

// Guards against work for targets that leave.
TEST_F(KnowledgeTest, DrainingTargetsAreNoCandidates) {
  TargetRegistration Leaving = target("b");
  Leaving.IsDraining = true;
  Known.offerRegistrations({target("a"), Leaving}, {1}, "store");
  const auto Found =
      Known.candidates(ServiceName("stock"), FailureDomain("west"));
  ASSERT_EQ(Found.size(), 1U);
  EXPECT_EQ(Found.front().Id, TargetId("a"));
  EXPECT_TRUE(Found.front().IsInLocalDomain);
  EXPECT_TRUE(
      Known.candidates(ServiceName("desk"), FailureDomain("west")).empty());
}

// Guards against requests for a target that fails, while others are left.
TEST_F(KnowledgeTest, FailingTargetsAreSuspectForSomeTime) {
  Known.offerRegistrations({target("a")}, {1}, "store");
  Known.recordFailure(TargetId("a"), TargetFailure::Connection);
  EXPECT_TRUE(Known.candidates(ServiceName("stock"), FailureDomain("west"))
                  .front()
                  .IsSuspect);
  TimeSource.advance(10s);
  EXPECT_FALSE(Known.candidates(ServiceName("stock"), FailureDomain("west"))
                   .front()
                   .IsSuspect);
}

// Guards against a target that answers probes and fails each request: with many
// hosts each one sends it too few requests to find out alone.
TEST_F(KnowledgeTest, FailuresSeenByOtherHostsEjectATarget) {
  Known.offerRegistrations({target("a")}, {1}, "store");
  for (int Host = 0; Host < 5; ++Host) {
    Knowledge Other(TimeSource, Generator, Events);
    Other.offerRegistrations({target("a")}, {1}, "store");
    Other.recordFailure(TargetId("a"), TargetFailure::Attempt);
    for (const auto &[Id, Counts] : Other.takeOutcomes())
      Known.recordSharedOutcomes(Id, Counts);
    EXPECT_TRUE(Other.takeOutcomes().empty());
  }
  EXPECT_TRUE(Known.candidates(ServiceName("stock"), FailureDomain("west"))
                  .front()
                  .IsSuspect);
}

// Guards against requests that must not be repeated and that find out whether a
// target which failed others works again.
TEST_F(KnowledgeTest, TargetIsOnProbationAfterItsEjection) {
  Known.offerRegistrations({target("a"), target("b")}, {1}, "store");
  const auto First = [&] {
    return Known.candidates(ServiceName("stock"), FailureDomain("west"))
        .front();
  };
  for (int Failure = 0; Failure < 5; ++Failure)
    Known.recordFailure(TargetId("a"), TargetFailure::Attempt);
  EXPECT_TRUE(First().IsSuspect);
  // The ejection lasts for one to two seconds.
  TimeSource.advance(2s);
  EXPECT_FALSE(First().IsSuspect);
  EXPECT_TRUE(First().IsOnProbation);
  Known.recordSuccess(TargetId("a"));
  EXPECT_FALSE(First().IsOnProbation);
}

// Guards against a service of which hardly a target is left, when requests fail
// for a reason that is not the targets'.
TEST_F(KnowledgeTest, HalfOfTheTargetsStayInUse) {
  std::vector<TargetRegistration> All;
  for (const char *Id : {"a", "b", "c", "d"})
    All.push_back(target(Id));
  Known.offerRegistrations(All, {1}, "store");
  for (const TargetRegistration &Failing : All)
    for (int Failure = 0; Failure < 5; ++Failure)
      Known.recordFailure(Failing.Id, TargetFailure::Attempt);
  std::size_t Used = 0;
  for (const TargetCandidate &Candidate :
       Known.candidates(ServiceName("stock"), FailureDomain("west")))
    Used += Candidate.IsSuspect ? 0 : 1;
  EXPECT_EQ(Used, 2U);
}

// Guards against hosts that connect to hundreds of far targets in turn, and
// against hosts that all prefer the same ones.
TEST_F(KnowledgeTest, EachHostPrefersFewOfManyFarTargets) {
  Knowledge Other(TimeSource, Generator, Events);
  std::vector<TargetRegistration> All;
  for (int Index = 0; Index < 300; ++Index) {
    All.push_back(target("t" + std::to_string(Index)));
    All.back().Domain = FailureDomain("east");
  }
  Known.offerRegistrations(All, {1}, "store");
  Other.offerRegistrations(All, {1}, "store");
  std::size_t Preferred = 0;
  std::size_t Shared = 0;
  const auto Own =
      Known.candidates(ServiceName("stock"), FailureDomain("west"));
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

// Guards against a host that is cut off and has the others eject sound targets,
// and against reports that go round between hosts.
TEST_F(KnowledgeTest, OnlyOwnAttemptsAreToldToOtherHosts) {
  Known.offerRegistrations({target("a")}, {1}, "store");
  Known.recordFailure(TargetId("a"), TargetFailure::Connection);
  Known.recordFailure(TargetId("a"), TargetFailure::Probe);
  Known.recordSharedOutcomes(TargetId("a"), {1, 1});
  EXPECT_TRUE(Known.takeOutcomes().empty());
}

// Guards against older loads of other hosts that replace this host's own.
TEST_F(KnowledgeTest, LatestLoadIsKept) {
  Known.offerRegistrations({target("a")}, {1}, "store");
  LoadReport Own;
  Own.InFlight = 1;
  Known.recordLoad(TargetId("a"), Own);
  LoadReport Other;
  Other.InFlight = 5;
  Known.recordSharedLoad(TargetId("a"), Other, TimeSource.now() - 10ms);
  EXPECT_EQ(Known.experience(TargetId("a")).Load->InFlight, 1U);
  Known.recordSharedLoad(TargetId("a"), Other, TimeSource.now() + 10ms);
  EXPECT_EQ(Known.experience(TargetId("a")).Load->InFlight, 5U);
  EXPECT_EQ(Known.takeSeenLoads().size(), 1U);
  EXPECT_TRUE(Known.takeSeenLoads().empty());
}

// Guards against followers that differ from the host that follows the store.
TEST_F(KnowledgeTest, DeltaBringsAFollowerUpToDate) {
  Knowledge Follower(TimeSource, Generator, Events);
  Known.offerRegistrations({target("a"), target("b")}, {3}, "store");
  const auto First = fromWire(toWire(Known.takeDelta()));
  ASSERT_TRUE(First);
  EXPECT_TRUE(Follower.offerDelta(First.value(), "host"));
  Known.offerChange({TargetId("a"), std::nullopt, {4}}, "store");
  const auto Second = fromWire(toWire(Known.takeDelta()));
  ASSERT_TRUE(Second);
  EXPECT_EQ(Second.value().Base.Value, 3U);
  EXPECT_EQ(Second.value().Changes.size(), 1U);
  EXPECT_TRUE(Follower.offerDelta(Second.value(), "host"));
  EXPECT_EQ(Follower.targets().Targets.size(), 1U);
  EXPECT_EQ(Follower.targets().Revision.Value, 4U);
}

} // namespace
} // namespace comfreyrill
