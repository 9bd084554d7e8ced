#include <LibRouting/PausedTargets.h>
#include <LibRouting/TargetChoice.h>

#include <algorithm>
#include <limits>

namespace comfreyrill {

namespace {

// All targets of services up to this size are evaluated. For larger services a
// random sample keeps the cost of a decision constant.
constexpr std::size_t FullScanMaximum = 32;
constexpr std::size_t SampleSize = 12;

// A new target needs a few seconds of light traffic until its caches are warm
// and its code is compiled.
constexpr Duration SlowStartTime = std::chrono::seconds(3);
constexpr double SlowStartInitialFactor = 0.2;

// A target gets no more calls once its estimated calls per slot, running and
// waiting, reach this limit. The estimate is uncertain, so a low limit would
// make calls wait while slots are free. Under overload no slot is free, and
// each call in a target's queue only increases the answer times.
constexpr double LoadPerSlotMaximum = 3.5;
constexpr double OverloadLoadPerSlotMaximum = 1.5;

// Cost factor of targets in other failure domains. A host prefers targets
// in its own domain until their cost is higher by this factor. A factor of 4
// overloaded those targets: hosts that share targets also get load reports from
// them more often.
constexpr double OtherDomainCostFactor = 1.3;

// Time constant with which a report loses its weight, as a fraction of the mean
// answer time.
constexpr double ReportLifetimePerAnswerTime = 0.5;

// Used until the first answer time has been recorded.
constexpr double DefaultAnswerSeconds = 0.02;

struct Candidate {
  TargetIndex Target = 0;
  double Cost = std::numeric_limits<double>::infinity();
  double LoadPerSlot = std::numeric_limits<double>::infinity();
  bool Found = false;
};

struct ScanResult {
  Candidate Best;
  bool ConnectionLimitReached = false;
  /// A target takes fewer requests than this host could send, as its pause has
  /// just ended.
  bool ResumeLimitReached = false;
  bool HasEjected = false;
  /// Earliest end of a pause, or the maximum when no target is paused.
  TimePoint PauseEnd = TimePoint::max();
};

double slowStartFactor(TargetState &Target, TimePoint Now) {
  const Duration Age = Now - Target.SlowStartSince;
  if (Age >= SlowStartTime) {
    Target.InSlowStart = false;
    return 1;
  }
  return std::max(SlowStartInitialFactor,
                  static_cast<double>(Age.count()) /
                      static_cast<double>(SlowStartTime.count()));
}

bool wasTried(const TargetChoiceInput &Input, TargetIndex Index) {
  return std::find(Input.Tried.begin(), Input.Tried.end(), Index) !=
         Input.Tried.end();
}

// Factor that converts the age of a report in nanoseconds to a multiple of the
// time constant with which reports lose their weight.
double reportAgeScale(const RoutingState &State) {
  const double Answer = State.AnswerTimes.Samples > 0
                            ? State.AnswerTimes.MeanSeconds
                            : DefaultAnswerSeconds;
  return 1e-9 / (Answer * ReportLifetimePerAnswerTime);
}

// The load of the other hosts in a report becomes outdated as their calls end.
// The estimate is a weighted average of the reported load and the mean over all
// targets, with a weight of the reported load that decays with the report's
// age. 1 / (1 + x + x^2 / 2) approximates e^-x, because it is cheaper. For a
// target without a report, the estimate is the in-flight count of the peers or
// the mean, whichever is higher.
double estimateTargetLoad(const TargetState &Target,
                          double MeanOthersLoadPerSlot, double AgeScale,
                          TimePoint Now) {
  const double Mean = MeanOthersLoadPerSlot * Target.Slots;
  if (!Target.HasReport)
    return Target.InFlight + std::max<double>(Mean, Target.PeerInFlight);
  const double Age =
      static_cast<double>((Now - Target.ReportedAt).count()) * AgeScale;
  const double ReportWeight = 1 / (1 + Age + Age * Age / 2);
  return Target.InFlight + Mean +
         (Target.OthersLoadAtReport - Mean) * ReportWeight;
}

struct ScanContext {
  RoutingState &State;
  const TargetChoiceInput &Input;
  TimePoint Now;
  double AgeScale;
  bool IgnoreEjection;
};

void evaluateTarget(const ScanContext &Context, TargetIndex Index,
                    ScanResult &Result) {
  TargetState &Target = Context.State.Targets[Index];
  if (Target.Draining || wasTried(Context.Input, Index))
    return;
  // Most targets have no limit, and the full check is a call.
  if (Target.Pause.ResumeLimit != 0 &&
      !admitsRequest(Target.Pause, Target.InFlight, Context.Now)) {
    if (isPaused(Target.Pause, Context.Now))
      Result.PauseEnd = std::min(Result.PauseEnd, Target.Pause.EndsAt);
    else
      Result.ResumeLimitReached = true;
    return;
  }
  if (Target.Outlier.Ejected && endEjection(Target.Outlier, Context.Now)) {
    Target.InSlowStart = true;
    Target.SlowStartSince = Context.Now;
  }
  if (Target.Outlier.Ejected && !Context.IgnoreEjection) {
    Result.HasEjected = true;
    return;
  }
  if (Target.InFlight >= Target.ConnectionShare) {
    Result.ConnectionLimitReached = true;
    return;
  }
  const double PerSlot =
      estimateTargetLoad(Target, Context.State.MeanOthersLoadPerSlot,
                         Context.AgeScale, Context.Now) *
      Target.InverseSlots;
  double Cost = (1 + PerSlot * PerSlot * PerSlot) * Target.RelativeAnswerTime;
  if (Target.InSlowStart)
    Cost /= slowStartFactor(Target, Context.Now);
  if (!Target.InHostDomain)
    Cost *= OtherDomainCostFactor;
  if (Cost < Result.Best.Cost)
    Result.Best = {Index, Cost, PerSlot, true};
}

ScanResult scanTargets(RoutingState &State, const TargetChoiceInput &Input,
                       TimePoint Now, bool IgnoreEjection, Random &Generator) {
  const ScanContext Context{State, Input, Now, reportAgeScale(State),
                            IgnoreEjection};
  ScanResult Result;
  const std::size_t Count = State.Targets.size();
  if (Count <= FullScanMaximum) {
    // A random start makes targets of equal cost equally likely.
    std::size_t Index = randomIndex(Generator, Count);
    for (std::size_t Step = 0; Step < Count; ++Step) {
      evaluateTarget(Context, static_cast<TargetIndex>(Index), Result);
      if (++Index == Count)
        Index = 0;
    }
    return Result;
  }
  for (const TargetIndex Recent : State.RecentReports)
    evaluateTarget(Context, Recent, Result);
  for (std::size_t Step = 0; Step < SampleSize; ++Step)
    evaluateTarget(Context,
                   static_cast<TargetIndex>(randomIndex(Generator, Count)),
                   Result);
  // The sample of a large service may contain no usable target.
  for (TargetIndex Index = 0; !Result.Best.Found && Index < Count; ++Index)
    evaluateTarget(Context, Index, Result);
  return Result;
}

void setHostDomain(RoutingState &State, const FailureDomain &Domain) {
  State.HostDomain = Domain;
  for (TargetState &Target : State.Targets)
    Target.InHostDomain = Target.Config.Domain == Domain;
}

// Decides for a call when the scan has found no target.
TargetChoice waitOrRefuse(RoutingState &State, const TargetChoiceInput &Input,
                          const ScanResult &Result) {
  if (Result.ConnectionLimitReached)
    return {TargetChoiceKind::Wait, 0, "connections"};
  if (Result.ResumeLimitReached)
    return {TargetChoiceKind::Wait, 0, "resuming"};
  if (Result.PauseEnd == TimePoint::max())
    return {TargetChoiceKind::Refuse, 0,
            Input.Tried.empty() ? "no_target" : "no_other_target"};
  if (Input.Tried.empty())
    State.Queue.PausedUntil = Result.PauseEnd;
  const auto AnswerTime = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(State.AnswerTimes.MeanSeconds));
  return {isPausedTooLong(Result.PauseEnd, Input.Deadline, AnswerTime)
              ? TargetChoiceKind::Refuse
              : TargetChoiceKind::Wait,
          0, "targets_paused"};
}

} // namespace

double estimatedLoad(const RoutingState &State, const TargetState &Target,
                     TimePoint Now) {
  return estimateTargetLoad(Target, State.MeanOthersLoadPerSlot,
                            reportAgeScale(State), Now);
}

TargetChoice chooseTarget(RoutingState &State, const TargetChoiceInput &Input,
                          TimePoint Now, Random &Generator) {
  if (State.Targets.empty())
    return {TargetChoiceKind::Refuse, 0, "no_target"};
  if (State.HostDomain != Input.HostDomain)
    setHostDomain(State, Input.HostDomain);
  ScanResult Result;
  if (Now < State.Queue.PausedUntil && Input.Tried.empty()) {
    Result.PauseEnd = State.Queue.PausedUntil;
    return waitOrRefuse(State, Input, Result);
  }
  Result = scanTargets(State, Input, Now, false, Generator);
  std::string_view Reason = "least_loaded";
  if (!Result.Best.Found && Result.HasEjected &&
      !Result.ConnectionLimitReached && !Result.ResumeLimitReached) {
    Result = scanTargets(State, Input, Now, true, Generator);
    Reason = "panic";
  }
  if (!Result.Best.Found)
    return waitOrRefuse(State, Input, Result);
  // A host without attempts in flight dispatches in any case: it learns from
  // its own answers that the load has fallen, so it could otherwise wait
  // forever.
  const double Limit = isOverloaded(State.Queue) ? OverloadLoadPerSlotMaximum
                                                 : LoadPerSlotMaximum;
  if (Result.Best.LoadPerSlot >= Limit && State.InFlight > 0)
    return {TargetChoiceKind::Wait, Result.Best.Target, "slots"};
  return {TargetChoiceKind::Dispatch, Result.Best.Target, Reason};
}

} // namespace comfreyrill
