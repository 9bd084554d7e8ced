#include "BookComparison.h"

#include <gtest/gtest.h>

namespace comfreyrill::chaos {
namespace {

SendRow send(const std::string &Outcome, const std::string &Key) {
  SendRow Row;
  Row.Token = "c-1";
  Row.Key = Key;
  Row.RequestId = "r1";
  Row.Host = "h";
  Row.Outcome = Outcome;
  Row.SentMs = 100;
  Row.EndedMs = 110;
  return Row;
}

RunRow run(const std::string &Token, const std::string &Key) {
  return {"t1", Token, Key, "x"};
}

// Guards against a comparison that misses a key that ran twice.
TEST(BookComparison, KeyThatRanTwiceIsADoubleRun) {
  EXPECT_EQ(
      compareBooks({}, {run("c-1", "k1"), run("c-1", "k1")}, {}).DoubleRuns,
      1U);
  EXPECT_EQ(
      compareBooks({}, {run("c-1", "k1"), run("c-2", "k2")}, {}).DoubleRuns,
      0U);
}

// Guards against a comparison that looks at each key alone: an operation that
// ran under its old and its next key ran twice.
TEST(BookComparison, OperationThatRanUnderTwoKeysIsADoubleRun) {
  EXPECT_EQ(
      compareBooks({}, {run("c-1", "k1"), run("c-1", "k2")}, {}).DoubleRuns,
      1U);
}

// Guards against accusing idempotent requests, which hosts may send twice.
TEST(BookComparison, IdempotentRequestMayRunTwice) {
  EXPECT_EQ(compareBooks({}, {run("c-1", ""), run("c-1", "")}, {}).DoubleRuns,
            0U);
}

// Guards against a comparison that believes every "not run".
TEST(BookComparison, NotRunThatRanIsFalse) {
  EXPECT_EQ(
      compareBooks({send("not_run", "k1")}, {run("c-1", "k1")}, {}).FalseNotRun,
      1U);
  EXPECT_EQ(
      compareBooks({send("not_run", "")}, {run("c-1", "")}, {}).FalseNotRun,
      1U);
  RunRow ByRequest = run("", "");
  ByRequest.RequestId = "r1";
  EXPECT_EQ(compareBooks({send("not_run", "")}, {ByRequest}, {}).FalseNotRun,
            1U);
}

// Guards against accusing a host whose caller went on with the next key.
TEST(BookComparison, NextKeyMayRunAfterNotRun) {
  EXPECT_EQ(
      compareBooks({send("not_run", "k1")}, {run("c-1", "k2")}, {}).FalseNotRun,
      0U);
}

// Guards against planned stops whose broken calls go unseen, and against kills
// that are taken for planned stops.
TEST(BookComparison, BreakDuringPlannedStopIsACut) {
  HostLife Life;
  Life.CallerAddress = "h";
  Life.StartedMs = 0;
  Life.StopBeganMs = 50;
  Life.EndedMs = 105;
  const auto Planned = compareBooks({send("broken", "k1")}, {}, {Life});
  EXPECT_EQ(Planned.CutCalls, 1U);
  Life.Disturbed = true;
  const auto Killed = compareBooks({send("broken", "k1")}, {}, {Life});
  EXPECT_EQ(Killed.CutCalls, 0U);
  EXPECT_EQ(Killed.UnexplainedBreaks, 0U);
}

// Guards against a host that breaks calls while nothing happens to it.
TEST(BookComparison, BreakWithoutCauseIsUnexplained) {
  HostLife Life;
  Life.CallerAddress = "h";
  Life.EndedMs = 1000;
  EXPECT_EQ(compareBooks({send("broken", "k1")}, {}, {Life}).UnexplainedBreaks,
            1U);
}

} // namespace
} // namespace comfreyrill::chaos
