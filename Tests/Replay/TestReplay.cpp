#include "Replay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace comfreyrill::replay {
namespace {

// Largest permitted p99 relative to the oracle, and largest permitted control
// traffic of a host.
constexpr double OracleRatioMaximum = 1.25;
constexpr double ControlBytesPerSecondMaximum = 26000;

const PolicySpec Production{"chosen", Policy::Production, true, 1, Duration(0)};
const PolicySpec Oracle{"oracle", Policy::Oracle, false, 1, Duration(0)};

// The trace description contains the seed, so its name identifies the run.
Trace load(const std::string &Name) {
  return loadTrace(std::string(TRACE_DIRECTORY) + "/" + Name + ".json");
}

double p99(const Trace &Input, const PolicySpec &Spec) {
  return quantileMilliseconds(replayTrace(Input, Spec), 0.99);
}

class ReplayTest : public ::testing::TestWithParam<const char *> {};

// Guards against a policy that exceeds the tail latency limit because its load
// data is stale, exceeds the probe budget, or does worse than a simple policy.
TEST_P(ReplayTest, MeetsLatencyAndBudgetLimits) {
  const Trace Input = load(GetParam());
  const ReplayResult Result = replayTrace(Input, Production);
  const double P99 = quantileMilliseconds(Result, 0.99);
  SCOPED_TRACE("seed " + std::to_string(Input.Seed));
  EXPECT_LE(P99, OracleRatioMaximum * p99(Input, Oracle));
  for (const Policy Baseline : {Policy::Random, Policy::RoundRobin,
                                Policy::LeastInFlight, Policy::TwoChoices})
    EXPECT_LT(P99, p99(Input, {"baseline", Baseline, false, 1, Duration(0)}));
  EXPECT_EQ(Result.BudgetOverruns, 0U);
  EXPECT_LE(Result.ControlBytesPerHostSecond, ControlBytesPerSecondMaximum);
  EXPECT_EQ(Result.Calls, Result.Answered + Result.Refused + Result.Failed +
                              Result.LostWithHost);
}

INSTANTIATE_TEST_SUITE_P(Traces, ReplayTest,
                         ::testing::Values("t24-load90", "t06-load90",
                                           "t30-load130", "t08-load90",
                                           "t08-noisy90", "t08-domain-lost",
                                           "t08-failing", "t08-lying",
                                           "t24-restart", "t24-host-frozen",
                                           "t30-uneven90"));

// Guards against a policy that needs its whole probe budget.
TEST(Replay, MeetsLatencyLimitAtTenthOfProbeBudget) {
  const Trace Input = load("t08-noisy90");
  PolicySpec TenthBudget = Production;
  TenthBudget.ProbeBudgetFactor = 0.1;
  const ReplayResult Result = replayTrace(Input, TenthBudget);
  EXPECT_LE(quantileMilliseconds(Result, 0.99),
            OracleRatioMaximum * p99(Input, Oracle));
  EXPECT_EQ(Result.BudgetOverruns, 0U);
}

// Guards against poor target selection that hedging would hide.
TEST(Replay, MeetsLatencyLimitWithoutHedging) {
  const Trace Input = load("t30-load90");
  PolicySpec Unhedged = Production;
  Unhedged.Hedging = false;
  EXPECT_LE(p99(Input, Unhedged), OracleRatioMaximum * p99(Input, Oracle));
}

// Guards against ignoring load reports, which hedging and the preference for
// targets in the same failure domain would hide.
TEST(Replay, MeetsLatencyLimitOnLoadReportsAlone) {
  Trace Input = load("t30-load90");
  for (TargetConfig &Target : Input.Service.Targets)
    Target.Domain = FailureDomain("elsewhere");
  PolicySpec Unhedged = Production;
  Unhedged.Hedging = false;
  EXPECT_LE(p99(Input, Unhedged), OracleRatioMaximum * p99(Input, Oracle));
}

// Guards against sending new attempts to a target that has been draining for
// over 2 s.
TEST(Replay, DrainingTargetGetsNoNewAttempts) {
  Trace Input = load("t24-load70");
  const TimePoint DrainStart = Input.Start + std::chrono::seconds(5);
  Input.Targets[3].Draining.push_back({0, 1, DrainStart, Input.End, 0});
  EXPECT_EQ(replayTrace(Input, Production).MisroutedAttempts, 0U);
}

// Guards against a failing target that keeps receiving calls.
TEST(Replay, FailingTargetIsAvoided) {
  const Trace Input = load("t08-failing");
  const ReplayResult Result = replayTrace(Input, Production);
  EXPECT_LT(Result.Failed * 1000, Result.Calls);
}

// Guards against a replay that is not deterministic.
TEST(Replay, SameTraceGivesSameResult) {
  const Trace Input = load("t08-host-lost");
  const ReplayResult First = replayTrace(Input, Production);
  const ReplayResult Second = replayTrace(Input, Production);
  EXPECT_EQ(First.AnswerTimes, Second.AnswerTimes);
  EXPECT_EQ(First.Probes, Second.Probes);
  EXPECT_EQ(First.BudgetOverruns, 0U);
}

} // namespace
} // namespace comfreyrill::replay
