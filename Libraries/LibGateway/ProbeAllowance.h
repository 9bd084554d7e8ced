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

/// How many probes a decision asks for.
struct ProbeDemand {
  /// Taken in any case, on credit when the share is used up.
  std::size_t Least = 0;
  /// Taken while the share lasts.
  std::size_t Usual = 0;
  /// Taken when hardly any of the share has been used lately.
  std::size_t Most = 0;
};

/// Takes probes from this host's share; returns how many.
std::size_t takeProbes(ProbeAllowance &Allowance, const ProbePolicy &Policy,
                       const ProbeDemand &Demand, TimePoint Now);

} // namespace comfreyrill
