#pragma once

#include "GatewayContext.h"

#include <LibPlatform/Backoff.h>
#include <platform/ObjectStore.h>

#include <functional>
#include <memory>

namespace comfreyrill {

/// Keeps the configuration and the targets up to date from the store.
class StoreService : public std::enable_shared_from_this<StoreService> {
public:
  /// Called after something was taken from the store.
  using ChangeHandler = std::function<void()>;

  StoreService(const GatewayContext &Environment, platform::ObjectStore &Store,
               ChangeHandler OnChange);

  void start();
  void stop() { IsStopped = true; }

  /// False while the last call to the store has failed.
  bool isReached() const { return Failures == 0; }

private:
  enum class Subject { Configuration, Targets };

  Awaitable<void> follow(Subject Followed);
  /// Lists, then watches until a call fails.
  Awaitable<Error> followOnce(Subject Followed, bool &IsListed);
  Awaitable<Result<StoreRevision>> readAll(Subject Followed);
  void takeList(Subject Followed,
                const std::vector<platform::StoreObject> &Objects,
                StoreRevision Revision);
  void takeConfiguration(const platform::StoreObject &Object);
  void takeEvent(Subject Followed, const platform::StoreEvent &Event,
                 StoreRevision Revision);
  void noteSuccess(Subject Followed);
  void noteFailure(const Error &Cause);

  const GatewayContext &Environment;
  platform::ObjectStore &Store;
  ChangeHandler OnChange;
  std::uint32_t Failures = 0;
  bool IsStopped = false;
};

} // namespace comfreyrill
