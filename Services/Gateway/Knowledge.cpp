#include "Knowledge.h"

#include <algorithm>

namespace comfreyrill {

namespace {

// Above this share of ejected targets, failures more likely come from the
// requests or the network than from the targets.
constexpr double EjectedShareMaximum = 0.5;
// How long a target that comes back from an ejection is left to requests that
// may run again. Services without such requests must get it back, too.
constexpr Duration TrialTime = std::chrono::seconds(2);
// Far targets that a host uses before the others. With hundreds of targets a
// host sends to each so seldom that its connections would end unused.
constexpr double PreferredFarTargets = 32;

bool isOnProbation(const OutlierState &State, TimePoint Now) {
  return State.Ejections > 0 && State.Successes == 0 && !State.Ejected &&
         Now - State.EjectedUntil < TrialTime;
}

} // namespace

Knowledge::Knowledge(const Clock &TimeSource, Random &Generator,
                     BoundedLog &Events)
    : TimeSource(TimeSource), Generator(Generator), Events(Events) {}

ConfigurationVersion Knowledge::version() const {
  return InForce ? InForce->Version : ConfigurationVersion{};
}

bool Knowledge::offerConfiguration(Configuration Offered,
                                   std::string Compressed,
                                   std::string_view Source) {
  if (InForce && Offered.Version <= InForce->Version)
    return false;
  LogLine Line("configuration_in_force");
  Line.field("version", Offered.Version.Value)
      .field("previous", version().Value)
      .field("routes", std::uint64_t{Offered.Routes.size()})
      .field("source", Source);
  Events.writeAlways(LogLevel::Info, Line);
  InForce = std::make_shared<const Configuration>(std::move(Offered));
  InForceText = std::move(Compressed);
  return true;
}

void Knowledge::offerRegistrations(
    const std::vector<TargetRegistration> &Listed, StoreRevision Revision,
    std::string_view Source) {
  const auto Changed =
      replaceRegistrations(Directory, Listed, Revision, TimeSource.now());
  if (Changed)
    noteChanged(*Changed, Source);
}

void Knowledge::offerChange(const RegistrationChange &Change,
                            std::string_view Source) {
  if (applyChange(Directory, Change, TimeSource.now()))
    noteChanged({Change.Id}, Source);
}

bool Knowledge::offerDelta(const TargetDelta &Delta, std::string_view Source) {
  const auto Changed = applyDelta(Directory, Delta, TimeSource.now());
  if (Changed)
    noteChanged(*Changed, Source);
  return Changed.has_value();
}

TargetDelta Knowledge::takeDelta() {
  TargetDelta Delta =
      makeDelta(Directory, LastDelta, ChangedSinceDelta, TimeSource.now());
  ChangedSinceDelta.clear();
  LastDelta = Directory.Revision;
  return Delta;
}

TargetDelta Knowledge::completeDelta() const {
  return makeCompleteDelta(Directory, TimeSource.now());
}

void Knowledge::noteStoreReturn() {
  recordStoreRecovery(Directory, TimeSource.now());
}

bool Knowledge::expire() {
  const auto Lapsed = removeMissingTargets(Directory, TimeSource.now());
  noteChanged(Lapsed, "lapse");
  std::erase_if(Experience, [&](const auto &Entry) {
    return Entry.second.InFlight == 0 &&
           !Directory.Targets.contains(Entry.first);
  });
  return !Lapsed.empty();
}

std::vector<TargetCandidate>
Knowledge::candidates(const ServiceName &Service,
                      const FailureDomain &HostDomain) {
  const TimePoint Now = TimeSource.now();
  std::uniform_real_distribution<double> Unit(0, 1);
  std::vector<TargetCandidate> Found;
  std::vector<double> Preferences;
  std::size_t FarCount = 0;
  for (const auto &[Id, Known] : Directory.Targets) {
    const TargetRegistration &Registered = Known.Registration;
    if (Registered.Service != Service || Registered.IsDraining)
      continue;
    TargetExperience &Seen = Experience[Id];
    endEjection(Seen.Outlier, Now);
    if (!Seen.Preference)
      Seen.Preference = Unit(Generator);
    Preferences.push_back(*Seen.Preference);
    const bool IsInLocalDomain = Registered.Domain == HostDomain;
    FarCount += IsInLocalDomain ? 0 : 1;
    Found.push_back({Id, IsInLocalDomain, true, Now < Known.ColdUntil,
                     Seen.Outlier.Ejected || Known.GraceEndsAt.has_value(),
                     isOnProbation(Seen.Outlier, Now), Seen.Load,
                     Now - Seen.LoadAt, Seen.InFlight});
  }
  for (std::size_t Index = 0; Index < Found.size(); ++Index)
    Found[Index].IsInPreferredSubset =
        Preferences[Index] * static_cast<double>(FarCount) <
        PreferredFarTargets;
  return Found;
}

void Knowledge::recordLoad(const TargetId &Id, const LoadReport &Load) {
  TargetExperience &Seen = Experience[Id];
  Seen.Load = Load;
  Seen.LoadAt = TimeSource.now();
  if (!Seen.IsLoadNews)
    SeenLoads.push_back(Id);
  Seen.IsLoadNews = true;
}

void Knowledge::recordSharedLoad(const TargetId &Id, const LoadReport &Load,
                                 TimePoint SeenAt) {
  if (!Directory.Targets.contains(Id))
    return;
  TargetExperience &Seen = Experience[Id];
  if (Seen.Load && Seen.LoadAt >= SeenAt)
    return;
  Seen.Load = Load;
  Seen.LoadAt = SeenAt;
}

std::vector<TargetId> Knowledge::takeSeenLoads() {
  std::vector<TargetId> Taken = std::move(SeenLoads);
  SeenLoads.clear();
  for (const TargetId &Id : Taken)
    Experience[Id].IsLoadNews = false;
  return Taken;
}

void Knowledge::recordSuccess(const TargetId &Id) {
  TargetExperience &Seen = Experience[Id];
  countSuccess(Seen.Outlier);
  ++Seen.Untold.Successes;
  SeenOutcomes.push_back(Id);
}

// Only failed attempts are told to other hosts. Failures to connect are found
// by probes, which put no request at risk, and a host that is itself cut off
// would talk the others out of sound targets.
void Knowledge::recordFailure(const TargetId &Id, TargetFailure Kind) {
  countTargetFailure(Id, Kind == TargetFailure::Connection);
  if (Kind != TargetFailure::Attempt)
    return;
  ++Experience[Id].Untold.Failures;
  SeenOutcomes.push_back(Id);
}

// The order within a notice is unknown. Taking the answers last means that a
// target which also answers is not ejected for failures in a row.
void Knowledge::recordSharedOutcomes(const TargetId &Id,
                                     const AttemptCounts &Counts) {
  if (!Directory.Targets.contains(Id))
    return;
  for (std::uint32_t Count = 0; Count < Counts.Failures; ++Count)
    countTargetFailure(Id, false);
  for (std::uint32_t Count = 0; Count < Counts.Successes; ++Count)
    countSuccess(Experience[Id].Outlier);
}

std::map<TargetId, AttemptCounts> Knowledge::takeOutcomes() {
  std::map<TargetId, AttemptCounts> Taken;
  for (const TargetId &Id : SeenOutcomes)
    if (Directory.Targets.contains(Id))
      Taken[Id] = Experience[Id].Untold;
  for (const TargetId &Id : SeenOutcomes)
    Experience[Id].Untold = {};
  SeenOutcomes.clear();
  return Taken;
}

void Knowledge::countTargetFailure(const TargetId &Id,
                                   bool IsConnectionFailure) {
  OutlierState &State = Experience[Id].Outlier;
  if (!countFailure(State, IsConnectionFailure) || State.Ejected ||
      (!IsConnectionFailure && !mayEject(Id)))
    return;
  const TimePoint Now = TimeSource.now();
  eject(State, Now);
  // The hosts of a domain eject together. Their ejections end one after the
  // other, so that the first that tries the target again warns the rest.
  std::uniform_real_distribution<double> Part(0, 1);
  State.EjectedUntil += std::chrono::duration_cast<Duration>(
      (State.EjectedUntil - Now) * Part(Generator));
  LogLine Line("target_ejected");
  Line.field("target", Id.Value).field("ejections", State.Ejections);
  Events.write(LogLevel::Warning, "target_ejected", Line);
}

bool Knowledge::mayEject(const TargetId &Id) const {
  const auto Position = Directory.Targets.find(Id);
  if (Position == Directory.Targets.end())
    return true;
  std::size_t Count = 0;
  std::size_t Ejected = 0;
  for (const auto &[Other, Known] : Directory.Targets) {
    if (Known.Registration.Service != Position->second.Registration.Service)
      continue;
    ++Count;
    const auto Seen = Experience.find(Other);
    Ejected += Seen != Experience.end() && Seen->second.Outlier.Ejected ? 1 : 0;
  }
  return static_cast<double>(Ejected + 1) <=
         std::max(1.0, EjectedShareMaximum * static_cast<double>(Count));
}

void Knowledge::noteChanged(const std::vector<TargetId> &Changed,
                            std::string_view Source) {
  for (const TargetId &Id : Changed) {
    const auto Position = Directory.Targets.find(Id);
    LogLine Line("target_changed");
    Line.field("target", Id.Value)
        .field("state", Position == Directory.Targets.end()        ? "gone"
                        : Position->second.Registration.IsDraining ? "draining"
                                                                   : "ready")
        .field("revision", Directory.Revision.Value)
        .field("source", Source);
    Events.write(LogLevel::Info, "target_changed", Line);
  }
  ChangedSinceDelta.insert(ChangedSinceDelta.end(), Changed.begin(),
                           Changed.end());
}

} // namespace comfreyrill
