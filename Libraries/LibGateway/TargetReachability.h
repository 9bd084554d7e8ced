#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>

#include <cstddef>
#include <set>

namespace comfreyrill {

/// Evidence of one host on whether it reaches targets at all. Single targets
/// fail; when many different ones fail one after the other and none answers,
/// the fault is between this host and all of them.
struct TargetReachability {
  /// Targets that have failed since the last answer of any target.
  std::set<TargetId> Silent;
  /// Targets to which no connection could be made since the last connection to
  /// any target.
  std::set<TargetId> Unconnected;
  TimePoint AnsweredAt = TimePoint::min();
  TimePoint ConnectedAt = TimePoint::min();
};

/// Records that a target has not answered what was sent at SentAt.
void recordSilence(TargetReachability &State, const TargetId &Target,
                   TimePoint SentAt);
/// Records that a connection that was begun at BeganAt could not be made.
void recordConnectionFailure(TargetReachability &State, const TargetId &Target,
                             TimePoint BeganAt);
void recordConnection(TargetReachability &State, TimePoint Now);
/// Records that a target has answered a probe or a request.
void recordAnswer(TargetReachability &State, TimePoint Now);

/// True when this host reaches no target, neither on open connections nor on
/// new ones. KnownTargets is the number of registered targets.
bool isCutOff(const TargetReachability &State, std::size_t KnownTargets);

/// True when this host can make no connections to targets. Open connections
/// may still work.
bool cannotConnect(const TargetReachability &State, std::size_t KnownTargets);

} // namespace comfreyrill
