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

void recordSilence(TargetReachability &State, const TargetId &Target) {
  if (State.Silent.size() < FailedTargetsMinimum)
    State.Silent.insert(Target);
}

void recordConnectionFailure(TargetReachability &State,
                             const TargetId &Target) {
  recordSilence(State, Target);
  if (State.Unconnected.size() < FailedTargetsMinimum)
    State.Unconnected.insert(Target);
}

void recordConnection(TargetReachability &State) { State.Unconnected.clear(); }

void recordAnswer(TargetReachability &State) { State.Silent.clear(); }

bool isCutOff(const TargetReachability &State, std::size_t KnownTargets) {
  return haveAllFailed(State.Silent, KnownTargets);
}

bool cannotConnect(const TargetReachability &State, std::size_t KnownTargets) {
  return haveAllFailed(State.Unconnected, KnownTargets);
}

} // namespace comfreyrill
