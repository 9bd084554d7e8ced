#include <LibGateway/TargetReachability.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

const TimePoint Start{std::chrono::hours(1)};

TargetId target(int Number) { return TargetId("i-" + std::to_string(Number)); }

// Guards against a host that takes failures of single targets for its own.
TEST(TargetReachability, FailuresOfFewTargetsAreTheirOwn) {
  TargetReachability State;
  for (int Count = 0; Count < 100; ++Count)
    recordConnectionFailure(State, target(Count % 4), Start);
  EXPECT_FALSE(isCutOff(State, 36));
  EXPECT_FALSE(cannotConnect(State, 36));
  recordConnectionFailure(State, target(4), Start);
  EXPECT_TRUE(isCutOff(State, 36));
  EXPECT_TRUE(cannotConnect(State, 36));
}

// Guards against a host that goes on as if cut off when a target answers.
TEST(TargetReachability, AnyAnswerShowsThatTargetsAreReached) {
  TargetReachability State;
  for (int Number = 0; Number < 9; ++Number)
    recordSilence(State, target(Number), Start);
  EXPECT_TRUE(isCutOff(State, 36));
  EXPECT_FALSE(cannotConnect(State, 36));
  recordAnswer(State, Start);
  EXPECT_FALSE(isCutOff(State, 36));
}

// Guards against a host that misses that only its open connections still work.
TEST(TargetReachability, AnswersOnOpenConnectionsDoNotShowThatNewOnesWork) {
  TargetReachability State;
  for (int Number = 0; Number < 9; ++Number) {
    recordConnectionFailure(State, target(Number), Start);
    recordAnswer(State, Start);
  }
  EXPECT_FALSE(isCutOff(State, 36));
  EXPECT_TRUE(cannotConnect(State, 36));
  recordConnection(State, Start);
  EXPECT_FALSE(cannotConnect(State, 36));
}

// Guards against a host that takes itself for cut off again when probes that
// were lost in the cut reach their limits after it.
TEST(TargetReachability, FailuresFromBeforeTheLastAnswerDoNotCount) {
  TargetReachability State;
  recordAnswer(State, Start);
  recordConnection(State, Start);
  for (int Number = 0; Number < 9; ++Number)
    recordConnectionFailure(State, target(Number),
                            Start - std::chrono::milliseconds(1));
  EXPECT_FALSE(isCutOff(State, 36));
  EXPECT_FALSE(cannotConnect(State, 36));
}

// Guards against a host of a small deployment that is never taken for cut off,
// and against a single target whose failure is taken for the host's.
TEST(TargetReachability, AllOfFewTargetsMustFail) {
  TargetReachability State;
  recordSilence(State, target(1), Start);
  EXPECT_FALSE(isCutOff(State, 1));
  EXPECT_FALSE(isCutOff(State, 2));
  recordSilence(State, target(2), Start);
  EXPECT_TRUE(isCutOff(State, 2));
}

} // namespace
} // namespace comfreyrill
