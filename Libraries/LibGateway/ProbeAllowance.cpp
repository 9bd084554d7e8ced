#include <LibGateway/ProbeAllowance.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Part of the agreed bound that is used. The rest covers hosts that count the
// fleet differently while others join or leave.
constexpr double UsedShare = 0.9;
// Unused probes are kept for this long, so that a burst of requests can be
// placed as well as the ones before it.
constexpr double KeptSeconds = 3;

} // namespace

std::size_t takeProbes(ProbeAllowance &Allowance, const ProbePolicy &Policy,
                       const ProbeDemand &Demand, TimePoint Now) {
  const double Rate =
      UsedShare * Policy.PerTarget * static_cast<double>(Policy.Targets) /
      static_cast<double>(std::max<std::size_t>(Policy.Hosts, 1));
  // A process that has just started has saved nothing: a fleet that restarts
  // must not probe above the bound.
  if (Allowance.FilledAt == TimePoint{})
    Allowance.FilledAt = Now;
  const double Elapsed =
      std::chrono::duration<double>(Now - Allowance.FilledAt).count();
  Allowance.FilledAt = Now;
  Allowance.Tokens = std::min(Allowance.Tokens + Rate * std::max(Elapsed, 0.0),
                              Rate * KeptSeconds);
  const double Filled = std::clamp(
      Allowance.Tokens / std::max(Rate * KeptSeconds, 1.0), 0.0, 1.0);
  const std::size_t Most = std::max(Demand.Most, Demand.Usual);
  const auto Wanted =
      Demand.Usual + static_cast<std::size_t>(
                         Filled * static_cast<double>(Most - Demand.Usual));
  const auto Free = static_cast<std::size_t>(std::max(Allowance.Tokens, 0.0));
  const std::size_t Taken = std::max(Demand.Least, std::min(Free, Wanted));
  Allowance.Tokens -= static_cast<double>(Taken);
  return Taken;
}

} // namespace comfreyrill
