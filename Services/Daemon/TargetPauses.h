#pragma once

#include "CallExecution.h"

namespace comfreyrill {

/// Records, counts and logs that a target has asked this host for a pause.
/// Reason names the answer that carried the request: "shed" or "probe".
void pauseTarget(const DaemonDependencies &Dependencies,
                 ServiceRuntime &Runtime, TargetIndex Target,
                 Duration Requested, std::string_view Reason);

/// Counts and logs the first attempt at a target after a pause.
void reportResumption(const DaemonDependencies &Dependencies,
                      const ServiceRuntime &Runtime, TargetIndex Target);

/// Returns the position of a target that a new manifest has neither removed nor
/// moved to another address.
std::optional<TargetIndex> findSameTarget(const RoutingState &State,
                                          TargetIndex IndexHint,
                                          const TargetConfig &Target);

} // namespace comfreyrill
