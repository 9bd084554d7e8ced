#pragma once

#include <LibCore/Async.h>
#include <LibManifest/Manifest.h>
#include <LibRouting/Routing.h>

#include <memory>
#include <unordered_map>

namespace comfreyrill {

/// The routing state of one service and the calls that wait for a slot.
struct ServiceRuntime {
  explicit ServiceRuntime(const Executor &Context) : SlotFreed(Context) {}

  RoutingState Routing;
  /// Cancelled when a slot may have become free; waiting calls wait on it.
  Timer SlotFreed;
  std::uint32_t WaitingCalls = 0;
};

/// The services of the manifest in force.
class ServiceTable {
public:
  ServiceTable(const Executor &Context, const Clock &TimeSource);

  /// Takes over a manifest; the state of targets that remain is kept.
  void apply(const Manifest &Next);

  /// The runtime of a service, or null when the manifest does not have it.
  std::shared_ptr<ServiceRuntime> find(const ServiceName &Name) const;

  const Manifest &manifest() const { return Current; }
  const std::unordered_map<ServiceName, std::shared_ptr<ServiceRuntime>> &
  services() const {
    return Services;
  }

private:
  Executor Context;
  const Clock &TimeSource;
  Manifest Current;
  std::unordered_map<ServiceName, std::shared_ptr<ServiceRuntime>> Services;
};

/// The position of a target, which a new manifest may have moved or removed.
std::optional<TargetIndex> findTarget(const RoutingState &State,
                                      TargetIndex LikelyIndex,
                                      const TargetId &Id);

} // namespace comfreyrill
