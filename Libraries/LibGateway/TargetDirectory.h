#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace comfreyrill {

/// Revision of the metadata store; a higher number is a later state.
using StoreRevision = Number<struct StoreRevisionTag>;

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
};

/// A registered target that can receive requests.
struct DirectoryEntry {
  TargetRegistration Registration;
  TimePoint ColdUntil;
  /// Set while the registration is missing although the target may be alive.
  /// The target is removed at that time.
  std::optional<TimePoint> GraceEndsAt;
};

/// One host's view of the registered targets. This is plain data, which the
/// functions below change.
struct TargetDirectory {
  std::map<TargetId, DirectoryEntry> Targets;
  StoreRevision Revision;
  /// Until this time a missing entry may belong to a live target that could not
  /// renew its registration during an outage of the store.
  TimePoint MissingEntryGraceUntil = TimePoint::min();
};

/// Live targets whose registrations expired during an outage of the store
/// register again within about two seconds of its recovery. Entries that are
/// missing for longer count as removed.
inline constexpr Duration MissingEntryGrace = std::chrono::seconds(2);

/// Starts the grace period when the store answers again after an outage.
void recordStoreRecovery(TargetDirectory &Directory, TimePoint Now);

/// Replaces all registrations by the complete list as of a revision and returns
/// the targets that changed, or nothing when the list is older than the
/// directory.
std::optional<std::vector<TargetId>>
replaceRegistrations(TargetDirectory &Directory,
                     const std::vector<TargetRegistration> &Listed,
                     StoreRevision Revision, TimePoint Now);

/// Applies one change. Returns true when the target changed.
bool applyChange(TargetDirectory &Directory, const RegistrationChange &Change,
                 TimePoint Now);

/// Removes the targets whose grace period has ended and returns their ids.
std::vector<TargetId> removeMissingTargets(TargetDirectory &Directory,
                                           TimePoint Now);

/// Changes from one revision to another, as one host sends them to others. With
/// a base of 0 the delta holds the complete list.
struct TargetDelta {
  StoreRevision Base;
  StoreRevision Revision;
  std::vector<RegistrationChange> Changes;
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
