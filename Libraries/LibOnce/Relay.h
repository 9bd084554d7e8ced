#pragma once

#include <LibOnce/IdempotencyKey.h>
#include <LibOnce/Outcome.h>

#include <string_view>

namespace comfreyrill {

/// What became of a call that was relayed to the issuer of its key.
enum class IssuerResult {
  /// The issuer answered, with any outcome; its result is passed on.
  Answered,
  Unreachable,
  /// The process that issued the key is gone.
  OtherIncarnation,
  TimedOut,
};

enum class RelayStep {
  PassOn,
  /// Ask the witness of the key to seal it, then use decideAfterWitness.
  AskWitness,
  /// The key has no witness: nobody can tell.
  TellUnknown,
};

/// What a host does that received a call under the key of another process.
RelayStep decideAfterIssuer(const IdempotencyKey &Key, IssuerResult Result);

/// What the caller is told.
struct RelayDecision {
  CallOutcome Outcome = CallOutcome::Unknown;
  std::string_view Reason;
  /// Present exactly when the outcome is an answer.
  SharedOutcome Stored;
  /// The key can never be used again; a new key goes with the response.
  bool NeedsNextKey = false;
  /// The key belongs to another request (status 409).
  bool Conflict = false;
  /// No process issued the key (status 400).
  bool Forged = false;
};

/// Decides by the reply of the witness; a null reply means that none came.
RelayDecision decideAfterWitness(const SealReply *Reply,
                                 std::uint64_t Fingerprint);

} // namespace comfreyrill
