#include <LibRouting/TargetRateLimit.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// A probe costs the target nothing that it limits, so a host finds out soon
// that the limit has ended.
constexpr Duration ProbeRecheckInterval = std::chrono::seconds(5);
// A request counts against the limit. All hosts together check with at most
// this share of it.
constexpr double RecheckShare = 0.25;
// A target with a lower limit, or with none to give, is checked as if it took
// this many requests per second.
constexpr double CheckedRateMinimum = 0.25;

} // namespace

void recordRateLimit(TargetRateLimit &Limit, double RequestsPerSecond,
                     SignalSource Source, std::size_t HostCount, TimePoint Now,
                     Random &Generator) {
  Limit.RequestsPerSecond = RequestsPerSecond;
  Limit.NamedAt = Now;
  Limit.IsNamedByProbes =
      Limit.IsNamedByProbes || Source == SignalSource::Probe;
  postponeRecheck(Limit, HostCount, Now, Generator);
}

// Answers arrive on several connections and may overtake each other: an answer
// that was under way when the target named its limit says nothing.
bool endsRateLimit(const TargetRateLimit &Limit, SignalSource Source,
                   TimePoint SentAt) {
  return SentAt >= Limit.NamedAt &&
         (Source != SignalSource::Probe || Limit.IsNamedByProbes);
}

// The interval is randomized, because many hosts learn of a limit at the same
// time.
void postponeRecheck(TargetRateLimit &Limit, std::size_t HostCount,
                     TimePoint Now, Random &Generator) {
  if (Limit.IsNamedByProbes) {
    Limit.RecheckAt = Now + ProbeRecheckInterval;
    return;
  }
  const double ChecksPerSecond =
      RecheckShare * std::max(Limit.RequestsPerSecond, CheckedRateMinimum);
  std::uniform_real_distribution<double> Factor(0.5, 1.5);
  const std::chrono::duration<double> Interval(
      static_cast<double>(HostCount) / ChecksPerSecond * Factor(Generator));
  Limit.RecheckAt =
      Now + std::max(std::chrono::duration_cast<Duration>(Interval),
                     ProbeRecheckInterval);
}

} // namespace comfreyrill
