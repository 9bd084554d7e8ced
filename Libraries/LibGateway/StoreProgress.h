#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/StoreRevision.h>

#include <optional>

namespace comfreyrill {

/// How far the watches of the store have got, compared with the revisions that
/// checks return. Each change of the store raises its revision by one, so the
/// changes that the watches deliver can be counted.
struct StoreProgress {
  /// Revision from which the changes are counted; unset after a list until the
  /// next check.
  std::optional<StoreRevision> Base;
  /// Changes after the base that the watches have delivered.
  std::uint64_t ChangesSinceBase = 0;
  /// Revision that the previous check returned.
  std::optional<StoreRevision> PreviouslyChecked;
  /// Lists that were repeated in a row because changes were missing.
  std::uint32_t RepeatedLists = 0;
  TimePoint NextRepeatedList = TimePoint::min();
};

enum class ProgressVerdict {
  UpToDate,
  /// The watches have missed changes: list again.
  Behind,
  /// The store was restored since the watches began: list again.
  Restored,
};

/// Starts to count anew, as after a list.
void resetProgress(StoreProgress &Progress);

/// Counts a change that a watch has delivered.
void countChange(StoreProgress &Progress, StoreRevision Changed);

/// True when a list of one kind shows changes that the watches, which have
/// reached Watched, have not delivered. The watch of the other kind may have
/// missed them.
bool mayHaveMissedChanges(const StoreProgress &Progress, StoreRevision Listed,
                          StoreRevision Watched);

/// Compares the watches, which have reached Watched, with the result of a
/// check. Changes that one check has seen must have arrived by the next one.
/// Changes of kinds that are not watched look like missing ones, so repeated
/// lists are further and further apart.
ProgressVerdict judgeProgress(StoreProgress &Progress, StoreRevision Checked,
                              StoreRevision Watched, TimePoint Now);

} // namespace comfreyrill
