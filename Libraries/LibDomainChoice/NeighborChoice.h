#pragma once

#include <LibCore/Clock.h>
#include <LibDomainChoice/RequestChoice.h>
#include <LibGateway/TargetSelection.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace comfreyrill {

/// What a request that stays has found in its failure domain so far.
struct LocalSearch {
  /// Share of the useful slots of the own targets that are busy.
  double Utilization = 0;
  std::size_t ProbedTargets = 0;
  std::size_t UsableTargets = 0;
  /// Largest one-way delay to a domain that the request may use, as far as it
  /// is known.
  Duration Delay{0};
};

/// Decides whether the further probes for a request that stays may go to other
/// domains, because its probes have found no local target that is good enough.
/// Returns how much better a target there must be.
std::optional<RemoteFactors> factorsForNeighbors(const LeavingRequest &Request,
                                                 const LocalSearch &Search,
                                                 double BytePrice);

/// Lets the further probes for a request that stays go to other domains if
/// factorsForNeighbors() allows it after the probes so far. Utilization is that
/// of the own domain, NeighborDelay the largest one-way delay to another one.
/// Without usable local targets nothing changes, because such a request may use
/// all others already.
void widenSearch(RequestChoice &Choice,
                 const std::vector<ProbedCandidate> &Probed,
                 const LeavingRequest &Request, double Utilization,
                 Duration NeighborDelay, double BytePrice);

/// Returns the index of the target for a request that stays. A target of
/// another domain is used only if it is free and at its usual speed, or if no
/// local one was probed.
std::optional<std::size_t>
selectStaying(const std::vector<ProbedCandidate> &Probed,
              const RemoteFactors &Factors);

} // namespace comfreyrill
