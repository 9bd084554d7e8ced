#include <LibOnce/Relay.h>

namespace comfreyrill {

namespace {

RelayDecision tell(CallOutcome Outcome, std::string_view Reason) {
  RelayDecision Decision;
  Decision.Outcome = Outcome;
  Decision.Reason = Reason;
  Decision.NeedsNextKey = Outcome == CallOutcome::NotRun;
  return Decision;
}

RelayDecision decideFinished(const SharedOutcome &Stored,
                             std::uint64_t Fingerprint) {
  if (!Stored)
    return tell(CallOutcome::Unknown, "witness_reply_unknown");
  if (Stored->Fingerprint != Fingerprint) {
    RelayDecision Decision = tell(CallOutcome::NotRun, "key_conflict");
    Decision.Conflict = true;
    Decision.NeedsNextKey = false;
    return Decision;
  }
  if (Stored->Outcome == CallOutcome::Answer && !Stored->Answer)
    return tell(CallOutcome::Unknown, "answer_not_kept");
  RelayDecision Decision = tell(Stored->Outcome, Stored->Reason);
  Decision.Stored = Stored;
  return Decision;
}

} // namespace

RelayStep decideAfterIssuer(const IdempotencyKey &Key, IssuerResult Result) {
  if (Result == IssuerResult::Answered)
    return RelayStep::PassOn;
  return Key.Witness ? RelayStep::AskWitness : RelayStep::TellUnknown;
}

RelayDecision decideAfterWitness(const SealReply *Reply,
                                 std::uint64_t Fingerprint) {
  if (Reply == nullptr)
    return tell(CallOutcome::Unknown, "issuer_and_witness_unreachable");
  switch (Reply->Verdict) {
  case SealVerdict::Sealed:
    return tell(CallOutcome::NotRun, "key_sealed");
  case SealVerdict::MayHaveRun:
    return tell(CallOutcome::Unknown, "issuer_unreachable");
  case SealVerdict::Finished:
    return decideFinished(Reply->Stored, Fingerprint);
  case SealVerdict::WrongIncarnation:
    return tell(CallOutcome::Unknown, "issuer_and_witness_restarted");
  case SealVerdict::Expired:
    return tell(CallOutcome::Unknown, "record_dropped");
  case SealVerdict::Forged: {
    RelayDecision Decision = tell(CallOutcome::NotRun, "key_forged");
    Decision.Forged = true;
    Decision.NeedsNextKey = false;
    return Decision;
  }
  }
  return tell(CallOutcome::Unknown, "witness_reply_unknown");
}

} // namespace comfreyrill
