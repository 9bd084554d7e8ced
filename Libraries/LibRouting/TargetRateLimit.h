#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibRouting/SignalSource.h>

#include <cstddef>

namespace comfreyrill {

/// Limit on the requests from all hosts together that one process of a target
/// names in its answers, as one host knows it.
struct TargetRateLimit {
  double RequestsPerSecond = 0;
  /// Time at which the limit was named last.
  TimePoint NamedAt;
  /// Answers to probes have named the limit, so that a probe shows whether it
  /// still holds.
  bool IsNamedByProbes = false;
  /// Time from which a host without a share of the limit checks whether it
  /// still holds: with a probe, or with a request where probes do not tell.
  TimePoint RecheckAt;
};

/// Records that an answer has named a limit. HostCount is the number of hosts
/// that may know it.
void recordRateLimit(TargetRateLimit &Limit, double RequestsPerSecond,
                     SignalSource Source, std::size_t HostCount, TimePoint Now,
                     Random &Generator);

/// Returns true when an answer without a limit, to a request or probe that was
/// sent at SentAt, shows that the limit has ended.
bool endsRateLimit(const TargetRateLimit &Limit, SignalSource Source,
                   TimePoint SentAt);

/// Puts off the next check. Called when a request is sent as a check.
void postponeRecheck(TargetRateLimit &Limit, std::size_t HostCount,
                     TimePoint Now, Random &Generator);

} // namespace comfreyrill
