#pragma once

#include <LibPlaces/DomainHosts.h>

#include <deque>
#include <map>
#include <optional>

namespace comfreyrill {

/// Number of requests that one host may send to a target within any window of
/// that length; 0 requests when the target is not assigned to the host.
struct HostShare {
  std::uint32_t Requests = 0;
  Duration Window = std::chrono::seconds(1);
};

/// What one host has sent to a target, and its share of what the target bears
/// from all hosts together while it bears less than usual.
struct ShareUse {
  double RatePerSecond = 0;
  HostShare Share;
  /// Time since which the share has not been 0.
  TimePoint AssignedSince;
  TimePoint UsedAt;
  /// Requests within the last window, also from before the rate was limited.
  std::deque<TimePoint> SentAt;
};

/// Returns the share of a host in the requests per second that a target bears.
using ShareFunction = HostShare (*)(const DomainHosts &Hosts,
                                    const TargetId &Target,
                                    double RatePerSecond);

/// The shares of one host in targets that are limited for one reason.
struct TargetShareTable {
  explicit TargetShareTable(ShareFunction ShareOf) : ShareOf(ShareOf) {}

  ShareFunction ShareOf;
  DomainHosts Hosts;
  TimePoint HostsChangedAt;
  /// Unset before the first update.
  std::optional<TimePoint> UpdatedAt;
  std::map<TargetId, ShareUse> Targets;
};

struct ShareVerdict {
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
void updateHosts(TargetShareTable &Table, const DomainHosts &Hosts,
                 TimePoint Now);

/// Tells whether this host may send a request to a target that bears so many
/// requests per second from all hosts together.
ShareVerdict judgeShare(TargetShareTable &Table, const TargetId &Target,
                        const FailureDomain &Domain, double RatePerSecond,
                        TimePoint Now);

/// Returns the verdict of judgeShare without recording a use.
ShareVerdict previewShare(const TargetShareTable &Table, const TargetId &Target,
                          const FailureDomain &Domain, double RatePerSecond,
                          TimePoint Now);

/// Earliest time at which a target that is not admitted may get a request
/// again, of this host or of another one. LimitedUntil is the end of the limit.
TimePoint roomAt(const ShareVerdict &Verdict, TimePoint LimitedUntil,
                 TimePoint Now);

/// Counts a request to a target.
void recordRequest(TargetShareTable &Table, const TargetId &Target,
                   TimePoint Now);
/// Takes back a request, sent at that time or just after, that another target
/// at the address has turned away.
void withdrawRequest(TargetShareTable &Table, const TargetId &Target,
                     TimePoint SentAt);

} // namespace comfreyrill
