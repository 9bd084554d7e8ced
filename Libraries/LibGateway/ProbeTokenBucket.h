#pragma once

#include <LibCore/Clock.h>

#include <array>
#include <cstddef>

namespace comfreyrill {

/// Token bucket that limits the probes of this host.
struct ProbeTokenBucket {
  double Tokens = 0;
  TimePoint RefilledAt;
};

/// Limit on the probes of the whole fleet.
struct ProbeRatePolicy {
  /// Probes per second that one target gets from all hosts together.
  double PerTargetPerSecond = 0;
  std::size_t Targets = 0;
  /// Number of hosts that share the limit.
  std::size_t Hosts = 1;
};

/// Number of probes requested for one round of target selection.
struct ProbeDemand {
  /// Granted in any case; without enough tokens the balance becomes negative.
  std::size_t Minimum = 0;
  /// Granted while tokens are available.
  std::size_t Regular = 0;
  /// Granted when the bucket is full. The number of probes rises from Regular
  /// to Maximum with the fill level.
  std::size_t Maximum = 0;
};

/// Probes for one request. The rounds end as soon as a target with a free slot
/// and its usual speed is found. The first probe also verifies the connection
/// before a request is put at risk on it.
inline constexpr std::array<ProbeDemand, 2> ProbesByRound{
    {{1, 3, 5}, {0, 5, 6}}};

/// Returns a demand of at most one probe for each candidate.
ProbeDemand limitDemand(const ProbeDemand &Demand, std::size_t Candidates);

/// Takes tokens for probes from this host's bucket; returns their number.
std::size_t acquireProbeTokens(ProbeTokenBucket &Bucket,
                               const ProbeRatePolicy &Policy,
                               const ProbeDemand &Demand, TimePoint Now);

} // namespace comfreyrill
