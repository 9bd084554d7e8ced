#pragma once

#include <LibRouting/RoutingState.h>

namespace comfreyrill {

/// Picks a target, or says that the call waits or is refused.
TargetChoice chooseTarget(RoutingState &State, const TargetChoiceInput &Input,
                          TimePoint Now, Random &Generator);

/// Calls of all hosts that are probably at a target now, waiting ones included.
double estimatedLoad(const RoutingState &State, const TargetState &Target,
                     TimePoint Now);

} // namespace comfreyrill
