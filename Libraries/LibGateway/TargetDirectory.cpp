#include <LibGateway/TargetDirectory.h>

#include <algorithm>
#include <set>

namespace comfreyrill {

namespace {

// Longer than the age of a copy from which a store is restored, and than the
// time for which a target serves after it has begun to leave.
constexpr Duration DepartureLifetime = std::chrono::minutes(10);
// The oldest departures are forgotten above this number, those of processes
// that have said that they leave last.
constexpr std::size_t DeparturesMaximum = 4096;

/// Where a registration was read.
enum class RegistrationSource {
  /// In the store, written by the target itself.
  Store,
  /// In the first list after a restore of the store, or passed on from there by
  /// a host that may know less than this one.
  RestoredCopy,
  /// In a delta of another host that knows what has become of the target.
  Host,
};

void forgetOldestDeparture(TargetDirectory &Directory) {
  const auto Oldest = std::min_element(
      Directory.Departures.begin(), Directory.Departures.end(),
      [](const auto &One, const auto &Other) {
        return std::tie(One.second.IsLeaving, One.second.At) <
               std::tie(Other.second.IsLeaving, Other.second.At);
      });
  if (Oldest != Directory.Departures.end())
    Directory.Departures.erase(Oldest);
}

void recordDeparture(TargetDirectory &Directory, const TargetProcess &Process,
                     bool IsLeaving, TimePoint At) {
  // Without a start time, the next process of the target looks the same. It is
  // not held back for a registration that was only missing.
  if (Process.StartedAtMilliseconds == 0 && !IsLeaving)
    return;
  if (!Directory.Departures.contains(Process) &&
      Directory.Departures.size() >= DeparturesMaximum)
    forgetOldestDeparture(Directory);
  Departure &Known = Directory.Departures[Process];
  Known.At = std::max(Known.At, At);
  Known.IsLeaving = Known.IsLeaving || IsLeaving;
}

const Departure *findDeparture(const TargetDirectory &Directory,
                               const TargetProcess &Process) {
  const auto Position = Directory.Departures.find(Process);
  return Position == Directory.Departures.end() ? nullptr : &Position->second;
}

/// True when a restored copy holds an earlier process of a target than the one
/// that this host knows or knew.
bool isSuperseded(const TargetDirectory &Directory,
                  const TargetRegistration &Registered) {
  const auto Current = Directory.Targets.find(Registered.Id);
  if (Current != Directory.Targets.end())
    return Registered.StartedAtMilliseconds <
           Current->second.Registration.StartedAtMilliseconds;
  const auto Departed = Directory.Departures.upper_bound(processOf(Registered));
  return Departed != Directory.Departures.end() &&
         Departed->first.Id == Registered.Id;
}

bool upsert(TargetDirectory &Directory, const TargetRegistration &Registered,
            RegistrationSource Source, TimePoint Now) {
  // A sign of leaving counts also in an entry that is otherwise ignored: the
  // process may be the one in use.
  if (Source == RegistrationSource::RestoredCopy &&
      isSuperseded(Directory, Registered))
    return Registered.IsDraining &&
           recordLeaving(Directory, processOf(Registered), Now);
  auto [Position, IsNew] = Directory.Targets.try_emplace(Registered.Id);
  DirectoryEntry &Entry = Position->second;
  const bool IsSameProcess = !IsNew &&
                             Entry.Registration.StartedAtMilliseconds ==
                                 Registered.StartedAtMilliseconds &&
                             Entry.Registration.Address == Registered.Address;
  // A process that has begun to leave never becomes ready again, whatever a
  // stale read, another host or a restored copy says.
  const Departure *Departed = findDeparture(Directory, processOf(Registered));
  const bool IsDraining = Registered.IsDraining ||
                          (IsSameProcess && Entry.Registration.IsDraining) ||
                          (Departed != nullptr && Departed->IsLeaving);
  std::optional<TimePoint> HeldBack;
  if (IsSameProcess)
    HeldBack = Entry.HeldBackUntil;
  // A later restore brings the entry of a target that is gone back once more,
  // so an entry that is still held back waits for the end of that copy, too.
  const bool IsDoubtful =
      IsSameProcess ? HeldBack && *HeldBack > Now : Departed != nullptr;
  if (Source == RegistrationSource::RestoredCopy && IsDoubtful)
    HeldBack = std::max(HeldBack.value_or(Now), Directory.RestoredCopyUntil);
  const bool IsChanged = IsNew || !IsSameProcess || Entry.GraceEndsAt ||
                         Entry.Registration.IsDraining != IsDraining ||
                         Entry.Registration.Service != Registered.Service ||
                         Entry.HeldBackUntil != HeldBack;
  if (!IsSameProcess)
    Entry.ColdUntil = Now + Registered.ColdTime;
  Entry.Registration = Registered;
  Entry.Registration.IsDraining = IsDraining;
  Entry.GraceEndsAt.reset();
  Entry.HeldBackUntil = HeldBack;
  if (IsDraining)
    recordDeparture(Directory, processOf(Registered), true, Now);
  return IsChanged;
}

void removeTarget(TargetDirectory &Directory,
                  std::map<TargetId, DirectoryEntry>::iterator Position,
                  TimePoint Now) {
  const TargetRegistration &Removed = Position->second.Registration;
  recordDeparture(Directory, processOf(Removed), Removed.IsDraining, Now);
  Directory.Targets.erase(Position);
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
  removeTarget(Directory, Position, Now);
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

/// Applies one change of a delta of another host. Returns true when the target
/// changed.
bool applyHostChange(TargetDirectory &Directory,
                     const RegistrationChange &Change,
                     RegistrationSource Source, TimePoint Now) {
  if (!Change.Registration) {
    const auto Position = Directory.Targets.find(Change.Id);
    if (Position == Directory.Targets.end())
      return false;
    removeTarget(Directory, Position, Now);
    return true;
  }
  const bool IsChanged = upsert(Directory, *Change.Registration, Source, Now);
  const auto Position = Directory.Targets.find(Change.Id);
  if (Position == Directory.Targets.end() ||
      processOf(Position->second.Registration) !=
          processOf(*Change.Registration))
    return IsChanged;
  DirectoryEntry &Entry = Position->second;
  const bool WasHeldBack = Entry.HeldBackUntil.has_value();
  if (Source == RegistrationSource::Host)
    Entry.HeldBackUntil.reset();
  if (Change.HeldBackFor > Duration::zero())
    Entry.HeldBackUntil =
        std::max(Entry.HeldBackUntil.value_or(Now), Now + Change.HeldBackFor);
  return IsChanged || WasHeldBack != Entry.HeldBackUntil.has_value();
}

/// Removes the targets that a complete delta does not hold, or lets their grace
/// period begin. Returns the removed ones.
std::vector<TargetId> removeAbsentTargets(TargetDirectory &Directory,
                                          const TargetDelta &Delta,
                                          const std::set<TargetId> &Present,
                                          TimePoint Now) {
  std::vector<TargetId> Removed;
  for (const TargetId &Id : absentTargets(Directory, Present)) {
    const auto Position = Directory.Targets.find(Id);
    // A sender that has never known the target has not applied the grace
    // period that follows a restore.
    const bool MayLive =
        Now < Directory.RestoredCopyUntil &&
        !Delta.Departures.contains(processOf(Position->second.Registration));
    if (!MayLive)
      removeTarget(Directory, Position, Now);
    if (!MayLive || handleMissingEntry(Directory, Id, Now))
      Removed.push_back(Id);
  }
  return Removed;
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
  if (Position->second.HeldBackUntil)
    Change.HeldBackFor =
        std::max(*Position->second.HeldBackUntil - Now, Duration::zero());
  return Change;
}

} // namespace

TargetProcess processOf(const TargetRegistration &Registered) {
  return {Registered.Id, Registered.StartedAtMilliseconds};
}

bool isLeaving(const TargetDirectory &Directory, const TargetProcess &Process) {
  const Departure *Departed = findDeparture(Directory, Process);
  return Departed != nullptr && Departed->IsLeaving;
}

bool isUsable(const DirectoryEntry &Entry, TimePoint Now) {
  return !Entry.Registration.IsDraining &&
         (!Entry.HeldBackUntil || *Entry.HeldBackUntil <= Now);
}

bool recordLeaving(TargetDirectory &Directory, const TargetProcess &Process,
                   TimePoint Now) {
  recordDeparture(Directory, Process, true, Now);
  const auto Position = Directory.Targets.find(Process.Id);
  if (Position == Directory.Targets.end())
    return false;
  TargetRegistration &Registered = Position->second.Registration;
  if (processOf(Registered) != Process || Registered.IsDraining)
    return false;
  Registered.IsDraining = true;
  return true;
}

bool recordColdTime(TargetDirectory &Directory, const TargetProcess &Process,
                    Duration Left, TimePoint Now) {
  const auto Position = Directory.Targets.find(Process.Id);
  if (Position == Directory.Targets.end() ||
      processOf(Position->second.Registration) != Process)
    return false;
  Position->second.ColdUntil = Now + Left;
  return true;
}

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
  if (Directory.Revision.Value != 0 &&
      eraOf(Revision) > eraOf(Directory.Revision)) {
    // Targets that have registered since the copy was made do so again.
    recordStoreRecovery(Directory, Now);
    Directory.RestoredCopyUntil = Now + RestoredEntryDelay;
  }
  const bool IsRestoredCopy = Now < Directory.RestoredCopyUntil;
  std::set<TargetId> Present;
  std::vector<TargetId> Changed;
  for (const TargetRegistration &Registered : Listed) {
    Present.insert(Registered.Id);
    if (upsert(Directory, Registered,
               IsRestoredCopy ? RegistrationSource::RestoredCopy
                              : RegistrationSource::Store,
               Now))
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
  if (!Change.Registration)
    return handleMissingEntry(Directory, Change.Id, Now);
  const bool IsChanged =
      upsert(Directory, *Change.Registration, RegistrationSource::Store, Now);
  // Only a live target writes its registration.
  DirectoryEntry &Entry = Directory.Targets.at(Change.Id);
  const bool WasHeldBack = Entry.HeldBackUntil.has_value();
  Entry.HeldBackUntil.reset();
  return IsChanged || WasHeldBack;
}

std::vector<TargetId> removeMissingTargets(TargetDirectory &Directory,
                                           TimePoint Now) {
  std::vector<TargetId> Dropped;
  for (const auto &[Id, Entry] : Directory.Targets)
    if (Entry.GraceEndsAt && *Entry.GraceEndsAt <= Now)
      Dropped.push_back(Id);
  for (const TargetId &Id : Dropped)
    removeTarget(Directory, Directory.Targets.find(Id), Now);
  std::erase_if(Directory.Departures, [&](const auto &Departed) {
    return Now - Departed.second.At > DepartureLifetime;
  });
  return Dropped;
}

TargetDelta makeDelta(const TargetDirectory &Directory, StoreRevision Base,
                      const std::vector<TargetId> &Changed, TimePoint Now) {
  TargetDelta Delta{Base, Directory.Revision, {}, {}};
  for (const TargetId &Id : Changed)
    Delta.Changes.push_back(makeChange(Directory, Id, Now));
  return Delta;
}

TargetDelta makeCompleteDelta(const TargetDirectory &Directory, TimePoint Now) {
  TargetDelta Delta{{}, Directory.Revision, {}, {}};
  for (const auto &[Process, Departed] : Directory.Departures)
    Delta.Departures[Process] = {Now - Departed.At, Departed.IsLeaving};
  for (const auto &[Id, Entry] : Directory.Targets)
    Delta.Changes.push_back(makeChange(Directory, Id, Now));
  return Delta;
}

// The sender has already applied the grace period, so this function does not,
// unless the sender may have started after the restore and knows only the copy.
// The draining rule holds for what this host knows itself: a sender that has
// just started may not know yet that a target leaves.
std::optional<std::vector<TargetId>> applyDelta(TargetDirectory &Directory,
                                                const TargetDelta &Delta,
                                                TimePoint Now) {
  const bool IsComplete = Delta.Base.Value == 0;
  // A delta across a restore does not hold the changes that the copy has lost.
  const bool CrossesRestore = eraOf(Delta.Base) != eraOf(Delta.Revision);
  if (Delta.Revision < Directory.Revision ||
      (!IsComplete && Delta.Base > Directory.Revision) ||
      (!IsComplete && CrossesRestore && Delta.Base != Directory.Revision))
    return std::nullopt;
  // A list of this host may still come from the restored copy.
  if (eraOf(Delta.Revision) > eraOf(Directory.Revision)) {
    if (Directory.Revision.Value != 0)
      recordStoreRecovery(Directory, Now);
    Directory.RestoredCopyUntil = Now + RestoredEntryDelay;
  }
  const bool MayBeCopy = IsComplete && Now < Directory.RestoredCopyUntil;
  for (const auto &[Process, Departed] : Delta.Departures)
    recordDeparture(Directory, Process, Departed.IsLeaving, Now - Departed.Age);
  std::set<TargetId> Present;
  std::vector<TargetId> Changed;
  for (const RegistrationChange &Change : Delta.Changes) {
    Present.insert(Change.Id);
    const bool IsKnownToSender =
        !Change.Registration ||
        Delta.Departures.contains(processOf(*Change.Registration));
    if (applyHostChange(Directory, Change,
                        MayBeCopy && !IsKnownToSender
                            ? RegistrationSource::RestoredCopy
                            : RegistrationSource::Host,
                        Now))
      Changed.push_back(Change.Id);
  }
  if (IsComplete)
    for (TargetId &Id : removeAbsentTargets(Directory, Delta, Present, Now))
      Changed.push_back(std::move(Id));
  Directory.Revision = Delta.Revision;
  return Changed;
}

} // namespace comfreyrill
