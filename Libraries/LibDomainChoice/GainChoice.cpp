#include <LibDomainChoice/GainChoice.h>

#include <algorithm>
#include <cmath>

namespace comfreyrill {

namespace {

// Probes in another domain per round. With more of them, several requests at a
// time would probe the same few free targets there.
constexpr std::size_t OtherProbesMaximum = 2;
// Credit for each local probe. While all domains are short of slots, hardly any
// probe in another domain finds a target, and this is about the share of the
// probes that go there.
constexpr double CreditPerLocalProbe = 0.06;
// Credit for each request that is placed. The probes in another domain are not
// limited while at least one in eight of them finds a target; with 4 instead of
// 8, a domain with a demand of 0.7 answered 0.912 instead of 0.924 in time.
constexpr double CreditPerTaken = 8;
// Bounds the probes that are made in vain when the other domains fill up.
constexpr double CreditMaximum = 16;
// Above this utilization the other domain needs its slots for its own requests.
// With 0.5 instead of 0.4, it lost 0.004 more of its answers in time at a
// demand of 1.3 in the first domain; with 0.3, the callers of that domain were
// served worse than with the fixed factors.
constexpr double UtilizationLimit = 0.4;
// Below this utilization the further probes find a local target nearly always.
// 30% busy slots of a domain of 80 exceed this by chance at one time in twenty;
// with 0.36, 0.0200714 of the requests left on a calm day (bound 0.02).
constexpr double OwnUtilizationMinimum = 0.4;

Duration expectedTime(const GainRequest &Request,
                      const ProbedCandidate &Target) {
  return std::chrono::duration_cast<Duration>(Request.WorkTime *
                                              expectedLatencyFactor(Target));
}

// Compared with the best local target by the expected latency, so that a target
// on which another request runs is taken only where no local one is like it.
bool isFreeAtUsualSpeed(const ProbedCandidate &Candidate) {
  return Candidate.IsHealthy && !Candidate.Target.IsSuspect &&
         !Candidate.Target.IsCold && hasFreeSlot(Candidate.Load) &&
         Candidate.Load.Slowdown <= UsualSlowdownMaximum;
}

// Returns the index of the best local target, or nothing when none was probed.
std::optional<std::size_t> bestLocal(const std::vector<ProbedCandidate> &Probed,
                                     const RemoteFactors &Factors) {
  std::vector<ProbedCandidate> Local;
  std::vector<std::size_t> Indices;
  for (std::size_t Index = 0; Index < Probed.size(); ++Index)
    if (Probed[Index].Target.IsInLocalDomain) {
      Local.push_back(Probed[Index]);
      Indices.push_back(Index);
    }
  const auto Best = selectTarget(Local, Factors);
  return Best ? std::optional(Indices[*Best]) : std::nullopt;
}

} // namespace

std::vector<GainDestination> gainDestinations(const DomainChoiceInput &Input,
                                              TimePoint Now) {
  std::vector<GainDestination> Found;
  const DomainLoad &Own = Input.Own.Load;
  if (Own.UsefulSlots == 0 ||
      Own.BusySlots < OwnUtilizationMinimum * Own.UsefulSlots)
    return Found;
  for (const DomainCondition &Other : Input.Others) {
    const DomainLoad &Load = Other.Load;
    const double Spare = UtilizationLimit * Load.UsefulSlots - Load.BusySlots;
    if (!Other.IsEvacuated && !Other.IsSilent && !Load.IsPressed &&
        Load.KnownTargets > 0 && Other.Age <= DomainLoadAgeMaximum && Spare > 0)
      Found.push_back({Other.Domain, Other.Delay,
                       Spare / std::max(Load.Slowdown, 1.0),
                       Now - Other.Age + DomainLoadAgeMaximum});
  }
  return Found;
}

double gainOfLeaving(const GainRequest &Request, Duration AtHome,
                     Duration Away) {
  const Duration Left = Request.LatencyObjective - Request.Waited;
  if (AtHome > Left && Away <= Left)
    return 1;
  const double Saved = std::chrono::duration<double>(AtHome - Away) /
                       std::max(Request.LatencyObjective, Duration(1));
  return std::clamp(Saved, 0.0, 1.0);
}

std::optional<GainDestination>
chooseByGain(const std::vector<GainDestination> &Destinations,
             const GainRequest &Request,
             const std::vector<ProbedCandidate> &Probed, double BytePrice,
             TimePoint Now, Random &Generator) {
  const auto Local = bestLocal(Probed, {});
  if (!Local || isGoodEnough(Probed[*Local]))
    return std::nullopt;
  const Duration AtHome = expectedTime(Request, Probed[*Local]);
  std::vector<GainDestination> Found;
  for (const GainDestination &Entry : Destinations)
    if (Now <= Entry.KnownUntil &&
        gainOfLeaving(Request, AtHome, Request.WorkTime + 2 * Entry.Delay) >
            BytePrice * Request.Bytes)
      Found.push_back(Entry);
  const auto Drawn =
      randomByWeight(Generator, Found, [](const GainDestination &Entry) {
        return Entry.SpareSlots;
      });
  if (Drawn == Found.end())
    return std::nullopt;
  GainDestination Chosen = *Drawn;
  Chosen.AtHome = AtHome;
  return Chosen;
}

std::vector<TargetCandidate>
selectProbesByGain(std::vector<TargetCandidate> Candidates, std::size_t Count,
                   GainCredit &Credit, Random &Generator,
                   const RemoteFactors &Factors) {
  const auto FirstOther =
      std::stable_partition(Candidates.begin(), Candidates.end(),
                            [](const TargetCandidate &Candidate) {
                              return Candidate.IsInLocalDomain;
                            });
  std::vector<TargetCandidate> Others(
      std::make_move_iterator(FirstOther),
      std::make_move_iterator(Candidates.end()));
  Candidates.erase(FirstOther, Candidates.end());
  const std::size_t OtherCount =
      std::min({Count, OtherProbesMaximum, Others.size(),
                static_cast<std::size_t>(std::max(Credit.Probes, 0.0))});
  auto Chosen = selectProbeCandidates(std::move(Candidates), Count - OtherCount,
                                      Generator, Factors);
  Credit.Probes =
      std::min(Credit.Probes +
                   CreditPerLocalProbe * static_cast<double>(Chosen.size()),
               CreditMaximum) -
      static_cast<double>(OtherCount);
  for (TargetCandidate &Other :
       selectProbeCandidates(std::move(Others), OtherCount, Generator, Factors))
    Chosen.push_back(std::move(Other));
  return Chosen;
}

std::optional<std::size_t>
selectByGain(const std::vector<ProbedCandidate> &Probed,
             const GainRequest &Request,
             const std::optional<GainDestination> &Chosen, double BytePrice,
             const RemoteFactors &Factors) {
  const auto Local = bestLocal(Probed, Factors);
  if (Local && isGoodEnough(Probed[*Local]))
    return Local;
  std::optional<std::size_t> Other;
  for (std::size_t Index = 0; Index < Probed.size(); ++Index) {
    const ProbedCandidate &Candidate = Probed[Index];
    if (!Candidate.Target.IsInLocalDomain && isFreeAtUsualSpeed(Candidate) &&
        (!Other || expectedLatencyFactor(Candidate) <
                       expectedLatencyFactor(Probed[*Other])))
      Other = Index;
  }
  if (!Other || !Chosen)
    return Local;
  const Duration AtHome =
      Local ? expectedTime(Request, Probed[*Local]) : Chosen->AtHome;
  const double Gain =
      gainOfLeaving(Request, AtHome,
                    expectedTime(Request, Probed[*Other]) + 2 * Chosen->Delay);
  return Gain > BytePrice * Request.Bytes ? Other : Local;
}

void recordTaken(GainCredit &Credit) {
  Credit.Probes = std::min(Credit.Probes + CreditPerTaken, CreditMaximum);
}

} // namespace comfreyrill
