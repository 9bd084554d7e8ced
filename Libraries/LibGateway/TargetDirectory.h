#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Ids.h>
#include <LibGateway/StoreRevision.h>

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace comfreyrill {

/// Registration of a target, written by the target itself.
struct TargetRegistration {
  TargetId Id;
  ServiceName Service;
  Endpoint Address;
  FailureDomain Domain;
  std::uint32_t Slots = 1;
  bool IsDraining = false;
  /// Time that the target stays slow after its start.
  Duration ColdTime{0};
  /// Start of the process in Unix milliseconds. A target that restarts under
  /// the same id has a later start.
  std::uint64_t StartedAtMilliseconds = 0;
};

/// One change of the registrations. Without a registration the entry was
/// deleted, or its content is unreadable and names no target.
struct RegistrationChange {
  TargetId Id;
  std::optional<TargetRegistration> Registration;
  StoreRevision Revision;
  /// In a delta between hosts: time for which a registration from a restored
  /// copy of the store is not to be used.
  Duration HeldBackFor{0};
};

/// A registered target that can receive requests.
struct DirectoryEntry {
  TargetRegistration Registration;
  TimePoint ColdUntil;
  /// Set while the registration is missing although the target may be alive.
  /// The target is removed at that time.
  std::optional<TimePoint> GraceEndsAt;
  /// Set while the registration comes from a restored copy of the store and the
  /// target had been removed before. The target is not used until that time,
  /// or until it writes its registration again.
  std::optional<TimePoint> HeldBackUntil;
};

/// One process of a target. A target that restarts keeps its id.
struct TargetProcess {
  TargetId Id;
  std::uint64_t StartedAtMilliseconds = 0;

  bool operator==(const TargetProcess &) const = default;
  bool operator<(const TargetProcess &Other) const {
    return std::tie(Id, StartedAtMilliseconds) <
           std::tie(Other.Id, Other.StartedAtMilliseconds);
  }
};

/// Returns the process that has written a registration.
TargetProcess processOf(const TargetRegistration &Registered);

/// The end of a target process, which was removed from the directory or leaves.
struct Departure {
  TimePoint At;
  /// The process has said that it leaves, so it never takes requests again.
  /// Otherwise only its registration was missing.
  bool IsLeaving = false;
};

/// One host's view of the registered targets. This is plain data, which the
/// functions below change.
struct TargetDirectory {
  std::map<TargetId, DirectoryEntry> Targets;
  StoreRevision Revision;
  /// Until this time a missing entry may belong to a live target that could not
  /// renew its registration during an outage of the store.
  TimePoint MissingEntryGraceUntil = TimePoint::min();
  /// Until this time a list may still hold entries of the copy from which the
  /// store was restored.
  TimePoint RestoredCopyUntil = TimePoint::min();
  /// Departures of the last minutes. They outlive the registrations, because a
  /// restored copy of the store may hold these again.
  std::map<TargetProcess, Departure> Departures;
};

/// True when the target may receive new requests.
bool isUsable(const DirectoryEntry &Entry, TimePoint Now);

/// Live targets whose registrations expired during an outage of the store
/// register again within about two seconds of its recovery. Entries that are
/// missing for longer count as removed.
inline constexpr Duration MissingEntryGrace = std::chrono::seconds(2);

/// How long a registration from a restored copy is not used if the target had
/// been removed before. A target that is gone is removed from the store again
/// within that time, because it does not renew its registration.
inline constexpr Duration RestoredEntryDelay = std::chrono::seconds(6);

/// Records that a process of a target leaves, whatever its registration says.
/// It is not used again, also not after its registration was removed and has
/// come back. Returns true when this changes the target's registration.
bool recordLeaving(TargetDirectory &Directory, const TargetProcess &Process,
                   TimePoint Now);

/// True when the process is known to leave.
bool isLeaving(const TargetDirectory &Directory, const TargetProcess &Process);

/// Records that a process of a target stays cold for that time from now, as the
/// target itself says. Returns false for another process than the registered
/// one.
bool recordColdTime(TargetDirectory &Directory, const TargetProcess &Process,
                    Duration Left, TimePoint Now);

/// Starts the grace period when the store answers again after an outage.
void recordStoreRecovery(TargetDirectory &Directory, TimePoint Now);

/// Replaces all registrations by the complete list as of a revision and returns
/// the targets that changed, or nothing when the list is older than the
/// directory. The first list of a restored store comes from an older copy:
/// targets that are missing from it get a grace period, and it brings no target
/// back that has left.
std::optional<std::vector<TargetId>>
replaceRegistrations(TargetDirectory &Directory,
                     const std::vector<TargetRegistration> &Listed,
                     StoreRevision Revision, TimePoint Now);

/// Applies one change. Returns true when the target changed.
bool applyChange(TargetDirectory &Directory, const RegistrationChange &Change,
                 TimePoint Now);

/// Removes the targets whose grace period has ended and returns their ids.
/// Forgets old departures.
std::vector<TargetId> removeMissingTargets(TargetDirectory &Directory,
                                           TimePoint Now);

/// A departure as one host tells others of it.
struct DepartureReport {
  Duration Age{0};
  bool IsLeaving = false;
};

/// Changes from one revision to another, as one host sends them to others. With
/// a base of 0 the delta holds the complete list.
struct TargetDelta {
  StoreRevision Base;
  StoreRevision Revision;
  std::vector<RegistrationChange> Changes;
  /// In a complete delta, the departures that the sender knows, for receivers
  /// that have started after them.
  std::map<TargetProcess, DepartureReport> Departures;
};

/// Makes the delta from a base revision to the current one, given the targets
/// that changed since the base.
TargetDelta makeDelta(const TargetDirectory &Directory, StoreRevision Base,
                      const std::vector<TargetId> &Changed, TimePoint Now);
/// Makes a delta that holds the complete list.
TargetDelta makeCompleteDelta(const TargetDirectory &Directory, TimePoint Now);

/// Applies a delta of another host and returns the targets that changed.
/// Returns nothing when the delta is older than the directory or when changes
/// between the directory's revision and the delta's base are missing.
std::optional<std::vector<TargetId>>
applyDelta(TargetDirectory &Directory, const TargetDelta &Delta, TimePoint Now);

} // namespace comfreyrill
