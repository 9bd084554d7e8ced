#pragma once

#include "GatewayDependencies.h"

#include <LibPlatform/Backoff.h>
#include <platform/StoreClient.h>

#include <functional>
#include <memory>

namespace comfreyrill {

/// Keeps the configuration and the targets up to date from the store.
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher> {
public:
  /// Called after something was taken from the store.
  using ChangeHandler = std::function<void()>;

  StoreWatcher(const GatewayDependencies &Dependencies,
               platform::StoreClient &Store, ChangeHandler OnChange);

  /// Starts or ends to follow the store; nothing happens when that is so
  /// already.
  void setWatching(bool ShouldWatch);

  /// True when both the configuration and the targets are followed and the last
  /// calls were answered.
  bool isSynchronized() const;
  /// False for some time after a call to the store has failed.
  bool isStoreReachable() const;

private:
  enum class Resource { Configuration, Targets };

  Awaitable<void> watchResource(Resource Watched, std::uint64_t Generation);
  /// Lists, then watches until a call fails.
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
  /// Tells the loops of an earlier turn of watching that they are over.
  std::uint64_t WatchGeneration = 0;
  bool IsConfigurationSynchronized = false;
  bool IsTargetListSynchronized = false;
};

} // namespace comfreyrill
