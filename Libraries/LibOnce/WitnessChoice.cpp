#include <LibOnce/WitnessChoice.h>

namespace comfreyrill {

// Reservoir sampling picks evenly in one pass and allocates nothing.
WitnessChoice chooseWitness(std::span<const WitnessCandidate> Candidates,
                            const HostId &Self, const FailureDomain &Domain,
                            WitnessPlacement Placement, Random &Generator) {
  const WitnessCandidate *AsPlaced = nullptr;
  const WitnessCandidate *Elsewhere = nullptr;
  std::size_t AsPlacedCount = 0;
  std::size_t ElsewhereCount = 0;
  for (const WitnessCandidate &Candidate : Candidates) {
    // An earlier process of this host can still be in the view.
    if (!Candidate.Ready || Candidate.Process.Host == Self ||
        !isHostNameOfKeys(Candidate.Process.Host.Value))
      continue;
    bool Fits = (Candidate.Domain == Domain) ==
                (Placement == WitnessPlacement::SameDomain);
    const WitnessCandidate *&Picked = Fits ? AsPlaced : Elsewhere;
    std::size_t &Count = Fits ? AsPlacedCount : ElsewhereCount;
    if (randomIndex(Generator, ++Count) == 0)
      Picked = &Candidate;
  }
  if (AsPlaced != nullptr)
    return {WitnessChoiceKind::AsPlaced, AsPlaced->Process};
  if (Elsewhere != nullptr)
    return {WitnessChoiceKind::Elsewhere, Elsewhere->Process};
  return {};
}

} // namespace comfreyrill
