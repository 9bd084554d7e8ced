#include <LibGateway/Admission.h>
#include <LibGateway/ReturnSchedule.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <vector>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Duration WorkTime = 100ms;

/// Callers of one service at one host: a steady load for two thirds of the
/// slots and a crowd at one moment, which needs more slots than there are.
struct Crowd {
  static constexpr std::size_t Slots = 12;
  static constexpr double SteadyPerSecond = 80;
  static constexpr std::size_t Callers = 120;
  static constexpr Duration TimeLimit = 3s;
};

struct CrowdResult {
  /// Refusals of the callers of the crowd.
  std::size_t CrowdRefusals = 0;
  std::size_t Refusals = 0;
  std::size_t CrowdServed = 0;
  /// Pairs of neighbours in the crowd's order of arrival that were served in
  /// the reverse order, as a share of those that were both served.
  double ReversedShare = 0;
};

enum class RetryRule { ByWorkTime, ByReturnSchedule };

struct CrowdCaller {
  TimePoint FirstSentAt;
  /// Place in the crowd; negative for the steady load.
  int Place = -1;
};

CrowdResult playCrowd(RetryRule Rule, std::uint64_t Seed) {
  Random Generator(Seed);
  std::uniform_real_distribution<double> Unit(0, 1);
  ReturnSchedule Schedule;
  CrowdResult Result;
  std::multimap<TimePoint, CrowdCaller> Arrivals;
  std::multimap<TimePoint, bool> Running;
  std::map<int, TimePoint> ServedAt;
  const auto Seconds = [](double Count) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Count));
  };
  for (double At = 0; At < 12;
       At += -std::log(1 - Unit(Generator)) / Crowd::SteadyPerSecond)
    Arrivals.insert({Start + Seconds(At), {Start + Seconds(At), -1}});
  for (int Place = 0; Place < static_cast<int>(Crowd::Callers); ++Place) {
    const TimePoint At = Start + 4s + Place * 1ms;
    Arrivals.insert({At, {At, Place}});
  }
  while (!Arrivals.empty()) {
    const auto [Now, Caller] = *Arrivals.begin();
    Arrivals.erase(Arrivals.begin());
    while (!Running.empty() && Running.begin()->first <= Now) {
      recordCompletion(Schedule, Running.begin()->first);
      Running.erase(Running.begin());
    }
    if (Running.size() < Crowd::Slots) {
      Running.insert({Now + Seconds(0.07 + 0.06 * Unit(Generator)), true});
      if (Caller.Place >= 0)
        ServedAt[Caller.Place] = Now;
      continue;
    }
    const Duration Left = Caller.FirstSentAt + Crowd::TimeLimit - Now;
    ++Result.Refusals;
    Result.CrowdRefusals += Caller.Place >= 0 ? 1 : 0;
    const Duration Wait =
        Rule == RetryRule::ByWorkTime
            ? retryAfter(RefusalCause::Overloaded, WorkTime, Generator)
            : scheduleReturn(Schedule, {WorkTime, Left}, Now, Generator);
    if (Wait <= Left / 3)
      Arrivals.insert({Now + Wait, Caller});
  }
  Result.CrowdServed = ServedAt.size();
  std::size_t Pairs = 0;
  std::size_t Reversed = 0;
  for (const auto &[Place, At] : ServedAt)
    for (const auto &[OtherPlace, OtherAt] : ServedAt)
      if (Place < OtherPlace) {
        ++Pairs;
        Reversed += At > OtherAt ? 1 : 0;
      }
  Result.ReversedShare =
      static_cast<double>(Reversed) / static_cast<double>(Pairs);
  return Result;
}

// Guards against refused callers that return as a crowd, find no room and are
// refused again and again, and against those refused first being served last.
TEST(ReturnSchedule, RefusedCrowdFindsRoomWhenItReturns) {
  for (const std::uint64_t Seed : {1U, 2U, 3U, 4U, 5U}) {
    SCOPED_TRACE(Seed);
    const CrowdResult Before = playCrowd(RetryRule::ByWorkTime, Seed);
    const CrowdResult After = playCrowd(RetryRule::ByReturnSchedule, Seed);
    EXPECT_GE(After.CrowdServed, Before.CrowdServed);
    EXPECT_LT(After.Refusals * 2, Before.Refusals);
    EXPECT_LT(After.CrowdRefusals * 2, Before.CrowdRefusals);
    EXPECT_LT(After.ReversedShare, Before.ReversedShare);
  }
}

// Guards against delaying callers at light load, where there is room after one
// processing time.
TEST(ReturnSchedule, SingleRefusalIsRetriedAfterOneProcessingTime) {
  Random Generator(20261206);
  ReturnSchedule Schedule;
  TimePoint Now = Start;
  Duration Shortest = 1h;
  Duration Longest{0};
  for (int Round = 0; Round < 2000; ++Round) {
    Now += 100ms;
    recordCompletion(Schedule, Now);
    if (Round % 20 != 0)
      continue;
    const Duration Wait =
        scheduleReturn(Schedule, {WorkTime, 3s}, Now, Generator);
    Shortest = std::min(Shortest, Wait);
    Longest = std::max(Longest, Wait);
  }
  EXPECT_GE(Shortest, WorkTime);
  EXPECT_LE(Longest, WorkTime * 3 / 2);
  EXPECT_GT(Longest - Shortest, 30ms);
}

// Guards against a service without completed requests, for which no rate is
// known, sending all callers away for as long as they bear.
TEST(ReturnSchedule, WithoutCompletedRequestsCallersReturnOnePerWorkTime) {
  Random Generator(20261206);
  ReturnSchedule Schedule;
  for (int Place = 0; Place < 5; ++Place) {
    const Duration Wait =
        scheduleReturn(Schedule, {WorkTime, 10s}, Start, Generator);
    EXPECT_GE(Wait, WorkTime * (Place + 1));
    EXPECT_LE(Wait, WorkTime * (Place + 2));
  }
}

// Guards against a crowd that keeps later callers away after it has returned.
TEST(ReturnSchedule, ScheduleEndsWithTheLongestHonouredTime) {
  Random Generator(20261206);
  ReturnSchedule Schedule;
  for (int Place = 0; Place < 1000; ++Place)
    scheduleReturn(Schedule, {WorkTime, 3s}, Start, Generator);
  EXPECT_LE(scheduleReturn(Schedule, {WorkTime, 3s}, Start + 1200ms, Generator),
            WorkTime * 3 / 2);
}

// Guards against a Retry-After that callers do not honour, or after which not
// even one request can have ended.
RC_GTEST_PROP(ReturnSchedule, RetryAfterStaysWithinItsLimits, ()) {
  Random Generator(*rc::gen::arbitrary<std::uint64_t>());
  ReturnSchedule Schedule;
  TimePoint Now = Start;
  const int Steps = *rc::gen::inRange(1, 100);
  for (int Step = 0; Step < Steps; ++Step) {
    Now += std::chrono::milliseconds(*rc::gen::inRange(-5, 3000));
    if (*rc::gen::arbitrary<bool>()) {
      recordCompletion(Schedule, Now);
      continue;
    }
    const ReturnLimits Limits{
        std::chrono::milliseconds(*rc::gen::inRange(0, 1000)),
        std::chrono::milliseconds(*rc::gen::inRange(-100, 6000))};
    const Duration Longest = honouredRetryAfter(Limits.TimeLeft);
    const Duration Wait = scheduleReturn(Schedule, Limits, Now, Generator);
    RC_ASSERT(Wait <= Longest);
    RC_ASSERT(Wait >= std::min(Limits.ExpectedTime, Longest));
  }
}

} // namespace
} // namespace comfreyrill
