#pragma once

#include "GatewayDependencies.h"

#include <LibGateway/StoreProgress.h>
#include <LibMembership/StoreRole.h>
#include <LibPlatform/Backoff.h>
#include <platform/StoreClient.h>

#include <array>
#include <functional>
#include <memory>

namespace comfreyrill {

/// Watches the store and keeps the configuration, the targets and, if the
/// deployment has them, the evacuated failure domains up to date.
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher> {
public:
  /// Called after the state has been updated from the store.
  using ChangeHandler = std::function<void()>;

  StoreWatcher(const GatewayDependencies &Dependencies,
               platform::StoreClient &Store, ChangeHandler OnChange);

  /// Starts or stops watching or checking the store.
  void setRole(StoreRole NewRole);

  /// Says whether the deployment has evacuations, which are watched only then.
  void setHasEvacuations(bool Has);

  /// Returns true when all resources are watched and the store answers.
  bool isSynchronized() const;
  /// Returns false for some time after a call to the store has failed, or while
  /// a check has been without an answer for longer than usual.
  bool isStoreReachable() const;
  const StoreContact &contact() const { return Contact; }

private:
  enum class Resource { Configuration, Targets, Evacuations };
  static constexpr std::size_t ResourceCount = 3;

  struct ResourceWatch {
    bool IsSynchronized = false;
    /// Set when the watch is to end, so that its objects are listed again.
    bool IsListRequested = false;
  };

  static std::string_view objectKind(Resource Watched);

  /// Checks from time to time that the store answers this host.
  Awaitable<void> checkStore(std::uint64_t Generation);
  Awaitable<Result<StoreRevision>> checkOnce();
  Awaitable<void> watchResource(Resource Watched, std::uint64_t Generation);
  /// Lists the objects, then watches them until a call fails.
  Awaitable<Error> listAndWatch(Resource Watched, std::uint64_t Generation,
                                bool &IsListed);
  /// Waits until the store has answered since the last failure, or for some
  /// time.
  Awaitable<void> awaitAnswer(std::uint64_t Generation);
  bool isCurrent(std::uint64_t Generation) const {
    return Role != StoreRole::None && Generation == RoleGeneration;
  }
  Awaitable<Result<StoreRevision>> listAll(Resource Watched,
                                           std::uint64_t Generation);
  void handleList(Resource Watched,
                  const std::vector<platform::StoreObject> &Objects,
                  StoreRevision Revision, bool IsComplete);
  void handleTargetList(const std::vector<platform::StoreObject> &Objects,
                        StoreRevision Revision);
  void handleConfiguration(const platform::StoreObject &Object);
  void handleEvent(Resource Watched, const platform::StoreEvent &Event,
                   StoreRevision Revision);
  void handleCheckedRevision(StoreRevision Checked);
  void handleTargetEvent(const platform::StoreEvent &Event,
                         StoreRevision Revision);
  void listAllAgain();
  /// Lists all resources again but the one that has just been listed.
  void listOthersAgain(Resource Listed);
  void cancelToListAgain();
  std::vector<Resource> watchedResources() const;
  ResourceWatch &watchOf(Resource Watched) {
    return Watches[static_cast<std::size_t>(Watched)];
  }
  const ResourceWatch &watchOf(Resource Watched) const {
    return Watches[static_cast<std::size_t>(Watched)];
  }
  /// Counts and logs entries that name no target.
  void recordSkipped(std::size_t Count, std::string_view Cause);
  void recordAnswer();
  void recordFailure(const Error &Cause);

  const GatewayDependencies &Dependencies;
  platform::StoreClient &Store;
  ChangeHandler OnChange;
  StoreRole Role = StoreRole::None;
  StoreContact Contact;
  /// A call has failed since the last answer. A slow check has not.
  bool IsStoreLost = false;
  Timer CheckTimer;
  TimePoint NextCheck;
  /// Incremented at each change of the role, so that the coroutines of an
  /// earlier one end.
  std::uint64_t RoleGeneration = 0;
  bool HasEvacuations = false;
  std::array<ResourceWatch, ResourceCount> Watches;
  /// Highest revision that a list or a watch has returned.
  StoreRevision WatchedRevision;
  StoreProgress Progress;
  /// Number of times that calls were cancelled to list again.
  std::uint64_t RelistRequests = 0;
};

} // namespace comfreyrill
