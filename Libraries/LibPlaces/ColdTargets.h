#pragma once

#include <LibPlaces/ColdShare.h>

#include <deque>
#include <map>
#include <optional>

namespace comfreyrill {

/// What one host has sent to a target whose service limits cold targets, and
/// its share while the target is cold.
struct ColdTargetUse {
  double RatePerSecond = 0;
  ColdShare Share;
  /// Time since which the share has not been 0.
  TimePoint AssignedSince;
  TimePoint UsedAt;
  /// Requests within the last window, also from before the target became cold.
  std::deque<TimePoint> SentAt;
};

/// The state of the limits on cold targets on one host.
struct ColdTargetTable {
  DomainHosts Hosts;
  TimePoint HostsChangedAt;
  /// Unset before the first update.
  std::optional<TimePoint> UpdatedAt;
  std::map<TargetId, ColdTargetUse> Targets;
};

struct ColdVerdict {
  /// The target may get a request of this host now.
  bool IsAdmitted = false;
  /// Time of the next request that the share of this host allows; unset when
  /// the target is not assigned to this host.
  std::optional<TimePoint> RoomAt;
};

/// A newly assigned host does not use a target for this time. Hosts notice
/// within 1.4 s that another one is silent, and a host that joins gets to know
/// the others in that time.
inline constexpr Duration AssignmentDelay = std::chrono::seconds(2);

/// Updates the view of the hosts. Called several times a second, because a
/// longer gap means that this process was frozen and its view is out of date.
void updateHosts(ColdTargetTable &Table, const DomainHosts &Hosts,
                 TimePoint Now);

/// Tells whether this host may send a request to a cold target that bears so
/// many requests per second from all hosts together.
ColdVerdict judgeColdTarget(ColdTargetTable &Table, const TargetId &Target,
                            const FailureDomain &Domain, double RatePerSecond,
                            TimePoint Now);

/// Returns the verdict of judgeColdTarget without recording a use.
ColdVerdict previewColdTarget(const ColdTargetTable &Table,
                              const TargetId &Target,
                              const FailureDomain &Domain, double RatePerSecond,
                              TimePoint Now);

/// Earliest time at which a cold target that is not admitted may get a request
/// again, of this host or of another one.
TimePoint coldRoomAt(const ColdVerdict &Verdict, TimePoint ColdUntil,
                     TimePoint Now);

/// Counts a request to a target, cold or not, whose service limits cold ones.
void recordRequest(ColdTargetTable &Table, const TargetId &Target,
                   TimePoint Now);
/// Takes back a request, sent at that time or just after, that another target
/// at the address has turned away.
void withdrawRequest(ColdTargetTable &Table, const TargetId &Target,
                     TimePoint SentAt);

} // namespace comfreyrill
