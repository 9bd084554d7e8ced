#include <LibGateway/TargetSelection.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace comfreyrill {

namespace {

// The slots of a target share memory bandwidth: above this share of busy slots
// its requests take longer, by about this factor.
constexpr double CongestionThreshold = 0.8;
constexpr double CongestionFactor = 1.7;
// A target that has just started runs at about half its speed.
constexpr double ColdStartFactor = 2.0;
// Targets outside the preferred subset are probed when the latest reports of
// the subset show busy or slow targets, because probing one of them mostly
// needs a new connection.
constexpr double OutsideLocalSubsetProbeFactor = 1.4;
constexpr double OutsideRemoteSubsetProbeFactor = 2.6 / 1.7;
// Load that this answers: few requests per host and many targets. Each host
// would open connections to all targets and use most of them once. Targets to
// which it has an idle connection are probed first, so that each host works
// with few targets, and with further ones when these are busy or slow. Targets
// that have just joined are exempt, or they would get nothing in calm times.
constexpr double NewConnectionProbeFactor = 1.5;
// An idle target at its usual speed has a latency factor of 1.
constexpr double GoodEnoughLatencyFactor = 1.3;

double localityFactor(const TargetCandidate &Candidate,
                      const RemoteFactors &Factors) {
  return Candidate.IsInLocalDomain ? 1.0 : Factors.Selection;
}

double probeLocalityFactor(const TargetCandidate &Candidate,
                           const RemoteFactors &Factors) {
  if (Candidate.IsInLocalDomain)
    return Candidate.IsInPreferredSubset ? 1 : OutsideLocalSubsetProbeFactor;
  return Candidate.IsInPreferredSubset
             ? Factors.Probe
             : Factors.Probe * OutsideRemoteSubsetProbeFactor;
}

// Time constant for the exponential decay of a load report's weight. The load
// and the speed of targets change within some hundred milliseconds, so older
// reports are of little use.
constexpr double LoadDecaySeconds = 0.3;
// Most load reports that are older than this no longer hold.
constexpr Duration CachedLoadAgeMaximum = std::chrono::milliseconds(300);
// Random variation of the cost that keeps hosts with the same cached reports
// from probing the same targets.
constexpr double Jitter = 0.35;

// A cached report only keeps requests away from busy or slow targets. A
// preference for idle targets would make all hosts that share load reports send
// to the same few of them.
double cachedLatencyFactor(const TargetCandidate &Candidate) {
  if (!Candidate.LastLoad)
    return 1;
  const double Age = std::chrono::duration<double>(Candidate.LoadAge).count();
  const double Weight = std::exp(-std::max(Age, 0.0) / LoadDecaySeconds);
  const double CachedFactor =
      expectedLatencyFactor({Candidate, *Candidate.LastLoad, true});
  return CachedFactor <= GoodEnoughLatencyFactor
             ? 1
             : 1 + Weight * (CachedFactor - 1);
}

double selectionCost(const ProbedCandidate &Candidate,
                     const RemoteFactors &Factors) {
  return expectedLatencyFactor(Candidate) *
         localityFactor(Candidate.Target, Factors);
}

} // namespace

std::uint32_t usefulSlots(std::uint32_t Slots) {
  const auto UncongestedSlots =
      static_cast<std::uint32_t>(std::floor(CongestionThreshold * Slots));
  return UncongestedSlots >= Slots / CongestionFactor
             ? std::max(UncongestedSlots, 1U)
             : std::max(Slots, 1U);
}

bool hasFreeSlot(const LoadReport &Load) {
  return Load.InFlight < usefulSlots(Load.Slots) && Load.Queued == 0;
}

bool isGoodEnough(const ProbedCandidate &Candidate) {
  return Candidate.IsHealthy && hasFreeSlot(Candidate.Load) &&
         expectedLatencyFactor(Candidate) <= GoodEnoughLatencyFactor;
}

double expectedLatencyFactor(const ProbedCandidate &Candidate) {
  const LoadReport &Load = Candidate.Load;
  const double Slots = std::max(Load.Slots, 1U);
  const double BusySlots = Load.InFlight + 1.0;
  double Factor = std::max(Load.Slowdown, 0.1);
  if (Candidate.Target.IsCold)
    Factor *= ColdStartFactor;
  if (std::min(BusySlots, Slots) / Slots > CongestionThreshold)
    Factor *= CongestionFactor;
  // A queued request waits for the requests ahead of it; on average a slot
  // becomes free every 1/Slots of the processing time.
  const double AheadInQueue = std::max(0.0, BusySlots - Slots) + Load.Queued;
  return Factor * (1 + AheadInQueue / Slots);
}

std::vector<ProbeCost>
probeCosts(const std::vector<TargetCandidate> &Candidates,
           const RemoteFactors &Factors) {
  std::vector<ProbeCost> Costs;
  Costs.reserve(Candidates.size());
  for (const TargetCandidate &Candidate : Candidates)
    Costs.push_back(
        {Candidate.IsSuspect,
         cachedLatencyFactor(Candidate) *
             probeLocalityFactor(Candidate, Factors) *
             (Candidate.HasIdleConnection || Candidate.HasJoinedLately
                  ? 1
                  : NewConnectionProbeFactor)});
  return Costs;
}

std::vector<std::size_t> rankProbes(const std::vector<ProbeCost> &Costs,
                                    std::size_t Count, Random &Generator) {
  struct Ranked {
    std::tuple<bool, double> Order;
    std::size_t Index;
  };
  std::uniform_real_distribution<double> JitterFactor(1 - Jitter, 1 + Jitter);
  std::vector<Ranked> Ranking;
  Ranking.reserve(Costs.size());
  for (std::size_t Index = 0; Index < Costs.size(); ++Index)
    Ranking.push_back(
        {{Costs[Index].IsSuspect, Costs[Index].Cost * JitterFactor(Generator)},
         Index});
  const std::size_t SelectedCount = std::min(Count, Ranking.size());
  std::partial_sort(Ranking.begin(),
                    Ranking.begin() +
                        static_cast<std::ptrdiff_t>(SelectedCount),
                    Ranking.end(), [](const Ranked &One, const Ranked &Other) {
                      return One.Order < Other.Order;
                    });
  std::vector<std::size_t> Chosen;
  for (std::size_t Index = 0; Index < SelectedCount; ++Index)
    Chosen.push_back(Ranking[Index].Index);
  return Chosen;
}

std::vector<TargetCandidate>
selectProbeCandidates(std::vector<TargetCandidate> Candidates,
                      std::size_t Count, Random &Generator,
                      const RemoteFactors &Factors) {
  std::vector<TargetCandidate> Chosen;
  for (const std::size_t Index :
       rankProbes(probeCosts(Candidates, Factors), Count, Generator))
    Chosen.push_back(std::move(Candidates[Index]));
  return Chosen;
}

// Selects at random among the eligible candidates: a ranking would make all
// hosts that share load reports select the same target.
std::optional<std::size_t>
selectFromCachedLoad(const std::vector<TargetCandidate> &Candidates,
                     Random &Generator) {
  std::vector<std::size_t> Eligible;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const TargetCandidate &Candidate = Candidates[Index];
    if (Candidate.IsSuspect || !Candidate.LastLoad ||
        Candidate.LoadAge > CachedLoadAgeMaximum)
      continue;
    LoadReport Load = *Candidate.LastLoad;
    Load.InFlight = std::max(Load.InFlight, Candidate.OwnInFlight);
    if (isGoodEnough({Candidate, Load, true}))
      Eligible.push_back(Index);
  }
  if (Eligible.empty())
    return std::nullopt;
  return Eligible[randomIndex(Generator, Eligible.size())];
}

std::optional<std::size_t>
selectTarget(const std::vector<ProbedCandidate> &Probed,
             const RemoteFactors &Factors) {
  if (Probed.empty())
    return std::nullopt;
  const auto Best = std::min_element(
      Probed.begin(), Probed.end(),
      [&](const ProbedCandidate &One, const ProbedCandidate &Other) {
        return std::tuple(!One.IsHealthy, One.Target.IsSuspect,
                          selectionCost(One, Factors)) <
               std::tuple(!Other.IsHealthy, Other.Target.IsSuspect,
                          selectionCost(Other, Factors));
      });
  return static_cast<std::size_t>(Best - Probed.begin());
}

} // namespace comfreyrill
