#pragma once

#include "GatewayDependencies.h"

#include <memory>
#include <vector>

namespace comfreyrill {

/// A target that a probe has found alive, with the connection that the probe
/// used. A request on that connection cannot meet one that has gone stale.
struct FoundTarget {
  ProbedCandidate Candidate;
  Endpoint Address;
  std::shared_ptr<HttpConnection> Connection;
};

/// Probes several targets at the same time.
class TargetProbe {
public:
  explicit TargetProbe(const GatewayDependencies &Dependencies);

  /// Probes the candidates and returns those that answered soon. Later answers
  /// still count for what is known of the targets.
  Awaitable<std::vector<FoundTarget>>
  run(std::vector<TargetCandidate> Candidates, ServiceName Service,
      std::string HealthPath, TimePoint Deadline);

  /// Makes a connection to a target without a probe. A new one cannot have gone
  /// stale.
  Awaitable<std::optional<FoundTarget>> connect(TargetCandidate Candidate);

  /// Gives the connection of a target that is not used back to the pool.
  void release(FoundTarget Unused);

private:
  struct Round;

  Awaitable<void> probeOne(std::shared_ptr<Round> Current,
                           TargetCandidate Candidate);

  const GatewayDependencies &Dependencies;
};

} // namespace comfreyrill
