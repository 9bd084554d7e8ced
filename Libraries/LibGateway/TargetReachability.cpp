#include <LibGateway/TargetReachability.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Some targets fail at the same time in a release or a crash, but then others
// answer in between.
constexpr std::size_t FailedTargetsMinimum = 5;
// A single target that fails says nothing of the others.
constexpr std::size_t KnownTargetsMinimum = 2;

bool haveAllFailed(const std::set<TargetId> &Failed, std::size_t KnownTargets) {
  return KnownTargets >= KnownTargetsMinimum &&
         Failed.size() >= std::min(FailedTargetsMinimum, KnownTargets);
}

} // namespace

// What was sent before the last answer may have been lost before the links were
// restored.
void recordSilence(TargetReachability &State, const TargetId &Target,
                   TimePoint SentAt) {
  if (SentAt >= State.AnsweredAt && State.Silent.size() < FailedTargetsMinimum)
    State.Silent.insert(Target);
}

void recordConnectionFailure(TargetReachability &State, const TargetId &Target,
                             TimePoint BeganAt) {
  recordSilence(State, Target, BeganAt);
  if (BeganAt >= State.ConnectedAt &&
      State.Unconnected.size() < FailedTargetsMinimum)
    State.Unconnected.insert(Target);
}

void recordConnection(TargetReachability &State, TimePoint Now) {
  State.Unconnected.clear();
  State.ConnectedAt = Now;
}

void recordAnswer(TargetReachability &State, TimePoint Now) {
  State.Silent.clear();
  State.AnsweredAt = Now;
}

bool isCutOff(const TargetReachability &State, std::size_t KnownTargets) {
  return haveAllFailed(State.Silent, KnownTargets);
}

bool cannotConnect(const TargetReachability &State, std::size_t KnownTargets) {
  return haveAllFailed(State.Unconnected, KnownTargets);
}

} // namespace comfreyrill
