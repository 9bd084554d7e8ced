#pragma once

#include <LibCore/Clock.h>
#include <LibManifest/Manifest.h>

#include <cstdint>

namespace comfreyrill {

/// Mean answer time of one target.
struct TargetAnswerTime {
  double MeanSeconds = 0;
  std::uint32_t Samples = 0;
};

/// Answer times of a service over all of its targets.
struct ServiceAnswerTimes {
  double MeanSeconds = 0;
  /// Running estimate of the quantile after which a hedge starts.
  double HedgeQuantileSeconds = 0;
  std::uint32_t Samples = 0;
};

/// Adds the time of one answer to the means of the target and the service and
/// to the quantile estimate of the service.
void recordAnswerTime(TargetAnswerTime &Target, ServiceAnswerTimes &Service,
                      Duration Elapsed, double Quantile);

/// Adjusts the quantile estimate for an attempt that was cancelled after
/// Elapsed, whose answer time is known to be longer than that.
void recordCancelledTime(ServiceAnswerTimes &Service, Duration Elapsed,
                         double Quantile);

/// Mean answer time of a target as a multiple of the service's mean. The result
/// is 1 unless the target is slower by more than random variation explains.
double relativeAnswerTime(const TargetAnswerTime &Target,
                          const ServiceAnswerTimes &Service);

} // namespace comfreyrill
