#include "Knowledge.h"

namespace comfreyrill {

Knowledge::Knowledge(const Clock &TimeSource, BoundedLog &Events)
    : TimeSource(TimeSource), Events(Events) {}

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
  recordStoreReturn(Directory, TimeSource.now());
}

bool Knowledge::expire() {
  const auto Lapsed = dropLapsed(Directory, TimeSource.now());
  noteChanged(Lapsed, "lapse");
  std::erase_if(Experience, [&](const auto &Entry) {
    return Entry.second.InFlight == 0 &&
           !Directory.Targets.contains(Entry.first);
  });
  return !Lapsed.empty();
}

std::vector<PlacementCandidate>
Knowledge::candidates(const ServiceName &Service,
                      const FailureDomain &HostDomain) {
  const TimePoint Now = TimeSource.now();
  std::vector<PlacementCandidate> Found;
  for (const auto &[Id, Known] : Directory.Targets) {
    const TargetRegistration &Registered = Known.Registration;
    if (Registered.Service != Service || Registered.IsDraining)
      continue;
    TargetExperience &Seen = Experience[Id];
    endEjection(Seen.Outlier, Now);
    Found.push_back({Id, Registered.Domain == HostDomain, Now < Known.ColdUntil,
                     Seen.Outlier.Ejected || Known.LapsesAt.has_value(),
                     Seen.Load, Now - Seen.LoadAt});
  }
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
  countSuccess(Experience[Id].Outlier);
}

void Knowledge::recordFailure(const TargetId &Id, bool IsConnectionFailure) {
  OutlierState &State = Experience[Id].Outlier;
  if (!countFailure(State, IsConnectionFailure) || State.Ejected)
    return;
  eject(State, TimeSource.now());
  LogLine Line("target_ejected");
  Line.field("target", Id.Value).field("ejections", State.Ejections);
  Events.write(LogLevel::Warning, "target_ejected", Line);
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
