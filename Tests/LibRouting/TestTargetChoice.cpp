#include "Fixture.h"

namespace comfreyrill {
namespace {

class TargetChoiceTest : public RoutingTest {};

// Guards against ignoring the load reports of targets.
TEST_F(TargetChoiceTest, LeastReportedLoadWins) {
  configure(4);
  for (TargetIndex Target = 0; Target < 4; ++Target)
    report(Target, Target == 2 ? 1 : 5);
  EXPECT_EQ(countChoicesOf(2), Draws);
}

// Guards against preferring a target indefinitely because it was idle once.
TEST_F(TargetChoiceTest, OldReportDecays) {
  configure(2);
  report(0, 6);
  report(1, 0);
  EXPECT_LT(estimatedLoad(State, State.Targets[1], Time.now()), 0.5);
  Time.advance(std::chrono::seconds(1));
  EXPECT_GT(estimatedLoad(State, State.Targets[1], Time.now()), 2);
}

// Guards against sending new calls to a draining target.
TEST_F(TargetChoiceTest, DrainingTargetGetsNoCalls) {
  configure(3);
  report(2, 0, true);
  EXPECT_EQ(countChoicesOf(2), 0);
  report(2, 0, false);
  Time.advance(std::chrono::seconds(10));
  EXPECT_GT(countChoicesOf(2), 0);
}

// Guards against the end of draining being known only to the host that probed
// the target, and against an old report overriding a newer one.
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

// Guards against a retry on a target that this call has tried already.
TEST_F(TargetChoiceTest, TriedTargetsAreExcluded) {
  configure(2);
  EXPECT_EQ(choose({0}).Target, 1U);
  EXPECT_EQ(choose({0, 1}).Kind, TargetChoiceKind::Refuse);
  EXPECT_EQ(choose({0, 1}).Reason, "no_other_target");
}

TEST_F(TargetChoiceTest, CallIsRefusedWithoutTargets) {
  configure(0);
  EXPECT_EQ(choose().Kind, TargetChoiceKind::Refuse);
}

// Guards against unnecessary traffic between failure domains, and against
// overloading the targets in the host's own domain.
TEST_F(TargetChoiceTest, SameDomainTargetsArePreferredWhileLessLoaded) {
  configure(4);
  EXPECT_EQ(countChoicesOf(1), 0);
  EXPECT_EQ(countChoicesOf(3), 0);
  report(0, 6);
  report(2, 6);
  report(1, 1);
  report(3, 1);
  EXPECT_EQ(countChoicesOf(0), 0);
  EXPECT_EQ(countChoicesOf(2), 0);
}

// Guards against one host using the other hosts' share of a target's
// connections.
TEST_F(TargetChoiceTest, ConnectionShareLimitsAttempts) {
  Config.Targets.clear();
  configure(1, 100);
  setHostsMaximum(State, 100);
  recordAttemptStart(State, 0, Time.now());
  EXPECT_EQ(choose().Kind, TargetChoiceKind::Dispatch);
  recordAttemptStart(State, 0, Time.now());
  EXPECT_EQ(choose().Kind, TargetChoiceKind::Wait);
  EXPECT_EQ(choose().Reason, "connections");
}

// Guards against queues at targets that grow without bound, and against a host
// that waits forever because it has no attempt in flight whose answer would end
// the wait.
TEST_F(TargetChoiceTest, FullSlotsMakeCallsWait) {
  configure(1);
  report(0, 30);
  EXPECT_EQ(choose().Kind, TargetChoiceKind::Dispatch);
  recordAttemptStart(State, 0, Time.now());
  report(0, 30);
  EXPECT_EQ(choose().Kind, TargetChoiceKind::Wait);
}

// Guards against sending a full share of the calls to a new target with cold
// caches at once.
TEST_F(TargetChoiceTest, NewTargetGetsSlowStart) {
  configure(2);
  report(0, 2);
  Config.Targets.push_back(Config.Targets[0]);
  Config.Targets[2].Id = TargetId("t2");
  updateTargets(State, Config, Time.now());
  EXPECT_EQ(countChoicesOf(2), 0);
  Time.advance(std::chrono::seconds(10));
  report(0, 2);
  report(2, 0);
  EXPECT_EQ(countChoicesOf(2), Draws);
}

// Guards against choosing a slow target as often as the others.
TEST_F(TargetChoiceTest, SlowTargetIsAvoided) {
  configure(4);
  for (int Round = 0; Round < 60; ++Round)
    for (TargetIndex Target = 0; Target < 4; ++Target)
      attempt(Target, AttemptEnd::Answered,
              std::chrono::milliseconds(Target == 0 ? 80 : 20));
  EXPECT_EQ(countChoicesOf(0), 0);
}

// Guards against losing or mixing up state when the order of targets changes.
TEST_F(TargetChoiceTest, UpdateKeepsStateByTargetId) {
  configure(3);
  recordAttemptStart(State, 2, Time.now());
  std::swap(Config.Targets[0], Config.Targets[2]);
  updateTargets(State, Config, Time.now());
  EXPECT_EQ(State.Targets[0].InFlight, 1U);
  EXPECT_EQ(State.Targets[2].InFlight, 0U);
  EXPECT_EQ(State.InFlight, 1U);
}

// Guards against in-flight counts of peers that add up over messages or remain
// after the peer is gone.
TEST_F(TargetChoiceTest, PeerLoadIsReplacedAndRemoved) {
  configure(2);
  recordPeerLoad(State, HostId("h1"), {{0, 3}, {7, 9}}, Time.now());
  recordPeerLoad(State, HostId("h2"), {{0, 2}}, Time.now());
  recordPeerLoad(State, HostId("h1"), {{1, 4}}, Time.now());
  EXPECT_EQ(State.Targets[0].PeerInFlight, 2U);
  EXPECT_EQ(State.Targets[1].PeerInFlight, 4U);
  EXPECT_GE(estimatedLoad(State, State.Targets[1], Time.now()), 4);
  removePeer(State, HostId("h1"));
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
  EXPECT_EQ(countChoicesOf(431), Draws);
}

} // namespace
} // namespace comfreyrill
