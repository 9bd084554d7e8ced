#pragma once

#include <LibCore/Clock.h>

#include <cstddef>

namespace comfreyrill {

/// Probes that this host may send, as a token bucket.
struct ProbeTokenBucket {
  double Tokens = 0;
  TimePoint FilledAt;
};

/// What bounds the probes of the whole fleet.
struct ProbeRatePolicy {
  /// Probes of one target a second, by all hosts together.
  double PerTarget = 0;
  std::size_t Targets = 0;
  /// Hosts that share the bound.
  std::size_t Hosts = 1;
};

/// How many probes a decision asks for.
struct ProbeDemand {
  /// Taken in any case, on credit when the share is used up.
  std::size_t Minimum = 0;
  /// Taken while the share lasts.
  std::size_t Regular = 0;
  /// Taken when hardly any of the share has been used lately.
  std::size_t Maximum = 0;
};

/// Takes probes from this host's share; returns how many.
std::size_t acquireProbeTokens(ProbeTokenBucket &Bucket,
                               const ProbeRatePolicy &Policy,
                               const ProbeDemand &Demand, TimePoint Now);

} // namespace comfreyrill
