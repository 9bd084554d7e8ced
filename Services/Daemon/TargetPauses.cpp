#include "TargetPauses.h"

#include <LibRouting/PausedTargets.h>

namespace comfreyrill {

namespace {

void logPause(const DaemonDependencies &Dependencies,
              const RoutingState &Routing, TargetIndex Index,
              std::string_view Event, std::string_view Reason) {
  const TargetState &Target = Routing.Targets[Index];
  LogLine Line(Event);
  Line.field("service", Routing.Config.Name.Value)
      .field("target", Target.Config.Id.Value)
      .field("length_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                              Target.Pause.EndsAt - Target.Pause.BeganAt)
                              .count())
      .field("reason", Reason);
  Dependencies.Decisions.write(Line);
}

} // namespace

// Each answer to a request that was in flight may extend the pause; only its
// begin is logged, and the whole length when it has ended.
void pauseTarget(const DaemonDependencies &Dependencies,
                 ServiceRuntime &Runtime, TargetIndex Target,
                 Duration Requested, std::string_view Reason) {
  RoutingState &Routing = Runtime.Routing;
  if (!recordPause(Routing, Target, Requested, Dependencies.TimeSource.now()))
    return;
  ++Dependencies.ProcessMetrics.service(Routing.Config.Name).TargetPauses;
  logPause(Dependencies, Routing, Target, "target_paused", Reason);
}

void reportResumption(const DaemonDependencies &Dependencies,
                      const ServiceRuntime &Runtime, TargetIndex Target) {
  const RoutingState &Routing = Runtime.Routing;
  ++Dependencies.ProcessMetrics.service(Routing.Config.Name).TargetResumptions;
  logPause(Dependencies, Routing, Target, "target_resumed", "pause_ended");
}

std::optional<TargetIndex> findSameTarget(const RoutingState &State,
                                          TargetIndex IndexHint,
                                          const TargetConfig &Target) {
  const auto Position = findTarget(State, IndexHint, Target.Id);
  if (Position && State.Targets[*Position].Config.Address == Target.Address)
    return Position;
  return std::nullopt;
}

} // namespace comfreyrill
