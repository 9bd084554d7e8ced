#pragma once

#include <LibManifest/Envelope.h>

#include <optional>

namespace comfreyrill {

/// Returns whether a host should put an offered manifest in force. Only a
/// higher number is accepted, from any source, so that stale reads, duplicate
/// messages and lagging peers never revert a host. Number 0 means no manifest.
bool shouldAccept(ManifestNumber InForce, ManifestNumber Offered);

/// Creates the envelope that an apply writes, on condition that the platform's
/// object is still the one that was read. Without an object, the apply creates
/// it. HighestSeen is the highest number known to be in force on any host, or
/// 0. When the platform has lost its object or holds an older one, the next
/// number is above HighestSeen, because hosts would ignore a lower number.
/// Fails with Conflict when the number read is not BasedOn, and with Internal
/// when no numbers are left.
Result<ManifestEnvelope> planApply(const std::optional<ManifestEnvelope> &Read,
                                   ManifestNumber BasedOn, Manifest Content,
                                   ApplyId Apply, ManifestNumber HighestSeen);

enum class ApplyVerdict {
  /// The change took effect and the platform holds it.
  InForce,
  /// The change took effect, but a later apply has replaced it.
  Superseded,
  /// The change has not taken effect so far. The same conditional update may be
  /// sent again, because it can take effect only once.
  NotYetApplied,
  /// Another change took effect first; this one can no longer take effect.
  Conflict,
  /// The history does not reach back far enough to decide.
  Unknown,
};

struct ApplyFinding {
  ApplyVerdict Verdict = ApplyVerdict::Unknown;
  /// For InForce and Superseded: the number that the change was given.
  ManifestNumber Own;
  /// The number that the platform holds; 0 for none.
  ManifestNumber InForce;
  /// Describes what happened and the remedy.
  std::string Message;
};

/// Determines from a new read of the object whether an update took effect that
/// failed or whose response was lost. Planned is the envelope that was sent;
/// BasedOn is the number that the change was made from.
ApplyFinding
classifyApplyFailure(const std::optional<ManifestEnvelope> &Observed,
                     const ManifestEnvelope &Planned, ManifestNumber BasedOn);

/// Error message for a conflict, with the number in force and the remedy.
std::string conflictMessage(ManifestNumber BasedOn, ManifestNumber InForce);

} // namespace comfreyrill
