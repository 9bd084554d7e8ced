#include <LibGateway/ProbeTokenBucket.h>

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

std::size_t acquireProbeTokens(ProbeTokenBucket &Bucket,
                               const ProbeRatePolicy &Policy,
                               const ProbeDemand &Demand, TimePoint Now) {
  const double Rate =
      UsedShare * Policy.PerTarget * static_cast<double>(Policy.Targets) /
      static_cast<double>(std::max<std::size_t>(Policy.Hosts, 1));
  // A process that has just started has saved nothing: a fleet that restarts
  // must not probe above the bound.
  if (Bucket.FilledAt == TimePoint{})
    Bucket.FilledAt = Now;
  const double Elapsed =
      std::chrono::duration<double>(Now - Bucket.FilledAt).count();
  Bucket.FilledAt = Now;
  Bucket.Tokens = std::min(Bucket.Tokens + Rate * std::max(Elapsed, 0.0),
                           Rate * KeptSeconds);
  const double Filled =
      std::clamp(Bucket.Tokens / std::max(Rate * KeptSeconds, 1.0), 0.0, 1.0);
  const std::size_t Maximum = std::max(Demand.Maximum, Demand.Regular);
  const auto Wanted =
      Demand.Regular +
      static_cast<std::size_t>(Filled *
                               static_cast<double>(Maximum - Demand.Regular));
  const auto Free = static_cast<std::size_t>(std::max(Bucket.Tokens, 0.0));
  const std::size_t Taken = std::max(Demand.Minimum, std::min(Free, Wanted));
  Bucket.Tokens -= static_cast<double>(Taken);
  return Taken;
}

} // namespace comfreyrill
