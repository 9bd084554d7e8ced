#include <LibPlaces/RateLimitShare.h>

#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

const TargetId Target("i-7");

DomainHosts viewOf(std::size_t Self, std::size_t Count) {
  DomainHosts Made;
  Made.Self = HostId("edge-" + std::to_string(Self));
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Index != Self)
      Made.Others.push_back({HostId("edge-" + std::to_string(Index)), true});
  return Made;
}

/// Most requests that a share admits in four seconds.
double requestsIn4s(const HostShare &Share) {
  const double Window = std::chrono::duration<double>(Share.Window).count();
  return Share.Requests * std::ceil(4 / Window + 1e-9);
}

// Guards against shares that leave the limit unused while the hosts agree.
TEST(RateLimitShare, SharesAddUpToTheLimit) {
  for (const double Limit : {0.2, 1.0, 1.5, 3.0, 12.0, 200.0})
    for (const std::size_t Count : {1U, 3U, 40U}) {
      double Sum = 0;
      for (std::size_t Self = 0; Self < Count; ++Self) {
        const HostShare Share =
            rateLimitShare(viewOf(Self, Count), Target, Limit);
        Sum += Share.Requests /
               std::chrono::duration<double>(Share.Window).count();
      }
      EXPECT_NEAR(Sum, Limit, 0.01 * Limit);
    }
}

// Guards against hosts with different views that together exceed the limit.
RC_GTEST_PROP(RateLimitShare, SharesKeepToTheLimitInAnyViews, ()) {
  const auto Count = *rc::gen::inRange<std::size_t>(1, 30);
  const double Limit = *rc::gen::inRange(1, 200) / 10.0;
  double Sum = 0;
  for (std::size_t Self = 0; Self < Count; ++Self) {
    DomainHosts View = viewOf(Self, Count);
    for (DomainHost &Other : View.Others)
      Other.IsLive = *rc::gen::inRange(0, 4) == 0;
    Sum += requestsIn4s(rateLimitShare(View, Target, Limit));
  }
  RC_ASSERT(Sum <= 1.5 * 4 * Limit + 5);
}

// Guards against hosts that each believe to be alone and exceed a limit below
// one request per second, whose windows are long.
TEST(RateLimitShare, LowLimitsHoldWhenEachHostBelievesToBeAlone) {
  for (const double Limit : {0.01, 0.1, 0.3, 0.5, 0.9, 1.0, 1.9, 3.0, 12.0}) {
    double Sum = 0;
    for (std::size_t Self = 0; Self < 14; ++Self) {
      DomainHosts View = viewOf(Self, 14);
      for (DomainHost &Other : View.Others)
        Other.IsLive = false;
      Sum += requestsIn4s(rateLimitShare(View, Target, Limit));
    }
    EXPECT_LE(Sum, 1.5 * 4 * Limit + 5) << Limit;
  }
}

// Guards against use of a target by a host that is cut off or by anyone when
// the target takes nothing.
TEST(RateLimitShare, NothingIsSharedWithoutOthersOrLimit) {
  DomainHosts Isolated = viewOf(0, 2);
  Isolated.IsIsolated = true;
  EXPECT_EQ(rateLimitShare(Isolated, Target, 10).Requests, 0U);
  EXPECT_EQ(rateLimitShare(viewOf(0, 1), Target, 0).Requests, 0U);
}

} // namespace
} // namespace comfreyrill
