#include <LibGateway/ProbeTokenBucket.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Share of the rate limit that is used. The rest is a margin for times when
// hosts join or leave and the remaining ones differ in their count of hosts.
constexpr double RateSafetyFactor = 0.9;
// Capacity of the bucket in seconds of its refill rate. Unused tokens allow as
// many probes per request during a burst of requests as before it.
constexpr double BurstSeconds = 3;

} // namespace

ProbeDemand limitDemand(const ProbeDemand &Demand, std::size_t Candidates) {
  return {std::min(Demand.Minimum, Candidates),
          std::min(Demand.Regular, Candidates),
          std::min(Demand.Maximum, Candidates)};
}

std::size_t acquireProbeTokens(ProbeTokenBucket &Bucket,
                               const ProbeRatePolicy &Policy,
                               const ProbeDemand &Demand, TimePoint Now) {
  const double Rate =
      RateSafetyFactor * Policy.PerTargetPerSecond *
      static_cast<double>(Policy.Targets) /
      static_cast<double>(std::max<std::size_t>(Policy.Hosts, 1));
  // The bucket starts empty, so that a fleet that restarts does not exceed the
  // probe rate limit.
  if (Bucket.RefilledAt == TimePoint{})
    Bucket.RefilledAt = Now;
  const double Elapsed =
      std::chrono::duration<double>(Now - Bucket.RefilledAt).count();
  Bucket.RefilledAt = Now;
  Bucket.Tokens = std::min(Bucket.Tokens + Rate * std::max(Elapsed, 0.0),
                           Rate * BurstSeconds);
  const double FillLevel =
      std::clamp(Bucket.Tokens / std::max(Rate * BurstSeconds, 1.0), 0.0, 1.0);
  const std::size_t Maximum = std::max(Demand.Maximum, Demand.Regular);
  const auto Wanted =
      Demand.Regular +
      static_cast<std::size_t>(FillLevel *
                               static_cast<double>(Maximum - Demand.Regular));
  const auto Available = static_cast<std::size_t>(std::max(Bucket.Tokens, 0.0));
  const std::size_t Acquired =
      std::max(Demand.Minimum, std::min(Available, Wanted));
  Bucket.Tokens -= static_cast<double>(Acquired);
  return Acquired;
}

} // namespace comfreyrill
