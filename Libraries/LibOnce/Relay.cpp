#include <LibOnce/Relay.h>

namespace comfreyrill {

namespace {

RelayDecision makeDecision(CallOutcome Outcome, std::string_view Reason) {
  RelayDecision Decision;
  Decision.Outcome = Outcome;
  Decision.Reason = Reason;
  Decision.NeedsNextKey = Outcome == CallOutcome::NotRun;
  return Decision;
}

RelayDecision decideFinished(const SharedOutcome &Stored,
                             std::uint64_t Fingerprint) {
  if (!Stored)
    return makeDecision(CallOutcome::Unknown, "witness_reply_unknown");
  if (Stored->Fingerprint != Fingerprint) {
    RelayDecision Decision = makeDecision(CallOutcome::NotRun, "key_conflict");
    Decision.Conflict = true;
    Decision.NeedsNextKey = false;
    return Decision;
  }
  if (Stored->Outcome == CallOutcome::Answer && !Stored->Answer)
    return makeDecision(CallOutcome::Unknown, "answer_not_kept");
  RelayDecision Decision = makeDecision(Stored->Outcome, Stored->Reason);
  Decision.Stored = Stored;
  return Decision;
}

} // namespace

RelayStep decideAfterIssuer(const IdempotencyKey &Key, IssuerResult Result) {
  if (Result == IssuerResult::Answered)
    return RelayStep::ReturnIssuerResult;
  return Key.Witness ? RelayStep::AskWitness : RelayStep::ReportUnknown;
}

RelayDecision decideAfterWitness(const SealReply *Reply,
                                 std::uint64_t Fingerprint) {
  if (Reply == nullptr)
    return makeDecision(CallOutcome::Unknown, "issuer_and_witness_unreachable");
  switch (Reply->Verdict) {
  case SealVerdict::Sealed:
    return makeDecision(CallOutcome::NotRun, "key_sealed");
  case SealVerdict::MayHaveRun:
    return makeDecision(CallOutcome::Unknown, "issuer_unreachable");
  case SealVerdict::Finished:
    return decideFinished(Reply->Stored, Fingerprint);
  case SealVerdict::WrongIncarnation:
    return makeDecision(CallOutcome::Unknown, "issuer_and_witness_restarted");
  case SealVerdict::Expired:
    return makeDecision(CallOutcome::Unknown, "record_dropped");
  case SealVerdict::Forged: {
    RelayDecision Decision = makeDecision(CallOutcome::NotRun, "key_forged");
    Decision.Forged = true;
    Decision.NeedsNextKey = false;
    return Decision;
  }
  }
  return makeDecision(CallOutcome::Unknown, "witness_reply_unknown");
}

} // namespace comfreyrill
