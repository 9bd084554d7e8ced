#pragma once

#include <LibGateway/TargetDirectory.h>
#include <LibLog/RateLimitedLog.h>
#include <LibRouting/TargetRateLimit.h>

#include <cstdint>
#include <map>

namespace comfreyrill {

/// How often this host has learned that a limit has begun, changed or ended.
struct RateLimitCounts {
  std::uint64_t Begun = 0;
  std::uint64_t Changed = 0;
  std::uint64_t Ended = 0;
};

/// The targets that limit the requests from all hosts together, as this host
/// knows them.
class RateLimitedTargets {
public:
  RateLimitedTargets(const Clock &TimeSource, RateLimitedLog &Events);

  /// Records that a process has named a limit.
  void record(const TargetProcess &Process, double RequestsPerSecond,
              RateLimitSource Source);
  /// Records that a process has answered without naming a limit.
  void recordUnlimited(const TargetProcess &Process, RateLimitSource Source,
                       TimePoint SentAt);
  /// Forgets processes that are not registered any more.
  void removeUnregistered(const TargetDirectory &Directory);

  std::size_t size() const { return Limits.size(); }
  const RateLimitCounts &counts() const { return Counts; }

private:
  void log(std::string_view Event, const TargetProcess &Process,
           const TargetRateLimit &Limit, RateLimitSource Source);

  const Clock &TimeSource;
  RateLimitedLog &Events;
  std::map<TargetProcess, TargetRateLimit> Limits;
  RateLimitCounts Counts;
};

} // namespace comfreyrill
