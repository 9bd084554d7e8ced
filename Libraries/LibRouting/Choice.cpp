#include <LibRouting/Choice.h>

#include <algorithm>
#include <limits>

namespace comfreyrill {

namespace {

// Services up to this size are looked at in full. In larger ones a sample keeps
// the cost of a decision constant.
constexpr std::size_t FullScanMaximum = 32;
constexpr std::size_t SampleSize = 12;

// Cold caches and just-in-time compilers need a few seconds of light traffic.
constexpr Duration RampTime = std::chrono::seconds(3);
constexpr double RampStart = 0.2;

// Calls per slot, running and waiting, above which a target gets no more: its
// queue then holds as many calls as it runs.
constexpr double LoadPerSlotMaximum = 2;

// A near target may be this much busier before a far one is preferred.
constexpr double FarFactor = 1.02;

// Assumed until answers have been timed.
constexpr double DefaultAnswerSeconds = 0.02;

struct Candidate {
  TargetIndex Target = 0;
  double Cost = std::numeric_limits<double>::infinity();
  double LoadPerSlot = std::numeric_limits<double>::infinity();
  bool Found = false;
};

struct Scan {
  Candidate Best;
  bool OnlyConnectionsLack = false;
};

double rampFactor(TargetState &Target, TimePoint Now) {
  if (!Target.Ramping)
    return 1;
  const Duration Age = Now - Target.RampSince;
  if (Age >= RampTime) {
    Target.Ramping = false;
    return 1;
  }
  return std::max(RampStart, static_cast<double>(Age.count()) /
                                 static_cast<double>(RampTime.count()));
}

// A host's share of the connections that the target accepts from all hosts.
bool hasConnection(const RoutingState &State, const TargetState &Target) {
  const std::uint32_t Share =
      Target.Config.MaxConnections / std::max(State.HostsMaximum, 1U);
  return Target.InFlight < std::max(Share, 1U);
}

bool wasTried(const ChoiceInput &Input, TargetIndex Index) {
  return std::find(Input.Tried.begin(), Input.Tried.end(), Index) !=
         Input.Tried.end();
}

void consider(RoutingState &State, const ChoiceInput &Input, TimePoint Now,
              TargetIndex Index, bool IgnoreEjection, Scan &Result) {
  TargetState &Target = State.Targets[Index];
  if (Target.Draining || wasTried(Input, Index))
    return;
  if (endEjection(Target.Outlier, Now)) {
    Target.Ramping = true;
    Target.RampSince = Now;
  }
  if (Target.Outlier.Ejected && !IgnoreEjection)
    return;
  if (!hasConnection(State, Target)) {
    Result.OnlyConnectionsLack = true;
    return;
  }
  const double Slots = std::max(Target.Config.Slots, 1U);
  const double Speed =
      relativeSpeed(Target.Speed, State.Answers) * rampFactor(Target, Now);
  const double PerSlot = estimatedLoad(State, Target, Now) / Slots;
  double Cost = (1 + PerSlot * PerSlot * PerSlot) / Speed;
  if (Target.Config.Domain != Input.HostDomain)
    Cost *= FarFactor;
  if (Cost < Result.Best.Cost)
    Result.Best = {Index, Cost, PerSlot, true};
}

Scan scanTargets(RoutingState &State, const ChoiceInput &Input, TimePoint Now,
                 bool IgnoreEjection, Random &Generator) {
  Scan Result;
  const std::size_t Count = State.Targets.size();
  if (Count <= FullScanMaximum) {
    // The start is random so that equal targets are equally likely.
    std::size_t Index = randomIndex(Generator, Count);
    for (std::size_t Step = 0; Step < Count; ++Step) {
      consider(State, Input, Now, static_cast<TargetIndex>(Index),
               IgnoreEjection, Result);
      if (++Index == Count)
        Index = 0;
    }
    return Result;
  }
  for (const TargetIndex Recent : State.RecentReports)
    if (Recent < Count)
      consider(State, Input, Now, Recent, IgnoreEjection, Result);
  for (std::size_t Step = 0; Step < SampleSize; ++Step)
    consider(State, Input, Now,
             static_cast<TargetIndex>(randomIndex(Generator, Count)),
             IgnoreEjection, Result);
  // A sample of a large service may miss the few targets that are usable.
  for (TargetIndex Index = 0; !Result.Best.Found && Index < Count; ++Index)
    consider(State, Input, Now, Index, IgnoreEjection, Result);
  return Result;
}

} // namespace

// What a report says of the other hosts' calls loses its worth as these calls
// end: the part that is left after some answer times is the reported one, the
// rest is the mean over all targets. The factor 1 / (1 + x + x^2 / 2) stands in
// for e^-x, because it is cheaper.
double estimatedLoad(const RoutingState &State, const TargetState &Target,
                     TimePoint Now) {
  const double Mean = State.MeanOthersPerSlot * Target.Config.Slots;
  if (!Target.HasReport)
    return Target.InFlight + Mean;
  const double Answer = State.Answers.Samples > 0 ? State.Answers.MeanSeconds
                                                  : DefaultAnswerSeconds;
  const double Age =
      std::chrono::duration<double>(Now - Target.ReportedAt).count() / Answer;
  const double Left = 1 / (1 + Age + Age * Age / 2);
  return Target.InFlight + Mean + (Target.OthersAtReport - Mean) * Left;
}

Choice chooseTarget(RoutingState &State, const ChoiceInput &Input,
                    TimePoint Now, Random &Generator) {
  if (State.Targets.empty())
    return {ChoiceKind::Refuse, 0, "no_target"};
  Scan Result = scanTargets(State, Input, Now, false, Generator);
  std::string_view Reason = "least_loaded";
  if (!Result.Best.Found && !Result.OnlyConnectionsLack) {
    Result = scanTargets(State, Input, Now, true, Generator);
    Reason = "panic";
  }
  if (!Result.Best.Found) {
    if (Result.OnlyConnectionsLack)
      return {ChoiceKind::Wait, 0, "connections"};
    return {ChoiceKind::Refuse, 0,
            Input.Tried.empty() ? "no_target" : "no_other_target"};
  }
  // A host with nothing in flight could wait for ever, because only its own
  // answers tell it that the load has fallen.
  if (Result.Best.LoadPerSlot >= LoadPerSlotMaximum && State.InFlight > 0)
    return {ChoiceKind::Wait, Result.Best.Target, "slots"};
  return {ChoiceKind::Dispatch, Result.Best.Target, Reason};
}

} // namespace comfreyrill
