#pragma once

#include <LibCore/Clock.h>

#include <cstdint>

namespace comfreyrill {

/// Failures of one target and whether it is ejected.
struct OutlierState {
  std::uint32_t ConsecutiveFailures = 0;
  /// Share of recent attempts that failed.
  double FailureRatio = 0;
  /// Ejections without a full recovery between them.
  std::uint32_t Ejections = 0;
  bool Ejected = false;
  TimePoint EjectedUntil;
  /// Answers since the last ejection ended.
  std::uint32_t Successes = 0;
};

/// Whether the load that a target reports is believed.
struct TrustState {
  std::uint32_t Contradictions = 0;
  std::uint32_t Distrusts = 0;
  bool Distrusted = false;
  TimePoint DistrustedUntil;
};

/// Counts a failed attempt. True when the target deserves ejection, which the
/// caller carries out with eject() unless too many targets are ejected.
bool countFailure(OutlierState &State, bool ConnectionFailed);

/// Counts an answer, which ends a sequence of failures.
void countSuccess(OutlierState &State);

/// Ejects the target for a time that doubles with each ejection.
void eject(OutlierState &State, TimePoint Now);

/// Ends an ejection whose time is over. True when it ended by this call.
bool endEjection(OutlierState &State, TimePoint Now);

/// Takes a report that is below (Contradicted) or not below what this host has
/// had in flight there for a while. False when the report is to be ignored.
bool judgeReport(TrustState &State, bool Contradicted, bool Informative,
                 TimePoint Now);

} // namespace comfreyrill
