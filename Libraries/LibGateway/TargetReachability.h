#pragma once

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
};

void recordSilence(TargetReachability &State, const TargetId &Target);
void recordConnectionFailure(TargetReachability &State, const TargetId &Target);
void recordConnection(TargetReachability &State);
/// Records that a target has answered a probe or a request.
void recordAnswer(TargetReachability &State);

/// True when this host reaches no target, neither on open connections nor on
/// new ones. KnownTargets is the number of registered targets.
bool isCutOff(const TargetReachability &State, std::size_t KnownTargets);

/// True when this host can make no connections to targets. Open connections
/// may still work.
bool cannotConnect(const TargetReachability &State, std::size_t KnownTargets);

} // namespace comfreyrill
