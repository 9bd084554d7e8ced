#include "StoreWatcher.h"

#include <LibCore/Compression.h>

#include <algorithm>
#include <utility>

namespace comfreyrill {

namespace {

// The store responds within milliseconds, or a quarter of a second when slow.
constexpr Duration CallTimeout = std::chrono::milliseconds(1500);
// Each response of a watch is a billed call, so watches are long. The store
// limits them to 30 s.
constexpr Duration WatchTimeout = std::chrono::seconds(25);
// Changes come in bursts, for example when a service is released. A short delay
// before the next watch collects a burst in one call. The delay is a tenth of
// the time within which a leaving target must stop receiving requests.
constexpr Duration ChangeBatchDelay = std::chrono::milliseconds(200);
constexpr BackoffPolicy RetryBackoff{std::chrono::milliseconds(100),
                                     std::chrono::milliseconds(500)};

// A watch without an answer looks like one without changes. Checks tell the two
// apart early enough for another host to take over within the two seconds in
// which a change must be in force.
constexpr Duration CheckInterval = std::chrono::milliseconds(500);
constexpr BackoffPolicy FailedCheckBackoff{std::chrono::milliseconds(250),
                                           std::chrono::seconds(1)};
// A check that takes longer than this counts as a failure until it is answered.
constexpr Duration SlowCheckTime = std::chrono::milliseconds(300);
constexpr Duration CheckTimeout = std::chrono::seconds(1);
constexpr Duration AnswerPollInterval = std::chrono::milliseconds(10);
// A store may answer lists although it answers no check.
constexpr Duration AnswerWaitMaximum = std::chrono::seconds(1);
// Connections on which that many checks in a row got no answer are given up.
constexpr std::uint32_t UnansweredChecksMaximum = 2;

} // namespace

StoreWatcher::StoreWatcher(const GatewayDependencies &Dependencies,
                           platform::StoreClient &Store, ChangeHandler OnChange)
    : Dependencies(Dependencies), Store(Store), OnChange(std::move(OnChange)),
      CheckTimer(Dependencies.Context) {}

std::string_view StoreWatcher::objectKind(Resource Watched) {
  switch (Watched) {
  case Resource::Configuration:
    return platform::ConfigurationKind;
  case Resource::Targets:
    return platform::TargetKind;
  case Resource::Evacuations:
    return platform::EvacuationKind;
  }
  return {};
}

std::vector<StoreWatcher::Resource> StoreWatcher::watchedResources() const {
  std::vector<Resource> Watched{Resource::Configuration, Resource::Targets};
  if (HasEvacuations)
    Watched.push_back(Resource::Evacuations);
  return Watched;
}

void StoreWatcher::setHasEvacuations(bool Has) {
  if (Has == HasEvacuations)
    return;
  HasEvacuations = Has;
  if (Role != StoreRole::Watch)
    return;
  setRole(StoreRole::None);
  setRole(StoreRole::Watch);
}

void StoreWatcher::setRole(StoreRole NewRole) {
  if (NewRole == Role)
    return;
  LogLine Line(NewRole == StoreRole::Watch   ? "store_watch_start"
               : NewRole == StoreRole::Check ? "store_check_start"
               : Role == StoreRole::Watch    ? "store_watch_stop"
                                             : "store_check_stop");
  Dependencies.Events.write(LogLevel::Info, "store_role", Line);
  Role = NewRole;
  Contact.IsWatching = Role == StoreRole::Watch;
  Watches = {};
  resetProgress(Progress);
  ++RoleGeneration;
  Store.cancel();
  CheckTimer.cancel();
  if (Role == StoreRole::None)
    return;
  asio::co_spawn(Dependencies.Context, checkStore(RoleGeneration),
                 asio::detached);
  if (Role == StoreRole::Watch)
    for (const Resource Watched : watchedResources())
      asio::co_spawn(Dependencies.Context,
                     watchResource(Watched, RoleGeneration), asio::detached);
}

bool StoreWatcher::isSynchronized() const {
  const auto Resources = watchedResources();
  return Role == StoreRole::Watch && isStoreReachable() &&
         std::all_of(Resources.begin(), Resources.end(), [&](Resource Watched) {
           return watchOf(Watched).IsSynchronized;
         });
}

bool StoreWatcher::isStoreReachable() const {
  return reachesStore(Contact, Dependencies.TimeSource.now());
}

Awaitable<void> StoreWatcher::checkStore(std::uint64_t Generation) {
  const auto Self = shared_from_this();
  std::uint32_t Unanswered = 0;
  // The lists of a new watcher are its first check.
  if (Role == StoreRole::Watch)
    NextCheck = Dependencies.TimeSource.now() + CheckInterval;
  while (isCurrent(Generation)) {
    CheckTimer.expires_at(NextCheck);
    co_await CheckTimer.async_wait(UseTuple);
    if (!isCurrent(Generation))
      break;
    const std::uint64_t KnownRequests = RelistRequests;
    const auto Checked = co_await checkOnce();
    if (!isCurrent(Generation))
      break;
    // A check that was cancelled together with the watches says nothing.
    if (!Checked && RelistRequests != KnownRequests)
      continue;
    if (Checked) {
      Unanswered = 0;
      recordAnswer();
      handleCheckedRevision(Checked.value());
    } else {
      recordFailure(Checked.error());
      const bool IsRefusal = Checked.error().Kind == ErrorKind::Unavailable;
      Unanswered = IsRefusal ? 0 : Unanswered + 1;
      // A watch on such a connection may wait in vain. A refused check says
      // nothing of the watches.
      if (Unanswered == UnansweredChecksMaximum)
        listAllAgain();
    }
    NextCheck = Dependencies.TimeSource.now() +
                (Contact.Failures == 0
                     ? CheckInterval
                     : retryDelay(Contact.Failures, FailedCheckBackoff,
                                  Dependencies.Generator));
  }
}

Awaitable<Result<StoreRevision>> StoreWatcher::checkOnce() {
  const auto IsAnswered = std::make_shared<bool>(false);
  Timer Slow(Dependencies.Context);
  Slow.expires_after(SlowCheckTime);
  Slow.async_wait([Self = shared_from_this(), Generation = RoleGeneration,
                   IsAnswered](const boost::system::error_code &Code) {
    if (Code || *IsAnswered || !Self->isCurrent(Generation))
      return;
    LogLine Line("store_check_slow");
    Self->Dependencies.Events.write(LogLevel::Warning, "store_check", Line);
    comfreyrill::recordFailure(Self->Contact,
                               Self->Dependencies.TimeSource.now());
  });
  auto Checked =
      co_await Store.currentRevision(CheckTimeout, Contact.Failures > 0);
  *IsAnswered = true;
  co_return Checked;
}

// A restored store may let the watches wait at a revision that it has assigned
// again.
void StoreWatcher::handleCheckedRevision(StoreRevision Checked) {
  if (!isSynchronized())
    return;
  const ProgressVerdict Verdict = judgeProgress(
      Progress, Checked, WatchedRevision, Dependencies.TimeSource.now());
  if (Verdict == ProgressVerdict::UpToDate)
    return;
  LogLine Line(Verdict == ProgressVerdict::Restored ? "store_restored"
                                                    : "store_watch_behind");
  Line.field("watched", formatRevision(WatchedRevision))
      .field("store", formatRevision(Checked));
  Dependencies.Events.write(LogLevel::Warning, "store_check", Line);
  ++Dependencies.ProcessMetrics.counter("store_watches_behind_total");
  listAllAgain();
}

void StoreWatcher::listAllAgain() {
  for (ResourceWatch &Watch : Watches)
    Watch.IsListRequested = true;
  cancelToListAgain();
}

// The calls of all kinds are cancelled, so a resource that is not to be listed
// again must be without a call.
void StoreWatcher::listOthersAgain(Resource Listed) {
  for (const Resource Other : watchedResources())
    if (Other != Listed)
      watchOf(Other).IsListRequested = true;
  cancelToListAgain();
}

void StoreWatcher::cancelToListAgain() {
  ++RelistRequests;
  Store.cancel();
}

Awaitable<void> StoreWatcher::watchResource(Resource Watched,
                                            std::uint64_t Generation) {
  const auto Self = shared_from_this();
  std::uint32_t ConsecutiveFailures = 0;
  while (isCurrent(Generation)) {
    bool IsListed = false;
    watchOf(Watched).IsListRequested = false;
    const Error Cause = co_await listAndWatch(Watched, Generation, IsListed);
    if (!isCurrent(Generation))
      break;
    watchOf(Watched).IsSynchronized = false;
    ConsecutiveFailures = IsListed ? 1 : ConsecutiveFailures + 1;
    // The store does not have the history of that revision, but is reachable:
    // list again at once.
    const bool IsFailure =
        Cause.Kind != ErrorKind::NotFound && !watchOf(Watched).IsListRequested;
    if (IsFailure)
      recordFailure(Cause);
    if (IsFailure || ConsecutiveFailures > 1) {
      Timer Pause(Dependencies.Context);
      Pause.expires_after(retryDelay(ConsecutiveFailures, RetryBackoff,
                                     Dependencies.Generator));
      co_await Pause.async_wait(UseTuple);
    }
    co_await awaitAnswer(Generation);
  }
}

Awaitable<void> StoreWatcher::awaitAnswer(std::uint64_t Generation) {
  const TimePoint Until = Dependencies.TimeSource.now() + AnswerWaitMaximum;
  Timer Pause(Dependencies.Context);
  while (isCurrent(Generation) && Contact.Failures > 0 &&
         Dependencies.TimeSource.now() < Until) {
    Pause.expires_after(AnswerPollInterval);
    co_await Pause.async_wait(UseTuple);
  }
}

// Always lists first. A watch that resumed at an old revision while the store
// is discarding its history would wait for the next change without an error and
// miss the changes in between.
Awaitable<Error> StoreWatcher::listAndWatch(Resource Watched,
                                            std::uint64_t Generation,
                                            bool &IsListed) {
  auto Read = co_await listAll(Watched, Generation);
  if (!Read)
    co_return Read.error();
  IsListed = true;
  StoreRevision LastRevision = Read.value();
  while (isCurrent(Generation) && !watchOf(Watched).IsListRequested) {
    const auto Changes = co_await Store.watch(objectKind(Watched), LastRevision,
                                              WatchTimeout, CallTimeout);
    if (!Changes)
      co_return Changes.error();
    if (!isCurrent(Generation))
      break;
    recordAnswer();
    recordSkipped(Changes.value().Skipped, "unreadable metadata");
    // Their own revisions are unknown, but the check counts these changes, too.
    for (std::size_t Count = 0; Count < Changes.value().Skipped; ++Count)
      countChange(Progress, Changes.value().Revision);
    for (const platform::StoreEvent &Event : Changes.value().Events) {
      // A deleted object may still have the revision of its last change.
      countChange(Progress, Event.IsDeleted ? Changes.value().Revision
                                            : Event.Object.Revision);
      handleEvent(Watched, Event, Changes.value().Revision);
    }
    LastRevision = std::max(LastRevision, Changes.value().Revision);
    WatchedRevision = std::max(WatchedRevision, LastRevision);
    if (!Changes.value().Events.empty()) {
      OnChange();
      if (Watched == Resource::Targets) {
        Timer Pause(Dependencies.Context);
        Pause.expires_after(ChangeBatchDelay);
        co_await Pause.async_wait(UseTuple);
      }
    }
  }
  co_return Error{ErrorKind::Unavailable,
                  "this host has stopped this watch of the store"};
}

Awaitable<Result<StoreRevision>>
StoreWatcher::listAll(Resource Watched, std::uint64_t Generation) {
  const std::string_view Kind = objectKind(Watched);
  std::vector<platform::StoreObject> Objects;
  std::optional<StoreRevision> FirstPageRevision;
  std::string LastName;
  bool IsComplete = true;
  while (true) {
    CO_TRY(platform::StorePage Page,
           co_await Store.list(Kind, LastName, CallTimeout));
    // The watch starts at the revision of the first page, so that changes made
    // while further pages are read are not missed.
    if (!FirstPageRevision)
      FirstPageRevision = Page.Revision;
    if (eraOf(Page.Revision) != eraOf(*FirstPageRevision))
      co_return Error{ErrorKind::NotFound,
                      "the store has been restored between two pages of a "
                      "list; list the objects again"};
    recordSkipped(Page.Skipped, "unreadable metadata");
    // Without a readable entry, the next page has no beginning.
    IsComplete = IsComplete && !(Page.HasMore && Page.Objects.empty());
    if (!Page.Objects.empty())
      LastName = Page.Objects.back().Name;
    std::move(Page.Objects.begin(), Page.Objects.end(),
              std::back_inserter(Objects));
    if (!Page.HasMore || Page.Objects.empty())
      break;
  }
  if (!isCurrent(Generation))
    co_return Error{ErrorKind::Unavailable,
                    "this host has stopped watching the store"};
  recordAnswer();
  std::size_t Others = 0;
  std::size_t SynchronizedOthers = 0;
  for (const Resource Other : watchedResources()) {
    Others += Other != Watched ? 1 : 0;
    SynchronizedOthers +=
        Other != Watched && watchOf(Other).IsSynchronized ? 1 : 0;
  }
  // A list is the last sign of changes that the other watches have missed:
  // later checks are compared with its revision.
  const bool AreOthersInDoubt =
      SynchronizedOthers > 0 &&
      mayHaveMissedChanges(Progress, *FirstPageRevision, WatchedRevision);
  if (AreOthersInDoubt)
    listOthersAgain(Watched);
  if (AreOthersInDoubt || SynchronizedOthers < Others)
    resetProgress(Progress);
  watchOf(Watched).IsSynchronized = true;
  WatchedRevision = std::max(WatchedRevision, *FirstPageRevision);
  handleList(Watched, Objects, *FirstPageRevision, IsComplete);
  OnChange();
  co_return *FirstPageRevision;
}

void StoreWatcher::handleList(Resource Watched,
                              const std::vector<platform::StoreObject> &Objects,
                              StoreRevision Revision, bool IsComplete) {
  switch (Watched) {
  case Resource::Configuration:
    for (const platform::StoreObject &Object : Objects)
      handleConfiguration(Object);
    break;
  case Resource::Targets:
    handleTargetList(Objects, Revision);
    break;
  case Resource::Evacuations:
    Dependencies.CurrentState.applyEvacuationReport(
        platform::decodeEvacuations(Objects, Revision, IsComplete), "store");
    break;
  }
}

void StoreWatcher::handleTargetList(
    const std::vector<platform::StoreObject> &Objects, StoreRevision Revision) {
  std::vector<TargetRegistration> Listed;
  for (const platform::StoreObject &Object : Objects) {
    auto Read = platform::decodeRegistration(Object);
    if (Read)
      Listed.push_back(std::move(Read.value()));
    else
      recordSkipped(1, Read.error().Message);
  }
  // Only a list shows which registrations are missing after an outage.
  const auto OutageEnd = std::exchange(Contact.OutageEndedAt, std::nullopt);
  if (OutageEnd &&
      Dependencies.TimeSource.now() - *OutageEnd < MissingEntryGrace)
    Dependencies.CurrentState.onStoreRecovery();
  Dependencies.CurrentState.applyTargetList(Listed, Revision, "store");
}

void StoreWatcher::handleConfiguration(const platform::StoreObject &Object) {
  if (Object.Name != platform::ConfigurationName)
    return;
  auto Read = platform::decodeConfiguration(Object.Specification);
  if (Read) {
    if (Read.value().Version > Dependencies.CurrentState.version())
      Dependencies.CurrentState.applyConfiguration(
          std::move(Read.value()), compress(Object.Specification), "store");
    return;
  }
  LogLine Line("configuration_refused");
  Line.field("revision", formatRevision(Object.Revision))
      .field("cause", Read.error().Message);
  Dependencies.Events.writeAlways(LogLevel::Error, Line);
}

void StoreWatcher::handleEvent(Resource Watched,
                               const platform::StoreEvent &Event,
                               StoreRevision Revision) {
  switch (Watched) {
  case Resource::Configuration:
    if (!Event.IsDeleted)
      handleConfiguration(Event.Object);
    break;
  case Resource::Targets:
    handleTargetEvent(Event, Revision);
    break;
  case Resource::Evacuations:
    Dependencies.CurrentState.applyEvacuationChange(
        platform::decodeEvacuationChange(Event, Revision), "store");
    break;
  }
}

void StoreWatcher::handleTargetEvent(const platform::StoreEvent &Event,
                                     StoreRevision Revision) {
  RegistrationChange Change;
  Change.Id.Value = Event.Object.Name;
  Change.Revision = Revision;
  if (!Event.IsDeleted) {
    auto Read = platform::decodeRegistration(Event.Object);
    if (Read)
      Change.Registration = std::move(Read.value());
    else
      recordSkipped(1, Read.error().Message);
  }
  Dependencies.CurrentState.applyTargetChange(Change, "store");
}

void StoreWatcher::recordSkipped(std::size_t Count, std::string_view Cause) {
  if (Count == 0)
    return;
  Dependencies.ProcessMetrics.counter("store_entries_skipped_total") += Count;
  LogLine Line("store_entries_skipped");
  Line.field("count", std::uint64_t{Count}).field("cause", Cause);
  Dependencies.Events.write(LogLevel::Warning, "store_entries_skipped", Line);
}

void StoreWatcher::recordAnswer() {
  comfreyrill::recordAnswer(Contact, Dependencies.TimeSource.now());
  if (!std::exchange(IsStoreLost, false))
    return;
  LogLine Line("store_regained");
  Dependencies.Events.writeAlways(LogLevel::Info, Line);
}

void StoreWatcher::recordFailure(const Error &Cause) {
  ++Dependencies.ProcessMetrics.counter("store_failures_total");
  LogLine Line(IsStoreLost ? "store_failure" : "store_lost");
  Line.field("cause", Cause.Message);
  Dependencies.Events.write(LogLevel::Warning, "store_failure", Line);
  IsStoreLost = true;
  comfreyrill::recordFailure(Contact, Dependencies.TimeSource.now());
  // The next check tells whether only this call has failed.
  if (Contact.Failures == 1) {
    NextCheck = Dependencies.TimeSource.now();
    CheckTimer.cancel();
  }
}

} // namespace comfreyrill
