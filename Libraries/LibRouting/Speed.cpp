#include <LibRouting/Speed.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// About 16 answers: a few hundred milliseconds of traffic, and a standard
// deviation of a fifth when answer times are exponential.
constexpr double TargetWeight = 1.0 / 16;
constexpr double ServiceWeight = 1.0 / 256;
// Each sample moves the quantile by at most this part of itself.
constexpr double QuantileStep = 0.05;
constexpr double StartQuantileFactor = 3;
// A target is called slow only when its mean is this much above the service's,
// which chance rarely reaches with the weight above.
constexpr double SlowFactor = 1.6;
constexpr double SlownessMaximum = 20;
constexpr std::uint32_t SamplesMinimum = 8;

void moveQuantile(AnswerTimes &Service, double Seconds, double Quantile) {
  double &Estimate = Service.HedgeQuantileSeconds;
  if (Seconds > Estimate)
    Estimate *= 1 + QuantileStep * Quantile;
  else
    Estimate *= 1 - QuantileStep * (1 - Quantile);
}

// The weight of the first samples is that of a plain mean, so that the first
// one does not dominate.
double weightOf(std::uint32_t Samples, double Weight) {
  return std::max(Weight, 1.0 / (Samples + 1.0));
}

} // namespace

void recordAnswerTime(SpeedState &Target, AnswerTimes &Service,
                      Duration Elapsed, double Quantile) {
  const double Seconds = std::chrono::duration<double>(Elapsed).count();
  Target.MeanSeconds +=
      weightOf(Target.Samples, TargetWeight) * (Seconds - Target.MeanSeconds);
  Service.MeanSeconds += weightOf(Service.Samples, ServiceWeight) *
                         (Seconds - Service.MeanSeconds);
  ++Target.Samples;
  ++Service.Samples;
  if (Service.Samples <= SamplesMinimum)
    Service.HedgeQuantileSeconds = StartQuantileFactor * Service.MeanSeconds;
  else
    moveQuantile(Service, Seconds, Quantile);
}

void recordCancelledTime(AnswerTimes &Service, Duration Elapsed,
                         double Quantile) {
  const double Seconds = std::chrono::duration<double>(Elapsed).count();
  if (Service.Samples > SamplesMinimum &&
      Seconds > Service.HedgeQuantileSeconds)
    moveQuantile(Service, Seconds, Quantile);
}

double relativeSlowness(const SpeedState &Target, const AnswerTimes &Service) {
  if (Target.Samples < SamplesMinimum || Service.MeanSeconds <= 0 ||
      Target.MeanSeconds <= SlowFactor * Service.MeanSeconds)
    return 1;
  return std::min(Target.MeanSeconds / Service.MeanSeconds, SlownessMaximum);
}

} // namespace comfreyrill
