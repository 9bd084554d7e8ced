#pragma once

#include <LibManifest/Envelope.h>

#include <optional>

namespace comfreyrill {

/// Whether a host puts an offered manifest in force. Only a higher number is
/// accepted, from whatever source, so that stale reads, duplicate messages and
/// peers that lag never revert a host. Number 0 stands for none.
bool shouldAccept(ManifestNumber InForce, ManifestNumber Offered);

/// What an apply writes if the platform's object is still the one that was
/// read; without an object it is created.
/// HighestSeen is the highest number known to be in force on any host, or 0;
/// when the platform has lost its object or holds an older one, the next number
/// stays above it, because hosts would ignore a lower one.
/// Fails with Conflict when the number read is not BasedOn, and with Internal
/// when the numbers are used up.
Result<ManifestEnvelope> planApply(const std::optional<ManifestEnvelope> &Read,
                                   ManifestNumber BasedOn, Manifest Content,
                                   ApplyId Apply, ManifestNumber HighestSeen);

enum class ApplyVerdict {
  /// The change took effect and is what the platform holds.
  InForce,
  /// The change took effect; a later apply has replaced it since.
  Superseded,
  /// The change has not taken effect so far; the same conditional update may be
  /// sent again, because it can take effect only once.
  NotYetApplied,
  /// Another change took the number; this one can no longer take effect.
  Conflict,
  /// The history no longer reaches back far enough to tell.
  Unknown,
};

struct ApplyFinding {
  ApplyVerdict Verdict = ApplyVerdict::Unknown;
  /// For InForce and Superseded the number that the change was given.
  ManifestNumber Own;
  /// The number that the platform holds; 0 for none.
  ManifestNumber InForce;
  /// States what happened and the remedy.
  std::string Message;
};

/// Decides from a fresh read of the object what became of an update that failed
/// or whose answer was lost. Planned is the envelope that was sent, BasedOn the
/// number it was made from.
ApplyFinding
classifyApplyFailure(const std::optional<ManifestEnvelope> &Observed,
                     const ManifestEnvelope &Planned, ManifestNumber BasedOn);

/// The message of a conflict: names the number in force and the remedy.
std::string conflictMessage(ManifestNumber BasedOn, ManifestNumber InForce);

} // namespace comfreyrill
