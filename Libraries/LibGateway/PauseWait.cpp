#include <LibGateway/Admission.h>
#include <LibGateway/PauseWait.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Callers honour a Retry-After of up to this share of the time that they have
// left. After a longer one they give up, or come back too early.
constexpr double HonouredShare = 1.0 / 3;
// Retries are spread over this share of the pause beside one processing time,
// because a target takes only a few requests at first.
constexpr double RetrySpread = 0.25;

Duration randomUpTo(Duration Limit, Random &Generator) {
  std::uniform_real_distribution<double> Fraction(0, 1);
  return std::chrono::duration_cast<Duration>(std::max(Limit, Duration(0)) *
                                              Fraction(Generator));
}

} // namespace

// A request that is answered within its latency objective waits. Beyond it, a
// prompt refusal is better for the caller, who can come back as a new request;
// but only if the pause ends before the caller would have to come back. A
// request that was kept for that reason is not refused when the pause is over.
std::optional<Duration> pauseWait(const PauseWaitInput &Input,
                                  Random &Generator) {
  const Duration UntilRoom =
      std::max(Input.UntilPauseEnd, SelectionRetryInterval);
  const Duration Slack = Input.TimeLeft - UntilRoom - Input.ExpectedTime;
  if (Slack <= Duration::zero())
    return std::nullopt;
  const bool IsWithinObjective =
      Input.Waited + UntilRoom + Input.ExpectedTime <= Input.LatencyObjective;
  const bool CanComeBack = UntilRoom <= Input.TimeLeft * HonouredShare;
  if (!IsWithinObjective && CanComeBack && !Input.HasWaitedForPause)
    return std::nullopt;
  return UntilRoom + randomUpTo(std::min(Slack, Input.ExpectedTime), Generator);
}

Duration retryAfterPause(Duration UntilPauseEnd, Duration ProcessingTime,
                         Random &Generator) {
  const Duration UntilRoom = std::max(UntilPauseEnd, SelectionRetryInterval);
  const auto Spread = std::chrono::duration_cast<Duration>(
      ProcessingTime + UntilRoom * RetrySpread);
  return UntilRoom + randomUpTo(Spread, Generator);
}

} // namespace comfreyrill
