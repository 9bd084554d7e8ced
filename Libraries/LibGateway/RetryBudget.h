#pragma once

#include <LibCore/Clock.h>

#include <array>
#include <cstdint>

namespace comfreyrill {

/// Limit on the attempts of the whole fleet beyond the first one of each
/// request, within any sliding window.
struct RetryBudgetPolicy {
  /// Extra attempts for each request.
  double Ratio = 0;
  /// Extra attempts of the whole fleet that do not depend on the number of
  /// requests.
  double Slack = 0;
  Duration Window = std::chrono::seconds(10);
};

/// Sliding window counters for requests and extra attempts of one service on
/// this host.
struct RetryBudget {
  static constexpr std::size_t BucketCount = 20;

  struct Bucket {
    std::int64_t Number = -1;
    std::uint32_t Requests = 0;
    std::uint32_t ExtraAttempts = 0;
  };
  /// One bucket more than the window holds, because the oldest one is only
  /// partly in the window.
  std::array<Bucket, BucketCount + 1> Buckets;
};

/// Counts a caller's request. Call this once for each request, not for each
/// attempt.
void recordRequest(RetryBudget &Budget, const RetryBudgetPolicy &Policy,
                   TimePoint Now);

/// Takes back a request, counted at CountedAt, that another host counts.
void withdrawRequest(RetryBudget &Budget, const RetryBudgetPolicy &Policy,
                     TimePoint CountedAt);

/// Spends one extra attempt; returns false when this host's share of the budget
/// is exhausted. The ratio applies to this host's own requests and the slack is
/// divided by the number of hosts, so that the sum over all hosts stays within
/// the limit without coordination between them.
bool spendExtraAttempt(RetryBudget &Budget, const RetryBudgetPolicy &Policy,
                       std::size_t Hosts, TimePoint Now);

} // namespace comfreyrill
