#pragma once

#include "GatewayDependencies.h"

#include <LibPlatform/Backoff.h>
#include <platform/StoreClient.h>

#include <functional>
#include <memory>

namespace comfreyrill {

/// Watches the store and keeps the configuration and the targets up to date.
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher> {
public:
  /// Called after the state has been updated from the store.
  using ChangeHandler = std::function<void()>;

  StoreWatcher(const GatewayDependencies &Dependencies,
               platform::StoreClient &Store, ChangeHandler OnChange);

  /// Starts or stops watching the store.
  void setWatching(bool ShouldWatch);

  /// Returns true when both the configuration and the targets have been listed
  /// and the last calls succeeded.
  bool isSynchronized() const;
  /// Returns false for some time after a call to the store has failed.
  bool isStoreReachable() const;

private:
  enum class Resource { Configuration, Targets };

  Awaitable<void> watchResource(Resource Watched, std::uint64_t Generation);
  /// Lists the objects, then watches them until a call fails.
  Awaitable<Error> listAndWatch(Resource Watched, std::uint64_t Generation,
                                bool &IsListed);
  bool isCurrent(std::uint64_t Generation) const {
    return IsWatching && Generation == WatchGeneration;
  }
  Awaitable<Result<StoreRevision>> listAll(Resource Watched);
  void handleList(Resource Watched,
                  const std::vector<platform::StoreObject> &Objects,
                  StoreRevision Revision);
  void handleConfiguration(const platform::StoreObject &Object);
  void handleEvent(Resource Watched, const platform::StoreEvent &Event,
                   StoreRevision Revision);
  void recordSuccess(Resource Watched);
  void recordFailure(const Error &Cause);

  const GatewayDependencies &Dependencies;
  platform::StoreClient &Store;
  ChangeHandler OnChange;
  std::uint32_t Failures = 0;
  TimePoint LastFailureAt;
  bool IsWatching = false;
  /// Incremented at each start of watching, so that the coroutines of an
  /// earlier one end.
  std::uint64_t WatchGeneration = 0;
  bool IsConfigurationSynchronized = false;
  bool IsTargetListSynchronized = false;
};

} // namespace comfreyrill
