#pragma once

#include <LibCore/Clock.h>

#include <array>
#include <cstdint>

namespace comfreyrill {

/// What all hosts together may send beyond the first attempt of each request,
/// in any span of Window.
struct RetryBudgetPolicy {
  /// Extra attempts for each request.
  double Ratio = 0;
  /// Extra attempts of the whole fleet besides.
  double Slack = 0;
  Duration Window = std::chrono::seconds(10);
};

/// Requests and extra attempts of one service on this host, by time.
struct RetryBudget {
  static constexpr std::size_t BucketCount = 20;

  struct Bucket {
    std::int64_t Number = -1;
    std::uint32_t Requests = 0;
    std::uint32_t Extra = 0;
  };
  /// One more than the window has, because the oldest is only partly in it.
  std::array<Bucket, BucketCount + 1> Buckets;
};

/// Counts a request of a caller, once.
void recordRequest(RetryBudget &Budget, const RetryBudgetPolicy &Policy,
                   TimePoint Now);

/// Takes one extra attempt; false when the share of this host is used up. The
/// ratio counts this host's own requests and the slack is divided by the number
/// of hosts, so that the sum over all hosts keeps to the bound without any
/// message.
bool spendExtraAttempt(RetryBudget &Budget, const RetryBudgetPolicy &Policy,
                       std::size_t Hosts, TimePoint Now);

} // namespace comfreyrill
