#pragma once

#include "Observation.h"

namespace comfreyrill::chaos {

/// Injects random faults, determined by the seed, until the end of the fault
/// phase, then ends the platform and target faults that are still active.
Awaitable<void> injectFaults(ChaosRun &Current, Fleet &Processes);

/// Restarts the hosts one after another by planned stops.
Awaitable<void> replaceHosts(ChaosRun &Current, Fleet &Processes);

} // namespace comfreyrill::chaos
