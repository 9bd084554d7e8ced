#include <LibGateway/Placement.h>

#include <algorithm>
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
constexpr double FarFactor = 1.15;

double placementCost(const ProbedCandidate &Candidate) {
  return expectedEffort(Candidate) *
         (Candidate.Target.IsNear ? 1.0 : FarFactor);
}

} // namespace

bool hasFreeSlot(const LoadReport &Load) {
  return Load.InFlight < std::max(Load.Slots, 1U) && Load.Queued == 0;
}

double expectedEffort(const ProbedCandidate &Candidate) {
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

std::vector<PlacementCandidate>
chooseProbes(std::vector<PlacementCandidate> Candidates, std::size_t Count,
             Random &Generator) {
  std::shuffle(Candidates.begin(), Candidates.end(), Generator);
  std::stable_sort(
      Candidates.begin(), Candidates.end(),
      [](const PlacementCandidate &One, const PlacementCandidate &Other) {
        return std::tuple(One.IsDoubtful, !One.IsNear) <
               std::tuple(Other.IsDoubtful, !Other.IsNear);
      });
  if (Candidates.size() > Count)
    Candidates.resize(Count);
  return Candidates;
}

std::optional<std::size_t>
choosePlacement(const std::vector<ProbedCandidate> &Probed) {
  if (Probed.empty())
    return std::nullopt;
  const auto Best = std::min_element(
      Probed.begin(), Probed.end(),
      [](const ProbedCandidate &One, const ProbedCandidate &Other) {
        return std::tuple(!One.IsHealthy, One.Target.IsDoubtful,
                          placementCost(One)) <
               std::tuple(!Other.IsHealthy, Other.Target.IsDoubtful,
                          placementCost(Other));
      });
  return static_cast<std::size_t>(Best - Probed.begin());
}

} // namespace comfreyrill
