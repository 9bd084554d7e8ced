#include <LibRouting/ProbeBudget.h>

#include <algorithm>
#include <cmath>

namespace comfreyrill {

namespace {

// A small bucket keeps probes close in time to the calls that added the tokens.
constexpr double TokensMaximum = 2;

// The token count is a sum of fractions; rounding must never permit an extra
// probe.
constexpr double RoundingTolerance = 1e-9;

// Limits the interval, so that a very low rate cannot overflow Duration.
constexpr double IntervalMaximumSeconds = 86400;

Duration probeInterval(const LoadProbePolicy &Policy,
                       std::uint32_t HostsMaximum) {
  const double Seconds =
      std::min(HostsMaximum / Policy.ProbesPerSecond, IntervalMaximumSeconds);
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(Seconds));
}

// Spreads the probes of hosts that start at the same time. The low digits of
// the start time serve as a source of randomness.
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

void addProbeTokens(ProbeBudget &Budget, const LoadProbePolicy &Policy,
                    TimePoint /*Now*/) {
  ++Budget.Calls;
  Budget.Tokens = std::min(Budget.Tokens + Policy.ProbesPerHundredCalls / 100,
                           TokensMaximum);
}

// A minimum interval between probes, not a token bucket, limits the rate. A
// host that was paused or replaced thus accumulates no probes, and any number
// of hosts up to HostsMaximum stays below the rate limit of the fleet.
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
  return Now >= Budget.NextProbe && Budget.Tokens >= 1 + RoundingTolerance;
}

void takeProbeToken(ProbeBudget &Budget, const LoadProbePolicy &Policy,
                    std::uint32_t HostsMaximum, TimePoint Now) {
  Budget.Tokens -= 1;
  Budget.NextProbe = Now + probeInterval(Policy, HostsMaximum);
  ++Budget.Probes;
}

} // namespace comfreyrill
