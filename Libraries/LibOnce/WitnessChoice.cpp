#include <LibOnce/WitnessChoice.h>

namespace comfreyrill {

// Reservoir sampling gives each peer the same probability in one pass and
// without an allocation.
WitnessChoice chooseWitness(std::span<const WitnessCandidate> Candidates,
                            const HostId &Self, const FailureDomain &Domain,
                            WitnessPlacement Placement, Random &Generator) {
  const WitnessCandidate *PreferredPlacement = nullptr;
  const WitnessCandidate *FallbackPlacement = nullptr;
  std::size_t PreferredCount = 0;
  std::size_t FallbackCount = 0;
  for (const WitnessCandidate &Candidate : Candidates) {
    // An earlier process of this host can still be in the membership view.
    if (!Candidate.Ready || Candidate.Process.Host == Self ||
        !isValidKeyHostName(Candidate.Process.Host.Value))
      continue;
    bool MatchesPlacement = (Candidate.Domain == Domain) ==
                            (Placement == WitnessPlacement::SameDomain);
    const WitnessCandidate *&Picked =
        MatchesPlacement ? PreferredPlacement : FallbackPlacement;
    std::size_t &Count = MatchesPlacement ? PreferredCount : FallbackCount;
    if (randomIndex(Generator, ++Count) == 0)
      Picked = &Candidate;
  }
  if (PreferredPlacement != nullptr)
    return {WitnessChoiceKind::PreferredPlacement, PreferredPlacement->Process};
  if (FallbackPlacement != nullptr)
    return {WitnessChoiceKind::FallbackPlacement, FallbackPlacement->Process};
  return {};
}

} // namespace comfreyrill
