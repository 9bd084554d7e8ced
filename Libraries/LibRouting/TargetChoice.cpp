#include <LibRouting/TargetChoice.h>

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

// Calls per slot, running and waiting, above which a target gets no more. The
// estimate is uncertain, so a low limit would hold calls back while slots are
// free; under overload slots are never free and each call in a target's queue
// only adds to the answer times.
constexpr double LoadPerSlotMaximum = 3.5;
constexpr double OverloadLoadPerSlotMaximum = 1.5;

// A near target may be this much busier before a far one is preferred. Hosts
// that share near targets also hear of them more often; at a factor of 4 the
// near ones were overloaded.
constexpr double FarFactor = 1.3;

// A report loses its worth within half an answer time.
constexpr double MemoryPerAnswer = 0.5;

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
  const Duration Age = Now - Target.RampSince;
  if (Age >= RampTime) {
    Target.Ramping = false;
    return 1;
  }
  return std::max(RampStart, static_cast<double>(Age.count()) /
                                 static_cast<double>(RampTime.count()));
}

bool wasTried(const TargetChoiceInput &Input, TargetIndex Index) {
  return std::find(Input.Tried.begin(), Input.Tried.end(), Index) !=
         Input.Tried.end();
}

// The factor that turns the age of a report in nanoseconds into a multiple of
// the time that a report is worth something.
double ageScale(const RoutingState &State) {
  const double Answer = State.Answers.Samples > 0 ? State.Answers.MeanSeconds
                                                  : DefaultAnswerSeconds;
  return 1e-9 / (Answer * MemoryPerAnswer);
}

// What a report says of the other hosts' calls loses its worth as these calls
// end: the part that is left after some time is the reported one, the rest is
// the mean over all targets. The factor 1 / (1 + x + x^2 / 2) stands in for
// e^-x, because it is cheaper. Without a report of its own a host goes by what
// its peers have in flight, unless that is below the mean.
double loadAt(const TargetState &Target, double MeanOthersPerSlot,
              double AgeScale, TimePoint Now) {
  const double Mean = MeanOthersPerSlot * Target.Slots;
  if (!Target.HasReport)
    return Target.InFlight + std::max<double>(Mean, Target.PeerInFlight);
  const double Age =
      static_cast<double>((Now - Target.ReportedAt).count()) * AgeScale;
  const double Left = 1 / (1 + Age + Age * Age / 2);
  return Target.InFlight + Mean + (Target.OthersLoadAtReport - Mean) * Left;
}

struct Scanning {
  RoutingState &State;
  const TargetChoiceInput &Input;
  TimePoint Now;
  double AgeScale;
  bool IgnoreEjection;
};

void consider(const Scanning &Scanning, TargetIndex Index, Scan &Result) {
  TargetState &Target = Scanning.State.Targets[Index];
  if (Target.Draining || wasTried(Scanning.Input, Index))
    return;
  if (Target.Outlier.Ejected && endEjection(Target.Outlier, Scanning.Now)) {
    Target.Ramping = true;
    Target.RampSince = Scanning.Now;
  }
  if (Target.Outlier.Ejected && !Scanning.IgnoreEjection)
    return;
  if (Target.InFlight >= Target.ConnectionShare) {
    Result.OnlyConnectionsLack = true;
    return;
  }
  const double PerSlot = loadAt(Target, Scanning.State.MeanOthersPerSlot,
                                Scanning.AgeScale, Scanning.Now) *
                         Target.InverseSlots;
  double Cost = (1 + PerSlot * PerSlot * PerSlot) * Target.Slowness;
  if (Target.Ramping)
    Cost /= rampFactor(Target, Scanning.Now);
  if (!Target.Near)
    Cost *= FarFactor;
  if (Cost < Result.Best.Cost)
    Result.Best = {Index, Cost, PerSlot, true};
}

Scan scanTargets(RoutingState &State, const TargetChoiceInput &Input,
                 TimePoint Now, bool IgnoreEjection, Random &Generator) {
  const Scanning Scanning{State, Input, Now, ageScale(State), IgnoreEjection};
  Scan Result;
  const std::size_t Count = State.Targets.size();
  if (Count <= FullScanMaximum) {
    // The start is random so that equal targets are equally likely.
    std::size_t Index = randomIndex(Generator, Count);
    for (std::size_t Step = 0; Step < Count; ++Step) {
      consider(Scanning, static_cast<TargetIndex>(Index), Result);
      if (++Index == Count)
        Index = 0;
    }
    return Result;
  }
  for (const TargetIndex Recent : State.RecentReports)
    consider(Scanning, Recent, Result);
  for (std::size_t Step = 0; Step < SampleSize; ++Step)
    consider(Scanning, static_cast<TargetIndex>(randomIndex(Generator, Count)),
             Result);
  // A sample of a large service may miss the few targets that are usable.
  for (TargetIndex Index = 0; !Result.Best.Found && Index < Count; ++Index)
    consider(Scanning, Index, Result);
  return Result;
}

void setHostDomain(RoutingState &State, const FailureDomain &Domain) {
  State.HostDomain = Domain;
  for (TargetState &Target : State.Targets)
    Target.Near = Target.Config.Domain == Domain;
}

} // namespace

double estimatedLoad(const RoutingState &State, const TargetState &Target,
                     TimePoint Now) {
  return loadAt(Target, State.MeanOthersPerSlot, ageScale(State), Now);
}

TargetChoice chooseTarget(RoutingState &State, const TargetChoiceInput &Input,
                          TimePoint Now, Random &Generator) {
  if (State.Targets.empty())
    return {TargetChoiceKind::Refuse, 0, "no_target"};
  if (State.HostDomain != Input.HostDomain)
    setHostDomain(State, Input.HostDomain);
  Scan Result = scanTargets(State, Input, Now, false, Generator);
  std::string_view Reason = "least_loaded";
  if (!Result.Best.Found && !Result.OnlyConnectionsLack) {
    Result = scanTargets(State, Input, Now, true, Generator);
    Reason = "panic";
  }
  if (!Result.Best.Found) {
    if (Result.OnlyConnectionsLack)
      return {TargetChoiceKind::Wait, 0, "connections"};
    return {TargetChoiceKind::Refuse, 0,
            Input.Tried.empty() ? "no_target" : "no_other_target"};
  }
  // A host with nothing in flight could wait for ever, because only its own
  // answers tell it that the load has fallen.
  const double Limit = isOverloaded(State.Queue) ? OverloadLoadPerSlotMaximum
                                                 : LoadPerSlotMaximum;
  if (Result.Best.LoadPerSlot >= Limit && State.InFlight > 0)
    return {TargetChoiceKind::Wait, Result.Best.Target, "slots"};
  return {TargetChoiceKind::Dispatch, Result.Best.Target, Reason};
}

} // namespace comfreyrill
