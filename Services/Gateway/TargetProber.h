#pragma once

#include "GatewayDependencies.h"

#include <memory>
#include <vector>

namespace comfreyrill {

/// A target with a connection that a probe has just verified or that is new, so
/// that a request is not sent on a stale connection.
struct ConnectedTarget {
  ProbedCandidate Candidate;
  Endpoint Address;
  std::shared_ptr<HttpConnection> Connection;
};

/// Returns the process of the target to which the connection was made.
TargetProcess processOf(const TargetCandidate &Candidate);

/// Probes several targets in parallel.
class TargetProber {
public:
  explicit TargetProber(const GatewayDependencies &Dependencies);

  /// Probes the candidates and returns those that answered in time, with
  /// connections that have not carried the request. Later answers still update
  /// the load and the health state of their targets.
  Awaitable<std::vector<ConnectedTarget>>
  run(std::vector<TargetCandidate> Candidates, ServiceName Service,
      std::string HealthPath, RequestDigest Request, TimePoint Deadline);

  /// Opens a new connection to a target without probing it. Pooled connections
  /// are not used, because they may be stale. Returns nothing for a target
  /// that may not be used for the service any more.
  Awaitable<std::optional<ConnectedTarget>> connect(TargetCandidate Candidate,
                                                    ServiceName Service);

  /// Returns the connection of an unused target to the pool.
  void release(ConnectedTarget Unused);

private:
  struct ProbeRound;

  Awaitable<void> probeTarget(std::shared_ptr<ProbeRound> Current,
                              TargetCandidate Candidate);
  static void finishProbe(ProbeRound &Current);

  const GatewayDependencies &Dependencies;
};

} // namespace comfreyrill
