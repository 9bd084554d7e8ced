#include <LibRouting/Probe.h>

#include <algorithm>
#include <cmath>

namespace comfreyrill {

namespace {

// A small store keeps probes close to the calls that paid for them.
constexpr double AllowanceMaximum = 2;

// The allowance is a sum of fractions; rounding up must never add a probe.
constexpr double RoundingTolerance = 1e-9;

// Longest interval that is computed, so that a tiny rate cannot overflow.
constexpr double IntervalMaximumSeconds = 86400;

Duration probeInterval(const LoadProbePolicy &Policy,
                       std::uint32_t HostsMaximum) {
  const double Seconds =
      std::min(HostsMaximum / Policy.ProbesPerSecond, IntervalMaximumSeconds);
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(Seconds));
}

// Spreads the probes of hosts that start together. The low digits of the start
// time are as good as random.
Duration startDelay(Duration Interval, TimePoint Now) {
  constexpr std::uint64_t Mixer = 0x9E3779B97F4A7C15;
  constexpr int FractionBits = 20;
  const std::uint64_t Mixed =
      static_cast<std::uint64_t>(Now.time_since_epoch().count()) * Mixer;
  const double Fraction =
      static_cast<double>(Mixed >> (64 - FractionBits)) / (1 << FractionBits);
  return std::chrono::duration_cast<Duration>(Interval * Fraction);
}

} // namespace

void earnProbe(ProbeBudget &Budget, const LoadProbePolicy &Policy,
               TimePoint /*Now*/) {
  ++Budget.Calls;
  Budget.Allowance = std::min(
      Budget.Allowance + Policy.ProbesPerHundredCalls / 100, AllowanceMaximum);
}

// The interval between two probes, rather than a bucket that fills, bounds the
// rate: a host that was paused or replaced has nothing saved up, so any number
// of hosts up to the maximum stays below the rate of the fleet.
bool canProbe(ProbeBudget &Budget, const LoadProbePolicy &Policy,
              std::uint32_t HostsMaximum, TimePoint Now) {
  if (Policy.ProbesPerSecond <= 0 || Policy.ProbesPerHundredCalls <= 0 ||
      HostsMaximum == 0)
    return false;
  const Duration Interval = probeInterval(Policy, HostsMaximum);
  if (!Budget.Started) {
    Budget.Started = true;
    Budget.NextProbe = Now + Interval + startDelay(Interval, Now);
    return false;
  }
  return Now >= Budget.NextProbe && Budget.Allowance >= 1 + RoundingTolerance;
}

void spendProbe(ProbeBudget &Budget, const LoadProbePolicy &Policy,
                std::uint32_t HostsMaximum, TimePoint Now) {
  Budget.Allowance -= 1;
  Budget.NextProbe = Now + probeInterval(Policy, HostsMaximum);
  ++Budget.Probes;
}

} // namespace comfreyrill
