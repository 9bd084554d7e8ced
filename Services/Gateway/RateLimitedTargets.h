#pragma once

#include <LibCore/Random.h>
#include <LibGateway/TargetDirectory.h>
#include <LibLog/RateLimitedLog.h>
#include <LibPlaces/TargetShares.h>
#include <LibRouting/TargetRateLimit.h>

#include <cstdint>
#include <map>
#include <optional>

namespace comfreyrill {

/// How often this host has learned that a limit has begun, changed or ended.
struct RateLimitCounts {
  std::uint64_t Begun = 0;
  std::uint64_t Changed = 0;
  std::uint64_t Ended = 0;
};

/// What this host may send to a target now.
struct RateLimitVerdict {
  bool MayProbe = true;
  /// Implies MayProbe.
  bool MaySend = true;
  /// Earliest time at which this host or another one may send a request; unset
  /// when this host may probe the target.
  std::optional<TimePoint> RoomAt;
};

/// The targets that limit the requests from all hosts together, as this host
/// knows them, and its shares of the limits. Only hosts of a target's failure
/// domain have shares; the others check from time to time whether the limit
/// still holds.
class RateLimitedTargets {
public:
  RateLimitedTargets(const Clock &TimeSource, Random &Generator,
                     RateLimitedLog &Events);

  /// Updates the hosts among which limits are shared, and the number of all
  /// hosts of the fleet. Called several times a second.
  void updateHosts(const DomainHosts &Hosts, std::size_t FleetHosts);

  /// Records that a process has named a limit.
  void record(const TargetProcess &Process, double RequestsPerSecond,
              SignalSource Source);
  /// Records that a process has answered without naming a limit.
  void recordUnlimited(const TargetProcess &Process, SignalSource Source,
                       TimePoint SentAt);
  /// Forgets processes that are not registered any more.
  void removeUnregistered(const TargetDirectory &Directory);

  RateLimitVerdict judge(const TargetRegistration &Registered) const;
  /// Returns the verdict of judge without recording a use of the share.
  RateLimitVerdict preview(const TargetRegistration &Registered) const;
  /// Counts a request to the process.
  void beginAttempt(const TargetProcess &Process);
  /// Takes back an attempt that another target at the address has turned away.
  void withdrawAttempt(const TargetProcess &Process, TimePoint SentAt);

  std::size_t size() const { return Limits.size(); }
  const RateLimitCounts &counts() const { return Counts; }

private:
  /// Returns the limit of the registered process, or null without one.
  const TargetRateLimit *find(const TargetRegistration &Registered) const;
  void log(std::string_view Event, const TargetProcess &Process,
           const TargetRateLimit &Limit, SignalSource Source);

  const Clock &TimeSource;
  Random &Generator;
  RateLimitedLog &Events;
  std::size_t FleetHosts = 1;
  /// Mutable because judging a target records the time of its last use.
  mutable TargetShareTable Shares;
  std::map<TargetProcess, TargetRateLimit> Limits;
  RateLimitCounts Counts;
};

} // namespace comfreyrill
