#pragma once

#include <LibGateway/Configuration.h>
#include <LibGateway/TargetDirectory.h>
#include <LibGateway/TargetSelection.h>
#include <LibRouting/Outlier.h>
#include <LibRouting/TargetPause.h>

#include <string_view>
#include <vector>

namespace comfreyrill {

/// Why a target of a service is not a candidate for a request.
enum class TargetExclusion {
  None,
  /// The target has said that it leaves.
  Leaving,
  /// The registration comes from a restored copy of the store.
  HeldBack,
  /// The failure domain of the target is evacuated.
  Evacuated,
  /// The target has asked for a pause, or resumes after one and has as many
  /// requests of this host as it may have.
  Paused,
  /// The target is cold, and this host may send nothing to it now.
  Cold,
  /// The target limits its requests, and this host may send nothing to it now.
  RateLimited,
  /// The request may not use the failure domain of the target.
  OtherDomain,
};

std::string_view targetExclusionName(TargetExclusion Exclusion);

/// What one host knows of a target. The referenced objects outlive the facts.
struct TargetFacts {
  const DirectoryEntry &Entry;
  bool IsEvacuated = false;
  /// Pause of the registered process; null without one.
  const TargetPause *Pause = nullptr;
  /// Requests of this host in flight at the target.
  std::uint32_t InFlight = 0;
};

/// Returns the reason for which the target may receive nothing, whether or not
/// it is cold.
TargetExclusion findExclusion(const TargetFacts &Facts, TimePoint Now);

/// Statistics of a target that is a candidate.
struct CandidateStats {
  /// Without ejections that are over.
  const OutlierState &Outlier;
  const std::optional<LoadReport> &Load;
  TimePoint LoadObservedAt;
  /// Times at which this host first listed the target and its service.
  TimePoint FirstListedAt;
  TimePoint ServiceListedAt;
};

TargetCandidate makeCandidate(const TargetFacts &Facts,
                              const CandidateStats &Stats,
                              const FailureDomain &HostDomain, TimePoint Now);

/// Marks the preferred subset of the local and of the remote candidates.
/// Preferences holds a random number between 0 and 1 for each candidate, which
/// each host draws once.
void markPreferredSubsets(std::vector<TargetCandidate> &Candidates,
                          const std::vector<double> &Preferences);

/// Lets candidates on probation count as suspect for requests that must run at
/// most once.
void applySemantics(std::vector<TargetCandidate> &Candidates,
                    ExecutionSemantics Semantics);

} // namespace comfreyrill
