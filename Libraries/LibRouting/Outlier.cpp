#include <LibRouting/Outlier.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Five in a row is Envoy's default too; fewer would eject a healthy target with
// an occasional error.
constexpr std::uint32_t FailureLimit = 5;
// A refused connection leaves no doubt, and the calls that would find out again
// spend the retry budget.
constexpr std::uint32_t ConnectionFailureWeight = FailureLimit;
// Ejects a target that mixes failures with answers.
constexpr double FailureRatioLimit = 0.5;
constexpr double FailureRatioWeight = 1.0 / 16;
// Answers after which earlier ejections are forgotten.
constexpr std::uint32_t RecoverySuccesses = 50;

constexpr Duration EjectionBase = std::chrono::seconds(1);
constexpr std::uint32_t EjectionDoublingsMaximum = 6;

// An answer of another call can be on its way while the report was written, so
// a single contradiction proves nothing.
constexpr std::uint32_t ContradictionLimit = 3;
constexpr Duration DistrustBase = std::chrono::seconds(10);
constexpr std::uint32_t DistrustDoublingsMaximum = 5;

} // namespace

bool countFailure(OutlierState &State, bool ConnectionFailed) {
  State.ConsecutiveFailures += ConnectionFailed ? ConnectionFailureWeight : 1;
  State.FailureRatio += FailureRatioWeight * (1 - State.FailureRatio);
  // A target that comes back from an ejection has to answer first.
  const bool OnTrial = State.Ejections > 0 && State.Successes == 0;
  State.Successes = 0;
  return OnTrial || State.ConsecutiveFailures >= FailureLimit ||
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

bool judgeReport(TrustState &State, bool Contradicted, bool Informative,
                 TimePoint Now) {
  if (Contradicted)
    ++State.Contradictions;
  else if (Informative && State.Contradictions > 0)
    --State.Contradictions;
  if (State.Contradictions >= ContradictionLimit) {
    const std::uint32_t Doublings =
        std::min(State.Distrusts, DistrustDoublingsMaximum);
    State.Distrusted = true;
    State.DistrustedUntil = Now + DistrustBase * (1U << Doublings);
    ++State.Distrusts;
    State.Contradictions = 0;
  }
  if (State.Distrusted && Now >= State.DistrustedUntil)
    State.Distrusted = false;
  return !State.Distrusted && !Contradicted;
}

} // namespace comfreyrill
