#include <LibCore/Random.h>
#include <LibGateway/Admission.h>
#include <LibGateway/WorkTimes.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{std::chrono::hours(1)};

Route routeNamed(std::string Name, Duration Objective) {
  Route Made;
  Made.Name = std::move(Name);
  Made.LatencyObjective = Objective;
  Made.Timeout = 2s;
  return Made;
}

/// Admission for a request that finds a free slot at a target of usual speed.
AdmissionInput admissionInput(Duration ExpectedTime, const Route &Matched) {
  AdmissionInput Made;
  Made.ExpectedTime = ExpectedTime;
  Made.HasFreeSlot = true;
  Made.LatencyObjective = Matched.LatencyObjective;
  Made.TimeLeft = Matched.Timeout;
  Made.Priority = 2;
  return Made;
}

// Guards against one mean for requests of different length: with work of 63 ms
// and 190 ms on one service, both would be expected to take about 126 ms, so
// that the long ones are sent to slow targets, where they are late.
TEST(WorkTimes, RoutesOfOneServiceAreExpectedApart) {
  Random Generator(20261206);
  std::uniform_real_distribution<double> Noise(0.7, 1.3);
  const Route Short = routeNamed("short", 250ms);
  const Route Long = routeNamed("long", 600ms);
  WorkTimes Times;
  TimePoint Now = Start;
  for (int Round = 0; Round < 100; ++Round) {
    Now += 20ms;
    recordWorkTime(
        Times, Short,
        std::chrono::duration_cast<Duration>(63ms * Noise(Generator)), Now);
    recordWorkTime(
        Times, Long,
        std::chrono::duration_cast<Duration>(190ms * Noise(Generator)), Now);
  }
  EXPECT_NEAR(expectedWorkTime(Times, Short, Now) / 1ms, 63, 10);
  EXPECT_NEAR(expectedWorkTime(Times, Long, Now) / 1ms, 190, 25);
  // At a target that is twice as slow, the short one meets an objective of
  // 150 ms, which the common mean of 126 ms denies.
  Route Tight = Short;
  Tight.LatencyObjective = 150ms;
  EXPECT_EQ(decideAdmission(
                admissionInput(2 * expectedWorkTime(Times, Short, Now), Tight)),
            AdmissionDecision::Dispatch);
  EXPECT_EQ(decideAdmission(admissionInput(2 * Times.OfService.Mean, Tight)),
            AdmissionDecision::RetrySelection);
}

// Guards against a start value that is far from the service's work time, and
// against a single sample that decides alone.
TEST(WorkTimes, RouteStartsWithTheMeanOfItsService) {
  const Route Known = routeNamed("known", 1s);
  const Route Added = routeNamed("added", 1s);
  WorkTimes Times;
  EXPECT_EQ(expectedWorkTime(Times, Known, Start), 100ms);
  for (int Round = 0; Round < 100; ++Round)
    recordWorkTime(Times, Known, 40ms, Start);
  EXPECT_NEAR(expectedWorkTime(Times, Added, Start) / 1ms, 40, 2);
  recordWorkTime(Times, Added, 200ms, Start);
  EXPECT_LT(expectedWorkTime(Times, Added, Start), 100ms);
  for (int Round = 0; Round < 20; ++Round)
    recordWorkTime(Times, Added, 200ms, Start);
  EXPECT_GT(expectedWorkTime(Times, Added, Start), 170ms);
}

// Guards against refusing short requests of a slow service (KNOWN-RED.txt entry
// 2): with the mean of the service, admission finds that a request misses its
// objective, passes over free slots until its search time is up, and refuses it
// when less than the mean is left.
TEST(WorkTimes, ShortRequestOfASlowServiceUsesAFreeSlot) {
  const Route Slow = routeNamed("slow", 2s);
  Route Added = routeNamed("added", 500ms);
  Added.Timeout = 600ms;
  WorkTimes Times;
  for (int Round = 0; Round < 200; ++Round)
    recordWorkTime(Times, Slow, 700ms, Start);
  const AdmissionInput WithServiceMean =
      admissionInput(Times.OfService.Mean, Added);
  EXPECT_EQ(decideAdmission(WithServiceMean),
            AdmissionDecision::RetrySelection);
  AdmissionInput Searched = WithServiceMean;
  Searched.Waited = 60ms;
  Searched.TimeLeft -= Searched.Waited;
  EXPECT_EQ(decideAdmission(Searched), AdmissionDecision::Refuse);
  // Without any sample of its own.
  EXPECT_EQ(decideAdmission(
                admissionInput(expectedWorkTime(Times, Added, Start), Added)),
            AdmissionDecision::Dispatch);
  for (int Round = 0; Round < 20; ++Round)
    recordWorkTime(Times, Added, 20ms, Start);
  EXPECT_LT(expectedWorkTime(Times, Added, Start), 150ms);
  EXPECT_EQ(decideAdmission(
                admissionInput(expectedWorkTime(Times, Added, Start), Added)),
            AdmissionDecision::Dispatch);
}

// Guards against a route that is refused for good, because a mean above its
// time limit lets no request run that could correct it.
TEST(WorkTimes, MeanAboveTheTimeLimitIsForgotten) {
  const Route Slowed = routeNamed("slowed", 500ms);
  WorkTimes Times;
  for (int Round = 0; Round < 100; ++Round)
    recordWorkTime(Times, Slowed, 3s, Start);
  EXPECT_GT(expectedWorkTime(Times, Slowed, Start + 5s), Slowed.Timeout);
  EXPECT_LE(expectedWorkTime(Times, Slowed, Start + 11s), 250ms);
  recordWorkTime(Times, Slowed, 100ms, Start + 11s);
  EXPECT_LE(expectedWorkTime(Times, Slowed, Start + 11s), 250ms);
}

// Guards against memory that grows with each route that ever existed.
TEST(WorkTimes, RoutesAreBoundedAndForgotten) {
  WorkTimes Times;
  for (int Number = 0; Number < 1000; ++Number)
    recordWorkTime(Times, routeNamed("r" + std::to_string(Number), 1s), 50ms,
                   Start + Number * 1ms);
  EXPECT_LE(Times.ByRoute.size(), 256U);
  EXPECT_TRUE(Times.ByRoute.contains("r999"));
  Configuration Active;
  Active.Routes.push_back(routeNamed("r999", 1s));
  forgetRemovedRoutes(Times, Active);
  EXPECT_EQ(Times.ByRoute.size(), 1U);
}

} // namespace
} // namespace comfreyrill
