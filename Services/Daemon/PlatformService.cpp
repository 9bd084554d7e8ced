#include "PlatformService.h"

#include "AdminApi.h"
#include "HostsCodec.h"

#include <LibManifest/HostReport.h>
#include <LibMembership/HeartbeatProcessing.h>

namespace comfreyrill {

namespace {

constexpr Duration CallTimeout = std::chrono::seconds(2);
// Interval at which a host that is not a watcher checks if it has become one.
constexpr Duration RoleCheckInterval = std::chrono::milliseconds(250);
constexpr Duration ReportInterval = std::chrono::seconds(2);
constexpr Duration FirstRetryDelay = std::chrono::milliseconds(200);
constexpr Duration HostsMaintenanceInterval = std::chrono::seconds(30);
constexpr std::size_t MaximumUpdateAttempts = 12;
constexpr Duration UnregisterTimeout = std::chrono::seconds(3);
constexpr const char HostsKey[] = "hosts";
constexpr const char ReportKey[] = "report";

PlatformSettings platformSettings(std::vector<Endpoint> Endpoints) {
  PlatformSettings Out;
  Out.Endpoints = std::move(Endpoints);
  return Out;
}

} // namespace

PlatformService::PlatformService(const DaemonDependencies &Dependencies,
                                 std::vector<Endpoint> Endpoints,
                                 MemberTable &Members,
                                 ActiveDocuments &Documents,
                                 std::function<void()> Announce)
    : Dependencies(Dependencies),
      Client(Dependencies.Context, Dependencies.TimeSource,
             platformSettings(std::move(Endpoints)), systemRandom()),
      Members(Members), Documents(Documents), Announce(std::move(Announce)) {}

void PlatformService::start() {
  for (const Document Subject : {Document::Manifest, Document::Fleet})
    asio::co_spawn(
        Dependencies.Context,
        [Self = shared_from_this(), Subject] {
          return Self->syncDocument(Subject);
        },
        asio::detached);
  asio::co_spawn(
      Dependencies.Context,
      [Self = shared_from_this()] { return Self->maintainHosts(); },
      asio::detached);
  asio::co_spawn(
      Dependencies.Context,
      [Self = shared_from_this()] { return Self->writeReports(); },
      asio::detached);
}

Awaitable<void> PlatformService::pause(Duration Length) {
  Timer Wait(Dependencies.Context);
  Wait.expires_after(Length);
  co_await Wait.async_wait(UseTuple);
}

TimePoint PlatformService::callDeadline() const {
  return Dependencies.TimeSource.now() + CallTimeout;
}

void PlatformService::recordReachability(bool IsReached) {
  if (announcePlatformReachability(Members, IsReached,
                                   Dependencies.TimeSource.now())) {
    LogLine Line("platform");
    Line.field("state", IsReached ? "reached" : "unavailable");
    Dependencies.Decisions.write(Line);
    Announce();
  }
}

void PlatformService::applyObject(Document Subject,
                                  const StoredObject &Object) {
  const auto Updated =
      Subject == Document::Manifest
          ? Documents.updateManifest(Object.Value, "platform")
          : Documents.updateFleetList(Object.Version.Value, Object.Value,
                                      "platform");
  if (!Updated) {
    LogLine Line("document_refused");
    Line.field("name", Subject == Document::Manifest ? "manifest" : "fleet")
        .field("source", "platform")
        .field("cause", Updated.error().Message);
    Dependencies.Decisions.warn(Line);
    return;
  }
  if (Subject == Document::Fleet && Updated.value()) {
    std::vector<FleetEntry> Machines;
    for (const FleetMachine &Machine : Documents.fleet().Machines)
      Machines.push_back({Machine.Host, Machine.State == FleetState::Leaving});
    applyFleetList(Members, Machines);
  }
}

// Watchers keep one watch call pending for each document. The other hosts read
// the documents rarely and learn of changes from heartbeats.
Awaitable<void> PlatformService::syncDocument(Document Subject) {
  ObjectVersion Version;
  bool HasRead = false;
  TimePoint NextRead = Dependencies.TimeSource.now();
  Duration RetryDelay = FirstRetryDelay;
  while (true) {
    const TimePoint Now = Dependencies.TimeSource.now();
    const PlatformPollingPlan Plan = platformPollingPlan(Members, Now);
    // A watch with version 0 waits until the object is created.
    const bool IsWatch = Plan.IsWatcher && HasRead;
    if (!Plan.IsWatcher && Now < NextRead) {
      co_await pause(std::min(RoleCheckInterval, NextRead - Now));
      continue;
    }
    co_await fetchDocument(Subject, Version,
                           IsWatch ? std::optional(Plan.WatchTime)
                                   : std::nullopt);
    HasRead = HasRead || Members.Self.ReachesPlatform;
    NextRead = Dependencies.TimeSource.now() + Plan.PollInterval;
    if (Members.Self.ReachesPlatform) {
      RetryDelay = FirstRetryDelay;
      continue;
    }
    RetryDelay = std::min(RetryDelay * 2, ReportInterval);
    co_await pause(RetryDelay);
  }
}

Awaitable<void>
PlatformService::fetchDocument(Document Subject, ObjectVersion &Version,
                               std::optional<Duration> WatchTime) {
  const std::string Key = Subject == Document::Manifest ? "manifest" : "fleet";
  Result<std::optional<StoredObject>> Received = std::nullopt;
  if (WatchTime) {
    Received = co_await Client.watch(Key, Version, *WatchTime);
  } else {
    auto Read = co_await Client.read(Key, callDeadline());
    if (Read)
      Received = std::move(Read.value());
    else
      Received = std::move(Read.error());
  }
  recordReachability(Received || Received.error().Kind == ErrorKind::NotFound);
  if (!Received || !Received.value())
    co_return;
  Version = Received.value()->Version;
  applyObject(Subject, *Received.value());
}

Awaitable<void> PlatformService::maintainHosts() {
  const auto Register = [this](HostsObject &Object) {
    mergeHostsObject(Members, Object, Dependencies.TimeSource.now());
    return addOwnEntry(Object, Members.Self);
  };
  while (Members.Self.State != HostState::Leaving) {
    const bool IsDone = co_await updateHosts(Register);
    if (!IsDone) {
      co_await pause(ReportInterval);
      continue;
    }
    const TimePoint Now = Dependencies.TimeSource.now();
    co_await pause(std::max(platformPollingPlan(Members, Now).PollInterval,
                            HostsMaintenanceInterval));
    if (isReporter(Members, Dependencies.TimeSource.now()))
      co_await updateHosts([this](HostsObject &Object) {
        const TimePoint UpdateTime = Dependencies.TimeSource.now();
        mergeHostsObject(Members, Object, UpdateTime);
        return removeDepartedHosts(Object, Members, UpdateTime);
      });
  }
}

Awaitable<bool>
PlatformService::updateHosts(std::function<bool(HostsObject &)> Change) {
  for (std::size_t Attempt = 0; Attempt < MaximumUpdateAttempts; ++Attempt) {
    const auto Received = co_await Client.read(HostsKey, callDeadline());
    if (!Received && Received.error().Kind != ErrorKind::NotFound)
      co_return false;
    HostsObject Object;
    ObjectVersion Version;
    if (Received) {
      Version = Received.value().Version;
      // An object that cannot be parsed is replaced; each host then adds its
      // own entry again.
      auto Parsed = parseHosts(Received.value().Value);
      if (Parsed)
        Object = std::move(Parsed.value());
    }
    if (!Change(Object))
      co_return true;
    const auto Written = co_await Client.update(HostsKey, formatHosts(Object),
                                                Version, callDeadline());
    if (Written.Outcome == UpdateOutcome::Stored)
      co_return true;
    // If the reply was lost, the next read shows whether the change took
    // effect.
    co_await pause(registrationBackoff(Attempt, Dependencies.Generator));
  }
  co_return false;
}

Awaitable<void> PlatformService::writeReports() {
  while (true) {
    co_await pause(ReportInterval);
    if (isReporter(Members, Dependencies.TimeSource.now()))
      co_await writeReport();
    else
      LastReport.clear();
  }
}

Awaitable<void> PlatformService::writeReport() {
  HostReport Report;
  for (const MemberStatus &Status :
       memberStatuses(Members, Dependencies.TimeSource.now())) {
    // The object `hosts` contains only the peer address; the other addresses
    // arrive with the first heartbeat.
    if (Status.Description.AdminAddress.Port == 0)
      continue;
    Report.Hosts.push_back(
        {Status.Description.Host, Status.Description.Incarnation,
         std::string(peerStateName(Status.State, Status.Description.State)),
         Status.Description.Manifest, Status.Description.AdminAddress});
  }
  const std::string Text = formatHostReport(Report);
  if (Text == LastReport)
    co_return;
  if (LastReport.empty()) {
    const auto Received = co_await Client.read(ReportKey, callDeadline());
    if (!Received && Received.error().Kind != ErrorKind::NotFound)
      co_return;
    ReportVersion = Received ? Received.value().Version : ObjectVersion{};
  }
  const auto Written =
      co_await Client.update(ReportKey, Text, ReportVersion, callDeadline());
  if (Written.Outcome == UpdateOutcome::Stored) {
    ReportVersion = Written.Version;
    LastReport = Text;
  } else {
    LastReport.clear();
  }
}

Awaitable<void> PlatformService::unregister() {
  const TimePoint Deadline = Dependencies.TimeSource.now() + UnregisterTimeout;
  while (Dependencies.TimeSource.now() < Deadline) {
    const bool IsDone = co_await updateHosts([this](HostsObject &Object) {
      return removeOwnEntry(Object, Members.Self);
    });
    if (IsDone)
      co_return;
    co_await pause(FirstRetryDelay);
  }
}

} // namespace comfreyrill
