#include "ServiceTable.h"

namespace comfreyrill {

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

ServiceTable::ServiceTable(const Clock &TimeSource) : TimeSource(TimeSource) {}

void ServiceTable::apply(const Manifest &NewManifest) {
  Current = NewManifest;
  std::unordered_map<ServiceName, std::shared_ptr<ServiceRuntime>>
      UpdatedServices;
  for (const ServiceConfig &Config : Current.Services) {
    auto Position = Services.find(Config.Name);
    auto Runtime = Position != Services.end()
                       ? Position->second
                       : std::make_shared<ServiceRuntime>();
    updateTargets(Runtime->Routing, Config, TimeSource.now());
    setHostsMaximum(Runtime->Routing, Current.HostsMaximum);
    setServiceWeight(Usage, Config.Name, Config.FairShare);
    wakeFirstWaiter(*Runtime);
    UpdatedServices.emplace(Config.Name, std::move(Runtime));
  }
  Services = std::move(UpdatedServices);
  setLeaving(std::move(LeavingAddresses));
}

void ServiceTable::setLeaving(std::unordered_set<std::string> Addresses) {
  const auto Previous = std::move(LeavingAddresses);
  LeavingAddresses = std::move(Addresses);
  for (const auto &[Name, Runtime] : Services) {
    RoutingState &Routing = Runtime->Routing;
    for (TargetIndex Index = 0; Index < Routing.Targets.size(); ++Index) {
      const std::string &Address =
          Routing.Targets[Index].Config.Address.Address;
      const bool IsLeavingNow = LeavingAddresses.contains(Address);
      // Targets that reported themselves as draining are not changed.
      if (IsLeavingNow || Previous.contains(Address))
        recordDraining(Routing, Index, IsLeavingNow, TimeSource.now());
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
