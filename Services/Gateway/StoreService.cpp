
#include "StoreService.h"

#include <LibCore/Compression.h>

namespace comfreyrill {

namespace {

// The store answers in milliseconds; when it is slow, in a quarter of a second.
constexpr Duration CallTime = std::chrono::milliseconds(1500);
// Each return of a watch is a priced call. The store's longest is 30 s.
constexpr Duration WatchTime = std::chrono::seconds(25);
// Changes come in groups, for example when a service is released. Waiting a
// little before the next watch collects them in one call; a tenth of the time
// within which a leaving target must get no more requests.
constexpr Duration BatchTime = std::chrono::milliseconds(200);
constexpr BackoffPolicy Pauses{std::chrono::milliseconds(100),
                               std::chrono::milliseconds(500)};

// After a failure another host of the domain follows the store; this one may
// try again later.
constexpr Duration RetryAfterFailure = std::chrono::seconds(1);

std::string_view kindOf(bool IsConfiguration) {
  return IsConfiguration ? platform::ConfigurationKind : platform::TargetKind;
}

} // namespace

StoreService::StoreService(const GatewayDependencies &Dependencies,
                           platform::StoreClient &Store, ChangeHandler OnChange)
    : Dependencies(Dependencies), Store(Store), OnChange(std::move(OnChange)) {}

void StoreService::setWatching(bool ShouldWatch) {
  if (ShouldWatch == IsWatching)
    return;
  IsWatching = ShouldWatch;
  FollowsConfiguration = false;
  FollowsTargets = false;
  LogLine Line(IsWatching ? "store_watch_start" : "store_watch_stop");
  Dependencies.Events.write(LogLevel::Info, "store_watch", Line);
  if (!IsWatching) {
    Store.cancel();
    return;
  }
  ++CurrentGeneration;
  for (const Subject Followed : {Subject::Configuration, Subject::Targets})
    asio::co_spawn(Dependencies.Context, follow(Followed, CurrentGeneration),
                   asio::detached);
}

bool StoreService::isFollowing() const {
  return IsWatching && FollowsConfiguration && FollowsTargets && Failures == 0;
}

bool StoreService::isReached() const {
  return Failures == 0 ||
         Dependencies.TimeSource.now() - FailedAt >= RetryAfterFailure;
}

Awaitable<void> StoreService::follow(Subject Followed,
                                     std::uint64_t Generation) {
  const auto Self = shared_from_this();
  std::uint32_t InARow = 0;
  while (isCurrent(Generation)) {
    bool IsListed = false;
    const Error Cause = co_await followOnce(Followed, Generation, IsListed);
    if (!isCurrent(Generation))
      break;
    InARow = IsListed ? 1 : InARow + 1;
    // The history is gone, not the store: list again at once.
    if (Cause.Kind == ErrorKind::NotFound)
      continue;
    noteFailure(Cause);
    Timer Pause(Dependencies.Context);
    Pause.expires_after(retryDelay(InARow, Pauses, Dependencies.Generator));
    co_await Pause.async_wait(UseTuple);
  }
}

// Lists in any case: a watch that resumes at an old revision while the store is
// dropping its history waits for the next change without an error, and misses
// the changes in between.
Awaitable<Error> StoreService::followOnce(Subject Followed,
                                          std::uint64_t Generation,
                                          bool &IsListed) {
  auto Read = co_await readAll(Followed);
  if (!Read)
    co_return Read.error();
  IsListed = true;
  StoreRevision Seen = Read.value();
  const bool IsConfiguration = Followed == Subject::Configuration;
  while (isCurrent(Generation)) {
    const auto Changes = co_await Store.watch(kindOf(IsConfiguration), Seen,
                                              WatchTime, CallTime);
    if (!Changes)
      co_return Changes.error();
    noteSuccess(Followed);
    for (const platform::StoreEvent &Event : Changes.value().Events)
      takeEvent(Followed, Event, Changes.value().Revision);
    Seen = std::max(Seen, Changes.value().Revision);
    if (!Changes.value().Events.empty()) {
      OnChange();
      if (!IsConfiguration) {
        Timer Pause(Dependencies.Context);
        Pause.expires_after(BatchTime);
        co_await Pause.async_wait(UseTuple);
      }
    }
  }
  co_return Error{ErrorKind::Unavailable, "this host follows no longer"};
}

Awaitable<Result<StoreRevision>> StoreService::readAll(Subject Followed) {
  const std::string_view Kind = kindOf(Followed == Subject::Configuration);
  std::vector<platform::StoreObject> Objects;
  std::optional<StoreRevision> First;
  std::string After;
  while (true) {
    CO_TRY(platform::StorePage Page,
           co_await Store.list(Kind, After, CallTime));
    // Changes made while further pages are read are seen by the watch, which
    // therefore begins at the first page.
    if (!First)
      First = Page.Revision;
    if (!Page.Objects.empty())
      After = Page.Objects.back().Name;
    std::move(Page.Objects.begin(), Page.Objects.end(),
              std::back_inserter(Objects));
    if (!Page.HasMore || Page.Objects.empty())
      break;
  }
  noteSuccess(Followed);
  takeList(Followed, Objects, *First);
  OnChange();
  co_return *First;
}

void StoreService::takeList(Subject Followed,
                            const std::vector<platform::StoreObject> &Objects,
                            StoreRevision Revision) {
  if (Followed == Subject::Configuration) {
    for (const platform::StoreObject &Object : Objects)
      takeConfiguration(Object);
    return;
  }
  std::vector<TargetRegistration> Listed;
  for (const platform::StoreObject &Object : Objects)
    if (auto Read = platform::decodeRegistration(Object))
      Listed.push_back(std::move(Read.value()));
  Dependencies.Known.offerRegistrations(Listed, Revision, "store");
}

void StoreService::takeConfiguration(const platform::StoreObject &Object) {
  if (Object.Name != platform::ConfigurationName)
    return;
  auto Read = platform::decodeConfiguration(Object.Specification);
  if (Read) {
    if (Read.value().Version > Dependencies.Known.version())
      Dependencies.Known.offerConfiguration(
          std::move(Read.value()), compress(Object.Specification), "store");
    return;
  }
  LogLine Line("configuration_refused");
  Line.field("revision", Object.Revision.Value)
      .field("cause", Read.error().Message);
  Dependencies.Events.writeAlways(LogLevel::Error, Line);
}

void StoreService::takeEvent(Subject Followed,
                             const platform::StoreEvent &Event,
                             StoreRevision Revision) {
  if (Followed == Subject::Configuration) {
    if (!Event.IsDeleted)
      takeConfiguration(Event.Object);
    return;
  }
  RegistrationChange Change;
  Change.Id.Value = Event.Object.Name;
  Change.Revision = Revision;
  if (!Event.IsDeleted) {
    auto Read = platform::decodeRegistration(Event.Object);
    if (Read)
      Change.Registration = std::move(Read.value());
  }
  Dependencies.Known.offerChange(Change, "store");
}

void StoreService::noteSuccess(Subject Followed) {
  (Followed == Subject::Configuration ? FollowsConfiguration : FollowsTargets) =
      true;
  if (Failures == 0)
    return;
  LogLine Line("store_regained");
  Line.field("failures", Failures)
      .field("kind", kindOf(Followed == Subject::Configuration));
  Dependencies.Events.writeAlways(LogLevel::Info, Line);
  Failures = 0;
  Dependencies.Known.noteStoreReturn();
}

void StoreService::noteFailure(const Error &Cause) {
  ++Dependencies.ProcessMetrics.counter("store_failures_total");
  LogLine Line(Failures == 0 ? "store_lost" : "store_failure");
  Line.field("cause", Cause.Message);
  Dependencies.Events.write(LogLevel::Warning, "store_failure", Line);
  ++Failures;
  FailedAt = Dependencies.TimeSource.now();
}

} // namespace comfreyrill
