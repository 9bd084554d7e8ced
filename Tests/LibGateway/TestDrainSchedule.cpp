#include <LibGateway/DrainSchedule.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

const TimePoint Begin = TimePoint() + 100s;
const DrainSchedule Schedule = drainSchedule(Begin, 6s);

bool mayBegin(Duration At, Duration TimeLeft, Duration Expected) {
  return endsWithinDrain(Schedule, {Begin + At + TimeLeft, Expected},
                         Begin + At);
}

TEST(DrainSchedule, PhasesLieWithinTheStopTime) {
  EXPECT_EQ(Schedule.AcceptUntil, Begin + 3s);
  EXPECT_GT(Schedule.ReadUntil, Schedule.AcceptUntil);
  EXPECT_GT(Schedule.End, Schedule.ReadUntil);
  EXPECT_LT(Schedule.End, Begin + 6s);
}

// Guards against requests that are passed on late in a drain and cut off.
TEST(DrainSchedule, LateRequestIsNotSentUnlessItsDeadlineIsNear) {
  EXPECT_FALSE(mayBegin(3800ms, 5s, 1600ms));
  EXPECT_FALSE(mayBegin(3s, 5s, 10ms));
  EXPECT_TRUE(mayBegin(3800ms, 1s, 1600ms));
  EXPECT_TRUE(mayBegin(4500ms, 1s, 200ms));
  EXPECT_FALSE(mayBegin(5s, 1s, 200ms));
}

// Guards against a request that is passed on early in a drain although it takes
// longer than the drain, and against refusing those that do not.
TEST(DrainSchedule, EarlyRequestIsSentIfItsWorkFits) {
  EXPECT_TRUE(mayBegin(0s, 30s, 1600ms));
  EXPECT_TRUE(mayBegin(2900ms, 30s, 1s));
  EXPECT_FALSE(mayBegin(2900ms, 30s, 1600ms));
  EXPECT_FALSE(mayBegin(0s, 30s, 4s));
}

} // namespace
} // namespace comfreyrill
