#pragma once

#include <LibRouting/RoutingState.h>

namespace comfreyrill {

/// Chooses a target for an attempt, or decides that the call waits or is
/// refused.
TargetChoice chooseTarget(RoutingState &State, const TargetChoiceInput &Input,
                          TimePoint Now, Random &Generator);

/// Estimated number of calls of all hosts that run or wait at a target now.
double estimatedLoad(const RoutingState &State, const TargetState &Target,
                     TimePoint Now);

} // namespace comfreyrill
