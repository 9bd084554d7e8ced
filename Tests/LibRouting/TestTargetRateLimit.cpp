#include <LibRouting/TargetRateLimit.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

class TargetRateLimitTest : public testing::Test {
protected:
  void name(SignalSource Source, TimePoint At, double PerSecond = 2,
            std::size_t Hosts = 10) {
    recordRateLimit(Limit, PerSecond, Source, Hosts, At, Generator);
  }

  const TimePoint Start{std::chrono::hours(1)};
  Random Generator{20261207};
  TargetRateLimit Limit;
};

// Guards against a limit that ends with an answer from before it was named.
TEST_F(TargetRateLimitTest, OnlyAnswersToLaterRequestsEndIt) {
  name(SignalSource::Answer, Start);
  EXPECT_FALSE(endsRateLimit(Limit, SignalSource::Answer, Start - 1ms));
  EXPECT_TRUE(endsRateLimit(Limit, SignalSource::Answer, Start));
  name(SignalSource::Answer, Start + 1s);
  EXPECT_FALSE(endsRateLimit(Limit, SignalSource::Answer, Start));
}

// Guards against a limit that ends with every probe of a target whose health
// path does not name limits.
TEST_F(TargetRateLimitTest, ProbesEndItOnlyWhereTheyNameLimits) {
  name(SignalSource::Answer, Start);
  EXPECT_FALSE(endsRateLimit(Limit, SignalSource::Probe, Start + 1s));
  name(SignalSource::Probe, Start);
  name(SignalSource::Answer, Start);
  EXPECT_TRUE(endsRateLimit(Limit, SignalSource::Probe, Start + 1s));
}

// Guards against checks by request that together exceed the limit.
TEST_F(TargetRateLimitTest, ChecksByRequestAreAFractionOfTheLimit) {
  for (const double PerSecond : {0.0, 0.1, 1.0, 20.0})
    for (const std::size_t Hosts : {1U, 17U, 313U}) {
      double Checks = 0;
      for (std::size_t Host = 0; Host < Hosts; ++Host) {
        Limit = {};
        name(SignalSource::Answer, Start, PerSecond, Hosts);
        EXPECT_GE(Limit.RecheckAt, Start + 5s);
        Checks +=
            1 / std::chrono::duration<double>(Limit.RecheckAt - Start).count();
      }
      EXPECT_LE(Checks, 0.4 * std::max(PerSecond, 0.5) + 0.2);
    }
}

// Guards against targets that stay out of use long after their limits.
TEST_F(TargetRateLimitTest, ChecksByProbeAreFrequent) {
  name(SignalSource::Probe, Start, 1, 1000);
  EXPECT_LE(Limit.RecheckAt, Start + 5s);
}

} // namespace
} // namespace comfreyrill
