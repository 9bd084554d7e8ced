#include <LibGateway/TargetDirectory.h>

#include <algorithm>
#include <set>

namespace comfreyrill {

namespace {

/// How an update treats the draining state of the same target process: OnlySet
/// never clears it, Replace takes over the state of the update.
enum class DrainingUpdate { OnlySet, Replace };

bool upsert(TargetDirectory &Directory, const TargetRegistration &Registered,
            DrainingUpdate Draining, TimePoint Now) {
  auto [Position, IsNew] = Directory.Targets.try_emplace(Registered.Id);
  DirectoryEntry &Entry = Position->second;
  const bool IsSameProcess = !IsNew &&
                             Entry.Registration.StartedAtMilliseconds ==
                                 Registered.StartedAtMilliseconds &&
                             Entry.Registration.Address == Registered.Address;
  // A stale read must not clear the draining state: a process that has begun to
  // drain never becomes ready again.
  const bool IsDraining =
      Registered.IsDraining || (Draining == DrainingUpdate::OnlySet &&
                                IsSameProcess && Entry.Registration.IsDraining);
  const bool IsChanged = IsNew || !IsSameProcess || Entry.GraceEndsAt ||
                         Entry.Registration.IsDraining != IsDraining ||
                         Entry.Registration.Service != Registered.Service;
  if (!IsSameProcess)
    Entry.ColdUntil = Now + Registered.ColdTime;
  Entry.Registration = Registered;
  Entry.Registration.IsDraining = IsDraining;
  Entry.GraceEndsAt.reset();
  return IsChanged;
}

/// Handles a target without an entry in the store. A draining target is removed
/// at once. Another one may still be alive after an outage of the store and is
/// kept for the grace period. Returns true when the target is removed.
bool handleMissingEntry(TargetDirectory &Directory, const TargetId &Id,
                        TimePoint Now) {
  const auto Position = Directory.Targets.find(Id);
  if (Position == Directory.Targets.end())
    return false;
  DirectoryEntry &Entry = Position->second;
  if (!Entry.Registration.IsDraining &&
      Now < Directory.MissingEntryGraceUntil) {
    if (!Entry.GraceEndsAt)
      Entry.GraceEndsAt = Directory.MissingEntryGraceUntil;
    return false;
  }
  Directory.Targets.erase(Position);
  return true;
}

std::vector<TargetId> absentTargets(const TargetDirectory &Directory,
                                    const std::set<TargetId> &Present) {
  std::vector<TargetId> Missing;
  for (const auto &[Id, Entry] : Directory.Targets)
    if (!Present.contains(Id))
      Missing.push_back(Id);
  return Missing;
}

RegistrationChange makeChange(const TargetDirectory &Directory,
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
  for (auto &[Id, Entry] : Directory.Targets)
    if (Entry.GraceEndsAt)
      Entry.GraceEndsAt = Directory.MissingEntryGraceUntil;
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
    if (upsert(Directory, Registered, DrainingUpdate::OnlySet, Now))
      Changed.push_back(Registered.Id);
  }
  for (const TargetId &Id : absentTargets(Directory, Present))
    if (handleMissingEntry(Directory, Id, Now))
      Changed.push_back(Id);
  Directory.Revision = Revision;
  return Changed;
}

bool applyChange(TargetDirectory &Directory, const RegistrationChange &Change,
                 TimePoint Now) {
  if (Change.Revision < Directory.Revision)
    return false;
  Directory.Revision = Change.Revision;
  return Change.Registration ? upsert(Directory, *Change.Registration,
                                      DrainingUpdate::OnlySet, Now)
                             : handleMissingEntry(Directory, Change.Id, Now);
}

std::vector<TargetId> removeMissingTargets(TargetDirectory &Directory,
                                           TimePoint Now) {
  std::vector<TargetId> Dropped;
  for (const auto &[Id, Entry] : Directory.Targets)
    if (Entry.GraceEndsAt && *Entry.GraceEndsAt <= Now)
      Dropped.push_back(Id);
  for (const TargetId &Id : Dropped)
    Directory.Targets.erase(Id);
  return Dropped;
}

TargetDelta makeDelta(const TargetDirectory &Directory, StoreRevision Base,
                      const std::vector<TargetId> &Changed, TimePoint Now) {
  TargetDelta Delta{Base, Directory.Revision, {}};
  for (const TargetId &Id : Changed)
    Delta.Changes.push_back(makeChange(Directory, Id, Now));
  return Delta;
}

TargetDelta makeCompleteDelta(const TargetDirectory &Directory, TimePoint Now) {
  TargetDelta Delta{{}, Directory.Revision, {}};
  for (const auto &[Id, Entry] : Directory.Targets)
    Delta.Changes.push_back(makeChange(Directory, Id, Now));
  return Delta;
}

// The sender has already applied the grace period and the draining rule, so
// this function applies neither: a follower that kept its own view would differ
// from its source permanently.
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
    const bool IsChanged = Change.Registration
                               ? upsert(Directory, *Change.Registration,
                                        DrainingUpdate::Replace, Now)
                               : Directory.Targets.erase(Change.Id) > 0;
    if (IsChanged)
      Changed.push_back(Change.Id);
  }
  if (IsComplete)
    for (const TargetId &Id : absentTargets(Directory, Present)) {
      Directory.Targets.erase(Id);
      Changed.push_back(Id);
    }
  Directory.Revision = Delta.Revision;
  return Changed;
}

} // namespace comfreyrill
