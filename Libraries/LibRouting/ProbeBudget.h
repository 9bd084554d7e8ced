#pragma once

#include <LibCore/Clock.h>
#include <LibManifest/Manifest.h>

#include <cstdint>

namespace comfreyrill {

/// Budget of this host for probes of one service: a token bucket refilled by
/// calls, and a minimum interval between probes. A new process starts without
/// tokens.
struct ProbeBudget {
  double Tokens = 0;
  TimePoint NextProbe;
  bool Started = false;
  /// Totals for metrics.
  std::uint64_t Calls = 0;
  std::uint64_t Probes = 0;
};

/// Counts a call that this host handles and adds a fraction of a token.
void addProbeTokens(ProbeBudget &Budget, const LoadProbePolicy &Policy,
                    TimePoint Now);

/// Returns true if both the ratio to calls and the rate permit a probe now. The
/// first call starts the interval and returns false.
bool canProbe(ProbeBudget &Budget, const LoadProbePolicy &Policy,
              std::uint32_t HostsMaximum, TimePoint Now);

/// Takes the token for a probe that canProbe() has permitted and starts the
/// next interval.
void takeProbeToken(ProbeBudget &Budget, const LoadProbePolicy &Policy,
                    std::uint32_t HostsMaximum, TimePoint Now);

} // namespace comfreyrill
