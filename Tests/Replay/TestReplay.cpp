#include "Replay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace comfreyrill::replay {
namespace {

// The goals of docs/design.md, sections 1 and 7.
constexpr double OracleRatioMaximum = 1.25;
constexpr double ControlBytesMaximum = 26000;

const PolicySpec Chosen{"chosen", Policy::Chosen, true, 1, Duration(0)};
const PolicySpec Oracle{"oracle", Policy::Oracle, false, 1, Duration(0)};

// The description holds the seed, so the name identifies the run.
Trace load(const std::string &Name) {
  return loadTrace(std::string(TRACE_DIRECTORY) + "/" + Name + ".json");
}

double p99(const Trace &Input, const PolicySpec &Spec) {
  return quantileMilliseconds(replayTrace(Input, Spec), 0.99);
}

class ReplayTest : public ::testing::TestWithParam<const char *> {};

// Guards against a policy that loses the tail latency goal on stale load,
// spends more than the measuring budget, or is beaten by a simple policy.
TEST_P(ReplayTest, GoalsHold) {
  const Trace Input = load(GetParam());
  const Outcome Result = replayTrace(Input, Chosen);
  const double Time = quantileMilliseconds(Result, 0.99);
  SCOPED_TRACE("seed " + std::to_string(Input.Seed));
  EXPECT_LE(Time, OracleRatioMaximum * p99(Input, Oracle));
  for (const Policy Baseline : {Policy::Random, Policy::RoundRobin,
                                Policy::LeastInFlight, Policy::TwoChoices})
    EXPECT_LT(Time, p99(Input, {"baseline", Baseline, false, 1, Duration(0)}));
  EXPECT_EQ(Result.BudgetOverruns, 0U);
  EXPECT_LE(Result.ControlBytesPerHostSecond, ControlBytesMaximum);
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

// Guards against a policy that needs its whole measuring budget.
TEST(Replay, GoalHoldsAtTenthOfTheBudget) {
  const Trace Input = load("t08-noisy90");
  PolicySpec Tenth = Chosen;
  Tenth.LoadProbingFactor = 0.1;
  const Outcome Result = replayTrace(Input, Tenth);
  EXPECT_LE(quantileMilliseconds(Result, 0.99),
            OracleRatioMaximum * p99(Input, Oracle));
  EXPECT_EQ(Result.BudgetOverruns, 0U);
}

// Guards against hedging that hides bad choices.
TEST(Replay, GoalHoldsWithoutHedging) {
  const Trace Input = load("t30-load90");
  PolicySpec Unhedged = Chosen;
  Unhedged.Hedging = false;
  EXPECT_LE(p99(Input, Unhedged), OracleRatioMaximum * p99(Input, Oracle));
}

// Guards against ignoring what targets report, which the preference for near
// targets and hedging would hide.
TEST(Replay, GoalHoldsOnReportsAlone) {
  Trace Input = load("t30-load90");
  for (TargetConfig &Target : Input.Service.Targets)
    Target.Domain = FailureDomain("elsewhere");
  PolicySpec Unhedged = Chosen;
  Unhedged.Hedging = false;
  EXPECT_LE(p99(Input, Unhedged), OracleRatioMaximum * p99(Input, Oracle));
}

// Guards against new work for a target that has been leaving for over 2 s.
TEST(Replay, LeavingTargetGetsNoWork) {
  Trace Input = load("t24-load70");
  const TimePoint Leaves = Input.Start + std::chrono::seconds(5);
  Input.Targets[3].Draining.push_back({0, 1, Leaves, Input.End, 0});
  EXPECT_EQ(replayTrace(Input, Chosen).LateAttempts, 0U);
}

// Guards against a lost target that keeps receiving calls.
TEST(Replay, FailingTargetIsLeftAlone) {
  const Trace Input = load("t08-failing");
  const Outcome Result = replayTrace(Input, Chosen);
  EXPECT_LT(Result.Failed * 1000, Result.Calls);
}

// Guards against a replay whose figures cannot be repeated.
TEST(Replay, SameTraceSameOutcome) {
  const Trace Input = load("t08-host-lost");
  const Outcome First = replayTrace(Input, Chosen);
  const Outcome Second = replayTrace(Input, Chosen);
  EXPECT_EQ(First.Times, Second.Times);
  EXPECT_EQ(First.Probes, Second.Probes);
  EXPECT_EQ(First.BudgetOverruns, 0U);
}

} // namespace
} // namespace comfreyrill::replay
