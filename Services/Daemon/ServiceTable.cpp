#include "ServiceTable.h"

namespace comfreyrill {

ServiceTable::ServiceTable(const Executor &Context, const Clock &TimeSource)
    : Context(Context), TimeSource(TimeSource) {}

void ServiceTable::apply(const Manifest &Next) {
  Current = Next;
  std::unordered_map<ServiceName, std::shared_ptr<ServiceRuntime>> Kept;
  for (const ServiceConfig &Config : Current.Services) {
    auto Position = Services.find(Config.Name);
    auto Runtime = Position != Services.end()
                       ? Position->second
                       : std::make_shared<ServiceRuntime>(Context);
    updateTargets(Runtime->Routing, Config, TimeSource.now());
    Runtime->SlotFreed.cancel();
    Kept.emplace(Config.Name, std::move(Runtime));
  }
  Services = std::move(Kept);
}

std::shared_ptr<ServiceRuntime>
ServiceTable::find(const ServiceName &Name) const {
  const auto Position = Services.find(Name);
  return Position == Services.end() ? nullptr : Position->second;
}

std::optional<TargetIndex> findTarget(const RoutingState &State,
                                      TargetIndex LikelyIndex,
                                      const TargetId &Id) {
  const auto &Targets = State.Targets;
  if (LikelyIndex < Targets.size() && Targets[LikelyIndex].Config.Id == Id)
    return LikelyIndex;
  for (TargetIndex Index = 0; Index < Targets.size(); ++Index)
    if (Targets[Index].Config.Id == Id)
      return Index;
  return std::nullopt;
}

} // namespace comfreyrill
