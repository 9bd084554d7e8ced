#include <LibRouting/Routing.h>

#include <algorithm>

namespace comfreyrill {

void updateTargets(RoutingState &State, const ServiceConfig &Config,
                   TimePoint /*Now*/) {
  std::vector<TargetState> Next;
  Next.reserve(Config.Targets.size());
  for (const TargetConfig &Target : Config.Targets) {
    auto Known = std::find_if(State.Targets.begin(), State.Targets.end(),
                              [&](const TargetState &Candidate) {
                                return Candidate.Config.Id == Target.Id;
                              });
    TargetState Entry;
    if (Known != State.Targets.end())
      Entry = *Known;
    Entry.Config = Target;
    Next.push_back(std::move(Entry));
  }
  State.Config = Config;
  State.Targets = std::move(Next);
}

// FIXME: The load that targets report and the time they take are not used yet.
Choice chooseTarget(RoutingState &State, const ChoiceInput &Input,
                    TimePoint /*Now*/, Random &Generator) {
  std::vector<TargetIndex> Usable;
  for (TargetIndex Index = 0; Index < State.Targets.size(); ++Index) {
    const bool WasTried = std::find(Input.Tried.begin(), Input.Tried.end(),
                                    Index) != Input.Tried.end();
    if (!State.Targets[Index].Draining && !WasTried)
      Usable.push_back(Index);
  }
  if (Usable.empty())
    return {ChoiceKind::Refuse, 0, "no_target"};
  const TargetIndex First = Usable[randomIndex(Generator, Usable.size())];
  const TargetIndex Second = Usable[randomIndex(Generator, Usable.size())];
  const bool FirstIsBetter =
      State.Targets[First].InFlight <= State.Targets[Second].InFlight;
  return {ChoiceKind::Dispatch, FirstIsBetter ? First : Second, "two_choices"};
}

void recordStart(RoutingState &State, TargetIndex Target, TimePoint /*Now*/) {
  ++State.Targets[Target].InFlight;
}

void recordFinish(RoutingState &State, const AttemptResult &Result,
                  TimePoint /*Now*/) {
  --State.Targets[Result.Target].InFlight;
}

void recordLoadReport(RoutingState &State, TargetIndex Target,
                      const LoadReport &Report, TimePoint /*Now*/) {
  State.Targets[Target].Draining = Report.Draining;
}

} // namespace comfreyrill
