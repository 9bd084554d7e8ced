#include <LibGateway/StoreProgress.h>

#include <algorithm>

namespace comfreyrill {

namespace {

constexpr Duration RepeatedListInterval = std::chrono::seconds(1);
constexpr Duration RepeatedListIntervalMaximum = std::chrono::seconds(64);

Duration repeatedListInterval(std::uint32_t RepeatedLists) {
  Duration Interval = RepeatedListInterval;
  for (std::uint32_t Count = 0;
       Count < RepeatedLists && Interval < RepeatedListIntervalMaximum; ++Count)
    Interval *= 2;
  return Interval;
}

} // namespace

void resetProgress(StoreProgress &Progress) {
  Progress.Base.reset();
  Progress.PreviouslyChecked.reset();
  Progress.ChangesSinceBase = 0;
}

// A check may see changes before the watches deliver them. The base then holds
// them already; counted again, they would stand in for missing ones.
void countChange(StoreProgress &Progress, StoreRevision Changed) {
  if (Progress.Base && Changed > *Progress.Base)
    ++Progress.ChangesSinceBase;
}

bool mayHaveMissedChanges(const StoreProgress &Progress, StoreRevision Listed,
                          StoreRevision Watched) {
  return eraOf(Listed) > eraOf(Watched) ||
         (Progress.Base &&
          Listed.Value > Progress.Base->Value + Progress.ChangesSinceBase);
}

ProgressVerdict judgeProgress(StoreProgress &Progress, StoreRevision Checked,
                              StoreRevision Watched, TimePoint Now) {
  if (eraOf(Checked) > eraOf(Watched)) {
    resetProgress(Progress);
    return ProgressVerdict::Restored;
  }
  if (!Progress.Base) {
    // A check may be older than the list.
    Progress.Base = std::max(Checked, Watched);
    Progress.ChangesSinceBase = 0;
    return ProgressVerdict::UpToDate;
  }
  const bool IsBehind = Progress.PreviouslyChecked &&
                        Progress.PreviouslyChecked->Value >
                            Progress.Base->Value + Progress.ChangesSinceBase;
  Progress.PreviouslyChecked = Checked;
  if (!IsBehind) {
    // Changes that are not watched go on, so only a long time without a missing
    // one shows that the watches are complete.
    if (Now - repeatedListInterval(Progress.RepeatedLists) >=
        Progress.NextRepeatedList)
      Progress.RepeatedLists = 0;
    return ProgressVerdict::UpToDate;
  }
  if (Now < Progress.NextRepeatedList)
    return ProgressVerdict::UpToDate;
  Progress.NextRepeatedList =
      Now + repeatedListInterval(Progress.RepeatedLists);
  ++Progress.RepeatedLists;
  resetProgress(Progress);
  return ProgressVerdict::Behind;
}

} // namespace comfreyrill
