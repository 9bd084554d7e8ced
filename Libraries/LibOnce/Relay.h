#pragma once

#include <LibOnce/IdempotencyKey.h>
#include <LibOnce/Outcome.h>

#include <string_view>

namespace comfreyrill {

/// Result of relaying a call to the issuer of its key.
enum class IssuerResult {
  /// The issuer replied with an outcome of any kind.
  Answered,
  Unreachable,
  /// The process that issued the key no longer exists.
  OtherIncarnation,
  TimedOut,
};

enum class RelayStep {
  /// Return the result of the issuer to the caller.
  ReturnIssuerResult,
  /// Ask the witness of the key to seal it, then call decideAfterWitness.
  AskWitness,
  /// The key has no witness, so the outcome cannot be determined.
  ReportUnknown,
};

/// Decides how a host continues with a call under the key of another process,
/// after the attempt to relay the call to that process.
RelayStep decideAfterIssuer(const IdempotencyKey &Key, IssuerResult Result);

/// The response to the caller of a relayed call.
struct RelayDecision {
  CallOutcome Outcome = CallOutcome::Unknown;
  std::string_view Reason;
  /// The outcome that the witness has stored, or null.
  SharedOutcome Stored;
  /// The key can never be used again, so the response carries a new key.
  bool NeedsNextKey = false;
  /// The key was used for another request (status 409).
  bool Conflict = false;
  /// The tag of the key is wrong, so no process issued the key (status 400).
  bool Forged = false;
};

/// Decides on the response from the reply of the witness; null means that no
/// reply arrived.
RelayDecision decideAfterWitness(const SealReply *Reply,
                                 std::uint64_t Fingerprint);

} // namespace comfreyrill
