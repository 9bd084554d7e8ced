#pragma once

#include <LibCore/Clock.h>
#include <LibManifest/Manifest.h>

#include <cstdint>

namespace comfreyrill {

/// What this host may spend on probes of one service. A new process starts with
/// an empty allowance.
struct ProbeBudget {
  double Allowance = 0;
  TimePoint NextProbe;
  bool Started = false;
  /// Counts for metrics.
  std::uint64_t Calls = 0;
  std::uint64_t Probes = 0;
};

/// Counts a call that this host handles, which earns part of a probe.
void earnProbe(ProbeBudget &Budget, const LoadProbePolicy &Policy,
               TimePoint Now);

/// True when neither the ratio nor the rate forbids a probe now.
bool canProbe(ProbeBudget &Budget, const LoadProbePolicy &Policy,
              std::uint32_t HostsMaximum, TimePoint Now);

/// Takes the probe that canProbe has permitted.
void spendProbe(ProbeBudget &Budget, const LoadProbePolicy &Policy,
                std::uint32_t HostsMaximum, TimePoint Now);

} // namespace comfreyrill
