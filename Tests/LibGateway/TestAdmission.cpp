#include <LibGateway/Admission.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

AdmissionInput input() {
  AdmissionInput Made;
  Made.ExpectedTime = 100ms;
  Made.HasFreeSlot = true;
  Made.LatencyObjective = 250ms;
  Made.TimeLeft = 1s;
  Made.Priority = 2;
  return Made;
}

TEST(Admission, FreeSlotWithinTheObjectiveIsUsed) {
  EXPECT_EQ(decideAdmission(input()), AdmissionDecision::Dispatch);
}

// Guards against queueing at targets: a queue is served at the reduced speed of
// a congested target.
TEST(Admission, RequestsAreNeverQueuedAtFullTargets) {
  AdmissionInput Full = input();
  Full.HasFreeSlot = false;
  EXPECT_EQ(decideAdmission(Full), AdmissionDecision::RetrySelection);
  Full.Waited = 200ms;
  EXPECT_EQ(decideAdmission(Full), AdmissionDecision::Refuse);
}

// Guards against rejecting requests of high priority before those of lower
// priority.
TEST(Admission, RequestsOfHigherPrioritySearchLonger) {
  AdmissionInput Full = input();
  Full.HasFreeSlot = false;
  Full.Waited = 60ms;
  Full.Priority = 2;
  EXPECT_EQ(decideAdmission(Full), AdmissionDecision::Refuse);
  Full.Priority = 1;
  EXPECT_EQ(decideAdmission(Full), AdmissionDecision::RetrySelection);
  Full.Waited = 100ms;
  EXPECT_EQ(decideAdmission(Full), AdmissionDecision::Refuse);
  Full.Priority = 0;
  EXPECT_EQ(decideAdmission(Full), AdmissionDecision::RetrySelection);
}

// Guards against delaying the rejection of requests that cannot finish before
// their deadline.
TEST(Admission, RequestThatCannotFinishInTimeIsRejected) {
  AdmissionInput Late = input();
  Late.TimeLeft = 50ms;
  Late.Waited = 400ms;
  EXPECT_EQ(decideAdmission(Late), AdmissionDecision::Refuse);
  Late.TimeLeft = 5ms;
  Late.Waited = 0ms;
  EXPECT_EQ(decideAdmission(Late), AdmissionDecision::Refuse);
}

// An answer after the latency objective is worth more than none, and the slot
// would otherwise stay free.
TEST(Admission, SlowTargetIsUsedWhenNoFasterOneIsFound) {
  AdmissionInput Slow = input();
  Slow.ExpectedTime = 400ms;
  EXPECT_EQ(decideAdmission(Slow), AdmissionDecision::RetrySelection);
  Slow.Waited = 40ms;
  EXPECT_EQ(decideAdmission(Slow), AdmissionDecision::Dispatch);
}

// Guards against rejected callers that all retry at the same time.
TEST(Admission, RetryAfterIsSpreadAroundTheProcessingTime) {
  Random Generator(20261204);
  Duration Shortest = 1h;
  Duration Longest{0};
  for (int Round = 0; Round < 200; ++Round) {
    const Duration Time =
        retryAfter(RefusalCause::Overloaded, 100ms, Generator);
    Shortest = std::min(Shortest, Time);
    Longest = std::max(Longest, Time);
  }
  EXPECT_GE(Shortest, 50ms);
  EXPECT_LE(Longest, 150ms);
  EXPECT_GT(Longest - Shortest, 80ms);
}

// Guards against making callers wait for a free slot although only the retry
// budget is exhausted and other targets have free slots.
TEST(Admission, RetryAfterIsShortWhenOnlyTheRetryBudgetIsExhausted) {
  Random Generator(20261204);
  for (int Round = 0; Round < 100; ++Round)
    EXPECT_LT(retryAfter(RefusalCause::RetryBudget, 100ms, Generator), 50ms);
}

} // namespace
} // namespace comfreyrill
