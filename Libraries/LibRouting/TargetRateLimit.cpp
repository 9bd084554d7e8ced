#include <LibRouting/TargetRateLimit.h>

namespace comfreyrill {

void recordRateLimit(TargetRateLimit &Limit, double RequestsPerSecond,
                     RateLimitSource Source, TimePoint Now) {
  Limit.RequestsPerSecond = RequestsPerSecond;
  Limit.NamedAt = Now;
  Limit.IsNamedByProbes =
      Limit.IsNamedByProbes || Source == RateLimitSource::Probe;
}

// Answers arrive on several connections and may overtake each other: an answer
// that was under way when the target named its limit says nothing.
bool endsRateLimit(const TargetRateLimit &Limit, RateLimitSource Source,
                   TimePoint SentAt) {
  return SentAt >= Limit.NamedAt &&
         (Source == RateLimitSource::Answer || Limit.IsNamedByProbes);
}

} // namespace comfreyrill
