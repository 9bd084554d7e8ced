#include <LibManifest/ManifestUpdate.h>

#include <algorithm>
#include <limits>

namespace comfreyrill {

namespace {

std::string text(ManifestNumber Number) { return std::to_string(Number.Value); }

// Returns whether the envelope's history is complete from this number on. Each
// successful update appends its predecessor to the history. A history that is
// not full, or that starts at or below the number, therefore has no gap above
// the number.
bool historyCovers(const ManifestEnvelope &Envelope, ManifestNumber Number) {
  return Envelope.History.size() < ApplyHistoryLength ||
         Envelope.History.front().Number.Value <= Number.Value;
}

} // namespace

bool shouldAccept(ManifestNumber InForce, ManifestNumber Offered) {
  return Offered.Value > InForce.Value;
}

Result<ManifestEnvelope> planApply(const std::optional<ManifestEnvelope> &Read,
                                   ManifestNumber BasedOn, Manifest Content,
                                   ApplyId Apply, ManifestNumber HighestSeen) {
  const ManifestNumber InForce = Read ? Read->Number : ManifestNumber{0};
  if (InForce != BasedOn)
    return Error{ErrorKind::Conflict, conflictMessage(BasedOn, InForce)};
  const std::uint64_t Floor = std::max(InForce.Value, HighestSeen.Value);
  if (Floor >= std::numeric_limits<std::int64_t>::max())
    return Error{
        ErrorKind::Internal,
        "manifest number " + std::to_string(Floor) +
            " is the highest possible one; delete the platform's object "
            "'manifest' and restart all hosts"};
  ManifestEnvelope Next;
  Next.Number = ManifestNumber{Floor + 1};
  Next.Apply = std::move(Apply);
  Next.Content = std::move(Content);
  if (Read) {
    Next.History = Read->History;
    Next.History.push_back({Read->Apply, Read->Number});
    if (Next.History.size() > ApplyHistoryLength)
      Next.History.erase(Next.History.begin(),
                         Next.History.end() - ApplyHistoryLength);
  }
  return Next;
}

ApplyFinding
classifyApplyFailure(const std::optional<ManifestEnvelope> &Observed,
                     const ManifestEnvelope &Planned, ManifestNumber BasedOn) {
  ApplyFinding Finding;
  Finding.InForce = Observed ? Observed->Number : ManifestNumber{0};
  if (Observed && Observed->Apply == Planned.Apply) {
    Finding.Verdict = ApplyVerdict::InForce;
    Finding.Own = Observed->Number;
    Finding.Message = "manifest " + text(Finding.Own) + " is in force";
    return Finding;
  }
  if (Observed) {
    for (const ApplyRecord &Record : Observed->History) {
      if (Record.Apply != Planned.Apply)
        continue;
      Finding.Verdict = ApplyVerdict::Superseded;
      Finding.Own = Record.Number;
      Finding.Message = "manifest " + text(Finding.Own) +
                        " took effect and has been replaced by manifest " +
                        text(Finding.InForce) +
                        " since; fetch that one to see what is in force";
      return Finding;
    }
  }
  // A read that is older than the base or finds the base unchanged proves
  // nothing about an update that may still be in flight.
  if (Finding.InForce.Value <= BasedOn.Value) {
    Finding.Verdict = ApplyVerdict::NotYetApplied;
    Finding.Message = "the change has not taken effect so far; apply it again";
    return Finding;
  }
  if (historyCovers(*Observed, Planned.Number)) {
    Finding.Verdict = ApplyVerdict::Conflict;
    Finding.Message = conflictMessage(BasedOn, Finding.InForce);
    return Finding;
  }
  Finding.Verdict = ApplyVerdict::Unknown;
  Finding.Message =
      "it is unknown whether the change took effect: manifest " +
      text(Finding.InForce) + " is in force and records only " +
      std::to_string(ApplyHistoryLength) +
      " earlier changes; fetch it, compare, and apply again if the change is "
      "missing";
  return Finding;
}

std::string conflictMessage(ManifestNumber BasedOn, ManifestNumber InForce) {
  if (InForce.Value == 0)
    return "the change was made from manifest " + text(BasedOn) +
           ", but the platform holds none; apply with --based-on 0 to create "
           "it";
  return "the change was made from manifest " + text(BasedOn) +
         ", but manifest " + text(InForce) +
         " is in force; fetch it, repeat the change there, and apply with "
         "--based-on " +
         text(InForce);
}

} // namespace comfreyrill
