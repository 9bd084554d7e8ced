#include <LibRouting/AnswerTime.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// The mean covers about 16 answers, which arrive within a few hundred
// milliseconds. Its relative standard deviation is one fifth when answer times
// are exponentially distributed.
constexpr double TargetWeight = 1.0 / 16;
constexpr double ServiceWeight = 1.0 / 256;
// Each sample changes the quantile estimate by at most this fraction.
constexpr double QuantileStep = 0.05;
constexpr double StartQuantileFactor = 3;
// A target counts as slow only when its mean exceeds the service's mean by this
// factor, which random variation rarely reaches with TargetWeight.
constexpr double SlowTargetFactor = 1.6;
constexpr double RelativeAnswerTimeMaximum = 20;
constexpr std::uint32_t SamplesMinimum = 8;

void updateQuantile(ServiceAnswerTimes &Service, double Seconds,
                    double Quantile) {
  double &Estimate = Service.HedgeQuantileSeconds;
  if (Seconds > Estimate)
    Estimate *= 1 + QuantileStep * Quantile;
  else
    Estimate *= 1 - QuantileStep * (1 - Quantile);
}

// The first samples are weighted as in an arithmetic mean, so that the first
// one does not dominate.
double weightOf(std::uint32_t Samples, double Weight) {
  return std::max(Weight, 1.0 / (Samples + 1.0));
}

} // namespace

void recordAnswerTime(TargetAnswerTime &Target, ServiceAnswerTimes &Service,
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
    updateQuantile(Service, Seconds, Quantile);
}

void recordCancelledTime(ServiceAnswerTimes &Service, Duration Elapsed,
                         double Quantile) {
  const double Seconds = std::chrono::duration<double>(Elapsed).count();
  if (Service.Samples > SamplesMinimum &&
      Seconds > Service.HedgeQuantileSeconds)
    updateQuantile(Service, Seconds, Quantile);
}

double relativeAnswerTime(const TargetAnswerTime &Target,
                          const ServiceAnswerTimes &Service) {
  if (Target.Samples < SamplesMinimum || Service.MeanSeconds <= 0 ||
      Target.MeanSeconds <= SlowTargetFactor * Service.MeanSeconds)
    return 1;
  return std::min(Target.MeanSeconds / Service.MeanSeconds,
                  RelativeAnswerTimeMaximum);
}

} // namespace comfreyrill
