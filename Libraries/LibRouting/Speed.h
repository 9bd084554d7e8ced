#pragma once

#include <LibCore/Clock.h>
#include <LibManifest/Manifest.h>

#include <cstdint>

namespace comfreyrill {

/// Mean answer time of one target.
struct SpeedState {
  double MeanSeconds = 0;
  std::uint32_t Samples = 0;
};

/// Answer times of a service over all of its targets.
struct AnswerTimes {
  double MeanSeconds = 0;
  /// Running estimate of the quantile after which a hedge starts.
  double HedgeQuantileSeconds = 0;
  std::uint32_t Samples = 0;
};

/// Takes the time of one answer into the mean of the target and the service.
void recordAnswerTime(SpeedState &Target, AnswerTimes &Service,
                      Duration Elapsed, double Quantile);

/// Takes an attempt that was cancelled after Elapsed: its answer time is
/// longer.
void recordCancelledTime(AnswerTimes &Service, Duration Elapsed,
                         double Quantile);

/// Answer time of a target relative to the service, at least 1. Differences
/// that chance explains count as 1.
double relativeSlowness(const SpeedState &Target, const AnswerTimes &Service);

} // namespace comfreyrill
