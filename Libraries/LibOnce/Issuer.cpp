#include <LibOnce/Issuer.h>

#include <algorithm>
#include <utility>

namespace comfreyrill {

namespace {

// A key that was reported as expired must not be used later, even if the clock
// is set back.
TimePoint advanceTime(IssuerState &State, TimePoint Now) {
  State.LatestTime = std::max(State.LatestTime, Now);
  return State.LatestTime;
}

bool mayHaveRun(const SharedOutcome &Stored) {
  return Stored->Outcome != CallOutcome::NotRun;
}

bool dropRecord(IssuerState &State) {
  auto Dropped = dropOldest(State.Table);
  if (!Dropped)
    return false;
  TimePoint &Watermark = mayHaveRun(Dropped->Value.Stored)
                             ? State.RanWatermark
                             : State.SealedWatermark;
  Watermark = std::max(Watermark, Dropped->Value.Expiry);
  return true;
}

IssuerRecord *findRecord(IssuerState &State, const IdempotencyKey &Key) {
  if (Key.Issuer != State.Self)
    return nullptr;
  auto Position = State.Table.Records.find(Key.Sequence);
  return Position == State.Table.Records.end() ? nullptr : &Position->second;
}

// A record enters the drop queue when its call ends, so that the record of a
// call in flight is never dropped.
SharedOutcome finishRecord(IssuerState &State, const IdempotencyKey &Key,
                           IssuerRecord &Record, StoredOutcome Outcome,
                           TimePoint Now) {
  Outcome.Fingerprint = Record.Fingerprint;
  auto Stored = std::make_shared<const StoredOutcome>(std::move(Outcome));
  Record.Phase = CallPhase::Finished;
  State.Table.DropQueue.push_back(
      {Key.Sequence, Now + State.Limits.KeyLifetime + State.Limits.Retention});
  storeOutcome(State.Table, Key.Sequence, Record, Stored,
               State.Limits.AnswerBytesMaximum);
  return Stored;
}

GrantDecision sealRecord(IssuerState &State, const IdempotencyKey &Key,
                         IssuerRecord &Record, std::string_view Reason,
                         TimePoint Now) {
  return {
      GrantStep::KeySealed,
      finishRecord(State, Key, Record,
                   {CallOutcome::NotRun, std::string(Reason), std::nullopt, 0},
                   Now)};
}

BeginDecision decideForRecord(const IssuerRecord &Record,
                              std::uint64_t Fingerprint) {
  if (Record.Fingerprint != Fingerprint)
    return {BeginVerdict::Conflict, nullptr};
  if (Record.Phase == CallPhase::Finished)
    return {BeginVerdict::Replay, Record.Stored};
  return {BeginVerdict::Join, nullptr};
}

// Adds a record for a key that has not been used yet; otherwise returns the
// decision on the call.
std::optional<BeginDecision> openRecord(IssuerState &State,
                                        const IdempotencyKey &Key,
                                        std::uint64_t Fingerprint,
                                        CallPhase Phase, TimePoint Now) {
  Now = advanceTime(State, Now);
  if (Key.Issuer != State.Self)
    return BeginDecision{BeginVerdict::NotThisIncarnation, nullptr};
  // The tag is checked before the record is looked up, so that a guessed key
  // reveals nothing about a record.
  if (!hasValidTag(Key, State.Secret))
    return BeginDecision{BeginVerdict::Forged, nullptr};
  dropAgedRecords(State, Now);
  if (const IssuerRecord *Record = findRecord(State, Key))
    return decideForRecord(*Record, Fingerprint);
  if (Key.Expiry <= State.RanWatermark)
    return BeginDecision{BeginVerdict::Unknown, nullptr};
  if (Key.Expiry <= State.SealedWatermark)
    return BeginDecision{BeginVerdict::NotRun, nullptr};
  if (Now >= Key.Expiry)
    return BeginDecision{BeginVerdict::Expired, nullptr};
  if (State.Table.Records.size() >= State.Limits.RecordsMaximum &&
      !dropRecord(State)) {
    // All records belong to calls in flight, so there is no room for another
    // one. The watermark seals the key instead; otherwise a late copy of the
    // request could run after the caller got the outcome "not run".
    State.SealedWatermark = std::max(State.SealedWatermark, Key.Expiry);
  }
  // Dropping a record can raise a watermark to the expiry of this key or
  // beyond.
  if (Key.Expiry <= std::max(State.RanWatermark, State.SealedWatermark))
    return BeginDecision{BeginVerdict::NotRun, nullptr};
  State.Table.Records.emplace(
      Key.Sequence, IssuerRecord{Fingerprint, Key.Expiry, Phase, nullptr});
  return std::nullopt;
}

} // namespace

IdempotencyKey issueKey(IssuerState &State, std::optional<HostProcess> Witness,
                        TimePoint Now) {
  IdempotencyKey Key;
  Key.Issuer = State.Self;
  Key.Witness = std::move(Witness);
  Key.Sequence = State.NextSequence++;
  Key.Expiry = advanceTime(State, Now) + State.Limits.KeyLifetime;
  Key.Tag = keyTag(Key, State.Secret);
  return Key;
}

BeginDecision beginCall(IssuerState &State, const IdempotencyKey &Key,
                        std::uint64_t Fingerprint, TimePoint Now) {
  CallPhase Phase = Key.Witness ? CallPhase::Requested : CallPhase::Granted;
  if (std::optional<BeginDecision> Decision =
          openRecord(State, Key, Fingerprint, Phase, Now))
    return *Decision;
  return {Key.Witness ? BeginVerdict::AskWitness : BeginVerdict::Run, nullptr};
}

BeginDecision refuseCall(IssuerState &State, const IdempotencyKey &Key,
                         std::uint64_t Fingerprint, std::string_view Reason,
                         TimePoint Now) {
  if (std::optional<BeginDecision> Decision =
          openRecord(State, Key, Fingerprint, CallPhase::Requested, Now))
    return *Decision;
  return {BeginVerdict::Replay, sealRecord(State, Key, *findRecord(State, Key),
                                           Reason, State.LatestTime)
                                    .Stored};
}

GrantDecision recordGrantReply(IssuerState &State, const IdempotencyKey &Key,
                               GrantVerdict Verdict, TimePoint Now) {
  Now = advanceTime(State, Now);
  IssuerRecord *Record = findRecord(State, Key);
  if (Record == nullptr || Record->Phase != CallPhase::Requested)
    return {};
  switch (Verdict) {
  case GrantVerdict::Granted:
    if (Now >= Record->Expiry)
      return sealRecord(State, Key, *Record, "key_expired", Now);
    Record->Phase = CallPhase::Granted;
    return {GrantStep::Run, nullptr};
  case GrantVerdict::Sealed:
    return sealRecord(State, Key, *Record, "key_sealed", Now);
  case GrantVerdict::WrongIncarnation:
    return sealRecord(State, Key, *Record, "witness_restarted", Now);
  case GrantVerdict::Expired:
    return sealRecord(State, Key, *Record, "witness_dropped_record", Now);
  case GrantVerdict::Conflict:
    break;
  }
  return sealRecord(State, Key, *Record, "witness_refused", Now);
}

GrantDecision recordGrantTimeout(IssuerState &State, const IdempotencyKey &Key,
                                 TimePoint Now) {
  Now = advanceTime(State, Now);
  IssuerRecord *Record = findRecord(State, Key);
  if (Record == nullptr || Record->Phase != CallPhase::Requested)
    return {};
  return sealRecord(State, Key, *Record, "witness_unreachable", Now);
}

bool beginAttempt(IssuerState &State, const IdempotencyKey &Key,
                  TimePoint Deadline, TimePoint Now) {
  IssuerRecord *Record = findRecord(State, Key);
  if (Record == nullptr || Record->Phase != CallPhase::Granted ||
      Now >= Deadline)
    return false;
  Record->Phase = CallPhase::Dispatched;
  return true;
}

void recordAttemptNotRun(IssuerState &State, const IdempotencyKey &Key) {
  IssuerRecord *Record = findRecord(State, Key);
  if (Record != nullptr && Record->Phase == CallPhase::Dispatched)
    Record->Phase = CallPhase::Granted;
}

SharedOutcome finishCall(IssuerState &State, const IdempotencyKey &Key,
                         StoredOutcome Outcome, TimePoint Now) {
  Now = advanceTime(State, Now);
  IssuerRecord *Record = findRecord(State, Key);
  if (Record == nullptr || Record->Phase == CallPhase::Finished)
    return nullptr;
  if (Record->Phase == CallPhase::Dispatched &&
      Outcome.Outcome == CallOutcome::NotRun)
    Outcome.Outcome = CallOutcome::Unknown;
  return finishRecord(State, Key, *Record, std::move(Outcome), Now);
}

SharedOutcome outcomeForWitness(const IssuerState &State,
                                SharedOutcome Stored) {
  return withBoundedAnswer(std::move(Stored),
                           State.Limits.CopiedAnswerMaximumBytes);
}

void dropAgedRecords(IssuerState &State, TimePoint Now) {
  Now = advanceTime(State, Now);
  while (!State.Table.DropQueue.empty() &&
         State.Table.DropQueue.front().KeptUntil <= Now)
    dropRecord(State);
}

} // namespace comfreyrill
