#pragma once

#include <LibCore/Ids.h>
#include <LibGateway/StoreRevision.h>

#include <set>
#include <vector>

namespace comfreyrill {

/// Evacuated failure domains as of a revision of the store, as a list of the
/// store or another host names them.
struct EvacuationReport {
  StoreRevision Revision;
  std::set<FailureDomain> Domains;
  /// False when entries are missing from a list of the store, so that it does
  /// not show that an evacuation has ended.
  bool IsComplete = true;
};

/// Change of the entry of one failure domain in the store.
struct EvacuationChange {
  StoreRevision Revision;
  FailureDomain Domain;
  bool IsEvacuated = false;
};

/// What one host knows of the evacuated failure domains. A store that is
/// restored from a copy may have lost an entry that nobody has removed, so the
/// evacuations from before a restore stay until the restored store has held
/// the entry or has reported its removal.
struct EvacuationView {
  StoreRevision Revision;
  std::set<FailureDomain> Listed;
  /// Evacuated before the last restore, and not settled since.
  std::set<FailureDomain> CarriedOver;
  /// Domains of which the store has held an entry, or reported its removal,
  /// since the last restore.
  std::set<FailureDomain> Settled;
};

bool isEvacuated(const EvacuationView &View, const FailureDomain &Domain);
std::set<FailureDomain> evacuatedDomains(const EvacuationView &View);

/// Applies a list of the store or a report of another host. Older ones are
/// ignored.
void applyReport(EvacuationView &View, const EvacuationReport &Report);
/// Applies one change of the store. Older ones are ignored.
void applyChange(EvacuationView &View, const EvacuationChange &Change);

/// Returns the reports from which another host learns the view: the listed
/// domains, and those that are carried over. Reports of the latter have number
/// 0 in the era, which no change of the store has. Empty before the first list.
std::vector<EvacuationReport> makeReports(const EvacuationView &View);

} // namespace comfreyrill
