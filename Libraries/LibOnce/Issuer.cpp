#include <LibOnce/Issuer.h>

#include <algorithm>
#include <utility>

namespace comfreyrill {

namespace {

// A key that was called expired must never be started later, even if the clock
// were set back.
TimePoint advanceTime(IssuerState &State, TimePoint Now) {
  State.Latest = std::max(State.Latest, Now);
  return State.Latest;
}

bool mayHaveRun(const SharedOutcome &Stored) {
  return Stored->Outcome != CallOutcome::NotRun;
}

bool dropRecord(IssuerState &State) {
  auto Dropped = dropOldest(State.Table);
  if (!Dropped)
    return false;
  TimePoint &Mark =
      mayHaveRun(Dropped->Value.Stored) ? State.RanMark : State.SealedMark;
  Mark = std::max(Mark, Dropped->Value.Expiry);
  return true;
}

IssuerRecord *findRecord(IssuerState &State, const IdempotencyKey &Key) {
  if (Key.Issuer != State.Self)
    return nullptr;
  auto Position = State.Table.Records.find(Key.Sequence);
  return Position == State.Table.Records.end() ? nullptr : &Position->second;
}

// Records are queued only now, so that a call in flight is never dropped.
SharedOutcome settle(IssuerState &State, const IdempotencyKey &Key,
                     IssuerRecord &Record, StoredOutcome Outcome,
                     TimePoint Now) {
  Outcome.Fingerprint = Record.Fingerprint;
  auto Stored = std::make_shared<const StoredOutcome>(std::move(Outcome));
  Record.Phase = CallPhase::Finished;
  State.Table.Order.push_back(
      {Key.Sequence, Now + State.Limits.KeyLifetime + State.Limits.Retention});
  storeOutcome(State.Table, Key.Sequence, Record, Stored,
               State.Limits.AnswerBytesMaximum);
  return Stored;
}

GrantDecision seal(IssuerState &State, const IdempotencyKey &Key,
                   IssuerRecord &Record, std::string_view Reason,
                   TimePoint Now) {
  return {GrantStep::Settled,
          settle(State, Key, Record,
                 {CallOutcome::NotRun, std::string(Reason), std::nullopt, 0},
                 Now)};
}

BeginDecision decideKnown(const IssuerRecord &Record,
                          std::uint64_t Fingerprint) {
  if (Record.Fingerprint != Fingerprint)
    return {BeginVerdict::Conflict, nullptr};
  if (Record.Phase == CallPhase::Finished)
    return {BeginVerdict::Replay, Record.Stored};
  return {BeginVerdict::Join, nullptr};
}

// Adds a record for a key that was not used yet; otherwise returns what becomes
// of the call.
std::optional<BeginDecision> openRecord(IssuerState &State,
                                        const IdempotencyKey &Key,
                                        std::uint64_t Fingerprint,
                                        CallPhase Phase, TimePoint Now) {
  Now = advanceTime(State, Now);
  if (Key.Issuer != State.Self)
    return BeginDecision{BeginVerdict::NotThisIncarnation, nullptr};
  // The tag comes first, so that a guessed key learns nothing of a record.
  if (!isKeyGenuine(Key, State.Secret))
    return BeginDecision{BeginVerdict::Forged, nullptr};
  dropAgedRecords(State, Now);
  if (const IssuerRecord *Record = findRecord(State, Key))
    return decideKnown(*Record, Fingerprint);
  if (Key.Expiry <= State.RanMark)
    return BeginDecision{BeginVerdict::Unknown, nullptr};
  if (Key.Expiry <= State.SealedMark)
    return BeginDecision{BeginVerdict::NotRun, nullptr};
  if (Now >= Key.Expiry)
    return BeginDecision{BeginVerdict::Expired, nullptr};
  if (State.Table.Records.size() >= State.Limits.RecordsMaximum &&
      !dropRecord(State)) {
    // Only calls in flight have records, and there is no room for one more. The
    // mark seals the key instead, or a late copy of the request could run after
    // the caller was told not run.
    State.SealedMark = std::max(State.SealedMark, Key.Expiry);
  }
  // Dropping a record can move the marks past this key.
  if (Key.Expiry <= std::max(State.RanMark, State.SealedMark))
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
  return {
      BeginVerdict::Replay,
      seal(State, Key, *findRecord(State, Key), Reason, State.Latest).Stored};
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
      return seal(State, Key, *Record, "key_expired", Now);
    Record->Phase = CallPhase::Granted;
    return {GrantStep::Run, nullptr};
  case GrantVerdict::Sealed:
    return seal(State, Key, *Record, "key_sealed", Now);
  case GrantVerdict::WrongIncarnation:
    return seal(State, Key, *Record, "witness_restarted", Now);
  case GrantVerdict::Expired:
    return seal(State, Key, *Record, "witness_dropped_record", Now);
  case GrantVerdict::Conflict:
    break;
  }
  return seal(State, Key, *Record, "witness_refused", Now);
}

GrantDecision recordGrantTimeout(IssuerState &State, const IdempotencyKey &Key,
                                 TimePoint Now) {
  Now = advanceTime(State, Now);
  IssuerRecord *Record = findRecord(State, Key);
  if (Record == nullptr || Record->Phase != CallPhase::Requested)
    return {};
  return seal(State, Key, *Record, "witness_unreachable", Now);
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
  return settle(State, Key, *Record, std::move(Outcome), Now);
}

SharedOutcome outcomeForWitness(const IssuerState &State,
                                SharedOutcome Stored) {
  return withBoundedAnswer(std::move(Stored),
                           State.Limits.CopiedAnswerMaximumBytes);
}

void dropAgedRecords(IssuerState &State, TimePoint Now) {
  Now = advanceTime(State, Now);
  while (!State.Table.Order.empty() &&
         State.Table.Order.front().KeptUntil <= Now)
    dropRecord(State);
}

} // namespace comfreyrill
