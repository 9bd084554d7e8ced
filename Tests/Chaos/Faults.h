#pragma once

#include "Observation.h"

namespace comfreyrill::chaos {

/// Draws faults from the seed and applies them until the time of faults ends;
/// then ends those that go on.
Awaitable<void> causeFaults(Run &Current, Fleet &Processes);

/// Replaces the hosts one after another by planned stops.
Awaitable<void> replaceHosts(Run &Current, Fleet &Processes);

} // namespace comfreyrill::chaos
