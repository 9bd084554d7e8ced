#include "Fixture.h"

namespace comfreyrill {
namespace {

class OutlierTest : public RoutingTest {
protected:
  void fail(TargetIndex Target, int Count) {
    for (int Attempt = 0; Attempt < Count; ++Attempt)
      attempt(Target, AttemptEnd::Failed, std::chrono::milliseconds(1));
  }
  bool ejected(TargetIndex Target) {
    choose();
    return State.Targets[Target].Outlier.Ejected;
  }
};

// Guards against a target that fails fast and therefore looks idle.
TEST_F(OutlierTest, FastFailuresEject) {
  configure(4);
  fail(0, 4);
  EXPECT_FALSE(ejected(0));
  fail(0, 1);
  report(0, 0);
  EXPECT_TRUE(ejected(0));
  EXPECT_EQ(drawsOf(0), 0);
}

// Guards against a target that mixes failures with answers.
TEST_F(OutlierTest, MostlyFailingTargetIsEjected) {
  configure(4);
  for (int Round = 0; Round < 20; ++Round) {
    fail(0, 4);
    attempt(0, AttemptEnd::Answered);
  }
  EXPECT_GT(State.Targets[0].Outlier.Ejections, 0U);
}

// Guards against calls that discover a lost target one by one.
TEST_F(OutlierTest, RefusedConnectionEjectsAtOnce) {
  configure(4);
  attempt(0, AttemptEnd::ConnectionFailed, std::chrono::milliseconds(1));
  EXPECT_TRUE(ejected(0));
}

// Guards against calls that were shed or cancelled counting as failures.
TEST_F(OutlierTest, ShedAndCancelledAttemptsDoNotEject) {
  configure(4);
  for (int Round = 0; Round < 20; ++Round) {
    attempt(0, AttemptEnd::Shed, std::chrono::milliseconds(1));
    attempt(0, AttemptEnd::Cancelled, std::chrono::milliseconds(1));
  }
  EXPECT_FALSE(ejected(0));
}

// Guards against a broken target that gets calls again every second.
TEST_F(OutlierTest, EjectionTimeGrows) {
  configure(4);
  fail(0, 5);
  Time.advance(std::chrono::milliseconds(1100));
  EXPECT_FALSE(ejected(0));
  // One failure is enough for a target on trial.
  fail(0, 1);
  Time.advance(std::chrono::milliseconds(1100));
  EXPECT_TRUE(ejected(0));
  Time.advance(std::chrono::seconds(1));
  EXPECT_FALSE(ejected(0));
}

// Guards against a recovered target that is treated as a repeat offender.
TEST_F(OutlierTest, AnswersClearEarlierEjections) {
  configure(4);
  fail(0, 5);
  Time.advance(std::chrono::seconds(2));
  choose();
  for (int Round = 0; Round < 50; ++Round)
    attempt(0, AttemptEnd::Answered);
  fail(0, 4);
  EXPECT_FALSE(ejected(0));
}

// Guards against the remaining targets being overrun when many fail.
TEST_F(OutlierTest, AtMostHalfAreEjected) {
  configure(5);
  for (TargetIndex Target = 0; Target < 5; ++Target)
    fail(Target, 5);
  int Count = 0;
  for (const TargetState &Target : State.Targets)
    Count += Target.Outlier.Ejected;
  EXPECT_EQ(Count, 2);
}

// Guards against refusing all calls when the targets that remain are unusable.
TEST_F(OutlierTest, PanicUsesEjectedTargets) {
  configure(2);
  fail(0, 5);
  recordDraining(State, 1, true, Time.now());
  const TargetChoice Chosen = choose();
  EXPECT_EQ(Chosen.Kind, TargetChoiceKind::Dispatch);
  EXPECT_EQ(Chosen.Target, 0U);
  EXPECT_EQ(Chosen.Reason, "panic");
}

// Guards against a target that always reports idle and so draws all calls.
TEST_F(OutlierTest, LiarIsNotBelieved) {
  configure(2);
  for (TargetIndex Target = 0; Target < 2; ++Target)
    for (int Call = 0; Call < 3; ++Call)
      recordAttemptStart(State, Target, Time.now());
  Time.advance(std::chrono::milliseconds(20));
  for (int Round = 0; Round < 4; ++Round) {
    report(0, 0);
    report(1, 4);
  }
  EXPECT_TRUE(State.Targets[0].Trust.Distrusted);
  EXPECT_FALSE(State.Targets[1].Trust.Distrusted);
  report(0, 3);
  EXPECT_FALSE(State.Targets[0].HasReport);
}

// Guards against calling a target a liar for attempts that are on their way.
TEST_F(OutlierTest, YoungAttemptsContradictNoReport) {
  configure(2);
  for (int Round = 0; Round < 10; ++Round) {
    recordAttemptStart(State, 0, Time.now());
    report(0, 0);
  }
  EXPECT_FALSE(State.Targets[0].Trust.Distrusted);
}

} // namespace
} // namespace comfreyrill
