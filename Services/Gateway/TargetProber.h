#pragma once

#include "GatewayDependencies.h"

#include <memory>
#include <vector>

namespace comfreyrill {

/// A target that a probe has found alive, with the connection that the probe
/// used. A request on that connection cannot meet one that has gone stale.
struct ConnectedTarget {
  ProbedCandidate Candidate;
  Endpoint Address;
  std::shared_ptr<HttpConnection> Connection;
};

/// Probes several targets at the same time.
class TargetProber {
public:
  explicit TargetProber(const GatewayDependencies &Dependencies);

  /// Probes the candidates and returns those that answered soon. Later answers
  /// still count for what is known of the targets.
  Awaitable<std::vector<ConnectedTarget>>
  run(std::vector<TargetCandidate> Candidates, ServiceName Service,
      std::string HealthPath, TimePoint Deadline);

  /// Makes a connection to a target without a probe. A new one cannot have gone
  /// stale.
  Awaitable<std::optional<ConnectedTarget>> connect(TargetCandidate Candidate);

  /// Gives the connection of a target that is not used back to the pool.
  void release(ConnectedTarget Unused);

private:
  struct ProbeRound;

  Awaitable<void> probeTarget(std::shared_ptr<ProbeRound> Current,
                              TargetCandidate Candidate);

  const GatewayDependencies &Dependencies;
};

} // namespace comfreyrill
