#pragma once

#include <LibCore/Random.h>
#include <LibManifest/Manifest.h>
#include <LibOnce/IdempotencyKey.h>

#include <span>

namespace comfreyrill {

/// A peer process of the membership view.
struct WitnessCandidate {
  HostProcess Process;
  FailureDomain Domain;
  /// False for a process that is starting, leaving, suspect or lost.
  bool Ready = false;
};

enum class WitnessChoiceKind {
  /// A ready peer that matches the placement.
  PreferredPlacement,
  /// A ready peer that does not match the placement, because none does.
  FallbackPlacement,
  /// There is no ready peer. The key then depends on its issuer alone: after
  /// the end of that process, each call under the key gets the outcome
  /// "unknown".
  NoPeer,
};

struct WitnessChoice {
  WitnessChoiceKind Kind = WitnessChoiceKind::NoPeer;
  std::optional<HostProcess> Witness;
};

/// Selects the witness of a new key at random, with equal probability for each
/// peer of the best available kind.
WitnessChoice chooseWitness(std::span<const WitnessCandidate> Candidates,
                            const HostId &Self, const FailureDomain &Domain,
                            WitnessPlacement Placement, Random &Generator);

} // namespace comfreyrill
