#include <LibRouting/TargetRateLimit.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{std::chrono::hours(1)};

// Guards against a limit that ends with an answer from before it was named.
TEST(TargetRateLimit, OnlyAnswersToLaterRequestsEndIt) {
  TargetRateLimit Limit;
  recordRateLimit(Limit, 2, RateLimitSource::Answer, Start);
  EXPECT_FALSE(endsRateLimit(Limit, RateLimitSource::Answer, Start - 1ms));
  EXPECT_TRUE(endsRateLimit(Limit, RateLimitSource::Answer, Start));
  recordRateLimit(Limit, 2, RateLimitSource::Answer, Start + 1s);
  EXPECT_FALSE(endsRateLimit(Limit, RateLimitSource::Answer, Start));
}

// Guards against a limit that ends with every probe of a target whose health
// path does not name limits.
TEST(TargetRateLimit, ProbesEndItOnlyWhereTheyNameLimits) {
  TargetRateLimit Limit;
  recordRateLimit(Limit, 2, RateLimitSource::Answer, Start);
  EXPECT_FALSE(endsRateLimit(Limit, RateLimitSource::Probe, Start + 1s));
  recordRateLimit(Limit, 2, RateLimitSource::Probe, Start);
  recordRateLimit(Limit, 2, RateLimitSource::Answer, Start);
  EXPECT_TRUE(endsRateLimit(Limit, RateLimitSource::Probe, Start + 1s));
}

} // namespace
} // namespace comfreyrill
