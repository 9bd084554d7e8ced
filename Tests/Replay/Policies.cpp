#include "Policies.h"

#include <algorithm>
#include <limits>

namespace comfreyrill::replay {

namespace {

// Under overload the oracle refuses calls while all targets hold this many
// calls per slot, because longer queues would make it too easy to beat. It
// applies no such limit at a load of 1 or less.
constexpr std::uint32_t OracleCallsPerSlot = 2;

TargetIndex leastInFlight(const RoutingState &State,
                          comfreyrill::Random &Generator) {
  const std::size_t Count = State.Targets.size();
  std::size_t Index = randomIndex(Generator, Count);
  std::size_t Best = Index;
  for (std::size_t Step = 0; Step < Count; ++Step) {
    if (State.Targets[Index].InFlight < State.Targets[Best].InFlight)
      Best = Index;
    Index = (Index + 1) % Count;
  }
  return static_cast<TargetIndex>(Best);
}

TargetIndex twoChoices(const RoutingState &State,
                       comfreyrill::Random &Generator) {
  const std::size_t First = randomIndex(Generator, State.Targets.size());
  const std::size_t Second = randomIndex(Generator, State.Targets.size());
  return static_cast<TargetIndex>(
      State.Targets[First].InFlight <= State.Targets[Second].InFlight ? First
                                                                      : Second);
}

} // namespace

TargetChoice chooseByBaseline(Policy Kind, BaselineState &Baseline,
                              const RoutingState &State,
                              comfreyrill::Random &Generator) {
  const std::size_t Count = State.Targets.size();
  switch (Kind) {
  case Policy::RoundRobin:
    Baseline.NextTarget = (Baseline.NextTarget + 1) % Count;
    return {TargetChoiceKind::Dispatch,
            static_cast<TargetIndex>(Baseline.NextTarget), "round_robin"};
  case Policy::LeastInFlight:
    return {TargetChoiceKind::Dispatch, leastInFlight(State, Generator),
            "least_in_flight"};
  case Policy::TwoChoices:
    return {TargetChoiceKind::Dispatch, twoChoices(State, Generator),
            "two_choices"};
  default:
    return {TargetChoiceKind::Dispatch,
            static_cast<TargetIndex>(randomIndex(Generator, Count)), "random"};
  }
}

TargetChoice chooseByOracle(const Trace &Input,
                            const std::vector<TrueLoad> &Loads,
                            const std::vector<TargetIndex> &Tried,
                            TimePoint Now, comfreyrill::Random &Generator) {
  const std::size_t Count = Loads.size();
  std::size_t Index = randomIndex(Generator, Count);
  TargetChoice Best{TargetChoiceKind::Refuse, 0, "no_target"};
  double BestCost = std::numeric_limits<double>::infinity();
  for (std::size_t Step = 0; Step < Count;
       ++Step, Index = (Index + 1) % Count) {
    const TargetBehaviour &Target = Input.Targets[Index];
    const bool WasTried =
        std::find(Tried.begin(), Tried.end(), Index) != Tried.end();
    if (WasTried || isWithin(Target.Down, Now) ||
        isWithin(Target.Failing, Now) || isWithin(Target.Draining, Now) ||
        (Input.Load > 1 &&
         Loads[Index].Calls >= OracleCallsPerSlot * Input.Slots))
      continue;
    const double CallsPerSlot = (Loads[Index].Calls + 1.0) / Input.Slots;
    const double Cost = std::max(CallsPerSlot, 1.0) / speedAt(Target, Now);
    if (Cost < BestCost) {
      BestCost = Cost;
      Best = {TargetChoiceKind::Dispatch, static_cast<TargetIndex>(Index),
              "oracle"};
    }
  }
  return Best;
}

} // namespace comfreyrill::replay
