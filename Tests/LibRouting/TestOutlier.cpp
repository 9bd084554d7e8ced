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

// Guards against a target that fails fast, reports little load and therefore
// attracts calls.
TEST_F(OutlierTest, FastFailuresEject) {
  configure(4);
  fail(0, 4);
  EXPECT_FALSE(ejected(0));
  fail(0, 1);
  report(0, 0);
  EXPECT_TRUE(ejected(0));
  EXPECT_EQ(countChoicesOf(0), 0);
}

// Guards against a target that escapes ejection because answers interrupt its
// sequences of failures.
TEST_F(OutlierTest, MostlyFailingTargetIsEjected) {
  configure(4);
  for (int Round = 0; Round < 20; ++Round) {
    fail(0, 4);
    attempt(0, AttemptEnd::Answered);
  }
  EXPECT_GT(State.Targets[0].Outlier.Ejections, 0U);
}

// Guards against several calls failing one after another on a target that
// refuses connections.
TEST_F(OutlierTest, RefusedConnectionEjectsAtOnce) {
  configure(4);
  attempt(0, AttemptEnd::ConnectionFailed, std::chrono::milliseconds(1));
  EXPECT_TRUE(ejected(0));
}

// Guards against counting shed or cancelled attempts as failures.
TEST_F(OutlierTest, ShedAndCancelledAttemptsDoNotEject) {
  configure(4);
  for (int Round = 0; Round < 20; ++Round) {
    attempt(0, AttemptEnd::Shed, std::chrono::milliseconds(1));
    attempt(0, AttemptEnd::Cancelled, std::chrono::milliseconds(1));
  }
  EXPECT_FALSE(ejected(0));
}

// Guards against a failing target that gets calls again every second because
// its ejection time does not grow.
TEST_F(OutlierTest, EjectionTimeGrows) {
  configure(4);
  fail(0, 5);
  Time.advance(std::chrono::milliseconds(1100));
  EXPECT_FALSE(ejected(0));
  // After an ejection, a single failure ejects the target again.
  fail(0, 1);
  Time.advance(std::chrono::milliseconds(1100));
  EXPECT_TRUE(ejected(0));
  Time.advance(std::chrono::seconds(1));
  EXPECT_FALSE(ejected(0));
}

// Guards against earlier ejections counting against a target that has fully
// recovered.
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

// Guards against overloading the remaining targets when many targets fail.
TEST_F(OutlierTest, AtMostHalfAreEjected) {
  configure(5);
  for (TargetIndex Target = 0; Target < 5; ++Target)
    fail(Target, 5);
  int Count = 0;
  for (const TargetState &Target : State.Targets)
    Count += Target.Outlier.Ejected;
  EXPECT_EQ(Count, 2);
}

// Guards against refusing all calls when every target that is not ejected is
// unusable.
TEST_F(OutlierTest, PanicUsesEjectedTargets) {
  configure(2);
  fail(0, 5);
  recordDraining(State, 1, true, Time.now());
  const TargetChoice Chosen = choose();
  EXPECT_EQ(Chosen.Kind, TargetChoiceKind::Dispatch);
  EXPECT_EQ(Chosen.Target, 0U);
  EXPECT_EQ(Chosen.Reason, "panic");
}

// Guards against a target that always reports no load and therefore attracts
// all calls.
TEST_F(OutlierTest, UnderreportingTargetIsDistrusted) {
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

// Guards against distrusting a target because of attempts that have not reached
// it yet.
TEST_F(OutlierTest, RecentAttemptsDoNotContradictReport) {
  configure(2);
  for (int Round = 0; Round < 10; ++Round) {
    recordAttemptStart(State, 0, Time.now());
    report(0, 0);
  }
  EXPECT_FALSE(State.Targets[0].Trust.Distrusted);
}

} // namespace
} // namespace comfreyrill
