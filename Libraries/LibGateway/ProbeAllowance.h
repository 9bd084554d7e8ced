#pragma once

#include <LibCore/Clock.h>

#include <cstddef>

namespace comfreyrill {

/// Probes that this host may send, as a token bucket.
struct ProbeAllowance {
  double Tokens = 0;
  TimePoint FilledAt;
};

/// What bounds the probes of the whole fleet.
struct ProbePolicy {
  /// Probes of one target a second, by all hosts together.
  double PerTarget = 0;
  std::size_t Targets = 0;
  /// Hosts that share the bound.
  std::size_t Hosts = 1;
};

/// Takes up to Wanted probes from this host's share; returns how many.
std::size_t takeProbes(ProbeAllowance &Allowance, const ProbePolicy &Policy,
                       std::size_t Wanted, TimePoint Now);

} // namespace comfreyrill
