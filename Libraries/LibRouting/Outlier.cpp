#include <LibRouting/Outlier.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Envoy's default is five as well; a lower limit would eject a healthy target
// that has occasional errors.
constexpr std::uint32_t ConsecutiveFailureLimit = 5;
// A failed connection ejects at once: it is conclusive, and each further call
// that fails to connect would use up retry budget.
constexpr std::uint32_t ConnectionFailureWeight = ConsecutiveFailureLimit;
// This limit ejects targets whose failures are interleaved with answers.
constexpr double FailureRatioLimit = 0.5;
constexpr double FailureRatioWeight = 1.0 / 16;
// Answers in a row after which earlier ejections no longer count.
constexpr std::uint32_t RecoverySuccesses = 50;

constexpr Duration EjectionBase = std::chrono::seconds(1);
constexpr std::uint32_t EjectionDoublingsMaximum = 6;

// The target may already have finished a call whose answer is still on its way
// when it writes the report, so a single contradiction proves nothing.
constexpr std::uint32_t ContradictionLimit = 3;
constexpr Duration DistrustBase = std::chrono::seconds(10);
constexpr std::uint32_t DistrustDoublingsMaximum = 5;

} // namespace

bool countFailure(OutlierState &State, bool ConnectionFailed) {
  State.ConsecutiveFailures += ConnectionFailed ? ConnectionFailureWeight : 1;
  State.FailureRatio += FailureRatioWeight * (1 - State.FailureRatio);
  // After an ejection, one failure before the first answer ejects the target
  // again.
  const bool OnProbation = State.Ejections > 0 && State.Successes == 0;
  State.Successes = 0;
  return OnProbation || State.ConsecutiveFailures >= ConsecutiveFailureLimit ||
         State.FailureRatio > FailureRatioLimit;
}

void countSuccess(OutlierState &State) {
  State.ConsecutiveFailures = 0;
  State.FailureRatio -= FailureRatioWeight * State.FailureRatio;
  if (++State.Successes >= RecoverySuccesses)
    State.Ejections = 0;
}

void eject(OutlierState &State, TimePoint Now) {
  const std::uint32_t Doublings =
      std::min(State.Ejections, EjectionDoublingsMaximum);
  State.Ejected = true;
  State.EjectedUntil = Now + EjectionBase * (1U << Doublings);
  ++State.Ejections;
  State.ConsecutiveFailures = 0;
  State.FailureRatio = 0;
  State.Successes = 0;
}

bool endEjection(OutlierState &State, TimePoint Now) {
  if (!State.Ejected || Now < State.EjectedUntil)
    return false;
  State.Ejected = false;
  return true;
}

bool acceptReport(ReportTrust &State, bool Contradicted, bool Informative,
                  TimePoint Now) {
  if (Contradicted)
    ++State.Contradictions;
  else if (Informative && State.Contradictions > 0)
    --State.Contradictions;
  if (State.Contradictions >= ContradictionLimit) {
    const std::uint32_t Doublings =
        std::min(State.DistrustPeriods, DistrustDoublingsMaximum);
    State.Distrusted = true;
    State.DistrustedUntil = Now + DistrustBase * (1U << Doublings);
    ++State.DistrustPeriods;
    State.Contradictions = 0;
  }
  if (State.Distrusted && Now >= State.DistrustedUntil)
    State.Distrusted = false;
  return !State.Distrusted && !Contradicted;
}

} // namespace comfreyrill
