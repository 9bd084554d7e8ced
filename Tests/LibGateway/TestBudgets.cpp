#include <LibCore/Random.h>
#include <LibGateway/ProbeTokenBucket.h>
#include <LibGateway/RetryBudget.h>

#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{std::chrono::hours(1)};

// Guards against more extra attempts of the whole fleet in some window than the
// limit allows: hosts with random load spend their budgets as far as possible.
RC_GTEST_PROP(RetryBudget, FleetStaysWithinTheLimitInEachWindow, ()) {
  Random Choice(*rc::gen::arbitrary<std::uint64_t>());
  const RetryBudgetPolicy Policy{0.2, 58, 10s};
  constexpr std::size_t Hosts = 14;
  std::vector<RetryBudget> Budgets(Hosts);
  std::deque<TimePoint> Requests;
  std::deque<TimePoint> Extra;
  TimePoint Now = Start;
  for (int Step = 0; Step < 3000; ++Step) {
    Now += std::chrono::milliseconds(randomIndex(Choice, 20));
    const std::size_t Host = randomIndex(Choice, Hosts);
    if (randomIndex(Choice, 3) > 0) {
      recordRequest(Budgets[Host], Policy, Now);
      Requests.push_back(Now);
    }
    while (spendExtraAttempt(Budgets[Host], Policy, Hosts, Now))
      Extra.push_back(Now);
    while (!Requests.empty() && Now - Requests.front() > 10s)
      Requests.pop_front();
    while (!Extra.empty() && Now - Extra.front() > 10s)
      Extra.pop_front();
    RC_ASSERT(static_cast<double>(Extra.size()) <=
              0.2 * static_cast<double>(Requests.size()) + 58);
  }
}

// Guards against a relayed request that adds to the budgets of two hosts.
TEST(RetryBudget, WithdrawnRequestsAddNothing) {
  const RetryBudgetPolicy Policy{1, 0, 10s};
  const TimePoint Now{1h};
  RetryBudget Budget;
  recordRequest(Budget, Policy, Now);
  recordRequest(Budget, Policy, Now);
  withdrawRequest(Budget, Policy, Now);
  EXPECT_TRUE(spendExtraAttempt(Budget, Policy, 1, Now));
  EXPECT_FALSE(spendExtraAttempt(Budget, Policy, 1, Now));
  withdrawRequest(Budget, Policy, Now - 5s);
}

TEST(RetryBudget, SpentAttemptsAreAvailableAgainAfterTheWindow) {
  const RetryBudgetPolicy Policy{0, 2, 10s};
  RetryBudget Budget;
  EXPECT_TRUE(spendExtraAttempt(Budget, Policy, 1, Start));
  EXPECT_TRUE(spendExtraAttempt(Budget, Policy, 1, Start));
  EXPECT_FALSE(spendExtraAttempt(Budget, Policy, 1, Start + 9s));
  EXPECT_TRUE(spendExtraAttempt(Budget, Policy, 1, Start + 11s));
}

// Guards against exceeding the fleet's probe rate limit. The minimum is 0 here,
// because the one probe that checks a connection is granted also above the
// limit.
TEST(ProbeTokenBucket, RateStaysWithinTheLimit) {
  ProbeTokenBucket Bucket;
  const ProbeRatePolicy Policy{60, 20, 10};
  std::size_t Taken = 0;
  TimePoint Now = Start;
  for (int Step = 0; Step < 10'000; ++Step, Now += 1ms)
    Taken += acquireProbeTokens(Bucket, Policy, {0, 3, 9}, Now);
  // 60 probes per target and second, 20 targets, 10 hosts that share the limit,
  // 10 seconds.
  EXPECT_LE(Taken, 1200U);
  EXPECT_GE(Taken, 900U);
}

// Guards against a burst of probes after a restart of the whole fleet.
TEST(ProbeTokenBucket, BucketOfANewProcessIsEmpty) {
  ProbeTokenBucket Bucket;
  const ProbeRatePolicy Policy{60, 20, 1};
  EXPECT_EQ(acquireProbeTokens(Bucket, Policy, {0, 5, 5}, Start), 0U);
}

TEST(ProbeTokenBucket, MinimumIsGrantedWithoutTokens) {
  ProbeTokenBucket Bucket;
  Bucket.RefilledAt = Start;
  const ProbeRatePolicy Policy{1, 1, 1000};
  EXPECT_EQ(acquireProbeTokens(Bucket, Policy, {1, 5, 5}, Start), 1U);
  EXPECT_EQ(acquireProbeTokens(Bucket, Policy, {0, 5, 5}, Start), 0U);
}

TEST(ProbeTokenBucket, FullBucketAllowsTheMaximum) {
  ProbeTokenBucket Bucket;
  const ProbeRatePolicy Policy{60, 20, 1};
  EXPECT_EQ(acquireProbeTokens(Bucket, Policy, {1, 2, 9}, Start), 1U);
  EXPECT_EQ(acquireProbeTokens(Bucket, Policy, {1, 2, 9}, Start + 5s), 9U);
}

} // namespace
} // namespace comfreyrill
