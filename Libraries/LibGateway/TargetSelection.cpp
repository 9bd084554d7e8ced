#include <LibGateway/TargetSelection.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace comfreyrill {

namespace {

// Targets share memory bandwidth between their slots: above this share of busy
// slots their work takes longer, by about this factor (site files: knee,
// knee_x).
constexpr double CrowdedShare = 0.8;
constexpr double CrowdedFactor = 1.7;
// A target that has just started works at about half its speed (site files:
// cold_x).
constexpr double ColdFactor = 2.0;
// Bytes between failure domains are priced, so a far target is used only when
// it is expected to answer this much sooner.
constexpr double FarFactor = 1.25;
// A far target is probed before a near one only when the near one was last seen
// crowded or slow: the probe itself costs bytes between failure domains.
constexpr double FarProbeFactor = 1.7;
// The other far targets follow when the preferred ones were seen busy or slow:
// probing one of them mostly costs a new connection.
constexpr double OtherFarProbeFactor = 2.6;
// An idle target at its usual speed has an effort of 1.
constexpr double SatisfyingEffort = 1.3;

double distanceFactor(const TargetCandidate &Candidate) {
  return Candidate.IsInLocalDomain ? 1.0 : FarFactor;
}

double probeDistanceFactor(const TargetCandidate &Candidate) {
  if (Candidate.IsInLocalDomain)
    return 1;
  return Candidate.IsInPreferredSubset ? FarProbeFactor : OtherFarProbeFactor;
}

// The load and the speed of targets change within some hundred milliseconds
// (site files: noise, every_ms); what was heard before says little.
constexpr double MemorySeconds = 0.3;
// Most of what was heard longer ago than this is wrong by now.
constexpr Duration RememberedLoadMaximum = std::chrono::milliseconds(300);
// Keeps hosts with the same memory from probing the same targets.
constexpr double Jitter = 0.35;

// Memory only keeps requests away from targets that were seen busy or slow. If
// it drew them to those that were seen idle, hosts that share what they see
// would all send to the same few.
double rememberedEffort(const TargetCandidate &Candidate) {
  if (!Candidate.LastLoad)
    return 1;
  const double Age = std::chrono::duration<double>(Candidate.LoadAge).count();
  const double Trust = std::exp(-std::max(Age, 0.0) / MemorySeconds);
  const double Known =
      expectedLatencyFactor({Candidate, *Candidate.LastLoad, true});
  return Known <= SatisfyingEffort ? 1 : 1 + Trust * (Known - 1);
}

double placementCost(const ProbedCandidate &Candidate) {
  return expectedLatencyFactor(Candidate) * distanceFactor(Candidate.Target);
}

} // namespace

std::uint32_t usefulSlots(std::uint32_t Slots) {
  const auto Uncrowded =
      static_cast<std::uint32_t>(std::floor(CrowdedShare * Slots));
  return Uncrowded >= Slots / CrowdedFactor ? std::max(Uncrowded, 1U)
                                            : std::max(Slots, 1U);
}

bool hasFreeSlot(const LoadReport &Load) {
  return Load.InFlight < usefulSlots(Load.Slots) && Load.Queued == 0;
}

bool isGoodEnough(const ProbedCandidate &Candidate) {
  return Candidate.IsHealthy && hasFreeSlot(Candidate.Load) &&
         expectedLatencyFactor(Candidate) <= SatisfyingEffort;
}

double expectedLatencyFactor(const ProbedCandidate &Candidate) {
  const LoadReport &Load = Candidate.Load;
  const double Slots = std::max(Load.Slots, 1U);
  const double Busy = Load.InFlight + 1.0;
  double Effort = std::max(Load.Slowdown, 0.1);
  if (Candidate.Target.IsCold)
    Effort *= ColdFactor;
  if (std::min(Busy, Slots) / Slots > CrowdedShare)
    Effort *= CrowdedFactor;
  // A request that joins the queue waits until the ones before it have left;
  // one slot frees up every 1/Slots of the work time on average.
  const double Ahead = std::max(0.0, Busy - Slots) + Load.Queued;
  return Effort * (1 + Ahead / Slots);
}

std::vector<TargetCandidate>
selectProbeCandidates(std::vector<TargetCandidate> Candidates,
                      std::size_t Count, Random &Generator) {
  struct Ranked {
    std::tuple<bool, double> Order;
    std::size_t Index;
  };
  std::uniform_real_distribution<double> Chance(1 - Jitter, 1 + Jitter);
  std::vector<Ranked> Ranking;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const TargetCandidate &Candidate = Candidates[Index];
    const double Cost = rememberedEffort(Candidate) *
                        probeDistanceFactor(Candidate) * Chance(Generator);
    Ranking.push_back({{Candidate.IsSuspect, Cost}, Index});
  }
  const std::size_t Kept = std::min(Count, Ranking.size());
  std::partial_sort(Ranking.begin(),
                    Ranking.begin() + static_cast<std::ptrdiff_t>(Kept),
                    Ranking.end(), [](const Ranked &One, const Ranked &Other) {
                      return One.Order < Other.Order;
                    });
  std::vector<TargetCandidate> Chosen;
  for (std::size_t Index = 0; Index < Kept; ++Index)
    Chosen.push_back(std::move(Candidates[Ranking[Index].Index]));
  return Chosen;
}

// Any of the free ones will do: a ranking would send all hosts that share what
// they remember to the same target.
std::optional<std::size_t>
selectFromCachedLoad(const std::vector<TargetCandidate> &Candidates,
                     Random &Generator) {
  std::vector<std::size_t> Free;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const TargetCandidate &Candidate = Candidates[Index];
    if (Candidate.IsSuspect || !Candidate.LastLoad ||
        Candidate.LoadAge > RememberedLoadMaximum)
      continue;
    LoadReport Load = *Candidate.LastLoad;
    Load.InFlight = std::max(Load.InFlight, Candidate.OwnInFlight);
    if (isGoodEnough({Candidate, Load, true}))
      Free.push_back(Index);
  }
  if (Free.empty())
    return std::nullopt;
  return Free[randomIndex(Generator, Free.size())];
}

std::optional<std::size_t>
selectTarget(const std::vector<ProbedCandidate> &Probed) {
  if (Probed.empty())
    return std::nullopt;
  const auto Best = std::min_element(
      Probed.begin(), Probed.end(),
      [](const ProbedCandidate &One, const ProbedCandidate &Other) {
        return std::tuple(!One.IsHealthy, One.Target.IsSuspect,
                          placementCost(One)) <
               std::tuple(!Other.IsHealthy, Other.Target.IsSuspect,
                          placementCost(Other));
      });
  return static_cast<std::size_t>(Best - Probed.begin());
}

} // namespace comfreyrill
