#include "Fixture.h"

namespace comfreyrill {
namespace {

class BudgetTest : public RoutingTest {
protected:
  void SetUp() override { configure(2); }
  void calls(int Count) {
    for (int Call = 0; Call < Count; ++Call)
      recordCall(State, Time.now());
  }
  RetryInput retry(std::uint32_t Attempts = 1) const {
    return {Attempts, 1, true, false, Time.now() + std::chrono::seconds(1)};
  }
  HedgeInput hedge() const {
    return {1, true, Time.now() + std::chrono::seconds(1)};
  }
};

// Guards against retries that multiply the load during an outage.
TEST_F(BudgetTest, RetriesAreARatioOfCalls) {
  EXPECT_FALSE(tryAcquireRetry(State, retry(), Time.now()));
  int Granted = 0;
  for (int Call = 0; Call < 1000; ++Call) {
    calls(1);
    Granted += tryAcquireRetry(State, retry(), Time.now());
  }
  EXPECT_LE(Granted, 100);
  EXPECT_GE(Granted, 99);
}

// Guards against a burst of retries from tokens that accumulated over time.
TEST_F(BudgetTest, TokensAreCapped) {
  calls(100000);
  int Granted = 0;
  while (tryAcquireRetry(State, retry(), Time.now()))
    ++Granted;
  EXPECT_EQ(Granted, 10);
}

// Guards against executing a non-idempotent call twice, against nested calls
// that multiply attempts, and against attempts past the limit or the deadline.
TEST_F(BudgetTest, RetryRules) {
  calls(1000);
  RetryInput Input = retry();
  Input.Idempotent = false;
  EXPECT_FALSE(tryAcquireRetry(State, Input, Time.now()));
  Input.ProvedNotRun = true;
  EXPECT_TRUE(tryAcquireRetry(State, Input, Time.now()));
  Input = retry();
  Input.Depth = 2;
  EXPECT_FALSE(tryAcquireRetry(State, Input, Time.now()));
  Input.ProvedNotRun = true;
  EXPECT_TRUE(tryAcquireRetry(State, Input, Time.now()));
  EXPECT_FALSE(tryAcquireRetry(State, retry(3), Time.now()));
  EXPECT_FALSE(
      tryAcquireRetry(State, retry(), Time.now() + std::chrono::seconds(1)));
}

// Guards against hedges of calls that must not be executed twice, of nested
// calls, and against hedges past the deadline, beyond the budget or when
// hedging is disabled.
TEST_F(BudgetTest, HedgeRules) {
  attempt(0, AttemptEnd::Answered);
  calls(1000);
  HedgeInput Input = hedge();
  Input.Idempotent = false;
  EXPECT_FALSE(tryAcquireHedge(State, Input, Time.now()));
  Input = hedge();
  Input.Depth = 2;
  EXPECT_FALSE(tryAcquireHedge(State, Input, Time.now()));
  EXPECT_FALSE(
      tryAcquireHedge(State, hedge(), Time.now() + std::chrono::seconds(2)));
  int Granted = 0;
  while (tryAcquireHedge(State, hedge(), Time.now()))
    ++Granted;
  EXPECT_EQ(Granted, 10);
  calls(1000);
  State.Config.Hedge.Enabled = false;
  EXPECT_FALSE(tryAcquireHedge(State, hedge(), Time.now()));
}

// Guards against a hedge delay that does not track the quantile of the answer
// times.
TEST_F(BudgetTest, HedgeDelayFollowsTheQuantile) {
  EXPECT_EQ(hedgeDelay(State), Config.Hedge.MinimumDelay);
  std::exponential_distribution<double> Times(1 / 20e6);
  for (int Answer = 0; Answer < 20000; ++Answer)
    attempt(0, AttemptEnd::Answered,
            Duration(static_cast<std::int64_t>(Times(Generator))));
  // The 0.95 quantile of an exponential distribution with a mean of 20 ms is
  // 60 ms.
  EXPECT_GT(hedgeDelay(State), std::chrono::milliseconds(45));
  EXPECT_LT(hedgeDelay(State), std::chrono::milliseconds(80));
}

} // namespace
} // namespace comfreyrill
