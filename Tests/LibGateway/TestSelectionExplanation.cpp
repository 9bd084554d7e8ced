#include <LibGateway/SelectionExplanation.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Now{1h};

class SelectionExplanationTest : public testing::Test {
protected:
  SelectionExplanationTest() {
    Input.LatencyObjective = 400ms;
    Input.ProbePolicy = {60, 3, 1};
    Input.Searching.Priority = 1;
    Input.Searching.ArrivedAt = Now;
    Input.Searching.ObjectiveAt = Now + 400ms;
    Input.Searching.SearchEndsAt = Now + 140ms;
    Input.Searching.Deadline = Now + 10s;
    Input.Searching.ExpectedTime = 90ms;
  }

  TargetCandidate &add(std::string Id, std::uint32_t InFlight,
                       Duration LoadAge = 100ms, double Slowdown = 1) {
    TargetCandidate Made;
    Made.Id = TargetId(std::move(Id));
    Made.IsInLocalDomain = true;
    Made.LastLoad = LoadReport{InFlight, 6, 0, false, Slowdown};
    Made.LoadAge = LoadAge;
    Input.Candidates.push_back(Made);
    Input.Slots.push_back(6);
    Input.HasServiceCandidates = true;
    return Input.Candidates.back();
  }

  SelectionExplanation explain() {
    return explainSelection(Input, Generator, Now);
  }

  std::string refusedFor() {
    const SelectionExplanation Result = explain();
    EXPECT_EQ(Result.Result, ExplainedResult::Refuse);
    EXPECT_TRUE(Result.Refusal && Result.Refusal->RetryAfter > 0ms);
    return std::string(Result.Reason);
  }

  SelectionInput Input;
  Random Generator{20261206};
};

// Guards against a busy or an ejected target that is reported as the one that
// would be selected.
TEST_F(SelectionExplanationTest, FreeTargetIsSelected) {
  add("busy", 6);
  add("ejected", 0).IsSuspect = true;
  add("free", 1);
  // Without tokens, one target is probed on credit, rarely the busy one.
  const SelectionExplanation Scarce = explain();
  EXPECT_EQ(Scarce.ProbedFirst.front().Id, TargetId("free"));
  EXPECT_GT(Scarce.ProbedFirst.front().Share, 0.9);
  EXPECT_EQ(Scarce.Result, ExplainedResult::Send);
  Input.ProbeTokens = {100, Now};
  const SelectionExplanation Result = explain();
  EXPECT_EQ(Result.ProbedFirst.size(), 3U);
  EXPECT_EQ(Result.Reason, "free_slot");
  EXPECT_DOUBLE_EQ(Result.Likelihood, 1);
  ASSERT_EQ(Result.Selected.size(), 1U);
  EXPECT_EQ(Result.Selected.front().Id, TargetId("free"));
}

// Guards against an old report that makes the host look full.
TEST_F(SelectionExplanationTest, OldReportsDoNotCount) {
  add("busy", 6, 2s);
  EXPECT_EQ(explain().Result, ExplainedResult::Send);
}

// Guards against targets of the first probes that are left out of the report:
// a request may go to any of them.
TEST_F(SelectionExplanationTest, AllTargetsOfEqualRankAreReported) {
  for (int Index = 0; Index < 20; ++Index)
    add("i-" + std::to_string(Index), 0);
  EXPECT_EQ(explain().ProbedFirst.size(), 20U);
}

// Guards against a request without a free slot that is reported as sent, or as
// held for good.
TEST_F(SelectionExplanationTest, RequestWithoutAFreeSlotIsHeldAndThenRefused) {
  add("busy", 6);
  const SelectionExplanation Result = explain();
  EXPECT_EQ(Result.Result, ExplainedResult::Hold);
  EXPECT_EQ(Result.Reason, "no_free_slot");
  EXPECT_EQ(Result.HeldFor, 140ms);
  ASSERT_TRUE(Result.Refusal);
  EXPECT_EQ(Result.Refusal->Cause, RefusalCause::Overloaded);
}

// Guards against the report of a refusal where the request takes a slow slot
// once its search is over.
TEST_F(SelectionExplanationTest, SlowSlotIsTakenAfterTheSearch) {
  add("slow", 0, 100ms, 6);
  const SelectionExplanation Result = explain();
  EXPECT_EQ(Result.Result, ExplainedResult::Hold);
  EXPECT_FALSE(Result.Refusal);
}

// Guards against the wrong cause of a refusal: no target, no target with room
// for cold ones, or no time to search for a slot.
TEST_F(SelectionExplanationTest, RefusalsHaveTheirCauses) {
  EXPECT_EQ(refusedFor(), "no_target");
  Input.UntilColdRoom = 1s;
  EXPECT_EQ(refusedFor(), "cold");
  EXPECT_GE(explain().Refusal->RetryAfter, 1s);
  add("busy", 6);
  Input.LatencyObjective = 10ms;
  EXPECT_EQ(refusedFor(), "overloaded");
}

// Guards against a short pause that is reported as a refusal, and a long one
// for which the request would be held.
TEST_F(SelectionExplanationTest, PausedTargets) {
  Input.UntilPauseEnd = 100ms;
  const SelectionExplanation Result = explain();
  EXPECT_EQ(Result.Result, ExplainedResult::Hold);
  EXPECT_EQ(Result.Reason, "paused");
  EXPECT_GE(Result.HeldFor, 100ms);
  Input.UntilPauseEnd = 2s;
  EXPECT_EQ(refusedFor(), "paused");
}

// Guards against a draining host that is reported to take the request.
TEST_F(SelectionExplanationTest, DrainingHostRefusesWhatItCannotFinish) {
  add("free", 0);
  Input.Drain = drainSchedule(Now - 5s, 6s);
  EXPECT_EQ(refusedFor(), "draining");
  Input.Drain = drainSchedule(Now, 60s);
  EXPECT_EQ(explain().Result, ExplainedResult::Send);
}

// Guards against a report that passes over requests that look for a slot first.
TEST_F(SelectionExplanationTest, RequestsOfHigherRankGoFirst) {
  add("free", 0);
  SearchingRequest First = Input.Searching;
  First.Priority = 0;
  const std::uint64_t Id = joinOrder(Input.Waiting, First);
  recordFruitlessRound(Input.Waiting, Id, false, Now);
  const SelectionExplanation Result = explain();
  EXPECT_EQ(Result.Result, ExplainedResult::Hold);
  EXPECT_EQ(Result.Reason, "others_first");
}

} // namespace
} // namespace comfreyrill
