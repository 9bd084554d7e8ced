#pragma once

#include "GatewayDependencies.h"

#include <LibPlatform/Backoff.h>
#include <platform/StoreClient.h>

#include <functional>
#include <memory>

namespace comfreyrill {

/// Keeps the configuration and the targets up to date from the store.
class StoreService : public std::enable_shared_from_this<StoreService> {
public:
  /// Called after something was taken from the store.
  using ChangeHandler = std::function<void()>;

  StoreService(const GatewayDependencies &Dependencies,
               platform::StoreClient &Store, ChangeHandler OnChange);

  /// Starts or ends to follow the store; nothing happens when that is so
  /// already.
  void setWatching(bool ShouldWatch);

  /// True when both the configuration and the targets are followed and the last
  /// calls were answered.
  bool isFollowing() const;
  /// False for some time after a call to the store has failed.
  bool isReached() const;

private:
  enum class Subject { Configuration, Targets };

  Awaitable<void> follow(Subject Followed, std::uint64_t Generation);
  /// Lists, then watches until a call fails.
  Awaitable<Error> followOnce(Subject Followed, std::uint64_t Generation,
                              bool &IsListed);
  bool isCurrent(std::uint64_t Generation) const {
    return IsWatching && Generation == CurrentGeneration;
  }
  Awaitable<Result<StoreRevision>> readAll(Subject Followed);
  void takeList(Subject Followed,
                const std::vector<platform::StoreObject> &Objects,
                StoreRevision Revision);
  void takeConfiguration(const platform::StoreObject &Object);
  void takeEvent(Subject Followed, const platform::StoreEvent &Event,
                 StoreRevision Revision);
  void noteSuccess(Subject Followed);
  void noteFailure(const Error &Cause);

  const GatewayDependencies &Dependencies;
  platform::StoreClient &Store;
  ChangeHandler OnChange;
  std::uint32_t Failures = 0;
  TimePoint FailedAt;
  bool IsWatching = false;
  /// Tells the loops of an earlier turn of watching that they are over.
  std::uint64_t CurrentGeneration = 0;
  bool FollowsConfiguration = false;
  bool FollowsTargets = false;
};

} // namespace comfreyrill
