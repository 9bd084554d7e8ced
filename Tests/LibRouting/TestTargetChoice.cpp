#include "Fixture.h"

namespace comfreyrill {
namespace {

class TargetChoiceTest : public RoutingTest {};

// Guards against ignoring what targets report.
TEST_F(TargetChoiceTest, LeastReportedLoadWins) {
  configure(4);
  for (TargetIndex Target = 0; Target < 4; ++Target)
    report(Target, Target == 2 ? 1 : 5);
  EXPECT_EQ(drawsOf(2), Draws);
}

// Guards against sending calls to a target for ever because it was idle once.
TEST_F(TargetChoiceTest, OldReportLosesItsWorth) {
  configure(2);
  report(0, 6);
  report(1, 0);
  EXPECT_LT(estimatedLoad(State, State.Targets[1], Time.now()), 0.5);
  Time.advance(std::chrono::seconds(1));
  EXPECT_GT(estimatedLoad(State, State.Targets[1], Time.now()), 2);
}

// Guards against new work for a target that leaves.
TEST_F(TargetChoiceTest, DrainingTargetGetsNothing) {
  configure(3);
  report(2, 0, true);
  EXPECT_EQ(drawsOf(2), 0);
  report(2, 0, false);
  Time.advance(std::chrono::seconds(10));
  EXPECT_GT(drawsOf(2), 0);
}

// Guards against the return of a target being seen only by the host that probed
// it, and against old news overriding newer news.
TEST_F(TargetChoiceTest, PeerReportEndsDrainingUnlessItIsOlder) {
  configure(2);
  const TimePoint Before = Time.now();
  Time.advance(std::chrono::seconds(1));
  report(1, 0, true);
  recordPeerProbe(State, 1, {}, Before, Time.now());
  EXPECT_TRUE(State.Targets[1].Draining);
  Time.advance(std::chrono::seconds(1));
  recordPeerProbe(State, 1, {}, Time.now(), Time.now());
  EXPECT_FALSE(State.Targets[1].Draining);
}

// Guards against a retry on the target that has just failed.
TEST_F(TargetChoiceTest, TriedTargetsAreLeftOut) {
  configure(2);
  EXPECT_EQ(choose({0}).Target, 1U);
  EXPECT_EQ(choose({0, 1}).Kind, TargetChoiceKind::Refuse);
  EXPECT_EQ(choose({0, 1}).Reason, "no_other_target");
}

TEST_F(TargetChoiceTest, NoTargetIsARefusal) {
  configure(0);
  EXPECT_EQ(choose().Kind, TargetChoiceKind::Refuse);
}

// Guards against traffic between failure domains without need, and against near
// targets being overloaded.
TEST_F(TargetChoiceTest, NearTargetsArePreferredWhileLessLoaded) {
  configure(4);
  EXPECT_EQ(drawsOf(1), 0);
  EXPECT_EQ(drawsOf(3), 0);
  report(0, 6);
  report(2, 6);
  report(1, 1);
  report(3, 1);
  EXPECT_EQ(drawsOf(0), 0);
  EXPECT_EQ(drawsOf(2), 0);
}

// Guards against one host using the connections of all others.
TEST_F(TargetChoiceTest, ShareOfConnectionsIsALimit) {
  Config.Targets.clear();
  configure(1, 100);
  setHostsMaximum(State, 100);
  recordAttemptStart(State, 0, Time.now());
  EXPECT_EQ(choose().Kind, TargetChoiceKind::Dispatch);
  recordAttemptStart(State, 0, Time.now());
  EXPECT_EQ(choose().Kind, TargetChoiceKind::Wait);
  EXPECT_EQ(choose().Reason, "connections");
}

// Guards against queues at targets that grow without limit, and against a host
// that waits for ever because no answer of its own is to come.
TEST_F(TargetChoiceTest, FullSlotsMakeCallsWait) {
  configure(1);
  report(0, 30);
  EXPECT_EQ(choose().Kind, TargetChoiceKind::Dispatch);
  recordAttemptStart(State, 0, Time.now());
  report(0, 30);
  EXPECT_EQ(choose().Kind, TargetChoiceKind::Wait);
}

// Guards against a cold target being given a full share at once.
TEST_F(TargetChoiceTest, NewTargetRampsUp) {
  configure(2);
  report(0, 2);
  Config.Targets.push_back(Config.Targets[0]);
  Config.Targets[2].Id = TargetId("t2");
  updateTargets(State, Config, Time.now());
  EXPECT_EQ(drawsOf(2), 0);
  Time.advance(std::chrono::seconds(10));
  report(0, 2);
  report(2, 0);
  EXPECT_EQ(drawsOf(2), Draws);
}

// Guards against a straggler being treated like the others.
TEST_F(TargetChoiceTest, SlowTargetIsAvoided) {
  configure(4);
  for (int Round = 0; Round < 60; ++Round)
    for (TargetIndex Target = 0; Target < 4; ++Target)
      attempt(Target, AttemptEnd::Answered,
              std::chrono::milliseconds(Target == 0 ? 80 : 20));
  EXPECT_EQ(drawsOf(0), 0);
}

// Guards against state being lost or mixed up when targets change place.
TEST_F(TargetChoiceTest, UpdateKeepsStateByIdentity) {
  configure(3);
  recordAttemptStart(State, 2, Time.now());
  std::swap(Config.Targets[0], Config.Targets[2]);
  updateTargets(State, Config, Time.now());
  EXPECT_EQ(State.Targets[0].InFlight, 1U);
  EXPECT_EQ(State.Targets[2].InFlight, 0U);
  EXPECT_EQ(State.InFlight, 1U);
}

// Guards against counts of peers that add up over messages or outlive the peer.
TEST_F(TargetChoiceTest, PeerLoadIsReplacedAndForgotten) {
  configure(2);
  recordPeerLoad(State, HostId("h1"), {{0, 3}, {7, 9}}, Time.now());
  recordPeerLoad(State, HostId("h2"), {{0, 2}}, Time.now());
  recordPeerLoad(State, HostId("h1"), {{1, 4}}, Time.now());
  EXPECT_EQ(State.Targets[0].PeerInFlight, 2U);
  EXPECT_EQ(State.Targets[1].PeerInFlight, 4U);
  EXPECT_GE(estimatedLoad(State, State.Targets[1], Time.now()), 4);
  forgetPeer(State, HostId("h1"));
  EXPECT_EQ(State.Targets[1].PeerInFlight, 0U);
  Time.advance(std::chrono::seconds(5));
  recordPeerLoad(State, HostId("h3"), {}, Time.now());
  EXPECT_EQ(State.Targets[0].PeerInFlight, 0U);
}

// Guards against a sample of a large service that misses the only usable
// target.
TEST_F(TargetChoiceTest, LargeServiceFindsItsOnlyUsableTarget) {
  configure(870);
  for (TargetIndex Target = 0; Target < 870; ++Target)
    recordDraining(State, Target, Target != 431, Time.now());
  EXPECT_EQ(drawsOf(431), Draws);
}

} // namespace
} // namespace comfreyrill
