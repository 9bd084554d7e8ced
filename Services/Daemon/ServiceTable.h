#pragma once

#include <LibCore/Async.h>
#include <LibManifest/Manifest.h>
#include <LibRouting/FairShare.h>
#include <LibRouting/Routing.h>

#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace comfreyrill {

/// The routing state of one service and the calls that wait for a slot.
struct ServiceRuntime {
  RoutingState Routing;
  /// Timers of the calls in Routing.Queue, by ticket; cancelling one makes its
  /// call look for a target again.
  std::unordered_map<std::uint64_t, Timer *> Waiters;
  /// Waiting calls that have been taken out of the queue because they cannot
  /// be answered in time any more.
  std::unordered_set<std::uint64_t> Expired;
  std::uint64_t LastWaiterId = 0;
};

/// Takes the calls that cannot be answered in time out of the queue and wakes
/// them, so that they are refused early.
void expireWaiters(ServiceRuntime &Runtime, TimePoint Now);

/// Lets the first waiting call look for a target again.
void wakeFirstWaiter(ServiceRuntime &Runtime);

/// The services of the manifest in force.
class ServiceTable {
public:
  explicit ServiceTable(const Clock &TimeSource);

  /// Takes over a manifest; the state of targets that remain is kept.
  void apply(const Manifest &NewManifest);

  /// The runtime of a service, or null when the manifest does not have it.
  std::shared_ptr<ServiceRuntime> find(const ServiceName &Name) const;

  /// Takes over the addresses of machines that are leaving; their targets get
  /// no new calls.
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
  Manifest Current;
  std::unordered_set<std::string> LeavingAddresses;
  HostUsage Usage;
  std::unordered_map<ServiceName, std::shared_ptr<ServiceRuntime>> Services;
};

/// The position of a target, which a new manifest may have moved or removed.
std::optional<TargetIndex> findTarget(const RoutingState &State,
                                      TargetIndex IndexHint,
                                      const TargetId &Id);

} // namespace comfreyrill
