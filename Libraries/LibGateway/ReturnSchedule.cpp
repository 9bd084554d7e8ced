#include <LibGateway/ReturnSchedule.h>

#include <algorithm>
#include <cmath>

namespace comfreyrill {

namespace {

// Time constant of the counts. One host completes only a few requests of a
// service per second in large deployments, so that a shorter time gives no
// rate.
constexpr double CountDecaySeconds = 2;
// Callers honour a Retry-After of up to this share of the time that they have
// left.
constexpr double HonouredShare = 1.0 / 3;
// Callers that find no room within the honoured time are spread over the part
// of it from this share on.
constexpr double CrowdedShare = 0.5;

void decayCounts(ReturnSchedule &Schedule, TimePoint Now) {
  // The first count begins the time.
  if (Schedule.CountedAt == TimePoint{})
    Schedule.CountedAt = Now;
  const double Seconds =
      std::chrono::duration<double>(Now - Schedule.CountedAt).count();
  if (Seconds <= 0)
    return;
  const double Factor = std::exp(-Seconds / CountDecaySeconds);
  Schedule.Completed *= Factor;
  Schedule.Refused *= Factor;
  Schedule.CountedSeconds =
      Schedule.CountedSeconds * Factor + CountDecaySeconds * (1 - Factor);
  Schedule.CountedAt = Now;
}

// Time in which there is room for one more of the refused requests. When most
// requests are refused, it is the time in which one is completed. When few are,
// the targets have more room than the completed requests show, and the time is
// shorter in proportion.
Duration timePerReturn(const ReturnSchedule &Schedule,
                       const ReturnLimits &Limits) {
  if (Schedule.Completed < 1)
    return Limits.ExpectedTime;
  const double RefusedShare =
      Schedule.Refused / (Schedule.Refused + Schedule.Completed);
  const double Seconds = Schedule.CountedSeconds / Schedule.Completed *
                         std::min(1.0, 2 * RefusedShare);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

Duration randomBetween(Duration From, Duration To, Random &Generator) {
  std::uniform_real_distribution<double> Fraction(0, 1);
  return From +
         std::chrono::duration_cast<Duration>(
             std::max(To - From, Duration::zero()) * Fraction(Generator));
}

} // namespace

Duration honouredRetryAfter(Duration TimeLeft) {
  return std::chrono::duration_cast<Duration>(
      std::max(TimeLeft, Duration::zero()) * HonouredShare);
}

void recordCompletion(ReturnSchedule &Schedule, TimePoint Now) {
  decayCounts(Schedule, Now);
  ++Schedule.Completed;
}

// The schedule is not extended beyond what callers honour, so that the excess
// of a crowd does not keep later callers away.
Duration scheduleReturn(ReturnSchedule &Schedule, const ReturnLimits &Limits,
                        TimePoint Now, Random &Generator) {
  decayCounts(Schedule, Now);
  ++Schedule.Refused;
  const Duration Longest = honouredRetryAfter(Limits.TimeLeft);
  const Duration Shortest = std::min(Limits.ExpectedTime, Longest);
  const Duration Delay = std::max(Shortest, Schedule.NextReturnAt - Now);
  if (Delay >= Longest)
    return randomBetween(
        std::max(Shortest,
                 std::chrono::duration_cast<Duration>(Longest * CrowdedShare)),
        Longest, Generator);
  const Duration Step = timePerReturn(Schedule, Limits);
  Schedule.NextReturnAt = Now + Delay + Step;
  // Other hosts refuse callers at the same time, so that a random part is
  // needed also when this host refuses a single one.
  return randomBetween(
      Delay, std::min(Longest, Delay + std::max(Step, Limits.ExpectedTime / 2)),
      Generator);
}

} // namespace comfreyrill
