#pragma once

#include <LibMembership/MemberTable.h>

namespace comfreyrill {

/// How this host asks the platform for new documents.
struct PlatformPollingPlan {
  /// Keep one watch pending; after a failure, try again after RetryInterval.
  bool IsWatcher = false;
  Duration RetryInterval = Duration::zero();
  /// Time between two reads of a host that does not watch. Grows with the
  /// number of hosts, so that the call rate of all of them stays the same.
  Duration PollInterval = Duration::zero();
};

PlatformPollingPlan platformPollingPlan(const MemberTable &Table,
                                        TimePoint Now);

/// The two hosts that watch the platform in the view of this one, the highest
/// rank first; fewer when fewer are alive.
std::vector<HostId> watchers(const MemberTable &Table, TimePoint Now);

/// True when this host should follow the platform's store for the hosts of the
/// table. A host that does so successfully keeps the role; otherwise it goes to
/// the one of the highest rank that has not failed to reach the store. When
/// several hosts have failed, the store is taken to be away and nobody else
/// tries until one of them may again.
bool isStoreWatcher(const MemberTable &Table, TimePoint Now);

/// True when this host writes the report and maintains the `hosts` object.
/// False until the host has had the time to hear the others.
bool isReporter(const MemberTable &Table, TimePoint Now);

/// One line of the report.
struct MemberStatus {
  HostDescription Description;
  Liveness State = Liveness::Alive;
  /// How long the host has announced an older manifest than this host's.
  Duration Behind = Duration::zero();
};

/// All hosts that are not forgotten, this one included, sorted by host id.
std::vector<MemberStatus> memberStatuses(const MemberTable &Table,
                                         TimePoint Now);

} // namespace comfreyrill
