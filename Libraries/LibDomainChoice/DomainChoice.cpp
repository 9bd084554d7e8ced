#include <LibDomainChoice/DomainChoice.h>

#include <algorithm>
#include <cmath>

namespace comfreyrill {

namespace {

// Utilization of the useful slots that the requests which stay are to cause.
// Close below the point where requests find no free slot.
constexpr double OwnUtilizationTarget = 0.85;
// Requests begin to leave above this utilization, or when this share of the
// requests is rejected. The distance to the target keeps a domain that is just
// busy from alternating between sending and not sending.
constexpr double BeginUtilization = 0.95;
constexpr double BeginRefusedShare = 0.05;
// Requests of another domain fill a neighbor up to this utilization only. It is
// below the target of the neighbor's own requests, so that these are not sent
// out in turn.
constexpr double NeighborUtilizationLimit = 0.8;
// Without own targets the alternative to a busy neighbor is a rejection.
constexpr double NeighborUtilizationLimitWhenLost = 0.95;
// The neighbor must be less busy than the own domain by this much.
constexpr double UtilizationMargin = 0.05;
// Utilization above which the loads of the other domains are exchanged. Early
// enough that they are known when requests begin to leave.
constexpr double InterestUtilization = 0.55;
// A smaller share ends.
constexpr double EndShare = 0.02;
// Ramp: all hosts of a domain see the same loads and act at the same time, and
// the effect is visible only after the next summaries.
constexpr double ShareStepMaximum = 0.2;
// Weight of one update in an estimate whose change may be chance. The load of a
// domain is a sample of requests in flight: 64 of them vary by 8.
constexpr double EstimateWeight = 0.15;
// Earlier samples say little once requests begin to find no slot, so that the
// first ones after that weigh more: two seconds of them.
constexpr double FirstEstimateWeight = 0.35;
constexpr std::uint32_t FirstSamples = 8;
// The load of a neighbor is reported every other update or so.
constexpr double AllowanceWeight = 0.15;
// A change by this many standard deviations of such a sample is no chance and
// is taken at once.
constexpr double ChanceDeviations = 4;
// The share stays as it is while the calculated one differs by less than this,
// or by less than this part of it. It does not follow every change of loads
// that are partly chance.
constexpr double ShareBacklash = 0.03;
constexpr double RelativeBacklash = 0.2;
// Part of a neighbor's spare slots that one domain takes at a time, because
// another domain may see and take the same ones.
constexpr double SpareGain = 0.8;
constexpr double RecentCountsDecaySeconds = 0.6;
constexpr double StayMinimum = 0.02;
// While a neighbor is pressed, the requests sent there are reduced by this
// factor at each update. Its busy slots do not show by how much its demand
// exceeds them.
constexpr double PressedFactor = 0.75;
// A domain without own targets sends all its requests. While all neighbors are
// pressed, it reduces its share more slowly than other domains do, so that
// these, which have slots of their own, make room for it.
constexpr double LostPressedFactor = 0.85;
constexpr double LostShareStep = 0.05;
constexpr std::size_t HistoryMaximum = 12;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

bool isLoadKnown(const DomainCondition &Condition) {
  return Condition.Age <= DomainLoadAgeMaximum &&
         Condition.Load.KnownTargets > 0 && Condition.Load.UsefulSlots > 0;
}

double utilization(const DomainLoad &Load) {
  return static_cast<double>(Load.BusySlots) /
         std::max(static_cast<double>(Load.UsefulSlots), 1.0);
}

// Scales a sum over the targets with a known load to all targets.
double overAllTargets(const DomainLoad &Load, double Sum) {
  return Sum * std::max(Load.Targets, Load.KnownTargets) /
         std::max(Load.KnownTargets, 1U);
}

double shareTo(const std::vector<DomainShare> &Shares,
               const FailureDomain &Domain) {
  for (const DomainShare &Entry : Shares)
    if (Entry.Domain == Domain)
      return Entry.Share;
  return 0;
}

double sumOf(const std::vector<DomainShare> &Shares) {
  double Sum = 0;
  for (const DomainShare &Entry : Shares)
    Sum += Entry.Share;
  return Sum;
}

// Slots of the other domain that requests of this one occupied at a time. The
// loads that are known now show the shares of that time.
double occupiedAt(const DomainChoiceState &State, const FailureDomain &Domain,
                  TimePoint Time) {
  double Slots = 0;
  for (const PastShares &Past : State.History)
    if (Past.Since <= Time)
      Slots = shareTo(Past.Shares, Domain) * Past.DemandSlots;
  return Slots;
}

double leavingShareAt(const DomainChoiceState &State, TimePoint Time) {
  double Share = 0;
  for (const PastShares &Past : State.History)
    if (Past.Since <= Time)
      Share = sumOf(Past.Shares);
  return Share;
}

Duration expectedTime(const DomainChoiceInput &Input,
                      const DomainCondition &Condition) {
  const double Slowdown =
      isLoadKnown(Condition) ? std::max(Condition.Load.Slowdown, 0.1) : 1;
  return std::chrono::duration_cast<Duration>(Input.WorkTime * Slowdown) +
         2 * Condition.Delay;
}

bool mayReceive(const DomainCondition &Other) {
  return !Other.IsEvacuated && !Other.IsSilent && Other.Load.Targets > 0;
}

// Spare slots in terms of the own domain's requests: on slow targets each of
// them occupies a slot for longer.
double spareSlots(const DomainCondition &Other, double UtilizationLimit) {
  const double Useful = overAllTargets(Other.Load, Other.Load.UsefulSlots);
  const double Busy = overAllTargets(Other.Load, Other.Load.BusySlots);
  return (UtilizationLimit * Useful - Busy) /
         std::max(Other.Load.Slowdown, 1.0);
}

// Moves an estimate towards a new value that is calculated from a sample of
// SampleSlots busy slots and is proportional to Unit times these.
double improvedEstimate(double Estimate, double Value, double SampleSlots,
                        double Unit, double Weight) {
  const double Expected = std::max({SampleSlots, Estimate / Unit, 1.0});
  const double Deviation = Unit * std::sqrt(Expected);
  const bool IsChance =
      std::abs(Value - Estimate) <= ChanceDeviations * Deviation;
  return IsChance ? Estimate + Weight * (Value - Estimate) : Value;
}

// Estimates the slots that a neighbor has for this domain: those that it takes
// already and the spare ones. The sum does not depend on the current share, so
// that the estimate can be smoothed without a delay in a control loop.
double improvedAllowance(const DomainChoiceState &State,
                         const DomainChoiceInput &Input,
                         const DomainCondition &Other, TimePoint Now) {
  const TimePoint SeenAt = Now - Other.Age - Other.Delay - Input.WorkTime;
  const double Occupied = occupiedAt(State, Other.Domain, SeenAt);
  const double Spare =
      SpareGain * spareSlots(Other, State.IsOwnLost
                                        ? NeighborUtilizationLimitWhenLost
                                        : NeighborUtilizationLimit);
  const double Allowance = std::max(Occupied + Spare, 0.0);
  for (const SlotAllowance &Known : State.Allowances)
    if (Known.Domain == Other.Domain) {
      // A rise is smoothed always, because too many requests do more harm
      // there than too few.
      const double Improved =
          Allowance > Known.Slots
              ? Known.Slots + AllowanceWeight * (Allowance - Known.Slots)
              : improvedEstimate(Known.Slots, Allowance, Other.Load.BusySlots,
                                 SpareGain * overAllTargets(Other.Load, 1),
                                 AllowanceWeight);
      return Other.Load.IsPressed
                 ? std::min(Improved, PressedFactor * Known.Slots)
                 : Improved;
    }
  return Allowance;
}

void updateAllowances(DomainChoiceState &State, const DomainChoiceInput &Input,
                      TimePoint Now) {
  std::vector<SlotAllowance> Allowances;
  for (const DomainCondition &Other : Input.Others)
    if (mayReceive(Other) && isLoadKnown(Other))
      Allowances.push_back(
          {Other.Domain, improvedAllowance(State, Input, Other, Now)});
  State.Allowances = std::move(Allowances);
}

double allowanceOf(const DomainChoiceState &State,
                   const FailureDomain &Domain) {
  for (const SlotAllowance &Known : State.Allowances)
    if (Known.Domain == Domain)
      return Known.Slots;
  return 0;
}

// Upper bound of the share that each neighbor can take.
std::vector<DomainShare> shareLimits(const DomainChoiceState &State,
                                     const DomainChoiceInput &Input) {
  std::vector<DomainShare> Limits;
  for (const DomainCondition &Other : Input.Others) {
    const bool IsDestination = shareTo(State.Shares, Other.Domain) > 0;
    const bool IsBetterOff =
        !Other.Load.IsPressed &&
        utilization(Other.Load) + UtilizationMargin < State.OwnUtilization;
    const double Slots = allowanceOf(State, Other.Domain);
    if (Slots > 0 && (State.IsOwnLost || IsDestination || IsBetterOff))
      Limits.push_back(
          {Other.Domain,
           std::min(Slots / std::max(State.DemandSlots.value_or(1), 1.0), 1.0),
           expectedTime(Input, Other)});
  }
  return Limits;
}

void updateRecentCounts(DomainChoiceState &State,
                        const DomainChoiceInput &Input) {
  const double Decay =
      std::exp(-seconds(DomainChoiceInterval) / RecentCountsDecaySeconds);
  const double Stayed = Input.Received * (1 - leavingShare(State));
  State.RecentStayed = State.RecentStayed * Decay + Stayed;
  State.RecentRefused = State.RecentRefused * Decay + Input.Refused;
}

// More rejections than BeginRefusedShare explains by chance.
bool isRejecting(const DomainChoiceState &State) {
  const double Usual = BeginRefusedShare * State.RecentStayed;
  return State.RecentRefused > Usual + 2 * std::sqrt(Usual) + 1;
}

// Share of the requests which try the own domain that find no slot there. The
// rejections of one host are few, so one standard deviation is left out.
double unmetShare(const DomainChoiceState &State,
                  const DomainChoiceInput &Input) {
  const double Certain = State.RecentRefused - std::sqrt(State.RecentRefused);
  const double Refused =
      std::clamp(Certain / std::max(State.RecentStayed, 1.0), 0.0, 1.0);
  const double Waiting =
      std::max(Input.Waiting - std::sqrt(Input.Waiting), 0.0) /
      std::max(Input.Waiting + Input.InFlight, 1.0);
  return std::min(std::max(Refused, Waiting), 1 - StayMinimum);
}

// Estimates the slots that all requests of the own domain would occupy: the
// busy ones, extrapolated by the requests that left and those that found none.
// Returns the estimate from this sample alone.
double updateDemand(DomainChoiceState &State, const DomainChoiceInput &Input,
                    double Unmet, TimePoint Now) {
  const TimePoint SeenAt = Now - Input.Own.Age - Input.WorkTime;
  const double StayThen =
      std::max(1 - leavingShareAt(State, SeenAt), StayMinimum);
  const DomainLoad &Own = Input.Own.Load;
  const double Unit = overAllTargets(Own, 1) / (StayThen * (1 - Unmet));
  const double Demand = Own.BusySlots * Unit;
  const double Weight = State.DemandSamples <= FirstSamples
                            ? FirstEstimateWeight
                            : EstimateWeight;
  State.DemandSlots = State.DemandSlots
                          ? improvedEstimate(*State.DemandSlots, Demand,
                                             Own.BusySlots, Unit, Weight)
                          : Demand;
  return Demand;
}

// Share of the requests that the own domain's targets cannot take.
double excessShare(DomainChoiceState &State, const DomainChoiceInput &Input,
                   TimePoint Now) {
  const double Unmet = unmetShare(State, Input);
  const double Sample = updateDemand(State, Input, Unmet, Now);
  const double Useful =
      overAllTargets(Input.Own.Load, Input.Own.Load.UsefulSlots);
  const bool WasPressed = State.IsPressed || State.WantedShare > 0;
  State.IsPressed =
      isRejecting(State) || *State.DemandSlots > BeginUtilization * Useful;
  if (!WasPressed && State.IsPressed) {
    State.DemandSamples = 0;
    State.DemandSlots = std::max(*State.DemandSlots, Sample);
  }
  ++State.DemandSamples;
  if (State.WantedShare == 0 && !State.IsPressed)
    return 0;
  const double Excess =
      1 - OwnUtilizationTarget * Useful / std::max(*State.DemandSlots, 1.0);
  if (Excess < EndShare)
    return 0;
  return std::min(Excess, State.WantedShare + ShareStepMaximum);
}

// Follows the calculated share at a distance.
double followingShare(double Share, double Calculated) {
  if (Calculated < EndShare)
    return 0;
  if (Share == 0)
    return Calculated;
  const double Backlash =
      std::min(ShareBacklash, RelativeBacklash * Calculated);
  return std::clamp(Share, Calculated - Backlash, Calculated + Backlash);
}

void record(DomainChoiceState &State, TimePoint Now) {
  State.History.push_back({Now, State.Shares, State.DemandSlots.value_or(0)});
  if (State.History.size() > HistoryMaximum)
    State.History.pop_front();
}

// With the own targets lost, a silent or unknown neighbor is tried when nothing
// is known of the others either.
std::vector<DomainShare> lastResort(const DomainChoiceInput &Input) {
  std::vector<DomainShare> Shares;
  for (const bool AllowSilent : {false, true}) {
    for (const DomainCondition &Other : Input.Others)
      if (!Other.IsEvacuated && Other.Load.Targets > 0 && !isLoadKnown(Other) &&
          (AllowSilent || !Other.IsSilent))
        Shares.push_back({Other.Domain, 1, expectedTime(Input, Other)});
    if (!Shares.empty())
      break;
  }
  return Shares;
}

// Share of a domain without own targets.
double shareWhenLost(const DomainChoiceState &State,
                     const DomainChoiceInput &Input, bool WasLost,
                     double Limit) {
  bool IsAnyKnown = false;
  bool AreAllPressed = true;
  for (const DomainCondition &Other : Input.Others)
    if (mayReceive(Other) && isLoadKnown(Other)) {
      IsAnyKnown = true;
      AreAllPressed = AreAllPressed && Other.Load.IsPressed;
    }
  if (!IsAnyKnown || !AreAllPressed)
    return WasLost && IsAnyKnown && State.DemandSlots
               ? std::min(leavingShare(State) + LostShareStep, 1.0)
               : 1;
  if (!WasLost)
    return std::min(Limit, 1.0);
  const double Reduced = LostPressedFactor * leavingShare(State);
  return Reduced < EndShare ? 0 : Reduced;
}

} // namespace

bool needsOtherDomains(const DomainLoad &Own) {
  // Free slots of slow targets are of no use to a request with a short
  // objective.
  return Own.Targets == 0 ||
         (Own.UsefulSlots > 0 && Own.BusySlots + Own.SlowSlots >=
                                     InterestUtilization * Own.UsefulSlots);
}

double leavingShare(const DomainChoiceState &State) {
  return std::min(sumOf(State.Shares), 1.0);
}

void updateDomainChoice(DomainChoiceState &State,
                        const DomainChoiceInput &Input, TimePoint Now) {
  updateRecentCounts(State, Input);
  const bool WasLost = State.IsOwnLost;
  State.IsOwnLost = Input.Own.IsEvacuated || Input.Own.Load.Targets == 0;
  State.OwnExpectedTime = expectedTime(Input, Input.Own);
  const double Before = leavingShare(State);
  double Wanted = 1;
  if (!State.IsOwnLost) {
    // Targets whose load is unknown get their requests back step by step.
    const bool IsOwnKnown = isLoadKnown(Input.Own);
    State.OwnUtilization = IsOwnKnown ? utilization(Input.Own.Load) : 0;
    State.IsPressed = State.IsPressed && IsOwnKnown;
    Wanted = IsOwnKnown ? excessShare(State, Input, Now)
                        : std::max(State.WantedShare - ShareStepMaximum, 0.0);
  }
  State.WantedShare = Wanted;
  updateAllowances(State, Input, Now);
  std::vector<DomainShare> Limits = shareLimits(State, Input);
  if (State.IsOwnLost && Limits.empty())
    Limits = lastResort(Input);
  const double Limit = sumOf(Limits);
  double Share = std::min(Wanted, Limit);
  if (State.IsOwnLost)
    Share = Limits.empty() ? 0 : shareWhenLost(State, Input, WasLost, Limit);
  else
    Share = followingShare(Before, Share);
  State.Shares.clear();
  for (const DomainShare &Entry : Limits)
    if (Share > 0)
      State.Shares.push_back(
          {Entry.Domain, Share * Entry.Share / Limit, Entry.ExpectedTime});
  record(State, Now);
}

} // namespace comfreyrill
