#pragma once

#include <LibCore/Async.h>
#include <LibManifest/Manifest.h>
#include <LibRouting/FairShare.h>
#include <LibRouting/Routing.h>

#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace comfreyrill {

/// The routing state of one service and its queued calls.
struct ServiceRuntime {
  RoutingState Routing;
  /// Timers of the calls in Routing.Queue, by waiter id. Cancelling a timer
  /// makes its call retry target selection.
  std::unordered_map<std::uint64_t, Timer *> Waiters;
  /// Waiter ids of calls that were removed from the queue because they can no
  /// longer be answered before their deadline.
  std::unordered_set<std::uint64_t> Expired;
  std::uint64_t LastWaiterId = 0;
};

/// Removes the calls that cannot be answered before their deadline from the
/// queue and wakes them, so that they are refused early.
void expireWaiters(ServiceRuntime &Runtime, TimePoint Now);

/// Makes the first queued call retry target selection.
void wakeFirstWaiter(ServiceRuntime &Runtime);

/// Runtime state of the services of the manifest in force.
class ServiceTable {
public:
  explicit ServiceTable(const Clock &TimeSource, PausePolicy Pauses = {});

  /// Applies a manifest. The state of targets that remain is kept.
  void apply(const Manifest &NewManifest);

  /// Returns the runtime of a service, or null when the manifest does not
  /// define the service.
  std::shared_ptr<ServiceRuntime> find(const ServiceName &Name) const;

  /// Sets the addresses of machines that are leaving the fleet. Targets on
  /// these machines are drained.
  void setLeaving(std::unordered_set<std::string> Addresses);
  bool isLeaving(const Endpoint &Target) const {
    return LeavingAddresses.contains(Target.Address);
  }

  HostUsage &usage() { return Usage; }
  const Manifest &manifest() const { return Current; }
  const std::unordered_map<ServiceName, std::shared_ptr<ServiceRuntime>> &
  services() const {
    return Services;
  }

private:
  const Clock &TimeSource;
  PausePolicy Pauses;
  Manifest Current;
  std::unordered_set<std::string> LeavingAddresses;
  HostUsage Usage;
  std::unordered_map<ServiceName, std::shared_ptr<ServiceRuntime>> Services;
  /// Services that the manifest no longer defines and whose targets are paused:
  /// the pauses hold when a later manifest defines the services again.
  std::unordered_map<ServiceName, std::shared_ptr<ServiceRuntime>>
      PausedServices;
};

/// Finds a target that a new manifest may have moved or removed. IndexHint is
/// checked first.
std::optional<TargetIndex> findTarget(const RoutingState &State,
                                      TargetIndex IndexHint,
                                      const TargetId &Id);

} // namespace comfreyrill
