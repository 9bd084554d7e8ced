#pragma once

#include <LibCore/Clock.h>

namespace comfreyrill {

/// Kind of answer that names a limit, or no limit any more.
enum class RateLimitSource { Answer, Probe };

/// Limit on the requests from all hosts together that one process of a target
/// names in its answers, as one host knows it.
struct TargetRateLimit {
  double RequestsPerSecond = 0;
  /// Time at which the limit was named last.
  TimePoint NamedAt;
  /// Answers to probes have named the limit, so that a probe shows whether it
  /// still holds.
  bool IsNamedByProbes = false;
};

/// Records that an answer has named a limit.
void recordRateLimit(TargetRateLimit &Limit, double RequestsPerSecond,
                     RateLimitSource Source, TimePoint Now);

/// Returns true when an answer without a limit, to a request or probe that was
/// sent at SentAt, shows that the limit has ended.
bool endsRateLimit(const TargetRateLimit &Limit, RateLimitSource Source,
                   TimePoint SentAt);

} // namespace comfreyrill
