#include "GatewayState.h"

#include <LibGateway/CandidateListing.h>
#include <LibGateway/RouteTable.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace comfreyrill {

namespace {

// Limit on the share of ejected targets of a service. Above it, failures are
// more likely caused by the requests or the network than by the targets.
constexpr double EjectedShareMaximum = 0.5;
// Pauses that end first are forgotten above this number.
constexpr std::size_t PausesMaximum = 4096;
// A target that was idle for this long after its pause needs no gradual
// resumption.
constexpr Duration ResumptionTime = std::chrono::seconds(30);
// Other hosts are told again only of a cold time that differs by more, because
// each probe of a cold target yields one.
constexpr Duration ColdTimeTolerance = std::chrono::milliseconds(500);

// Hosts repeat the evacuated domains every second. A host that hears of none
// for longer is alone, or all hosts have restarted without the store.
constexpr Duration EvacuationWaitMaximum = std::chrono::milliseconds(1500);

std::uint64_t milliseconds(Duration Time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::max(Time, Duration::zero()))
          .count());
}

} // namespace

GatewayState::GatewayState(const Clock &TimeSource, Random &Generator,
                           RateLimitedLog &Events)
    : TimeSource(TimeSource), Generator(Generator), Events(Events),
      RateLimits(TimeSource, Generator, Events),
      Reachability(TimeSource, Directory, Events) {}

ConfigurationVersion GatewayState::version() const {
  return CurrentConfiguration ? CurrentConfiguration->Version
                              : ConfigurationVersion{};
}

bool GatewayState::applyConfiguration(Configuration NewConfiguration,
                                      std::string Compressed,
                                      std::string_view Source) {
  if (CurrentConfiguration &&
      NewConfiguration.Version <= CurrentConfiguration->Version)
    return false;
  LogLine Line("configuration_in_force");
  Line.field("version", NewConfiguration.Version.Value)
      .field("previous", version().Value)
      .field("routes", std::uint64_t{NewConfiguration.Routes.size()})
      .field("source", Source);
  Events.writeAlways(LogLevel::Info, Line);
  if (!CurrentConfiguration)
    ConfiguredAt = TimeSource.now();
  CurrentConfiguration =
      std::make_shared<const Configuration>(std::move(NewConfiguration));
  const auto &Services = CurrentConfiguration->Services;
  HasColdLimits =
      std::any_of(Services.begin(), Services.end(),
                  [](const auto &Service) { return Service.ColdRate > 0; });
  CompressedConfiguration = std::move(Compressed);
  for (auto &[Name, Stats] : StatsByService)
    forgetRemovedRoutes(Stats.Times, *CurrentConfiguration);
  return true;
}

void GatewayState::applyTargetList(
    const std::vector<TargetRegistration> &Listed, StoreRevision Revision,
    std::string_view Source) {
  const auto Changed =
      replaceRegistrations(Directory, Listed, Revision, TimeSource.now());
  if (Changed)
    recordChanges(*Changed, Source);
}

void GatewayState::applyTargetChange(const RegistrationChange &Change,
                                     std::string_view Source) {
  if (applyChange(Directory, Change, TimeSource.now()))
    recordChanges({Change.Id}, Source);
}

bool GatewayState::applyTargetDelta(const TargetDelta &Delta,
                                    std::string_view Source) {
  const auto Changed = applyDelta(Directory, Delta, TimeSource.now());
  if (Changed)
    recordChanges(*Changed, Source);
  return Changed.has_value();
}

bool GatewayState::applyEvacuationReport(const EvacuationReport &Report,
                                         std::string_view Source) {
  const auto Before = evacuatedDomains(Evacuations);
  applyReport(Evacuations, Report);
  KnowsEvacuations = true;
  return recordEvacuations(Before, Source);
}

bool GatewayState::applyEvacuationChange(const EvacuationChange &Change,
                                         std::string_view Source) {
  const auto Before = evacuatedDomains(Evacuations);
  comfreyrill::applyChange(Evacuations, Change);
  KnowsEvacuations = true;
  return recordEvacuations(Before, Source);
}

void GatewayState::forgetEvacuations() {
  const auto Before = evacuatedDomains(Evacuations);
  Evacuations = {};
  recordEvacuations(Before, "settings");
}

bool GatewayState::awaitsEvacuations() const {
  return HasEvacuations && !KnowsEvacuations && CurrentConfiguration &&
         TimeSource.now() < ConfiguredAt + EvacuationWaitMaximum;
}

bool GatewayState::isStarting() const {
  return !CurrentConfiguration || awaitsEvacuations();
}

bool GatewayState::recordEvacuations(const std::set<FailureDomain> &Before,
                                     std::string_view Source) {
  const auto Current = evacuatedDomains(Evacuations);
  const auto Record = [&](std::string_view Event, const FailureDomain &Domain) {
    LogLine Line(Event);
    Line.field("failure_domain", Domain.Value)
        .field("revision", formatRevision(Evacuations.Revision))
        .field("source", Source);
    Events.writeAlways(LogLevel::Warning, Line);
  };
  for (const FailureDomain &Domain : Current)
    if (!Before.contains(Domain))
      Record("evacuation_begun", Domain);
  for (const FailureDomain &Domain : Before)
    if (!Current.contains(Domain)) {
      Record("evacuation_ended", Domain);
      recordColdDomain(Domain);
    }
  return Current != Before;
}

// The targets may have been restarted during the evacuation under registrations
// that still stand.
void GatewayState::recordColdDomain(const FailureDomain &Domain) {
  if (!CurrentConfiguration)
    return;
  const TimePoint Now = TimeSource.now();
  for (auto &[Id, Known] : Directory.Targets) {
    if (Known.Registration.Domain != Domain)
      continue;
    const ServiceDescription *Described =
        findService(*CurrentConfiguration, Known.Registration.Service);
    if (Described != nullptr && Described->ColdTime > Duration::zero())
      Known.ColdUntil = std::max(Known.ColdUntil, Now + Described->ColdTime);
  }
}

double GatewayState::coldRate(const ServiceName &Service) const {
  if (!HasColdLimits)
    return 0;
  const ServiceDescription *Described =
      findService(*CurrentConfiguration, Service);
  return Described == nullptr ? 0 : Described->ColdRate;
}

void GatewayState::recordCold(const TargetProcess &Process, Duration Left,
                              SignalSource Source) {
  const auto Position = Directory.Targets.find(Process.Id);
  if (Position == Directory.Targets.end())
    return;
  const TimePoint Now = TimeSource.now();
  const Duration Known =
      std::max(Position->second.ColdUntil - Now, Duration::zero());
  if (!recordColdTime(Directory, Process, Left, Now) ||
      Source == SignalSource::Host ||
      std::max(Known - Left, Left - Known) < ColdTimeTolerance)
    return;
  UnsharedCold.push_back(Process);
}

std::vector<TargetProcess> GatewayState::takeUnsharedCold() {
  return std::exchange(UnsharedCold, {});
}

void GatewayState::updateHosts(const DomainHosts &Hosts,
                               std::size_t FleetHosts) {
  comfreyrill::updateHosts(Cold, Hosts, TimeSource.now());
  RateLimits.updateHosts(Hosts, FleetHosts);
}

TargetDelta GatewayState::takePendingDelta() {
  TargetDelta Delta = makeDelta(Directory, LastDeltaRevision,
                                ChangedSinceLastDelta, TimeSource.now());
  ChangedSinceLastDelta.clear();
  LastDeltaRevision = Directory.Revision;
  return Delta;
}

TargetDelta GatewayState::completeDelta() const {
  return makeCompleteDelta(Directory, TimeSource.now());
}

void GatewayState::onStoreRecovery() {
  recordStoreRecovery(Directory, TimeSource.now());
}

bool GatewayState::removeExpired() {
  const auto Removed = removeMissingTargets(Directory, TimeSource.now());
  recordChanges(Removed, "lapse");
  removeEndedPauses();
  RateLimits.removeUnregistered(Directory);
  std::erase_if(StatsByTarget, [&](const auto &Entry) {
    return Entry.second.InFlight == 0 &&
           !Directory.Targets.contains(Entry.first);
  });
  return !Removed.empty();
}

// Both maps are ordered by the target's id, so one walk over them finds the
// pauses of all targets.
CandidateList GatewayState::candidates(const ServiceName &Service,
                                       const FailureDomain &HostDomain) {
  const TimePoint Now = TimeSource.now();
  std::uniform_real_distribution<double> UnitInterval(0, 1);
  CandidateList Listed;
  std::vector<TargetCandidate> &Found = Listed.Targets;
  std::vector<double> Preferences;
  const double ColdRate = coldRate(Service);
  std::optional<TimePoint> &FirstListing =
      StatsByService[Service].FirstListedAt;
  if (!FirstListing)
    FirstListing = Now;
  const TimePoint ServiceListedAt = *FirstListing;
  auto Paused = Pauses.begin();
  for (const auto &[Id, Known] : Directory.Targets) {
    const TargetRegistration &Registered = Known.Registration;
    if (Registered.Service != Service)
      continue;
    TargetStats &Stats = StatsByTarget[Id];
    const std::uint64_t Started = Registered.StartedAtMilliseconds;
    while (Paused != Pauses.end() &&
           std::tie(Paused->first.Id, Paused->first.StartedAtMilliseconds) <
               std::tie(Id, Started))
      ++Paused;
    const bool HasPause = Paused != Pauses.end() && Paused->first.Id == Id &&
                          Paused->first.StartedAtMilliseconds == Started;
    const TargetFacts Facts{Known, isEvacuated(Evacuations, Registered.Domain),
                            HasPause ? &Paused->second.Pause : nullptr,
                            Stats.InFlight};
    const TargetExclusion Exclusion = findExclusion(Facts, Now);
    if (Exclusion == TargetExclusion::Paused) {
      const TimePoint End = Facts.Pause->EndsAt;
      if (!Listed.EarliestPauseEnd || End < *Listed.EarliestPauseEnd)
        Listed.EarliestPauseEnd = End;
    }
    if (Exclusion != TargetExclusion::None)
      continue;
    if (ColdRate > 0 && Now < Known.ColdUntil) {
      const ShareVerdict Verdict =
          judgeShare(Cold, Id, Registered.Domain, ColdRate, Now);
      const TimePoint Room = roomAt(Verdict, Known.ColdUntil, Now);
      if (!Verdict.IsAdmitted &&
          (!Listed.EarliestColdRoom || Room < *Listed.EarliestColdRoom))
        Listed.EarliestColdRoom = Room;
      if (!Verdict.IsAdmitted)
        continue;
    }
    const RateLimitVerdict Limited = RateLimits.judge(Registered);
    if (Limited.RoomAt && (!Listed.EarliestLimitRoom ||
                           *Limited.RoomAt < *Listed.EarliestLimitRoom))
      Listed.EarliestLimitRoom = Limited.RoomAt;
    if (!Limited.MayProbe)
      continue;
    if (!Stats.FirstListedAt)
      Stats.FirstListedAt = Now;
    endEjection(Stats.Outlier, Now);
    if (!Stats.Preference)
      Stats.Preference = UnitInterval(Generator);
    Preferences.push_back(*Stats.Preference);
    Found.push_back(
        makeCandidate(Facts,
                      {Stats.Outlier, Stats.Load, Stats.LoadObservedAt,
                       *Stats.FirstListedAt, ServiceListedAt},
                      HostDomain, Now));
    Found.back().NeedsProbe = !Limited.MaySend;
  }
  markPreferredSubsets(Found, Preferences);
  return Listed;
}

void GatewayState::recordSignals(const TargetProcess &Addressed,
                                 const Endpoint &Address,
                                 const TargetSignals &Signals,
                                 SignalSource Source) {
  if (!Signals.IsLeaving && !Signals.Pause && !Signals.RateLimit)
    return;
  TargetProcess Sender = Addressed;
  if (!Signals.Responder.Value.empty() && Signals.Responder != Addressed.Id) {
    const auto Position = Directory.Targets.find(Signals.Responder);
    if (Position == Directory.Targets.end() ||
        Position->second.Registration.Address != Address)
      return;
    Sender = processOf(Position->second.Registration);
  } else if (Signals.IsMisdirected) {
    return;
  }
  if (Signals.IsLeaving)
    recordLeaving(Sender, Source);
  if (Signals.Pause)
    recordPause(Sender, *Signals.Pause, Source);
  if (Signals.RateLimit)
    RateLimits.record(Sender, *Signals.RateLimit, Source);
}

void GatewayState::recordUnlimited(const TargetProcess &Process,
                                   SignalSource Source, TimePoint SentAt) {
  RateLimits.recordUnlimited(Process, Source, SentAt);
}

void GatewayState::recordLeaving(const TargetProcess &Process,
                                 SignalSource Source) {
  const bool IsKnown = isLeaving(Directory, Process);
  if (comfreyrill::recordLeaving(Directory, Process, TimeSource.now()))
    ChangedSinceLastDelta.push_back(Process.Id);
  if (IsKnown)
    return;
  if (Source != SignalSource::Host)
    UnsharedLeaving.push_back(Process);
  ++Signalled.Leaving;
  LogLine Line("target_leaving");
  Line.field("target", Process.Id.Value)
      .field("started_at_ms", Process.StartedAtMilliseconds)
      .field("source", signalSourceName(Source));
  Events.write(LogLevel::Info, "target_leaving", Line);
}

// Other hosts are not told of a pause: the target asks only the host that it
// has turned away.
void GatewayState::recordPause(const TargetProcess &Process, Duration Requested,
                               SignalSource Source) {
  if (std::min(Requested, Pausing.Maximum) <= Duration::zero())
    return;
  const TimePoint Now = TimeSource.now();
  if (Pauses.size() >= PausesMaximum && !Pauses.contains(Process))
    Pauses.erase(std::min_element(
        Pauses.begin(), Pauses.end(), [](const auto &One, const auto &Other) {
          return One.second.Pause.EndsAt < Other.second.Pause.EndsAt;
        }));
  KnownPause &Known = Pauses[Process];
  const bool IsExtension = isPaused(Known.Pause, Now);
  beginPause(Known.Pause, Requested, Pausing, Now);
  if (IsExtension)
    return;
  Known.IsResumed = false;
  ++Signalled.Paused;
  LogLine Line("target_paused");
  Line.field("target", Process.Id.Value)
      .field("started_at_ms", Process.StartedAtMilliseconds)
      .field("source", signalSourceName(Source))
      .field("requested_ms", milliseconds(Requested))
      .field("ms", milliseconds(Known.Pause.EndsAt - Now));
  Events.write(LogLevel::Info, "target_paused", Line);
}

std::vector<TargetProcess> GatewayState::takeUnsharedLeaving() {
  return std::exchange(UnsharedLeaving, {});
}

bool GatewayState::mayUse(const TargetProcess &Process) const {
  const TimePoint Now = TimeSource.now();
  const auto Position = Directory.Targets.find(Process.Id);
  if (Position == Directory.Targets.end() ||
      processOf(Position->second.Registration) != Process ||
      !isUsable(Position->second, Now) ||
      isEvacuated(Evacuations, Position->second.Registration.Domain))
    return false;
  const auto Known = Pauses.find(Process);
  return Known == Pauses.end() || !isPaused(Known->second.Pause, Now);
}

bool GatewayState::mayUseFor(const ServiceName &Service,
                             const TargetProcess &Process) const {
  return mayUse(Process) &&
         Directory.Targets.at(Process.Id).Registration.Service == Service;
}

bool GatewayState::admitsAttempt(const TargetProcess &Process) const {
  if (!mayUse(Process))
    return false;
  const TimePoint Now = TimeSource.now();
  const DirectoryEntry &Entry = Directory.Targets.at(Process.Id);
  const double ColdRate = coldRate(Entry.Registration.Service);
  if (ColdRate > 0 && Now < Entry.ColdUntil &&
      !judgeShare(Cold, Process.Id, Entry.Registration.Domain, ColdRate, Now)
           .IsAdmitted)
    return false;
  if (!RateLimits.judge(Entry.Registration).MaySend)
    return false;
  const auto Known = Pauses.find(Process);
  if (Known == Pauses.end())
    return true;
  const auto Stats = StatsByTarget.find(Process.Id);
  return admitsRequest(
      Known->second.Pause,
      Stats == StatsByTarget.end() ? 0 : Stats->second.InFlight, Now);
}

void GatewayState::beginAttempt(const TargetProcess &Process) {
  ++StatsByTarget[Process.Id].InFlight;
  const auto Target = Directory.Targets.find(Process.Id);
  if (Target != Directory.Targets.end() &&
      coldRate(Target->second.Registration.Service) > 0)
    recordRequest(Cold, Process.Id, TimeSource.now());
  RateLimits.beginAttempt(Process);
  const auto Position = Pauses.find(Process);
  if (Position == Pauses.end() || Position->second.IsResumed)
    return;
  Position->second.IsResumed = true;
  recordResumption(Process, Position->second.Pause, "pause_end");
}

void GatewayState::recordResumption(const TargetProcess &Process,
                                    const TargetPause &Ended,
                                    std::string_view Source) {
  ++Signalled.Resumed;
  LogLine Line("target_resumed");
  Line.field("target", Process.Id.Value)
      .field("started_at_ms", Process.StartedAtMilliseconds)
      .field("source", Source)
      .field("ms", milliseconds(TimeSource.now() - Ended.BeganAt));
  Events.write(LogLevel::Info, "target_resumed", Line);
}

void GatewayState::endAttempt(const TargetProcess &Process) {
  --StatsByTarget[Process.Id].InFlight;
}

void GatewayState::withdrawAttempt(const TargetProcess &Process,
                                   TimePoint SentAt) {
  withdrawRequest(Cold, Process.Id, SentAt);
  RateLimits.withdrawAttempt(Process, SentAt);
}

// A request from before the pause does not show that the target has room again.
void GatewayState::recordAnswer(const TargetProcess &Process,
                                TimePoint SentAt) {
  const auto Position = Pauses.find(Process);
  if (Position != Pauses.end() && SentAt >= Position->second.Pause.EndsAt &&
      recordAnswerAfterPause(Position->second.Pause, TimeSource.now()))
    Pauses.erase(Position);
}

void GatewayState::removeEndedPauses() {
  const TimePoint Now = TimeSource.now();
  std::erase_if(Pauses, [&](const auto &Entry) {
    const KnownPause &Known = Entry.second;
    if (Now < Known.Pause.EndsAt + ResumptionTime)
      return false;
    if (!Known.IsResumed && mayUse(Entry.first))
      recordResumption(Entry.first, Known.Pause, "idle");
    return true;
  });
}

void GatewayState::recordLoad(const TargetId &Id, const LoadReport &Load) {
  TargetStats &Stats = StatsByTarget[Id];
  Stats.Load = Load;
  Stats.LoadObservedAt = TimeSource.now();
  if (!Stats.IsLoadUnshared)
    UnsharedLoads.push_back(Id);
  Stats.IsLoadUnshared = true;
}

void GatewayState::recordSharedLoad(const TargetId &Id, const LoadReport &Load,
                                    TimePoint ObservedAt) {
  if (!Directory.Targets.contains(Id))
    return;
  TargetStats &Stats = StatsByTarget[Id];
  if (Stats.Load && Stats.LoadObservedAt >= ObservedAt)
    return;
  Stats.Load = Load;
  Stats.LoadObservedAt = ObservedAt;
}

std::vector<TargetId> GatewayState::takeUnsharedLoads() {
  std::vector<TargetId> Taken = std::move(UnsharedLoads);
  UnsharedLoads.clear();
  for (const TargetId &Id : Taken)
    StatsByTarget[Id].IsLoadUnshared = false;
  return Taken;
}

void GatewayState::recordSuccess(const TargetId &Id) {
  TargetStats &Stats = StatsByTarget[Id];
  countSuccess(Stats.Outlier);
  ++Stats.Unshared.Successes;
  UnsharedOutcomes.push_back(Id);
}

// Only failed attempts are shared with other hosts. Connection failures are
// detected by the probes of each host, which put no request at risk, and an
// isolated host would make the others eject healthy targets.
void GatewayState::recordFailure(const TargetId &Id, TargetFailure Kind) {
  countTargetFailure(Id, Kind == TargetFailure::Connection);
  if (Kind != TargetFailure::Attempt)
    return;
  ++StatsByTarget[Id].Unshared.Failures;
  UnsharedOutcomes.push_back(Id);
}

// The order of the outcomes in a notice is unknown. Counting the successes last
// resets the consecutive failures of a target that also answers.
void GatewayState::recordSharedOutcomes(const TargetId &Id,
                                        const AttemptCounts &Counts) {
  if (!Directory.Targets.contains(Id))
    return;
  for (std::uint32_t Count = 0; Count < Counts.Failures; ++Count)
    countTargetFailure(Id, false);
  for (std::uint32_t Count = 0; Count < Counts.Successes; ++Count)
    countSuccess(StatsByTarget[Id].Outlier);
}

std::map<TargetId, AttemptCounts> GatewayState::takeUnsharedOutcomes() {
  std::map<TargetId, AttemptCounts> Taken;
  for (const TargetId &Id : UnsharedOutcomes)
    if (Directory.Targets.contains(Id))
      Taken[Id] = StatsByTarget[Id].Unshared;
  for (const TargetId &Id : UnsharedOutcomes)
    StatsByTarget[Id].Unshared = {};
  UnsharedOutcomes.clear();
  return Taken;
}

void GatewayState::countTargetFailure(const TargetId &Id,
                                      bool IsConnectionFailure) {
  OutlierState &State = StatsByTarget[Id].Outlier;
  if (!countFailure(State, IsConnectionFailure) || State.Ejected ||
      (!IsConnectionFailure && !mayEject(Id)))
    return;
  const TimePoint Now = TimeSource.now();
  eject(State, Now);
  // The hosts of a failure domain eject a target at about the same time. Random
  // ends of the ejections let the first host that retries the target report a
  // failure before the others use the target again.
  std::uniform_real_distribution<double> Fraction(0, 1);
  State.EjectedUntil += std::chrono::duration_cast<Duration>(
      (State.EjectedUntil - Now) * Fraction(Generator));
  LogLine Line("target_ejected");
  Line.field("target", Id.Value).field("ejections", State.Ejections);
  Events.write(LogLevel::Warning, "target_ejected", Line);
}

bool GatewayState::mayEject(const TargetId &Id) const {
  const auto Position = Directory.Targets.find(Id);
  if (Position == Directory.Targets.end())
    return true;
  std::size_t Count = 0;
  std::size_t Ejected = 0;
  for (const auto &[Other, Known] : Directory.Targets) {
    if (Known.Registration.Service != Position->second.Registration.Service)
      continue;
    ++Count;
    const auto Stats = StatsByTarget.find(Other);
    Ejected +=
        Stats != StatsByTarget.end() && Stats->second.Outlier.Ejected ? 1 : 0;
  }
  return static_cast<double>(Ejected + 1) <=
         std::max(1.0, EjectedShareMaximum * static_cast<double>(Count));
}

void GatewayState::recordChanges(const std::vector<TargetId> &Changed,
                                 std::string_view Source) {
  for (const TargetId &Id : Changed) {
    const auto Position = Directory.Targets.find(Id);
    LogLine Line("target_changed");
    Line.field("target", Id.Value)
        .field("state", Position == Directory.Targets.end()        ? "gone"
                        : Position->second.Registration.IsDraining ? "draining"
                        : Position->second.HeldBackUntil           ? "held_back"
                                                                   : "ready")
        .field("revision", formatRevision(Directory.Revision))
        .field("source", Source);
    Events.write(LogLevel::Info, "target_changed", Line);
  }
  ChangedSinceLastDelta.insert(ChangedSinceLastDelta.end(), Changed.begin(),
                               Changed.end());
}

} // namespace comfreyrill
