#include <LibGateway/TargetDirectory.h>

#include <algorithm>
#include <set>

namespace comfreyrill {

namespace {

enum class DrainingMemory { Keep, Follow };

bool put(TargetDirectory &Directory, const TargetRegistration &Registered,
         DrainingMemory Memory, TimePoint Now) {
  auto [Position, IsNew] = Directory.Targets.try_emplace(Registered.Id);
  KnownTarget &Known = Position->second;
  const bool IsSameProcess = !IsNew &&
                             Known.Registration.StartedAtMilliseconds ==
                                 Registered.StartedAtMilliseconds &&
                             Known.Registration.Address == Registered.Address;
  // A stale read must not bring back a target that has begun to drain: a
  // process never becomes ready again after that.
  const bool IsDraining =
      Registered.IsDraining || (Memory == DrainingMemory::Keep &&
                                IsSameProcess && Known.Registration.IsDraining);
  const bool IsChanged = IsNew || !IsSameProcess || Known.GraceEndsAt ||
                         Known.Registration.IsDraining != IsDraining ||
                         Known.Registration.Service != Registered.Service;
  if (!IsSameProcess)
    Known.ColdUntil = Now + Registered.ColdTime;
  Known.Registration = Registered;
  Known.Registration.IsDraining = IsDraining;
  Known.GraceEndsAt.reset();
  return IsChanged;
}

/// A target that has announced its end is gone with its entry; any other one
/// may live when the store was away.
bool miss(TargetDirectory &Directory, const TargetId &Id, TimePoint Now) {
  const auto Position = Directory.Targets.find(Id);
  if (Position == Directory.Targets.end())
    return false;
  KnownTarget &Known = Position->second;
  if (!Known.Registration.IsDraining &&
      Now < Directory.MissingEntryGraceUntil) {
    if (!Known.GraceEndsAt)
      Known.GraceEndsAt = Directory.MissingEntryGraceUntil;
    return false;
  }
  Directory.Targets.erase(Position);
  return true;
}

std::vector<TargetId> missingFrom(const TargetDirectory &Directory,
                                  const std::set<TargetId> &Present) {
  std::vector<TargetId> Missing;
  for (const auto &[Id, Known] : Directory.Targets)
    if (!Present.contains(Id))
      Missing.push_back(Id);
  return Missing;
}

RegistrationChange changeOf(const TargetDirectory &Directory,
                            const TargetId &Id, TimePoint Now) {
  RegistrationChange Change{Id, std::nullopt, Directory.Revision};
  const auto Position = Directory.Targets.find(Id);
  if (Position == Directory.Targets.end())
    return Change;
  Change.Registration = Position->second.Registration;
  Change.Registration->ColdTime =
      std::max(Position->second.ColdUntil - Now, Duration::zero());
  return Change;
}

} // namespace

void recordStoreRecovery(TargetDirectory &Directory, TimePoint Now) {
  Directory.MissingEntryGraceUntil = Now + MissingEntryGrace;
  for (auto &[Id, Known] : Directory.Targets)
    if (Known.GraceEndsAt)
      Known.GraceEndsAt = Directory.MissingEntryGraceUntil;
}

std::optional<std::vector<TargetId>>
replaceRegistrations(TargetDirectory &Directory,
                     const std::vector<TargetRegistration> &Listed,
                     StoreRevision Revision, TimePoint Now) {
  if (Revision < Directory.Revision)
    return std::nullopt;
  std::set<TargetId> Present;
  std::vector<TargetId> Changed;
  for (const TargetRegistration &Registered : Listed) {
    Present.insert(Registered.Id);
    if (put(Directory, Registered, DrainingMemory::Keep, Now))
      Changed.push_back(Registered.Id);
  }
  for (const TargetId &Id : missingFrom(Directory, Present))
    if (miss(Directory, Id, Now))
      Changed.push_back(Id);
  Directory.Revision = Revision;
  return Changed;
}

bool applyChange(TargetDirectory &Directory, const RegistrationChange &Change,
                 TimePoint Now) {
  if (Change.Revision < Directory.Revision)
    return false;
  Directory.Revision = Change.Revision;
  return Change.Registration
             ? put(Directory, *Change.Registration, DrainingMemory::Keep, Now)
             : miss(Directory, Change.Id, Now);
}

std::vector<TargetId> removeMissingTargets(TargetDirectory &Directory,
                                           TimePoint Now) {
  std::vector<TargetId> Dropped;
  for (const auto &[Id, Known] : Directory.Targets)
    if (Known.GraceEndsAt && *Known.GraceEndsAt <= Now)
      Dropped.push_back(Id);
  for (const TargetId &Id : Dropped)
    Directory.Targets.erase(Id);
  return Dropped;
}

TargetDelta makeDelta(const TargetDirectory &Directory, StoreRevision Base,
                      const std::vector<TargetId> &Changed, TimePoint Now) {
  TargetDelta Delta{Base, Directory.Revision, {}};
  for (const TargetId &Id : Changed)
    Delta.Changes.push_back(changeOf(Directory, Id, Now));
  return Delta;
}

TargetDelta makeCompleteDelta(const TargetDirectory &Directory, TimePoint Now) {
  TargetDelta Delta{{}, Directory.Revision, {}};
  for (const auto &[Id, Known] : Directory.Targets)
    Delta.Changes.push_back(changeOf(Directory, Id, Now));
  return Delta;
}

// The sender has decided what is gone and what drains, so neither grace nor
// memory applies here: a follower that kept its own view would differ from its
// source for good.
std::optional<std::vector<TargetId>> applyDelta(TargetDirectory &Directory,
                                                const TargetDelta &Delta,
                                                TimePoint Now) {
  const bool IsComplete = Delta.Base.Value == 0;
  if (Delta.Revision < Directory.Revision ||
      (!IsComplete && Delta.Base > Directory.Revision))
    return std::nullopt;
  std::set<TargetId> Present;
  std::vector<TargetId> Changed;
  for (const RegistrationChange &Change : Delta.Changes) {
    Present.insert(Change.Id);
    const bool IsChanged =
        Change.Registration
            ? put(Directory, *Change.Registration, DrainingMemory::Follow, Now)
            : Directory.Targets.erase(Change.Id) > 0;
    if (IsChanged)
      Changed.push_back(Change.Id);
  }
  if (IsComplete)
    for (const TargetId &Id : missingFrom(Directory, Present)) {
      Directory.Targets.erase(Id);
      Changed.push_back(Id);
    }
  Directory.Revision = Delta.Revision;
  return Changed;
}

} // namespace comfreyrill
