#include "LogComparison.h"

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
TEST(LogComparison, KeyThatRanTwiceIsADoubleRun) {
  EXPECT_EQ(
      compareLogs({}, {run("c-1", "k1"), run("c-1", "k1")}, {}).DoubleRuns, 1U);
  EXPECT_EQ(
      compareLogs({}, {run("c-1", "k1"), run("c-2", "k2")}, {}).DoubleRuns, 0U);
}

// Guards against a comparison that checks each key separately: an operation
// that ran with its old key and with its next key ran twice.
TEST(LogComparison, OperationThatRanUnderTwoKeysIsADoubleRun) {
  EXPECT_EQ(
      compareLogs({}, {run("c-1", "k1"), run("c-1", "k2")}, {}).DoubleRuns, 1U);
}

// Guards against reporting idempotent requests, which hosts may send twice.
TEST(LogComparison, IdempotentRequestMayRunTwice) {
  EXPECT_EQ(compareLogs({}, {run("c-1", ""), run("c-1", "")}, {}).DoubleRuns,
            0U);
}

// Guards against a comparison that accepts a "not run" for a request that ran.
TEST(LogComparison, NotRunThatRanIsFalse) {
  EXPECT_EQ(
      compareLogs({send("not_run", "k1")}, {run("c-1", "k1")}, {}).FalseNotRun,
      1U);
  EXPECT_EQ(
      compareLogs({send("not_run", "")}, {run("c-1", "")}, {}).FalseNotRun, 1U);
  RunRow ByRequest = run("", "");
  ByRequest.RequestId = "r1";
  EXPECT_EQ(compareLogs({send("not_run", "")}, {ByRequest}, {}).FalseNotRun,
            1U);
}

// Guards against reporting a false "not run" when the caller continued with the
// next key.
TEST(LogComparison, NextKeyMayRunAfterNotRun) {
  EXPECT_EQ(
      compareLogs({send("not_run", "k1")}, {run("c-1", "k2")}, {}).FalseNotRun,
      0U);
}

// Guards against missing calls that a planned stop interrupted, and against
// treating a kill as a planned stop.
TEST(LogComparison, LossDuringPlannedStopIsAnInterruptedCall) {
  HostLifetime Lifetime;
  Lifetime.CallerAddress = "h";
  Lifetime.StartedMs = 0;
  Lifetime.StopStartedMs = 50;
  Lifetime.EndedMs = 105;
  const auto Planned = compareLogs({send("broken", "k1")}, {}, {Lifetime});
  EXPECT_EQ(Planned.InterruptedCalls, 1U);
  Lifetime.WasKilledOrFrozen = true;
  const auto Killed = compareLogs({send("broken", "k1")}, {}, {Lifetime});
  EXPECT_EQ(Killed.InterruptedCalls, 0U);
  EXPECT_EQ(Killed.UnexplainedConnectionLosses, 0U);
}

// Guards against missing lost connections of a host that was neither killed,
// frozen nor stopped.
TEST(LogComparison, LossWithoutCauseIsUnexplained) {
  HostLifetime Lifetime;
  Lifetime.CallerAddress = "h";
  Lifetime.EndedMs = 1000;
  EXPECT_EQ(compareLogs({send("broken", "k1")}, {}, {Lifetime})
                .UnexplainedConnectionLosses,
            1U);
}

} // namespace
} // namespace comfreyrill::chaos
