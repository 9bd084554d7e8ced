#pragma once

#include <LibCore/Clock.h>

#include <cstdint>

namespace comfreyrill {

/// Failure statistics and ejection state of one target.
struct OutlierState {
  std::uint32_t ConsecutiveFailures = 0;
  /// Moving average of the share of attempts that failed.
  double FailureRatio = 0;
  /// Ejections since the last full recovery.
  std::uint32_t Ejections = 0;
  bool Ejected = false;
  TimePoint EjectedUntil;
  /// Answers since the last failure or ejection.
  std::uint32_t Successes = 0;
};

/// Trust in the load that a target reports. A target whose reports contradict
/// this host's own in-flight requests is distrusted for a while.
struct ReportTrust {
  std::uint32_t Contradictions = 0;
  std::uint32_t DistrustPeriods = 0;
  bool Distrusted = false;
  TimePoint DistrustedUntil;
};

/// Counts a failed attempt. Returns true if the target should be ejected; the
/// caller then calls eject() unless too many targets are ejected already.
bool countFailure(OutlierState &State, bool ConnectionFailed);

/// Counts an answer, which resets the count of consecutive failures.
void countSuccess(OutlierState &State);

/// Ejects the target. The ejection time doubles with each consecutive ejection,
/// up to a limit.
void eject(OutlierState &State, TimePoint Now);

/// Ends an ejection that has expired. Returns true if this call ended it.
bool endEjection(OutlierState &State, TimePoint Now);

/// Updates the trust in a target with a new load report and returns whether the
/// report may be used. Contradicted means that the reported load is below the
/// settled attempts that this host has in flight at the target; Informative
/// means that there are such attempts.
bool acceptReport(ReportTrust &State, bool Contradicted, bool Informative,
                  TimePoint Now);

} // namespace comfreyrill
