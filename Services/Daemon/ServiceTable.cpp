#include "ServiceTable.h"

#include <algorithm>

namespace comfreyrill {

namespace {

bool hasPause(const RoutingState &State, TimePoint Now) {
  return std::any_of(State.Targets.begin(), State.Targets.end(),
                     [&](const TargetState &Target) {
                       return isPaused(Target.Pause, Now);
                     }) ||
         std::any_of(State.RemovedPauses.begin(), State.RemovedPauses.end(),
                     [&](const RemovedPause &Removed) {
                       return isPaused(Removed.Pause, Now);
                     });
}

} // namespace

void expireWaiters(ServiceRuntime &Runtime, TimePoint Now) {
  for (const std::uint64_t WaiterId :
       removeExpiredCalls(Runtime.Routing, Now)) {
    const auto Position = Runtime.Waiters.find(WaiterId);
    if (Position == Runtime.Waiters.end())
      continue;
    Runtime.Expired.insert(WaiterId);
    Position->second->cancel();
  }
}

void wakeFirstWaiter(ServiceRuntime &Runtime) {
  const auto WaiterId = headOfQueue(Runtime.Routing.Queue);
  if (!WaiterId)
    return;
  const auto Position = Runtime.Waiters.find(*WaiterId);
  if (Position != Runtime.Waiters.end())
    Position->second->cancel();
}

ServiceTable::ServiceTable(const Clock &TimeSource, PausePolicy Pauses)
    : TimeSource(TimeSource), Pauses(Pauses) {}

void ServiceTable::apply(const Manifest &NewManifest) {
  Current = NewManifest;
  const TimePoint Now = TimeSource.now();
  std::erase_if(PausedServices, [&](const auto &Entry) {
    return !hasPause(Entry.second->Routing, Now);
  });
  Services.merge(PausedServices);
  std::unordered_map<ServiceName, std::shared_ptr<ServiceRuntime>>
      UpdatedServices;
  for (const ServiceConfig &Config : Current.Services) {
    auto Position = Services.find(Config.Name);
    auto Runtime = Position != Services.end()
                       ? Position->second
                       : std::make_shared<ServiceRuntime>();
    Runtime->Routing.Pauses = Pauses;
    updateTargets(Runtime->Routing, Config, Now);
    setHostsMaximum(Runtime->Routing, Current.HostsMaximum);
    setServiceWeight(Usage, Config.Name, Config.FairShare);
    wakeFirstWaiter(*Runtime);
    UpdatedServices.emplace(Config.Name, std::move(Runtime));
  }
  PausedServices.clear();
  for (const auto &[Name, Runtime] : Services)
    if (!UpdatedServices.contains(Name) && hasPause(Runtime->Routing, Now))
      PausedServices.emplace(Name, Runtime);
  Services = std::move(UpdatedServices);
  setLeaving(std::move(LeavingAddresses));
}

void ServiceTable::setLeaving(std::unordered_set<std::string> Addresses) {
  LeavingAddresses = std::move(Addresses);
  for (const auto &[Name, Runtime] : Services) {
    RoutingState &Routing = Runtime->Routing;
    for (TargetIndex Index = 0; Index < Routing.Targets.size(); ++Index) {
      recordLeavingMachine(Routing, Index,
                           isLeaving(Routing.Targets[Index].Config.Address),
                           TimeSource.now());
    }
  }
}

std::shared_ptr<ServiceRuntime>
ServiceTable::find(const ServiceName &Name) const {
  const auto Position = Services.find(Name);
  return Position == Services.end() ? nullptr : Position->second;
}

std::optional<TargetIndex> findTarget(const RoutingState &State,
                                      TargetIndex IndexHint,
                                      const TargetId &Id) {
  const auto &Targets = State.Targets;
  if (IndexHint < Targets.size() && Targets[IndexHint].Config.Id == Id)
    return IndexHint;
  for (TargetIndex Index = 0; Index < Targets.size(); ++Index)
    if (Targets[Index].Config.Id == Id)
      return Index;
  return std::nullopt;
}

} // namespace comfreyrill
