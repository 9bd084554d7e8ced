#pragma once

#include <LibRouting/RoutingState.h>

#include <optional>

namespace comfreyrill {

/// Records that a target has asked this host to send nothing for a time.
/// Returns true when a pause begins, false when one is extended or when no time
/// is asked for.
bool recordPause(RoutingState &State, TargetIndex Target, Duration Requested,
                 TimePoint Now);

/// True when a request that was chosen for the target may still be sent to it.
bool mayStillSend(const TargetState &Target, TimePoint Now);

/// Returns the earliest end of a pause while no target can be used because each
/// is paused or draining; otherwise, and when none is paused, nothing.
std::optional<TimePoint> allPausedUntil(RoutingState &State, TimePoint Now);

/// Time after which a caller that is refused because of pauses should try
/// again. The random part spreads the callers over the time after the end.
Duration retryDelay(TimePoint PauseEnd, TimePoint Now, Random &Generator);

/// Restores the pause of a target that an earlier configuration listed, if it
/// has not ended.
void restorePause(RoutingState &State, TargetState &Target, TimePoint Now);

/// Keeps the pauses of the targets that NextConfig does not list.
void keepRemovedPauses(RoutingState &State, const ServiceConfig &NextConfig,
                       TimePoint Now);

} // namespace comfreyrill
