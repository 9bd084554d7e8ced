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
  Knowledge Known{TimeSource, Events};
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
  EXPECT_TRUE(Found.front().IsNear);
  EXPECT_TRUE(
      Known.candidates(ServiceName("desk"), FailureDomain("west")).empty());
}

// Guards against requests for a target that fails, while others are left.
TEST_F(KnowledgeTest, FailingTargetsAreDoubtfulForSomeTime) {
  Known.offerRegistrations({target("a")}, {1}, "store");
  Known.recordFailure(TargetId("a"), true);
  EXPECT_TRUE(Known.candidates(ServiceName("stock"), FailureDomain("west"))
                  .front()
                  .IsDoubtful);
  TimeSource.advance(10s);
  EXPECT_FALSE(Known.candidates(ServiceName("stock"), FailureDomain("west"))
                   .front()
                   .IsDoubtful);
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
  Knowledge Follower(TimeSource, Events);
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
