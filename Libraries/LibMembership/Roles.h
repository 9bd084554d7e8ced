#pragma once

#include <LibMembership/MemberTable.h>

namespace comfreyrill {

/// How this host learns of new documents on the platform.
struct PlatformPollingPlan {
  /// True when this host keeps a watch pending. A failed watch is repeated
  /// after RetryInterval.
  bool IsWatcher = false;
  Duration RetryInterval = Duration::zero();
  /// Time after which a watch without a change is to be repeated.
  Duration WatchTime = Duration::zero();
  /// Time between two reads of a host that does not watch. Grows with the
  /// number of hosts, so that their total call rate stays the same.
  Duration PollInterval = Duration::zero();
};

PlatformPollingPlan platformPollingPlan(const MemberTable &Table,
                                        TimePoint Now);

/// The hosts that watch the platform in this host's view, the highest rank
/// first: two, or fewer when fewer are alive.
std::vector<HostId> platformWatchers(const MemberTable &Table, TimePoint Now);

/// True when the first host comes before the other one in the choice of hosts
/// that talk to the platform: ready ones that reach it come first, then the
/// rank decides.
bool isPreferredWatcher(const HostDescription &One, std::uint64_t OneRank,
                        const HostDescription &Other, std::uint64_t OtherRank);

/// True when this host writes the `report` object and maintains the `hosts`
/// object. False until the host has run long enough to receive heartbeats from
/// the other hosts.
bool isReporter(const MemberTable &Table, TimePoint Now);

/// The status of one host, as listed in the report.
struct MemberStatus {
  HostDescription Description;
  Liveness State = Liveness::Alive;
  /// Time for which the host has announced an older manifest than this host's.
  Duration ManifestLag = Duration::zero();
};

/// The status of all hosts in the table and of this host, sorted by host id.
std::vector<MemberStatus> memberStatuses(const MemberTable &Table,
                                         TimePoint Now);

} // namespace comfreyrill
