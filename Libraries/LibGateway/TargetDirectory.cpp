#include <LibGateway/TargetDirectory.h>

#include <algorithm>
#include <set>

namespace comfreyrill {

namespace {

bool put(TargetDirectory &Directory, const TargetRegistration &Registered,
         TimePoint Now) {
  auto [Position, IsNew] = Directory.Targets.try_emplace(Registered.Id);
  KnownTarget &Known = Position->second;
  const bool IsSameProcess = !IsNew &&
                             Known.Registration.StartedAtMilliseconds ==
                                 Registered.StartedAtMilliseconds &&
                             Known.Registration.Address == Registered.Address;
  // A stale read must not bring back a target that has begun to drain: a
  // process never becomes ready again after that.
  const bool IsDraining =
      Registered.IsDraining || (IsSameProcess && Known.Registration.IsDraining);
  const bool IsChanged = IsNew || !IsSameProcess || Known.LapsesAt ||
                         Known.Registration.IsDraining != IsDraining ||
                         Known.Registration.Service != Registered.Service;
  if (!IsSameProcess)
    Known.ColdUntil = Now + Registered.ColdTime;
  Known.Registration = Registered;
  Known.Registration.IsDraining = IsDraining;
  Known.LapsesAt.reset();
  return IsChanged;
}

/// A target that has announced its end is gone with its entry; any other one
/// may live when the store was away.
bool miss(TargetDirectory &Directory, const TargetId &Id, TimePoint Now) {
  const auto Position = Directory.Targets.find(Id);
  if (Position == Directory.Targets.end())
    return false;
  KnownTarget &Known = Position->second;
  if (!Known.Registration.IsDraining && Now < Directory.LapseGraceUntil) {
    if (!Known.LapsesAt)
      Known.LapsesAt = Directory.LapseGraceUntil;
    return false;
  }
  Directory.Targets.erase(Position);
  return true;
}

} // namespace

void recordStoreReturn(TargetDirectory &Directory, TimePoint Now) {
  Directory.LapseGraceUntil = Now + LapseGrace;
  for (auto &[Id, Known] : Directory.Targets)
    if (Known.LapsesAt)
      Known.LapsesAt = Directory.LapseGraceUntil;
}

bool replaceRegistrations(TargetDirectory &Directory,
                          const std::vector<TargetRegistration> &Listed,
                          StoreRevision Revision, TimePoint Now) {
  if (Revision < Directory.Revision)
    return false;
  std::set<TargetId> Present;
  for (const TargetRegistration &Registered : Listed) {
    Present.insert(Registered.Id);
    put(Directory, Registered, Now);
  }
  std::vector<TargetId> Missing;
  for (const auto &[Id, Known] : Directory.Targets)
    if (!Present.contains(Id))
      Missing.push_back(Id);
  for (const TargetId &Id : Missing)
    miss(Directory, Id, Now);
  Directory.Revision = Revision;
  return true;
}

bool applyChange(TargetDirectory &Directory, const RegistrationChange &Change,
                 TimePoint Now) {
  if (Change.Revision < Directory.Revision)
    return false;
  Directory.Revision = Change.Revision;
  return Change.Registration ? put(Directory, *Change.Registration, Now)
                             : miss(Directory, Change.Id, Now);
}

std::vector<TargetId> dropLapsed(TargetDirectory &Directory, TimePoint Now) {
  std::vector<TargetId> Dropped;
  for (const auto &[Id, Known] : Directory.Targets)
    if (Known.LapsesAt && *Known.LapsesAt <= Now)
      Dropped.push_back(Id);
  for (const TargetId &Id : Dropped)
    Directory.Targets.erase(Id);
  return Dropped;
}

} // namespace comfreyrill
