#pragma once

#include <LibCore/Random.h>
#include <LibManifest/Manifest.h>
#include <LibOnce/IdempotencyKey.h>

#include <span>

namespace comfreyrill {

/// A peer process as the membership view shows it.
struct WitnessCandidate {
  HostProcess Process;
  FailureDomain Domain;
  /// Neither starting nor leaving, suspect or lost.
  bool Ready = false;
};

enum class WitnessChoiceKind {
  /// A peer as the placement asks for it.
  AsPlaced,
  /// No ready peer where the placement asks for one; a peer elsewhere.
  Elsewhere,
  /// No ready peer at all. A key is then bound to its issuer alone: once that
  /// process is gone, each call under it is answered unknown.
  NoPeer,
};

struct WitnessChoice {
  WitnessChoiceKind Kind = WitnessChoiceKind::NoPeer;
  std::optional<HostProcess> Witness;
};

/// Picks the witness of a new key, evenly among the peers that fit best.
WitnessChoice chooseWitness(std::span<const WitnessCandidate> Candidates,
                            const HostId &Self, const FailureDomain &Domain,
                            WitnessPlacement Placement, Random &Generator);

} // namespace comfreyrill
